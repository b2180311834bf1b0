"""What a caller is told of a row, and what a worker's report makes of one."""

import dataclasses

from mangosail.dispatch import messages as dispatch_messages
from mangosail.work import messages

#: Seconds after which a caller should ask again: for an outcome that is not known
#: yet, or for anything while the table is no help.
RETRY_AFTER_S = 1.0

#: What each final state is told as.
OUTCOME_BY_STATE = {
    messages.State.COMPLETED: messages.OutcomeKind.COMPLETED,
    messages.State.FAILED: messages.OutcomeKind.COMPLETED,
    messages.State.NOT_RUN: messages.OutcomeKind.NOT_RUN,
    messages.State.UNKNOWN: messages.OutcomeKind.UNKNOWN,
}


def outcome_of(row: messages.WorkRow) -> messages.Outcome:
    """Return what a caller is told of `row`."""
    final = row.state in messages.FINAL_STATES
    told = OUTCOME_BY_STATE.get(row.state, messages.OutcomeKind.UNKNOWN)
    if row.state is messages.State.CANCELLED:
        told = (
            messages.OutcomeKind.COMPLETED
            if row.started
            else messages.OutcomeKind.NOT_RUN
        )
    ended = told is messages.OutcomeKind.COMPLETED
    return messages.Outcome(
        row.request.request_id,
        told.value,
        row.answer,
        row.reason,
        row.state.value,
        failed=ended and row.state is not messages.State.COMPLETED,
        started=row.started,
        retry_after=None if final else RETRY_AFTER_S,
    )


def unknown_outcome(request_id: str, reason: str) -> messages.Outcome:
    """Return the outcome of work of which nothing certain is known yet."""
    return messages.Outcome(
        request_id,
        messages.OutcomeKind.UNKNOWN.value,
        reason=reason,
        retry_after=RETRY_AFTER_S,
    )


def row_after_report(
    row: messages.WorkRow, report: dispatch_messages.Report, checkpoint: str = ""
) -> messages.WorkRow:
    """Return the row that follows once the worker has told of an end."""
    state = report.state
    if state is dispatch_messages.TaskState.VOID:
        return not_run_row(row, report.reason or "void")
    if state is dispatch_messages.TaskState.STOPPED and row.request.restartable:
        return evicted_row(row, report.reason, checkpoint)
    done = state is dispatch_messages.TaskState.DONE
    return dataclasses.replace(
        row,
        state=messages.State.COMPLETED if done else messages.State.FAILED,
        answer=report.answer,
        reason=report.reason,
        started=True,
    )


def not_run_row(row: messages.WorkRow, reason: str) -> messages.WorkRow:
    """Return the row of work whose present generation certainly never ran."""
    if row.request.restartable:
        return dataclasses.replace(row, state=messages.State.EVICTED, reason=reason)
    return dataclasses.replace(row, state=messages.State.NOT_RUN, reason=reason)


def evicted_row(
    row: messages.WorkRow, reason: str, checkpoint: str = ""
) -> messages.WorkRow:
    """Return the row of restartable work that waits to be resumed."""
    return dataclasses.replace(
        row,
        state=messages.State.EVICTED,
        reason=reason,
        checkpoint=checkpoint or row.checkpoint,
        started=True,
    )


def worker_lost_row(row: messages.WorkRow) -> messages.WorkRow:
    """Return the row of claimed work whose worker is gone, or has forgotten it."""
    if row.request.restartable:
        return evicted_row(row, "worker_lost")
    return dataclasses.replace(
        row, state=messages.State.UNKNOWN, reason="worker_lost", started=True
    )
