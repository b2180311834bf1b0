"""Resource usage by team, on this instance and on its peers."""

import collections.abc as cabc
import dataclasses

from mangosail.placement import residents, workers


@dataclasses.dataclass(frozen=True, slots=True)
class TeamUsage:
    """Resources used by the running work of a team."""

    cpus: float = 0.0
    accelerators: int = 0

    def __add__(self, other: "TeamUsage") -> "TeamUsage":
        return TeamUsage(self.cpus + other.cpus, self.accelerators + other.accelerators)


class Usage:
    """Processors and accelerators in use by team.

    `local` is sent to peers in heartbeats, and `peers` returns what peers sent::

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
        """Return the usage of each team on the workers of this instance."""
        total: dict[str, TeamUsage] = {}
        for owned in self.owned:
            for work in self.residents.work_on(owned):
                used = TeamUsage(work.needs.cpus, work.needs.accelerators)
                total[work.team] = total.get(work.team, TeamUsage()) + used
        return total

    def total(self) -> dict[str, TeamUsage]:
        """Return the usage of each team on all instances."""
        total = self.local()
        for team, used in self.peers().items():
            total[team] = total.get(team, TeamUsage()) + used
        return total
