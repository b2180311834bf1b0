"""Outcomes reported to callers, and the rows that follow from workers' reports."""

import dataclasses

from mangosail.dispatch import messages as dispatch_messages
from mangosail.work import messages

#: Seconds after which a caller should retry when the outcome is not known yet or the
#: table is unavailable.
RETRY_AFTER_S = 1.0

#: The outcome that is reported for each final state.
OUTCOME_BY_STATE = {
    messages.State.COMPLETED: messages.Told.COMPLETED,
    messages.State.FAILED: messages.Told.COMPLETED,
    messages.State.NOT_RUN: messages.Told.NOT_RUN,
    messages.State.UNKNOWN: messages.Told.UNKNOWN,
}


def outcome_of(row: messages.WorkRow) -> messages.Outcome:
    """Return the outcome that is reported for `row`."""
    final = row.state in messages.FINAL_STATES
    outcome = OUTCOME_BY_STATE.get(row.state, messages.Told.UNKNOWN)
    if row.state is messages.State.CANCELLED:
        outcome = messages.Told.COMPLETED if row.started else messages.Told.NOT_RUN
    ended = outcome is messages.Told.COMPLETED
    return messages.Outcome(
        row.request.request_id,
        outcome.value,
        row.answer,
        row.reason,
        row.state.value,
        failed=ended and row.state is not messages.State.COMPLETED,
        started=row.started,
        retry_after=None if final else RETRY_AFTER_S,
    )


def row_after_report(
    row: messages.WorkRow, report: dispatch_messages.Report, checkpoint: str = ""
) -> messages.WorkRow:
    """Return the row that follows from a worker's report of an end."""
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
    """Return the row of work whose current generation certainly never ran."""
    if row.request.restartable:
        return dataclasses.replace(row, state=messages.State.EVICTED, reason=reason)
    return dataclasses.replace(row, state=messages.State.NOT_RUN, reason=reason)


def evicted_row(
    row: messages.WorkRow, reason: str, checkpoint: str = ""
) -> messages.WorkRow:
    """Return the row of restartable work that is waiting to be resumed."""
    return dataclasses.replace(
        row,
        state=messages.State.EVICTED,
        reason=reason,
        checkpoint=checkpoint or row.checkpoint,
        started=True,
    )


def lost_row(row: messages.WorkRow, end: messages.End | None) -> messages.WorkRow:
    """Return the row of claimed work whose worker is gone or has lost its state.

    `end` is how it ended before, or None if nobody knows.
    """
    if end is not None:
        return ended_row(row, end)
    if row.request.restartable:
        return evicted_row(row, messages.WORKER_LOST)
    return dataclasses.replace(
        row, state=messages.State.UNKNOWN, reason=messages.WORKER_LOST, started=True
    )


def end_of(row: messages.WorkRow) -> messages.End | None:
    """Return the end that `row` records, or None if it has none that is known.

    That of work lost with its worker is not: somebody else may know better.
    """
    if row.state is messages.State.CLAIMED or row.reason == messages.WORKER_LOST:
        return None
    return messages.End(
        messages.generation_of(row),
        row.state,
        row.answer,
        row.reason,
        row.checkpoint,
        row.started,
    )


def ended_row(row: messages.WorkRow, end: messages.End) -> messages.WorkRow:
    """Return the row that follows from the known end of its generation."""
    return dataclasses.replace(
        row,
        state=end.state,
        answer=end.answer,
        reason=end.reason,
        checkpoint=end.checkpoint,
        started=end.started,
    )


def lacks_end(row: messages.WorkRow, end: messages.End) -> bool:
    """Return whether `row` is about the same generation and has no end yet."""
    is_claimed = row.state is messages.State.CLAIMED
    return is_claimed and messages.generation_of(row) == end.work
