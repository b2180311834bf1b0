"""Cancellation: exactly one final outcome, whatever it races with.

Work in progress is cancelled under its task's lock, hence after its start and
either before or after its end. For work that is not claimed, a cancelled row is
written: a concurrent claim then fails its version check, so `not_run` is certain.
"""

import dataclasses

import result

from mangosail import resources
from mangosail.dispatch import messages as dispatch_messages
from mangosail.platform import errors as platform_errors
from mangosail.platform import table
from mangosail.work import (
    claims,
    context,
    errors,
    messages,
    outcomes,
    registry,
    starts,
    transitions,
)

#: The `reason` in the rows of cancelled work.
CANCELLED_REASON = "cancelled"

CancelError = errors.StoreUnavailable | errors.Undecided


class Cancellations:
    """Cancels work that this instance holds, and work that is not claimed."""

    def __init__(
        self,
        ctx: context.Context,
        task_starts: starts.Starts,
        task_transitions: transitions.TaskTransitions,
    ) -> None:
        self.ctx = ctx
        self.starts = task_starts
        self.transitions = task_transitions

    def cancel_task(self, task: registry.Task) -> None:
        """Stop a task of this instance for good, unless it has ended.

        `Runner.sweep` retries as long as `task.cancelling` is set. Without that flag,
        a lost stop order was forgotten as soon as the worker reported the task as
        running, and a release that its caller had cancelled ran to completion.
        """
        task.cancelling = True
        with task.lock:
            if task.pending_row is not None:
                self.transitions.write_pending(task)
            if task.removed.ready() or task.pending_row is not None:
                return
            if not self.ctx.may_act(task.owned):
                return
            voided = task.owned.target.void(
                task.task_id, task.row.generation, self.starts.order_deadline()
            )
            if isinstance(voided, result.Err):
                self.ctx.counters.count("work.cancel_in_doubt")
                task.in_doubt = True
                return
            self._apply_report(task, voided.ok_value)

    def cancel_row(
        self, team: str, request_id: str, stored: claims.StoredRow | None
    ) -> result.Result[messages.Outcome, CancelError]:
        """Cancel work that runs on no worker: never claimed, or evicted."""
        row = stored.row if stored else unclaimed_row(team, request_id)
        row = claims.with_new_attempt(
            dataclasses.replace(
                row, state=messages.State.CANCELLED, reason=CANCELLED_REASON
            )
        )
        written = self.ctx.claims.write(row, stored.version if stored else table.ABSENT)
        if isinstance(written, result.Ok):
            self.ctx.counters.count("work.cancelled.waiting")
            return result.Ok(outcomes.outcome_of(row))
        if isinstance(written.err_value, platform_errors.Unavailable):
            return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
        return result.Err(errors.Undecided(outcomes.RETRY_AFTER_S))

    def _apply_report(
        self, task: registry.Task, report: dispatch_messages.Report
    ) -> None:
        state = report.state
        started = state is dispatch_messages.TaskState.STOPPED
        void = state is dispatch_messages.TaskState.VOID
        if not started and (not void or task.forgotten_by_worker(report)):
            self.transitions.handle_report(task, report)
            return
        task.in_doubt = False
        task.owned.ledger.release(task.task_id)
        self.ctx.counters.count("work.cancelled.placed")
        row = dataclasses.replace(
            task.row,
            state=messages.State.CANCELLED,
            reason=CANCELLED_REASON,
            started=started or task.row.started,
        )
        self.transitions.transition(task, row)


def unclaimed_row(team: str, request_id: str) -> messages.WorkRow:
    """Return the row of work that is cancelled before it is claimed."""
    request = messages.Request(
        team, request_id, "", needs=resources.Resources(), body=None
    )
    return messages.WorkRow(
        request, "", messages.State.CANCELLED, "", "", "", 0, "", 0.0
    )
