"""Fair sharing among teams: quotas, borrowing and scheduling order."""

import collections.abc as cabc

from mangosail import clock as clocks
from mangosail import resources
from mangosail.placement import usage as usages
from mangosail.settings import schema

#: Seconds for which a team counts as waiting after it found no capacity.
WAITING_TIMEOUT_S = 2.0


class FairShare:
    """Weighted dominant resource fairness: the lowest share of quota goes first.

    `quotas` returns the quota of a team, `usage` the resources in use by team::

        team = fair_share.next_team({"fuel-desk": 3, "plegadora": 40})
    """

    def __init__(
        self,
        quotas: cabc.Callable[[str], schema.Quota | None],
        usage: cabc.Callable[[], cabc.Mapping[str, usages.TeamUsage]],
        clock: clocks.Clock,
    ) -> None:
        self.quotas = quotas
        self.usage = usage
        self.clock = clock
        #: Monotonic time until which each team counts as waiting for capacity.
        self.waiting_until: dict[str, float] = {}
        self.last_turns: dict[str, int] = {}

    def next_team(self, waiting_by_team: cabc.Mapping[str, int]) -> str | None:
        """Return the team whose work is placed next, None if no team waits."""
        usage = self.usage()
        waiting = [team for team, count in waiting_by_team.items() if count]
        for team in waiting:
            self.mark_waiting(team)
        if not waiting:
            return None
        team = min(
            waiting,
            key=lambda t: (self.dominant_share(t, usage), self.last_turns.get(t, 0), t),
        )
        self.last_turns[team] = max(self.last_turns.values(), default=0) + 1
        return team

    def mark_waiting(self, team: str) -> None:
        """Record that `team` has work for which there is no capacity."""
        self.waiting_until[team] = self.clock.monotonic() + WAITING_TIMEOUT_S

    def dominant_share(
        self, team: str, usage: cabc.Mapping[str, usages.TeamUsage]
    ) -> float:
        """Return the largest fraction of quota in use, over all resources."""
        return self._dominant_share(team, usage.get(team, usages.TeamUsage()))

    def may_start(self, team: str, needs: resources.Resources) -> bool:
        """Return whether `team` may start work of `needs` now.

        A team may always use its quota. Beyond that, it may borrow capacity while
        no other team that is below its own quota is waiting.
        """
        usage = self.usage()
        added = usages.TeamUsage(needs.cpus, needs.accelerators)
        if (
            self._dominant_share(team, usage.get(team, usages.TeamUsage()) + added)
            <= 1.0 + 1e-9
        ):
            return True
        now = self.clock.monotonic()
        return not any(
            deadline > now and other != team and self.dominant_share(other, usage) < 1.0
            for other, deadline in self.waiting_until.items()
        )

    def _dominant_share(self, team: str, used: usages.TeamUsage) -> float:
        quota = self.quotas(team)
        if quota is None:
            return 0.0
        shares = [used.cpus / quota.cpus]
        if used.accelerators:
            # Without an accelerator quota, every accelerator counts as borrowed.
            shares.append(used.accelerators / max(quota.accelerators, 1e-9))
        return max(shares)
