"""The one way from a piece of work to a reserved place on a worker, and back.

What callers do with it is always the same::

    placed = placer.place(work, deadline)
    ...  # run it
    placer.ended(work.task_id, ok=True)
"""

import collections
import collections.abc as cabc
import dataclasses
import random
import typing as t

import logbook
import result

from mangosail import clock as clocks
from mangosail import resources
from mangosail.dispatch import messages as dispatch_messages
from mangosail.placement import (
    admission,
    choice,
    ejection,
    errors,
    fairness,
    latency,
    learned,
    messages,
    residents,
    sizes,
    workers,
)
from mangosail.placement import usage as usages
from mangosail.settings import schema
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("placement")

#: Slots of each worker that only latency-critical work may take.
QUOTE_ONLY_SLOTS = 2
#: Share of each worker's processors that only latency-critical work may take.
QUOTE_ONLY_CPU_SHARE = 0.125


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A reservation, with what shared the worker when it was made."""

    work: messages.Work
    owned: workers.OwnedWorker
    colocation: latency.Colocation
    #: Monotonic time at which it was made.
    placed_at: float


class Placer:
    """Decides where work runs and learns from how it went.

    `quotas` returns a team's quota, `capacities` what each listed worker carries.
    """

    def __init__(
        self,
        owned: workers.Workers,
        policy: choice.Policy,
        seed: int,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        quotas: cabc.Callable[[str], schema.Quota | None],
        capacities: cabc.Callable[[], list[resources.Resources]],
    ) -> None:
        self.owned = owned
        self.clock = clock
        self.counters = counters
        self.latencies = latency.Latencies()
        self.admission = admission.Admission(self.latencies)
        self.residents = residents.Residents(owned)
        self.chooser = self._make_chooser(policy, seed or random.getrandbits(32))
        self.sizes = sizes.Sizes(capacities, counters)
        self.ejection = ejection.Ejection(
            lambda: [worker.name for worker in owned], clock, counters
        )
        self.usage = usages.Usage(owned, self.residents)
        self.fair_share = fairness.FairShare(quotas, self.usage.total, clock)
        #: Reservations that have not ended, by task id.
        self.active: dict[str, Placement] = {}
        #: Run times of tasks that their workers say have ended.
        self.reported_seconds: dict[str, float] = {}
        #: Wall time of the last measurement taken in from each worker.
        self.measured_at: dict[str, float] = {}

    def place(
        self,
        work: messages.Work,
        deadline: float | None = None,
        avoid: frozenset[str] = frozenset(),
    ) -> result.Result[Placement, errors.NotPlaced]:
        """Reserve a place for `work`, or tell why there is none.

        `deadline` is the monotonic time until which a caller waits; the workers
        to `avoid` are those that have just failed the same work.
        """
        final = self._permanent_refusal(work)
        if final is not None:
            return self._refuse(final, None)
        work = self._with_learned_size(work)
        if not self._within_quota(work):
            return self._refuse(errors.Reason.QUOTA, self._retry_after(work.team))
        candidates = [o for o in self.candidates(work) if o.name not in avoid]
        if not candidates:
            return self._refuse(errors.Reason.NO_CAPACITY, self._retry_after())
        owned = self._choose(candidates, work)
        if deadline is not None and not self._meets_deadline(work, owned, deadline):
            return self._refuse(errors.Reason.DEADLINE, self._retry_after())
        return self._reserve(work, owned)

    def wait_reason(self, work: messages.Work) -> errors.NotPlaced | None:
        """Return why `work` has to wait, None if `place` would decide on it now.

        Work that can never run doesn't wait: `place` refuses it for good.
        """
        if self._permanent_refusal(work) is not None:
            return None
        work = self._with_learned_size(work)
        if not self._within_quota(work):
            return errors.NotPlaced(errors.Reason.QUOTA, self._retry_after(work.team))
        if self.candidates(work):
            return None
        self.fair_share.mark_waiting(work.team)
        return errors.NotPlaced(errors.Reason.NO_CAPACITY, self._retry_after())

    def candidates(self, work: messages.Work) -> list[workers.OwnedWorker]:
        """Return the workers that can take `work` now."""
        fitting = [
            owned
            for owned in self.owned.fitting(
                work.needs, is_durable(work), batch_task_id(work), work.kind
            )
            if self._open_to(owned, work)
        ]
        return self.chooser.suitable(fitting, work)

    def finish(self, task_id: str, ok: bool) -> None:
        """Give the place back, and learn from how the work went.

        The run time that the worker told counts, else the time since the place
        was reserved. Refused, lost and late work is not `ok`.
        """
        self.record_outcome(task_id, ok)
        self.release(task_id)

    def record_outcome(self, task_id: str, ok: bool) -> None:
        """Learn from how the work went, and keep the place reserved.

        Work whose answer was lost may run still.
        """
        placed = self.active.get(task_id)
        if placed is None:
            return
        told = self.reported_seconds.get(task_id)
        work, worker = placed.work, placed.owned.name
        self.ejection.observe(worker, work.kind, job_key(work), ok)
        seconds = self.clock.monotonic() - placed.placed_at if told is None else told
        self._learn(placed, seconds, ok)

    def record_timeout(self, task_id: str) -> None:
        """Learn that the work has not ended yet, and was given up."""
        placed = self.active.get(task_id)
        if placed is not None:
            self._learn(placed, self.clock.monotonic() - placed.placed_at, ok=False)

    def release(self, task_id: str) -> Placement | None:
        """Give the place back without learning anything."""
        self.reported_seconds.pop(task_id, None)
        placed = self.active.pop(task_id, None)
        if placed is None:
            return None
        placed.owned.ledger.release(task_id)
        self.residents.remove(task_id)
        return placed

    def on_snapshot(self, worker: str, snapshot: dispatch_messages.Snapshot) -> None:
        """Take in measured sizes, and tasks that an earlier owner started."""
        for report in snapshot.tasks:
            if report.state is not dispatch_messages.TaskState.RUNNING:
                if report.task_id in self.active:
                    self.reported_seconds[report.task_id] = report.seconds
                continue
            if report.task_id not in self.residents.by_task_id:
                self.residents.add(work_from_report(report))
        usage = snapshot.usage
        if usage.measured_at <= self.measured_at.get(worker, 0.0):
            return
        self.measured_at[worker] = usage.measured_at
        for task_id, measured in usage.tasks.items():
            work = self.residents.by_task_id.get(task_id)
            if work is not None:
                self.sizes.learn(size_key(work), measured)

    def on_unreachable(self, worker: str) -> None:
        """Keep all places: what was started there may run still."""

    def _permanent_refusal(self, work: messages.Work) -> errors.Reason | None:
        """Return why `work` can never run, or None."""
        if not self.sizes.fits_any(work.needs):
            return errors.Reason.TOO_LARGE
        if work.job and self.ejection.poison_reason(job_key(work)):
            return errors.Reason.POISONED
        return None

    def _with_learned_size(self, work: messages.Work) -> messages.Work:
        needs = self.sizes.needs(size_key(work), work.needs)
        return dataclasses.replace(work, needs=needs)

    def _within_quota(self, work: messages.Work) -> bool:
        # Class goes first: a quote is short and is not held back for batch.
        if work.work_class is messages.WorkClass.QUOTE:
            return True
        return self.fair_share.may_start(work.team, work.needs)

    def _open_to(self, owned: workers.OwnedWorker, work: messages.Work) -> bool:
        if self.ejection.is_ejected(owned.name):
            # A probe may fail, so it is never work that must not run twice.
            probes = work.work_class is not messages.WorkClass.TASK
            idle = not owned.ledger.reserved
            return probes and idle and self.ejection.may_probe(owned.name)
        if work.work_class is not messages.WorkClass.BATCH:
            return True
        if owned.reserved_for == work.task_id:
            # The worker was cleared for this task; headroom could keep a task
            # that needs nearly all of it waiting for ever.
            return True
        needs = work.needs + headroom(owned, work.needs)
        return needs.fits_in(owned.ledger.free())

    def _choose(
        self, candidates: list[workers.OwnedWorker], work: messages.Work
    ) -> workers.OwnedWorker:
        for owned in candidates:
            if self.ejection.is_ejected(owned.name):
                return owned
        return self.chooser.choose(candidates, work)

    def _meets_deadline(
        self, work: messages.Work, owned: workers.OwnedWorker, deadline: float
    ) -> bool:
        now = self.clock.monotonic()
        around = learned.colocation_on(owned, self.residents)
        predicted = self.latencies.predict(work.kind, around, now)
        admitted = self.admission.admits(work.kind, predicted, deadline, now)
        if not admitted:
            # Callers hear "deadline" at once, although their time is not over. What
            # the prediction is made of tells a full worker from a wrong estimate.
            log.info(
                "too late by prediction", task=work.task_id, worker=owned.name,
                left=round(deadline - now, 3), predicted=round(predicted, 3),
                alone=round(self.latencies.baseline(work.kind), 4),
                factor=round(self.latencies.worker_factor(owned.name, now), 2),
                others=dict(around.neighbours), load=round(around.load, 2),
            )  # fmt: skip
        return admitted

    def _reserve(
        self, work: messages.Work, owned: workers.OwnedWorker
    ) -> result.Result[Placement, errors.NotPlaced]:
        around = learned.colocation_on(owned, self.residents)
        if not owned.ledger.reserve(work.task_id, work.needs, is_durable(work)):
            return self._refuse(errors.Reason.NO_CAPACITY, self._retry_after())
        self.residents.add(work)
        placed = Placement(work, owned, around, self.clock.monotonic())
        self.active[work.task_id] = placed
        return result.Ok(placed)

    def _learn(self, placed: Placement, seconds: float, ok: bool) -> None:
        now = self.clock.monotonic()
        before = placed.colocation.neighbours
        after = collections.Counter(
            work.kind
            for work in self.residents.work_on(placed.owned)
            if work.task_id != placed.work.task_id
        )
        # Neighbours come and go while a task runs; the mean of both ends is
        # nearer to what it felt than either.
        others = {
            kind: (before.get(kind, 0) + after[kind]) / 2
            for kind in set(before) | set(after)
        }
        teach = self.latencies.observe if ok else self.latencies.observe_loss
        teach(
            placed.work.kind,
            dataclasses.replace(placed.colocation, neighbours=others),
            seconds,
            now,
        )

    def _retry_after(self, team: str | None = None) -> float:
        self._release_lost()
        running = [
            (placed.work, placed.placed_at)
            for placed in self.active.values()
            if team is None or placed.work.team == team
        ]
        return self.admission.retry_after(running, self.clock.monotonic())

    def _release_lost(self) -> None:
        """Let go of places on workers that were lost with what ran there."""
        for task_id, placed in list(self.active.items()):
            if self.owned.get(placed.owned.name) is not placed.owned:
                self.release(task_id)

    def _refuse(
        self, reason: errors.Reason, retry_after: float | None
    ) -> result.Result[t.Any, errors.NotPlaced]:
        self.counters.count(f"placement.refused.{reason.value}")
        return result.Err(errors.NotPlaced(reason, retry_after))

    def _make_chooser(self, policy: choice.Policy, seed: int) -> choice.Chooser:
        if policy is choice.Policy.LEAST_LOADED:
            return choice.LeastLoaded(seed)
        if policy is choice.Policy.TWO_CHOICES:
            return choice.TwoChoices(seed)
        if policy is choice.Policy.RANDOM:
            return choice.Random(seed)
        return learned.Learned(self.latencies, self.residents, self.clock, seed)


def headroom(
    owned: workers.OwnedWorker, needs: resources.Resources
) -> resources.Resources:
    """Return what batch of `needs` has to leave free on a worker for quotes.

    It is never so much that a task which needs a whole worker could not run.
    """
    capacity = owned.worker.capacity
    return resources.Resources(
        cpus=max(
            min(capacity.cpus * QUOTE_ONLY_CPU_SHARE, capacity.cpus - needs.cpus), 0.0
        ),
        slots=max(min(QUOTE_ONLY_SLOTS, capacity.slots - needs.slots), 0),
        connections=QUOTE_ONLY_SLOTS,
    )


def is_durable(work: messages.Work) -> bool:
    """Tell whether the work may only be started while the lease holds."""
    return work.work_class is not messages.WorkClass.QUOTE


def batch_task_id(work: messages.Work) -> str:
    """Return the id of a batch task, empty for other work."""
    return work.task_id if work.work_class is messages.WorkClass.BATCH else ""


def size_key(work: messages.Work) -> str:
    """Return the key of learned sizes: one team's kinds don't size another's."""
    return f"{work.team}/{work.kind}"


def job_key(work: messages.Work) -> str:
    """Return the key of the work's job, empty if it is of none."""
    return f"{work.team}/{work.job}" if work.job else ""


def work_from_report(report: dispatch_messages.Report) -> messages.Work:
    """Return a task that a worker tells of as placement sees it."""
    return messages.Work(
        report.task_id,
        report.team,
        report.kind,
        report.needs,
        messages.WorkClass.TASK,
    )
