"""The chooser that goes by predicted latency and predicted damage.

Quotes go where they are predicted to end first. Batch goes where it is predicted
to delay quotes least: each worker counts by the share of quotes it would attract,
so noisy work gathers where quotes no longer go and the quiet workers stay quiet.
For each kind of quote some slots are kept on the quietest workers: batch that
would disturb or fill them is held back for a while, until room comes free elsewhere.
"""

import collections.abc as cabc
import random

from mangosail import clock as clocks
from mangosail.placement import choice, latency, messages, residents, workers

#: How strongly quotes are taken to prefer the faster worker; a power.
PREFERENCE_EXPONENT = 4.0
#: Weight of the batch task's own delay beside the damage to quotes.
OWN_DELAY_WEIGHT = 0.05
#: Weight of equal load, which decides where nothing else does.
LOAD_WEIGHT = 0.01
#: Stretch of a quote's time up to which a worker counts as quiet for it.
MAX_QUIET_SLOWDOWN = 1.3
#: Slots kept for quotes on the quietest workers. Fewer are all taken by a burst
#: of short quotes, and the next one has to go where the noise has gathered.
QUIET_QUOTE_SLOTS = 4
#: Seconds for which a kind of batch is held back in a row at most.
MAX_HOLD_S = 5.0
#: Seconds after which a kind of quote that was not seen is left out.
KIND_RETENTION_S = 60.0


def effective_load(owned: workers.OwnedWorker) -> float:
    """Return the worker's load from the ledger and from its last report."""
    measured = owned.usage.cpus / max(owned.worker.capacity.cpus, 1e-9)
    return max(choice.load(owned), min(measured, 1.0))


def colocation_on(
    owned: workers.OwnedWorker, resident_tasks: residents.Residents
) -> latency.Colocation:
    """Return what a task would meet on a worker as it is now."""
    return latency.Colocation(
        owned.name, resident_tasks.kinds_on(owned), effective_load(owned)
    )


class Learned:
    """Chooses by what `latencies` predicts for the work that shares a worker."""

    def __init__(
        self,
        latencies: latency.Latencies,
        resident_tasks: residents.Residents,
        clock: clocks.Clock,
        seed: int,
    ) -> None:
        self.latencies = latencies
        self.residents = resident_tasks
        self.clock = clock
        self.random = random.Random(seed)
        #: Monotonic time at which each kind of quote was last placed.
        self.last_quote_at: dict[str, float] = {}
        #: Monotonic time since which each kind of batch has found no place.
        self.held_since: dict[str, float] = {}

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> workers.OwnedWorker:
        """Return the worker with the least latency, or the least damage."""
        now = self.clock.monotonic()
        if work.work_class is messages.WorkClass.QUOTE:
            self.last_quote_at[work.kind] = now
            costs = {
                owned.name: self.predicted_latency(owned, work, now)
                for owned in candidates
            }
        else:
            costs = self._batch_costs(candidates, work, now)
        return min(
            candidates, key=lambda owned: (costs[owned.name], self.random.random())
        )

    def suitable(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> list[workers.OwnedWorker]:
        """Return `candidates` but the workers kept quiet for some kind of quote."""
        everywhere = [owned for owned in self.residents.owned if owned.accepts()]
        if work.work_class is not messages.WorkClass.BATCH or len(everywhere) < 2:
            return list(candidates)
        now = self.clock.monotonic()
        kept: set[str] = set()
        for kind in self._active_quote_kinds(now):
            kept |= self._reserved_for_quotes(kind, everywhere, work, now)
        suitable = [owned for owned in candidates if owned.name not in kept]
        if suitable or not candidates:
            self.held_since.pop(work.kind, None)
            return suitable
        if now - self.held_since.setdefault(work.kind, now) < MAX_HOLD_S:
            return []
        # Work that fits nowhere else must not wait for ever.
        return list(candidates)

    def _reserved_for_quotes(
        self,
        kind: str,
        accepting: cabc.Sequence[workers.OwnedWorker],
        work: messages.Work,
        now: float,
    ) -> set[str]:
        """Return the workers that quotes of `kind` need to be without `work`.

        They are the quietest ones that together have the slots. If none of them
        is quiet, they take no batch until they are.
        """
        stretched = self._slowdowns(kind, accepting, now)
        slots = {owned.name: self._slots_for_quotes(owned) for owned in accepting}
        quiet = [o.name for o in accepting if stretched[o.name] <= MAX_QUIET_SLOWDOWN]
        left = sum(slots[name] for name in quiet) - work.needs.slots
        found: set[str] = set()
        covered = 0
        # Quiet workers count as equal, so that the same ones stay kept.
        for owned in sorted(
            accepting, key=lambda o: max(stretched[o.name], MAX_QUIET_SLOWDOWN)
        ):
            added = self.latencies.pair_slowdown(
                kind, work.kind, effective_load(owned), now
            )
            if (
                left < QUIET_QUOTE_SLOTS
                or stretched[owned.name] + added > MAX_QUIET_SLOWDOWN
            ):
                found.add(owned.name)
            covered += slots[owned.name]
            if covered >= QUIET_QUOTE_SLOTS:
                break
        return found

    def _slots_for_quotes(self, owned: workers.OwnedWorker) -> int:
        """Return the slots that are free or that quotes have, which are short."""
        taken = sum(
            work.needs.slots
            for work in self.residents.work_on(owned)
            if work.work_class is not messages.WorkClass.QUOTE
        )
        return owned.worker.capacity.slots - taken

    def _active_quote_kinds(self, now: float) -> list[str]:
        seen = self.last_quote_at.items()
        return [kind for kind, seen_at in seen if now - seen_at <= KIND_RETENTION_S]

    def _slowdowns(
        self, kind: str, owned_workers: cabc.Sequence[workers.OwnedWorker], now: float
    ) -> dict[str, float]:
        """Return by what factor a quote of `kind` is stretched on each worker."""
        return {
            owned.name: self.latencies.interference_factor(
                kind, self.residents.kinds_on(owned), effective_load(owned), now
            )
            * self.latencies.worker_factor(owned.name, now)
            for owned in owned_workers
        }

    def predicted_latency(
        self, owned: workers.OwnedWorker, work: messages.Work, now: float
    ) -> float:
        """Return the predicted seconds of `work` on a worker as it is now."""
        return self.latencies.predict(
            work.kind, colocation_on(owned, self.residents), now
        )

    def _batch_costs(
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
        for kind in self._active_quote_kinds(now):
            for owned, damage in self._delay_to_quotes(kind, candidates, work, now):
                costs[owned.name] += damage
        return costs

    def _own_delay(
        self, owned: workers.OwnedWorker, work: messages.Work, now: float
    ) -> float:
        others = self.residents.kinds_on(owned)
        shared = self.latencies.interference_factor(
            work.kind, others, effective_load(owned), now
        )
        return OWN_DELAY_WEIGHT * (shared - 1.0)

    def _delay_to_quotes(
        self,
        kind: str,
        candidates: cabc.Sequence[workers.OwnedWorker],
        work: messages.Work,
        now: float,
    ) -> list[tuple[workers.OwnedWorker, float]]:
        """Return what `work` adds to quotes of `kind`, by what each attracts."""
        stretched = self._slowdowns(kind, candidates, now)
        fastest = min(stretched.values())
        return [
            (
                owned,
                self.latencies.pair_slowdown(
                    kind, work.kind, effective_load(owned), now
                )
                * (fastest / stretched[owned.name]) ** PREFERENCE_EXPONENT,
            )
            for owned in candidates
        ]
