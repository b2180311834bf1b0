"""Choice of worker among those on which a piece of work fits.

A chooser is any object with a `choose` method; the smallest one is::

    class First:
        def choose(self, candidates, kind):
            return candidates[0]
"""

import collections.abc as cabc
import random
import typing as t

from mangosail.placement import workers


class Chooser(t.Protocol):
    """Picks a worker for a piece of work of `kind`."""

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], kind: str
    ) -> workers.OwnedWorker:
        """Return one of `candidates`, of which there is at least one."""


def load(owned: workers.OwnedWorker) -> float:
    """Return the share of the worker's scarcest resource that is reserved."""
    capacity = owned.worker.capacity
    used = owned.ledger.used
    shares = [used.slots / max(capacity.slots, 1)]
    shares.append(used.cpus / max(capacity.cpus, 1e-9))
    return max(shares)


class LeastLoaded:
    """Picks the worker with the smallest load; the first of equal ones by chance."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], kind: str
    ) -> workers.OwnedWorker:
        """Return the least loaded of `candidates`."""
        return min(candidates, key=lambda owned: (load(owned), self.random.random()))
