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
        if not task.removed.ready():
            # gevent may lose whoever begins to wait for a result while others that
            # waited for it are woken, and ignores the timeout then.
            task.removed.wait(timeout=remaining)
        if not task.removed.ready():
            return outcomes.outcome_of(task.row)
        row = task.removed.get()
        if row is not None:
            return outcomes.outcome_of(row)
        return self.wait_for_row(task.stored, deadline)

    def wait_for_row(self, seen: claims.StoredRow, deadline: float) -> messages.Outcome:
        """Wait for the end of work that another instance holds by polling its row.

        `seen` is its row as it was last seen. Rows are never deleted, so the work has
        an end even if the table does not answer any more.
        """
        request = seen.row.request
        interval = INITIAL_POLL_INTERVAL_S
        while True:
            task = self.ctx.registry.get(messages.task_id_of(request))
            if task is not None:
                return self.wait_for_task(task, deadline)
            found = self.read(request.team, request.request_id)
            if isinstance(found, result.Ok) and found.ok_value is not None:
                seen = found.ok_value
                if seen.row.state is not messages.State.CLAIMED:
                    return outcomes.outcome_of(seen.row)
            remaining = deadline - self.ctx.clock.monotonic()
            if remaining <= 0:
                return outcomes.outcome_of(seen.row)
            self.ctx.clock.sleep(min(interval, remaining))
            interval = min(interval * 2, MAX_POLL_INTERVAL_S)

    def read_until(
        self, team: str, request_id: str, deadline: float
    ) -> result.Result[claims.StoredRow | None, platform_errors.Unavailable]:
        """Return the current row or None as soon as the table says which."""
        interval = INITIAL_POLL_INTERVAL_S
        while True:
            found = self.read(team, request_id)
            remaining = deadline - self.ctx.clock.monotonic()
            if isinstance(found, result.Ok) or remaining <= 0:
                return found
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
