"""Waiting for the end of work, in hand here or at another instance."""

import result

from mangosail.platform import errors as platform_errors
from mangosail.work import adoption, claims, context, messages, outcomes, registry

#: Seconds between the first two readings of a row that is held elsewhere.
INITIAL_POLL_INTERVAL_S = 0.1
#: Longest time in seconds between two readings.
MAX_POLL_INTERVAL_S = 1.0


class OutcomeWaiter:
    """Waits until work ends, is evicted, or the caller's time is up."""

    def __init__(self, ctx: context.Context, adopter: adoption.Adoption) -> None:
        self.ctx = ctx
        self.adoption = adopter

    def wait_for_task(self, task: registry.Task, deadline: float) -> messages.Outcome:
        """Return the outcome of a task that was in hand here."""
        left = max(deadline - self.ctx.clock.monotonic(), 0.0)
        task.removed.wait(timeout=left)
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
        """Return the outcome of work that is held elsewhere, as its row tells."""
        pause = INITIAL_POLL_INTERVAL_S
        while True:
            task = self.ctx.registry.get(f"{team}/{request_id}")
            if task is not None:
                return self.wait_for_task(task, deadline)
            found = self.read(team, request_id)
            held = found.ok_value if isinstance(found, result.Ok) else None
            if held is not None and held.row.state is not messages.State.CLAIMED:
                return outcomes.outcome_of(held.row)
            left = deadline - self.ctx.clock.monotonic()
            if left <= 0:
                return timed_out_outcome(request_id, held)
            self.ctx.clock.sleep(min(pause, left))
            pause = min(pause * 2, MAX_POLL_INTERVAL_S)

    def read(
        self, team: str, request_id: str
    ) -> result.Result[claims.StoredRow | None, platform_errors.Unavailable]:
        """Return the present row, settled if its worker is gone."""
        found = self.ctx.claims.read(team, request_id)
        if isinstance(found, result.Err) or found.ok_value is None:
            return found
        return result.Ok(self.adoption.resolve_orphan(found.ok_value))


def timed_out_outcome(
    request_id: str, stored: claims.StoredRow | None
) -> messages.Outcome:
    """Return what is told of work whose end did not come in time."""
    if stored is None:
        return outcomes.unknown_outcome(request_id, "store_unavailable")
    return outcomes.outcome_of(stored.row)
