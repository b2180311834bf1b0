"""The order in which jobs are considered when a worker has capacity.

An ordering policy is any object with a `rank` method; the smallest one is::

    class First:
        def rank(self, held, quotas):
            return list(held)
"""

import collections.abc as cabc
import typing as t

from mangosail import resources
from mangosail.jobs import held as held_jobs


class OrderingPolicy(t.Protocol):
    """Ranks jobs for placement."""

    def rank(
        self,
        held: cabc.Iterable[held_jobs.HeldJob],
        quotas: cabc.Callable[[str], resources.Resources],
    ) -> list[held_jobs.HeldJob]:
        """Return the `held` jobs by descending priority."""


class FairSharePolicy:
    """Ranks urgent jobs first, then by the team's dominant share, then by age.

    A team's dominant share is the largest ratio, over all resources, of what its
    jobs use here to its quota. A quota is no cap: if only one team has waiting
    tasks, it comes first however much it uses, so that unused quota is lent.
    """

    def rank(
        self,
        held: cabc.Iterable[held_jobs.HeldJob],
        quotas: cabc.Callable[[str], resources.Resources],
    ) -> list[held_jobs.HeldJob]:
        """Return the `held` jobs by descending priority."""
        jobs = list(held)
        running: dict[str, resources.Resources] = {}
        for job in jobs:
            used = running.get(job.spec.team, resources.Resources())
            running[job.spec.team] = used + job.running_needs()
        shares = {
            team: dominant_share(used, quotas(team)) for team, used in running.items()
        }
        return sorted(
            jobs,
            key=lambda job: (
                not job.spec.urgent,
                shares[job.spec.team],
                job.sequence_number,
            ),
        )


def dominant_share(used: resources.Resources, quota: resources.Resources) -> float:
    """Return the dominant share of `used` in `quota`."""
    shares = [used.cpus / max(quota.cpus, 1e-9)]
    if used.accelerators:
        shares.append(used.accelerators / max(quota.accelerators, 1e-9))
    return max(shares)
