"""Starting a claimed task once, and resolving a start whose answer is lost."""

import logbook
import result

from mangosail import clock as clocks
from mangosail.dispatch import errors as dispatch_errors
from mangosail.dispatch import messages as dispatch_messages
from mangosail.work import context, moves, outcomes, registry, transitions

log = logbook.Logger("work")


class Starts:
    """Sends each start order exactly once."""

    def __init__(
        self,
        ctx: context.Context,
        task_transitions: transitions.TaskTransitions,
        task_moves: moves.Moves,
    ) -> None:
        self.ctx = ctx
        self.transitions = task_transitions
        self.moves = task_moves
        task_transitions.on_reassigned = self._start_on_next_worker

    def start(self, task: registry.Task) -> None:
        """Send the start order of a registered task."""
        with task.lock:
            if task.removed.ready():
                return
            if not self.ctx.may_act(task.owned):
                self.ctx.counters.count("work.not_started.lease_over")
                self.transitions.transition(
                    task, outcomes.not_run_row(task.row, "lease_over")
                )
                return
            self._send_start(task)

    def resolve_start(self, task: registry.Task) -> None:
        """Ask the worker about a start in doubt, and make the result certain.

        A start that the worker does not know may still be in flight, so it is voided
        there before the row says that it never ran. If the worker has restarted since
        the claim, the row says that the outcome can never be known.
        """
        target = task.owned.target
        generation = task.row.generation
        found = target.look_up(task.task_id, self.order_deadline())
        if isinstance(found, result.Err):
            self.ctx.counters.count("work.retry.start_in_doubt")
            return
        report = found.ok_value
        if task.matches_generation(report) and is_known(report):
            self.transitions.handle_report(task, report)
            return
        if report.generation > generation:
            self.transitions.abandon(task)
            return
        voided = target.void(task.task_id, generation, self.order_deadline())
        if isinstance(voided, result.Err):
            self.ctx.counters.count("work.retry.void_in_doubt")
            return
        report = voided.ok_value
        is_void = report.state is dispatch_messages.TaskState.VOID
        if (
            is_void
            and task.matches_generation(report)
            and not task.forgotten_by_worker(report)
        ):
            self._handle_not_started(task, report.reason or "void")
            return
        self.transitions.handle_report(task, report)

    def order_deadline(self) -> float:
        """Return the deadline of an order that is sent now."""
        return self.ctx.clock.monotonic() + context.ORDER_TIMEOUT_S

    def _send_start(self, task: registry.Task) -> None:
        row = task.row
        start = dispatch_messages.Start(
            task_id=task.task_id,
            generation=row.generation,
            owner_generation=task.owned.generation,
            lease_deadline=row.lease_deadline - clocks.CLOCK_SKEW_MARGIN_S,
            team=row.request.team,
            kind=row.request.kind,
            needs=task.owned.ledger.reserved.get(task.task_id, row.request.needs),
            body=row.request.body,
            checkpoint=row.checkpoint,
            start_deadline=self.ctx.lease.start_deadline(),
        )
        task.in_doubt = True
        self.ctx.counters.count("work.started")
        answer = task.owned.target.start(start, self.order_deadline())
        if isinstance(answer, result.Ok):
            self.transitions.handle_report(task, answer.ok_value)
            return
        error = answer.err_value
        self.ctx.counters.count(f"work.start_failed.{type(error).__name__.lower()}")
        if isinstance(error, dispatch_errors.NotSent):
            self._handle_not_started(task, error.reason)
            return
        log.warning("start in doubt", task=task.task_id, why=error.reason)
        self.resolve_start(task)

    def _handle_not_started(self, task: registry.Task, reason: str) -> None:
        """Move a task that certainly never ran to another worker, or record its end."""
        if task.removed.ready() or task.pending_row is not None:
            return
        task.in_doubt = False
        row = self.moves.next_row(task)
        self.transitions.transition(task, row or outcomes.not_run_row(task.row, reason))

    def _start_on_next_worker(self, task: registry.Task) -> None:
        if task.next_owned is not None:
            task.owned, task.next_owned = task.next_owned, None
            self.ctx.spawn(self.start, task)


def is_known(report: dispatch_messages.Report) -> bool:
    """Return whether the worker knows the task of the report."""
    return report.state is not dispatch_messages.TaskState.UNKNOWN
