"""Waiting for the end of work, in hand here or at another instance."""

import result

from mangosail.platform import errors as platform_errors
from mangosail.work import adoption, claims, context, messages, outcomes, registry

#: Seconds between the first two readings of a row that is held elsewhere.
FIRST_POLL = 0.1
#: Longest time in seconds between two readings.
LONGEST_POLL = 1.0


class Waiting:
    """Waits until work ends, is evicted, or the caller's time is up."""

    def __init__(self, ctx: context.Context, adopter: adoption.Adoption) -> None:
        self.ctx = ctx
        self.adoption = adopter

    def for_task(self, task: registry.Task, deadline: float) -> messages.Outcome:
        """Return the outcome of a task that was in hand here."""
        left = max(deadline - self.ctx.clock.monotonic(), 0.0)
        task.left.wait(timeout=left)
        if not task.left.ready():
            return outcomes.outcome_of(task.row)
        row = task.left.get()
        if row is not None:
            return outcomes.outcome_of(row)
        request = task.row.request
        return self.for_row(request.team, request.request_id, deadline)

    def for_row(self, team: str, request_id: str, deadline: float) -> messages.Outcome:
        """Return the outcome of work that is held elsewhere, as its row tells."""
        pause = FIRST_POLL
        while True:
            task = self.ctx.registry.get(f"{team}/{request_id}")
            if task is not None:
                return self.for_task(task, deadline)
            found = self.read(team, request_id)
            held = found.ok_value if isinstance(found, result.Ok) else None
            if held is not None and held.row.state is not messages.State.CLAIMED:
                return outcomes.outcome_of(held.row)
            left = deadline - self.ctx.clock.monotonic()
            if left <= 0:
                return told_late(request_id, held)
            self.ctx.clock.sleep(min(pause, left))
            pause = min(pause * 2, LONGEST_POLL)

    def read(
        self, team: str, request_id: str
    ) -> result.Result[claims.Held | None, platform_errors.Unavailable]:
        """Return the present row, settled if its worker is gone."""
        found = self.ctx.claims.read(team, request_id)
        if isinstance(found, result.Err) or found.ok_value is None:
            return found
        return result.Ok(self.adoption.resolve_orphan(found.ok_value))


def told_late(request_id: str, held: claims.Held | None) -> messages.Outcome:
    """Return what is told of work whose end did not come in time."""
    if held is None:
        return outcomes.in_doubt(request_id, "store_unavailable")
    return outcomes.outcome_of(held.row)
