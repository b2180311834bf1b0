"""The chooser that goes by predicted latency and predicted damage.

Quotes go where they are predicted to end first. Batch goes where it is predicted
to delay quotes least: each worker counts by the share of quotes it would attract,
so noisy work gathers where quotes no longer go and the quiet workers stay quiet.
"""

import collections.abc as cabc
import random

from mangosail import clock as clocks
from mangosail.placement import choice, latency, messages, residents, workers

#: How strongly quotes are taken to prefer the faster worker; a power.
PREFERENCE = 4.0
#: Weight of the batch task's own delay beside the damage to quotes.
OWN_DELAY_WEIGHT = 0.05
#: Weight of equal load, which decides where nothing else does.
LOAD_WEIGHT = 0.01
#: Seconds after which a kind of quote that was not seen is left out.
KIND_TERM = 60.0


def pressure(owned: workers.OwnedWorker) -> float:
    """Return the worker's load from the ledger and from its last report."""
    measured = owned.usage.cpus / max(owned.worker.capacity.cpus, 1e-9)
    return max(choice.load(owned), min(measured, 1.0))


def around(
    owned: workers.OwnedWorker, present: residents.Residents
) -> latency.Surroundings:
    """Return what a task would meet on a worker as it is now."""
    return latency.Surroundings(owned.name, present.kinds(owned), pressure(owned))


class Learned:
    """Chooses by what `latencies` predicts for the work that shares a worker."""

    def __init__(
        self,
        latencies: latency.Latencies,
        present: residents.Residents,
        clock: clocks.Clock,
        seed: int,
    ) -> None:
        self.latencies = latencies
        self.present = present
        self.clock = clock
        self.random = random.Random(seed)
        #: Monotonic time at which each kind of quote was last placed.
        self.quote_kinds: dict[str, float] = {}

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> workers.OwnedWorker:
        """Return the worker with the least latency, or the least damage."""
        now = self.clock.monotonic()
        if work.work_class is messages.WorkClass.QUOTE:
            self.quote_kinds[work.kind] = now
            costs = {owned.name: self.latency(owned, work, now) for owned in candidates}
        else:
            costs = self._damages(candidates, work, now)
        return min(
            candidates, key=lambda owned: (costs[owned.name], self.random.random())
        )

    def latency(
        self, owned: workers.OwnedWorker, work: messages.Work, now: float
    ) -> float:
        """Return the predicted seconds of `work` on a worker as it is now."""
        return self.latencies.predict(work.kind, around(owned, self.present), now)

    def _damages(
        self,
        candidates: cabc.Sequence[workers.OwnedWorker],
        work: messages.Work,
        now: float,
    ) -> dict[str, float]:
        """Return for each worker what the batch task would cost there."""
        costs = {
            owned.name: self._own_delay(owned, work, now)
            + LOAD_WEIGHT * choice.load(owned)
            for owned in candidates
        }
        for kind, seen_at in self.quote_kinds.items():
            if now - seen_at > KIND_TERM:
                continue
            for owned, damage in self._damage_to(kind, candidates, work, now):
                costs[owned.name] += damage
        return costs

    def _own_delay(
        self, owned: workers.OwnedWorker, work: messages.Work, now: float
    ) -> float:
        others = self.present.kinds(owned)
        shared = self.latencies.shared(work.kind, others, pressure(owned), now)
        return OWN_DELAY_WEIGHT * (shared - 1.0)

    def _damage_to(
        self,
        kind: str,
        candidates: cabc.Sequence[workers.OwnedWorker],
        work: messages.Work,
        now: float,
    ) -> list[tuple[workers.OwnedWorker, float]]:
        """Return what `work` adds to quotes of `kind`, by what each attracts."""
        stretched = {
            owned.name: self.latencies.shared(
                kind, self.present.kinds(owned), pressure(owned), now
            )
            * self.latencies.factor(owned.name, now)
            for owned in candidates
        }
        fastest = min(stretched.values())
        return [
            (
                owned,
                self.latencies.slowdown(kind, work.kind, pressure(owned), now)
                * (fastest / stretched[owned.name]) ** PREFERENCE,
            )
            for owned in candidates
        ]
