"""The one way from a piece of work to a reserved place on a worker, and back.

What callers do with it is always the same::

    placed = placer.place(work, deadline)
    ...  # run it
    placer.ended(placed, ok=True)
"""

import collections
import dataclasses
import random
import typing as t

import result

from mangosail import clock as clocks
from mangosail import resources
from mangosail.dispatch import messages as dispatch_messages
from mangosail.placement import (
    choice,
    errors,
    latency,
    learned,
    messages,
    residents,
    workers,
)
from mangosail.telemetry import counters as telemetry

#: Slots of each worker that only latency-critical work may take.
QUOTE_SLOTS = 2
#: Share of each worker's processors that only latency-critical work may take.
QUOTE_CPU_SHARE = 0.125


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """A reservation, with what shared the worker when it was made."""

    work: messages.Work
    owned: workers.OwnedWorker
    others: collections.Counter[str]
    load: float
    #: Monotonic time at which it was made.
    placed_at: float


class Placer:
    """Decides where work runs and learns from how it went."""

    def __init__(
        self,
        owned: workers.Workers,
        policy: choice.Policy,
        seed: int,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.owned = owned
        self.clock = clock
        self.counters = counters
        self.latencies = latency.Latencies()
        self.residents = residents.Residents(owned)
        self.chooser = self._chooser(policy, seed or random.getrandbits(32))
        #: Reservations that have not ended, by task id.
        self.open: dict[str, Placed] = {}

    def candidates(self, work: messages.Work) -> list[workers.OwnedWorker]:
        """Return the workers that can take `work` now."""
        fitting = self.owned.fitting(work.needs)
        if work.work_class is not messages.WorkClass.BATCH:
            return fitting
        return [
            owned
            for owned in fitting
            if (work.needs + headroom(owned)).fits_in(owned.ledger.free())
        ]

    def place(self, work: messages.Work) -> result.Result[Placed, errors.NotPlaced]:
        """Reserve a place for `work`, or tell why there is none."""
        candidates = self.candidates(work)
        if not candidates:
            return self._refuse(errors.Reason.NO_CAPACITY, 1.0)
        owned = self.chooser.choose(candidates, work)
        others = self.residents.kinds(owned)
        load = learned.pressure(owned)
        if not owned.ledger.reserve(work.task_id, work.needs):
            return self._refuse(errors.Reason.NO_CAPACITY, 1.0)
        self.residents.enter(work)
        placed = Placed(work, owned, others, load, self.clock.monotonic())
        self.open[work.task_id] = placed
        return result.Ok(placed)

    def ended(self, task_id: str, ok: bool, seconds: float | None = None) -> None:
        """Give the place back, and learn from how the work went.

        `seconds` is the run time that the worker told, else the time since the
        place was reserved counts.
        """
        placed = self.open.pop(task_id, None)
        if placed is None:
            return
        placed.owned.ledger.release(task_id)
        self.residents.leave(task_id)
        if ok:
            self._learn(placed, seconds)

    def on_snapshot(self, worker: str, snapshot: dispatch_messages.Snapshot) -> None:
        """Take in the kinds of tasks that were started by an earlier owner."""
        for report in snapshot.tasks:
            if report.state is not dispatch_messages.TaskState.RUNNING:
                continue
            if report.task_id not in self.residents.works:
                work = messages.Work(
                    report.task_id,
                    report.team,
                    report.kind,
                    report.needs,
                    messages.WorkClass.TASK,
                )
                self.residents.enter(work)

    def _learn(self, placed: Placed, seconds: float | None) -> None:
        now = self.clock.monotonic()
        work, owned = placed.work, placed.owned
        after = self.residents.kinds(owned)
        kinds = set(placed.others) | set(after)
        # Neighbours come and go while a task runs; the mean of both ends is
        # nearer to what it felt than either.
        others = {kind: (placed.others[kind] + after[kind]) / 2 for kind in kinds}
        if seconds is None:
            seconds = now - placed.placed_at
        self.latencies.observe(work.kind, others, placed.load, owned.name, seconds, now)

    def _refuse(
        self, reason: errors.Reason, retry_after: float | None
    ) -> result.Result[t.Any, errors.NotPlaced]:
        self.counters.count(f"placement.refused.{reason.value}")
        return result.Err(errors.NotPlaced(reason, retry_after))

    def _chooser(self, policy: choice.Policy, seed: int) -> choice.Chooser:
        if policy is choice.Policy.LEAST_LOADED:
            return choice.LeastLoaded(seed)
        if policy is choice.Policy.TWO_CHOICES:
            return choice.TwoChoices(seed)
        if policy is choice.Policy.RANDOM:
            return choice.Random(seed)
        return learned.Learned(self.latencies, self.residents, self.clock, seed)


def headroom(owned: workers.OwnedWorker) -> resources.Resources:
    """Return what batch has to leave free on a worker for quotes."""
    capacity = owned.worker.capacity
    urgent = QUOTE_SLOTS if capacity.slots > QUOTE_SLOTS else 0
    return resources.Resources(
        cpus=capacity.cpus * QUOTE_CPU_SHARE, slots=urgent, connections=urgent
    )
