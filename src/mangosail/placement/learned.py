"""Chooser based on learned latency and interference.

A quote is placed on the worker with the lowest predicted latency. A batch task is
placed where it is predicted to delay quotes least. Each worker is weighted by the
share of quotes that it would attract, so interfering work accumulates on workers
that quotes already avoid, and the other workers stay quiet. For each kind of quote,
some slots are reserved on the quietest workers: batch work that would slow down or
fill them is held back for a limited time, until capacity is free elsewhere.
"""

import collections.abc as cabc
import random

from mangosail import clock as clocks
from mangosail.placement import choice, latency, messages, residents, workers

#: Exponent of the assumed preference of quotes for faster workers.
PREFERENCE_EXPONENT = 4.0
#: Weight of the delay of the batch task itself, relative to the delay of quotes.
OWN_DELAY_WEIGHT = 0.05
#: Weight of the load of a worker; small, so that it only breaks ties.
LOAD_WEIGHT = 0.01
#: Slowdown factor of a quote up to which a worker counts as quiet for it.
MAX_QUIET_SLOWDOWN = 1.3
#: Slots reserved for quotes on the quietest workers. With fewer, a burst of short
#: quotes takes all of them, and the next quote lands next to interfering work.
QUIET_QUOTE_SLOTS = 4
#: Longest time, in seconds, for which a kind of batch work is held back.
MAX_HOLD_S = 5.0
#: Seconds after the last quote of a kind until the kind is no longer considered.
KIND_RETENTION_S = 60.0


def effective_load(owned: workers.OwnedWorker) -> float:
    """Return the higher of the reserved and the last reported load of a worker."""
    measured = owned.usage.cpus / max(owned.worker.capacity.cpus, 1e-9)
    return max(choice.load(owned), min(measured, 1.0))


def colocation_on(
    owned: workers.OwnedWorker, resident_tasks: residents.Residents
) -> latency.Colocation:
    """Return the current conditions on a worker for a new task."""
    return latency.Colocation(
        owned.name, resident_tasks.kinds_on(owned), effective_load(owned)
    )


class Learned:
    """Selects workers by the predictions of `latencies` for co-located work."""

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
        #: Monotonic time since which each kind of batch work has been held back.
        self.held_since: dict[str, float] = {}

    def choose(
        self, candidates: cabc.Sequence[workers.OwnedWorker], work: messages.Work
    ) -> workers.OwnedWorker:
        """Return the worker with the lowest predicted latency or delay to quotes."""
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
        """Return `candidates` without the workers reserved for quotes."""
        accepting = [owned for owned in self.residents.owned if owned.accepts()]
        if work.work_class is not messages.WorkClass.BATCH or len(accepting) < 2:
            return list(candidates)
        now = self.clock.monotonic()
        reserved: set[str] = set()
        for kind in self._active_quote_kinds(now):
            reserved |= self._reserved_for_quotes(kind, accepting, work, now)
        suitable = [owned for owned in candidates if owned.name not in reserved]
        if suitable or not candidates:
            self.held_since.pop(work.kind, None)
            return suitable
        if now - self.held_since.setdefault(work.kind, now) < MAX_HOLD_S:
            return []
        # Work that fits on no other worker must not starve.
        return list(candidates)

    def _reserved_for_quotes(
        self,
        kind: str,
        accepting: cabc.Sequence[workers.OwnedWorker],
        work: messages.Work,
        now: float,
    ) -> set[str]:
        """Return the workers on which quotes of `kind` need `work` not to run.

        These are the quietest workers that together have the reserved slots. Those
        that are not quiet take no batch work until they are.
        """
        slowdowns = self._slowdowns(kind, accepting, now)
        slots = {owned.name: self._slots_for_quotes(owned) for owned in accepting}
        quiet = [o.name for o in accepting if slowdowns[o.name] <= MAX_QUIET_SLOWDOWN]
        quiet_slots_left = sum(slots[name] for name in quiet) - work.needs.slots
        reserved: set[str] = set()
        covered = 0
        # Quiet workers rank equally, so that the same ones stay reserved.
        for owned in sorted(
            accepting, key=lambda o: max(slowdowns[o.name], MAX_QUIET_SLOWDOWN)
        ):
            added = self.latencies.pair_slowdown(
                kind, work.kind, effective_load(owned), now
            )
            if (
                quiet_slots_left < QUIET_QUOTE_SLOTS
                or slowdowns[owned.name] + added > MAX_QUIET_SLOWDOWN
            ):
                reserved.add(owned.name)
            covered += slots[owned.name]
            if covered >= QUIET_QUOTE_SLOTS:
                break
        return reserved

    def _slots_for_quotes(self, owned: workers.OwnedWorker) -> int:
        """Return the slots that are free or used by quotes, which end soon."""
        taken = sum(
            work.needs.slots
            for work in self.residents.work_on(owned)
            if work.work_class is not messages.WorkClass.QUOTE
        )
        return owned.worker.capacity.slots - taken

    def _active_quote_kinds(self, now: float) -> list[str]:
        kinds = self.last_quote_at.items()
        return [
            kind for kind, quoted_at in kinds if now - quoted_at <= KIND_RETENTION_S
        ]

    def _slowdowns(
        self, kind: str, owned_workers: cabc.Sequence[workers.OwnedWorker], now: float
    ) -> dict[str, float]:
        """Return the slowdown factor of a quote of `kind` on each worker."""
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
        """Return the predicted run time of `work` on a worker, in seconds."""
        return self.latencies.predict(
            work.kind, colocation_on(owned, self.residents), now
        )

    def _batch_costs(
        self,
        candidates: cabc.Sequence[workers.OwnedWorker],
        work: messages.Work,
        now: float,
    ) -> dict[str, float]:
        """Return the cost of placing the batch task on each worker."""
        costs = {
            owned.name: self._own_delay(owned, work, now)
            + LOAD_WEIGHT * choice.load(owned)
            for owned in candidates
        }
        for kind in self._active_quote_kinds(now):
            for owned, delay in self._delay_to_quotes(kind, candidates, work, now):
                costs[owned.name] += delay
        return costs

    def _own_delay(
        self, owned: workers.OwnedWorker, work: messages.Work, now: float
    ) -> float:
        others = self.residents.kinds_on(owned)
        factor = self.latencies.interference_factor(
            work.kind, others, effective_load(owned), now
        )
        return OWN_DELAY_WEIGHT * (factor - 1.0)

    def _delay_to_quotes(
        self,
        kind: str,
        candidates: cabc.Sequence[workers.OwnedWorker],
        work: messages.Work,
        now: float,
    ) -> list[tuple[workers.OwnedWorker, float]]:
        """Return the delay of quotes of `kind`, weighted by the quotes attracted."""
        slowdowns = self._slowdowns(kind, candidates, now)
        fastest = min(slowdowns.values())
        return [
            (
                owned,
                self.latencies.pair_slowdown(
                    kind, work.kind, effective_load(owned), now
                )
                * (fastest / slowdowns[owned.name]) ** PREFERENCE_EXPONENT,
            )
            for owned in candidates
        ]
