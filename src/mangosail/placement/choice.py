"""Choice of worker among those on which a piece of work fits.

A chooser is any object with a `choose` method; the smallest one is::

    class First:
        def choose(self, candidates, work):
            return candidates[0]

        def suitable(self, candidates, work):
            return candidates
"""

import collections.abc as cabc
import enum
import random
import typing as t

from mangosail.placement import messages, workers


class Chooser(t.Protocol):
    """Picks a worker for a piece of work."""

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> workers.OwnedWorker:
        """Return one of `candidates`, of which there is at least one."""

    def suitable(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> list[workers.OwnedWorker]:
        """Return those of `candidates` on which `work` does no undue harm."""


class Policy(enum.StrEnum):
    """The choosers that an instance can be started with."""

    LEARNED = "learned"
    LEAST_LOADED = "least-loaded"
    TWO_CHOICES = "two-choices"
    RANDOM = "random"


def load(owned: workers.OwnedWorker) -> float:
    """Return the share of the worker's scarcest resource that is reserved."""
    capacity = owned.worker.capacity
    used = owned.ledger.used
    shares = [used.slots / max(capacity.slots, 1)]
    shares.append(used.cpus / max(capacity.cpus, 1e-9))
    return max(shares)


class InterferenceUnaware:
    """Base of choosers that know nothing of harm: any worker suits them."""

    def suitable(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> list[workers.OwnedWorker]:
        """Return all `candidates`."""
        return list(candidates)


class LeastLoaded(InterferenceUnaware):
    """Picks the worker with the smallest load; the first of equal ones by chance."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> workers.OwnedWorker:
        """Return the least loaded of `candidates`."""
        return min(candidates, key=lambda owned: (load(owned), self.random.random()))


class TwoChoices(InterferenceUnaware):
    """Draws two workers and picks the less loaded one."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> workers.OwnedWorker:
        """Return the less loaded of two of `candidates`."""
        return min(self.random.sample(candidates, min(2, len(candidates))), key=load)


class Random(InterferenceUnaware):
    """Picks any worker."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> workers.OwnedWorker:
        """Return one of `candidates` by chance."""
        return self.random.choice(candidates)
