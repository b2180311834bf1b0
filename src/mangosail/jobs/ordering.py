"""Which job's task is next when a worker has room.

An order is any object with an `arrange` method; the smallest one is::

    class First:
        def arrange(self, held, quotas):
            return list(held)
"""

import collections.abc as cabc
import typing as t

from mangosail import resources
from mangosail.jobs import held as held_jobs


class OrderingPolicy(t.Protocol):
    """Arranges jobs by whose turn it is."""

    def arrange(
        self,
        held: cabc.Iterable[held_jobs.HeldJob],
        quotas: cabc.Callable[[str], resources.Resources],
    ) -> list[held_jobs.HeldJob]:
        """Return `held`, that whose task shall start first at the front."""


class FairSharePolicy:
    """Urgent jobs first, then teams by dominant share, then by age.

    A team's share is what it has running here over its quota, of the resource
    of which it has most. A quota does not cap: when only one team waits, it is
    the first however much it has, so that unused shares are lent.
    """

    def arrange(
        self,
        held: cabc.Iterable[held_jobs.HeldJob],
        quotas: cabc.Callable[[str], resources.Resources],
    ) -> list[held_jobs.HeldJob]:
        """Return `held`, that whose task shall start first at the front."""
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
