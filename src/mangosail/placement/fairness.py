"""Fair shares of the workers among teams: quotas, lending, and whose turn it is."""

import collections.abc as cabc

from mangosail import clock as clocks
from mangosail import resources
from mangosail.placement import usage as usages
from mangosail.settings import schema

#: Seconds for which a team that found no room counts as waiting.
WAITING_TIMEOUT_S = 2.0


class FairShare:
    """Weighted dominant share: the team furthest below its quota goes first.

    `quotas` returns the quota in force for a team, `usage` what it has running::

        team = fair.next({"fuel-desk": 3, "plegadora": 40})
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
        #: Monotonic time until which each team counts as waiting.
        self.waiting_until: dict[str, float] = {}
        self.last_turns: dict[str, int] = {}

    def next_team(self, waiting_by_team: cabc.Mapping[str, int]) -> str | None:
        """Return the team whose work is placed next, None if none waits."""
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
        """Note that `team` has work that found no room."""
        self.waiting_until[team] = self.clock.monotonic() + WAITING_TIMEOUT_S

    def dominant_share(
        self, team: str, usage: cabc.Mapping[str, usages.TeamUsage]
    ) -> float:
        """Return the team's use as a share of its quota, by what is scarcest."""
        return self._dominant_share(team, usage.get(team, usages.TeamUsage()))

    def may_start(self, team: str, needs: resources.Resources) -> bool:
        """Tell whether `team` may start work of `needs` now.

        Up to its quota it always may. Beyond it, it borrows what others leave,
        until one of them that is below its own quota waits for room.
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
            # Without a quota of accelerators, each of them is borrowed.
            shares.append(used.accelerators / max(quota.accelerators, 1e-9))
        return max(shares)
