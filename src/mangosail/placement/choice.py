"""Strategies that select a worker from those with enough free capacity.

A chooser is any object with the methods of `Chooser`. A minimal one is::

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
    """Selects a worker for a piece of work."""

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> workers.OwnedWorker:
        """Return one of `candidates`, which must not be empty."""

    def suitable(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> list[workers.OwnedWorker]:
        """Return the `candidates` on which `work` interferes acceptably with quotes."""


class Policy(enum.StrEnum):
    """Choosers that can be selected in the settings of an instance."""

    LEARNED = "learned"
    LEAST_LOADED = "least-loaded"
    TWO_CHOICES = "two-choices"
    RANDOM = "random"


def load(owned: workers.OwnedWorker) -> float:
    """Return the reserved fraction of slots or processors, whichever is higher."""
    capacity = owned.worker.capacity
    used = owned.ledger.used
    shares = [used.slots / max(capacity.slots, 1)]
    shares.append(used.cpus / max(capacity.cpus, 1e-9))
    return max(shares)


class InterferenceUnaware:
    """Base of choosers that ignore interference: every worker is suitable."""

    def suitable(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> list[workers.OwnedWorker]:
        """Return all `candidates`."""
        return list(candidates)


class LeastLoaded(InterferenceUnaware):
    """Selects the worker with the lowest load; ties are broken at random."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> workers.OwnedWorker:
        """Return the least loaded of `candidates`."""
        return min(candidates, key=lambda owned: (load(owned), self.random.random()))


class TwoChoices(InterferenceUnaware):
    """Selects the less loaded of two workers drawn at random."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> workers.OwnedWorker:
        """Return the less loaded of two random `candidates`."""
        return min(self.random.sample(candidates, min(2, len(candidates))), key=load)


class Random(InterferenceUnaware):
    """Selects a worker uniformly at random."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> workers.OwnedWorker:
        """Return a random one of `candidates`."""
        return self.random.choice(candidates)
