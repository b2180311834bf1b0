"""What each team has running, here and on the other instances."""

import collections.abc as cabc
import dataclasses

from mangosail.placement import residents, workers


@dataclasses.dataclass(frozen=True, slots=True)
class TeamUsage:
    """What a team has running, on this instance or on all together."""

    cpus: float = 0.0
    accelerators: int = 0

    def __add__(self, other: "TeamUsage") -> "TeamUsage":
        return TeamUsage(self.cpus + other.cpus, self.accelerators + other.accelerators)


class Usage:
    """Running processors and accelerators by team.

    `own` is what a heartbeat tells peers, and `peers` returns what they told::

        usage.peers = lambda: {"fuel-desk": TeamUsage(cpus=12.0)}
    """

    def __init__(
        self,
        owned: cabc.Iterable[workers.OwnedWorker],
        resident_tasks: residents.Residents,
    ) -> None:
        self.owned = owned
        self.residents = resident_tasks
        self.peers: cabc.Callable[[], cabc.Mapping[str, TeamUsage]] = dict

    def local(self) -> dict[str, TeamUsage]:
        """Return what each team has running on this instance's workers."""
        total: dict[str, TeamUsage] = {}
        for owned in self.owned:
            for work in self.residents.work_on(owned):
                used = TeamUsage(work.needs.cpus, work.needs.accelerators)
                total[work.team] = total.get(work.team, TeamUsage()) + used
        return total

    def total(self) -> dict[str, TeamUsage]:
        """Return what each team has running on all instances."""
        total = self.local()
        for team, used in self.peers().items():
            total[team] = total.get(team, TeamUsage()) + used
        return total
