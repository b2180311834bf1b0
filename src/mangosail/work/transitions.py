"""State transitions of a task's row: its end, its eviction, its reassignment."""

import collections.abc as cabc

import logbook
import result

from mangosail.dispatch import messages as dispatch_messages
from mangosail.platform import batching
from mangosail.platform import errors as platform_errors
from mangosail.work import (
    claims,
    context,
    ends,
    inquiries,
    messages,
    outcomes,
    registry,
)

log = logbook.Logger("work")

#: Writes of a row in a row, if other instances keep changing it; the sweep goes on.
MAX_WRITES = 3


class TaskTransitions:
    """Writes the state transitions of the tasks of this instance."""

    def __init__(
        self,
        ctx: context.Context,
        known: ends.Ends,
        task_inquiries: inquiries.Inquiries,
    ) -> None:
        self.ctx = ctx
        self.ends = known
        self.inquiries = task_inquiries
        #: Called with a task whose row now names its next worker.
        self.on_reassigned: cabc.Callable[[registry.Task], None] | None = None
        #: Called with the id of a task that was abandoned.
        self.on_abandoned: cabc.Callable[[str], object] | None = None

    def handle_report(
        self, task: registry.Task, report: dispatch_messages.Report
    ) -> None:
        """Apply a worker's report on `task`, and record an end."""
        if not task.matches_generation(report) or task.removed.ready():
            return
        task.in_doubt = False
        if report.state is dispatch_messages.TaskState.RUNNING:
            return
        task.owned.ledger.release(task.task_id)
        if task.forgotten_by_worker(report):
            if self.end_lost(task):
                self.ctx.counters.count("work.worker_restarted")
            return
        checkpoint = ""
        if report.state is dispatch_messages.TaskState.STOPPED:
            checkpoint = self._stored_checkpoint(task.row)
        self.transition(task, outcomes.row_after_report(task.row, report, checkpoint))

    def end_lost(self, task: registry.Task) -> bool:
        """Record the end of a task whose worker is gone or has lost its state.

        Returns False while a peer may know how it ended; the task stays in doubt.
        """
        found = self.inquiries.find_end(task.row)
        if isinstance(found, result.Err):
            task.in_doubt = True
            return False
        self.transition(task, outcomes.lost_row(task.row, found.ok_value))
        return True

    def record_end(self, task: registry.Task, end: messages.End) -> None:
        """Record the end of a task that a peer knows."""
        if task.removed.ready() or messages.generation_of(task.row) != end.work:
            return
        task.in_doubt = False
        task.owned.ledger.release(task.task_id)
        self.transition(task, outcomes.ended_row(task.row, end))

    def transition(self, task: registry.Task, row: messages.WorkRow) -> None:
        """Write the task's next row; `Runner.sweep` retries if the table is down.

        Once a next row has been chosen, it is never replaced by another: the first
        write may have taken effect although its answer was lost.
        """
        if task.removed.ready():
            return
        if task.pending_row is None:
            task.pending_row = claims.with_new_attempt(row)
        if self.ctx.lease.table_unreachable:
            # The write would fail only after seconds in which the end could be lost.
            self.ends.tell(task)
        self.write_pending(task)

    def write_pending(self, task: registry.Task) -> None:
        """Write the pending row, if there is one and the task was not abandoned.

        A cancellation that waits for the write by which a task is lost comes here after
        it. Abandoning the task again would release the room of a later claim.
        """
        for _ in range(MAX_WRITES):
            if task.pending_row is None or task.removed.ready():
                return
            written = self.ctx.claims.write(
                task.pending_row, task.stored.version, task.row.worker
            )
            if isinstance(written, result.Ok):
                self._apply_written(task, written.ok_value)
                return
            if not isinstance(written.err_value, platform_errors.Conflict):
                self.ctx.counters.count("work.retry.end_not_written")
                self._log_unwritten(task, written.err_value.reason)
                self._tell_peers(task, written.err_value)
                return
            self._resolve_conflict(task)

    def _tell_peers(
        self,
        task: registry.Task,
        error: platform_errors.Unavailable | platform_errors.Uncertain,
    ) -> None:
        """Have peers keep the end, unless only the queue of own writes is full."""
        if error.reason != batching.STORE_BUSY:
            self.ends.tell(task)

    def _apply_written(self, task: registry.Task, stored: claims.StoredRow) -> None:
        task.pending_row = None
        task.stored = stored
        if task.row.state is not messages.State.CLAIMED:
            self._finish(task)
        elif self.on_reassigned is not None:
            self.on_reassigned(task)

    def _resolve_conflict(self, task: registry.Task) -> None:
        """Prepare to write a known end over a peer's claim, or abandon the task.

        Whoever has adopted the work may not learn how it ended: the worker may be gone
        by then, and the end was told as unknown for good.
        """
        end = outcomes.end_of(task.pending_row) if task.pending_row else None
        if end is None:
            self.abandon(task)
            return
        found = self.ctx.claims.read(end.work.team, end.work.request_id)
        if isinstance(found, result.Err):
            return
        held = found.ok_value
        if held is None or not outcomes.lacks_end(held.row, end):
            self.abandon(task)
            return
        self.ctx.counters.count("work.retry.end_of_adopted")
        task.stored = held
        task.pending_row = claims.with_new_attempt(outcomes.ended_row(held.row, end))

    def abandon(self, task: registry.Task) -> None:
        """Drop a task that another instance has adopted.

        If it was being moved, its next worker has room reserved that nothing else
        would release.
        """
        if task.removed.ready():
            return
        self.ctx.counters.count("work.forgotten")
        pending = task.pending_row
        log.info(
            "task abandoned", task=task.task_id, generation=task.row.generation,
            unwritten=pending.state.value if pending else "",
        )  # fmt: skip
        self.ctx.registry.remove(task, None)
        if self.on_abandoned is not None:
            self.on_abandoned(task.task_id)

    def _finish(self, task: registry.Task) -> None:
        row = task.row
        self.ctx.registry.remove(task, row)
        self.ctx.counters.count(f"work.ended.{row.state.value}")
        for listener in self.ctx.end_listeners:
            listener(outcomes.outcome_of(row), row)

    def _log_unwritten(self, task: registry.Task, why: str) -> None:
        """Log the first failure to write a task's next row; each second has one."""
        if task.unwritten or task.pending_row is None:
            return
        task.unwritten = True
        log.warning(
            "row not written", task=task.task_id, generation=task.row.generation,
            state=task.pending_row.state.value, why=why,
        )  # fmt: skip

    def _stored_checkpoint(self, row: messages.WorkRow) -> str:
        """Return the name of this generation's checkpoint if it was stored.

        An instance may die after the worker stored the checkpoint and stopped the
        task but before the row names it; the name is derived from the row.
        """
        if self.ctx.store is None or not row.request.restartable:
            return ""
        name = checkpoint_name(row)
        found = self.ctx.store.get(name)
        stored = isinstance(found, result.Ok) and found.ok_value is not None
        return name if stored else ""


def checkpoint_name(row: messages.WorkRow) -> str:
    """Return the name of the checkpoint object of the row's generation."""
    task_id = messages.task_id_of(row.request)
    return f"checkpoint/{task_id}/{row.generation}"
