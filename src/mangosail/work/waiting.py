"""Waiting for the end of work that this or another instance holds."""

import result

from mangosail.platform import errors as platform_errors
from mangosail.work import adoption, claims, context, messages, outcomes, registry

#: Interval between the first two polls of a row that another instance holds.
INITIAL_POLL_INTERVAL_S = 0.1
#: Longest interval between two polls.
MAX_POLL_INTERVAL_S = 1.0


class OutcomeWaiter:
    """Waits until work ends or is evicted, or the caller's deadline passes."""

    def __init__(self, ctx: context.Context, adopter: adoption.Adoption) -> None:
        self.ctx = ctx
        self.adoption = adopter

    def wait_for_task(self, task: registry.Task, deadline: float) -> messages.Outcome:
        """Wait for the end of a task that was registered here."""
        remaining = max(deadline - self.ctx.clock.monotonic(), 0.0)
        task.removed.wait(timeout=remaining)
        if not task.removed.ready():
            return outcomes.outcome_of(task.row)
        row = task.removed.get()
        if row is not None:
            return outcomes.outcome_of(row)
        request = task.row.request
        return self.wait_for_row(request.team, request.request_id, deadline)

    def wait_for_row(
        self, team: str, request_id: str, deadline: float
    ) -> messages.Outcome:
        """Wait for the end of work that another instance holds by polling its row."""
        interval = INITIAL_POLL_INTERVAL_S
        while True:
            task = self.ctx.registry.get(f"{team}/{request_id}")
            if task is not None:
                return self.wait_for_task(task, deadline)
            found = self.read(team, request_id)
            stored = found.ok_value if isinstance(found, result.Ok) else None
            if stored is not None and stored.row.state is not messages.State.CLAIMED:
                return outcomes.outcome_of(stored.row)
            remaining = deadline - self.ctx.clock.monotonic()
            if remaining <= 0:
                return timed_out_outcome(request_id, stored)
            self.ctx.clock.sleep(min(interval, remaining))
            interval = min(interval * 2, MAX_POLL_INTERVAL_S)

    def read(
        self, team: str, request_id: str
    ) -> result.Result[claims.StoredRow | None, platform_errors.Unavailable]:
        """Return the current row, resolved if its worker is gone."""
        found = self.ctx.claims.read(team, request_id)
        if isinstance(found, result.Err) or found.ok_value is None:
            return found
        return result.Ok(self.adoption.resolve_orphan(found.ok_value))


def timed_out_outcome(
    request_id: str, stored: claims.StoredRow | None
) -> messages.Outcome:
    """Return the outcome of work that did not end before the deadline."""
    if stored is None:
        return outcomes.unknown_outcome(request_id, "store_unavailable")
    return outcomes.outcome_of(stored.row)
