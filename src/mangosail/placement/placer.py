"""Placement of work on workers, from reservation to release.

All callers use it in the same way::

    placed = placer.place(work, deadline)
    ...  # run it
    placer.finish(work.task_id, ok=True)
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

#: Slots of each worker reserved for latency-critical work.
QUOTE_ONLY_SLOTS = 2
#: Fraction of the processors of each worker reserved for latency-critical work.
QUOTE_ONLY_CPU_SHARE = 0.125


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A reservation, with the conditions on the worker when it was made."""

    work: messages.Work
    owned: workers.OwnedWorker
    colocation: latency.Colocation
    #: Monotonic time of the reservation.
    placed_at: float


class Placer:
    """Selects workers for work and learns from its outcomes.

    `quotas` returns the quota of a team, `capacities` the capacities of all listed
    workers.
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
            lambda: [worker.name for worker in owned],
            lambda: len(capacities()),
            clock,
            counters,
        )
        self.usage = usages.Usage(owned, self.residents)
        self.fair_share = fairness.FairShare(quotas, self.usage.total, clock)
        #: Reservations that have not been released, by task id.
        self.active: dict[str, Placement] = {}
        #: Run times, by task id, of tasks that their workers reported as ended.
        self.reported_seconds: dict[str, float] = {}
        #: Wall time of the last measurement processed, by worker.
        self.measured_at: dict[str, float] = {}

    def place(
        self,
        work: messages.Work,
        deadline: float | None = None,
        avoid: frozenset[str] = frozenset(),
    ) -> result.Result[Placement, errors.NotPlaced]:
        """Reserve capacity on a worker for `work`, or return why that is impossible.

        `deadline` is the monotonic time until which the caller waits. Workers in
        `avoid` are excluded because they have just failed the same work.
        """
        permanent = self._permanent_refusal(work)
        if permanent is not None:
            return self._refuse(permanent, None)
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
        """Return why `work` has to wait, or None if `place` should be called now.

        Work that can never run does not wait: `place` refuses it permanently.
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
        """Return the workers that can accept `work` now."""
        fitting = [
            owned
            for owned in self.owned.fitting(
                work.needs, is_durable(work), batch_task_id(work), work.kind
            )
            if self._open_to(owned, work)
        ]
        return self.chooser.suitable(fitting, work)

    def finish(self, task_id: str, ok: bool) -> None:
        """Release the reservation and record the outcome of the work.

        Refused, lost and late work is not `ok`.
        """
        self.record_outcome(task_id, ok)
        self.release(task_id)

    def record_outcome(self, task_id: str, ok: bool) -> None:
        """Record the outcome of the work and keep the reservation.

        The run time is the one reported by the worker, otherwise the time since the
        reservation. Work whose answer was lost may still be running.
        """
        placed = self.active.get(task_id)
        if placed is None:
            return
        reported = self.reported_seconds.get(task_id)
        work, worker = placed.work, placed.owned.name
        self.ejection.observe(worker, work.kind, job_key(work), ok)
        seconds = (
            self.clock.monotonic() - placed.placed_at if reported is None else reported
        )
        self._learn(placed, seconds, ok)

    def record_timeout(self, task_id: str) -> None:
        """Record that the work was abandoned before it ended."""
        placed = self.active.get(task_id)
        if placed is not None:
            self._learn(placed, self.clock.monotonic() - placed.placed_at, ok=False)

    def release(self, task_id: str) -> Placement | None:
        """Release the reservation without recording an outcome."""
        self.reported_seconds.pop(task_id, None)
        placed = self.active.pop(task_id, None)
        if placed is None:
            return None
        placed.owned.ledger.release(task_id)
        self.residents.remove(task_id)
        return placed

    def on_snapshot(self, worker: str, snapshot: dispatch_messages.Snapshot) -> None:
        """Process measured sizes, ended tasks and tasks of previous owners."""
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
        """Keep all reservations, since the tasks may still be running."""

    def _permanent_refusal(self, work: messages.Work) -> errors.Reason | None:
        """Return why `work` can never run, or None if it can."""
        if not self.sizes.fits_any(work.needs):
            return errors.Reason.TOO_LARGE
        if work.job and self.ejection.poison_reason(job_key(work)):
            return errors.Reason.POISONED
        return None

    def _with_learned_size(self, work: messages.Work) -> messages.Work:
        needs = self.sizes.needs(size_key(work), work.needs)
        return dataclasses.replace(work, needs=needs)

    def _within_quota(self, work: messages.Work) -> bool:
        # Service class takes precedence: quotes are short and exempt from quotas.
        if work.work_class is messages.WorkClass.QUOTE:
            return True
        return self.fair_share.may_start(work.team, work.needs)

    def _open_to(self, owned: workers.OwnedWorker, work: messages.Work) -> bool:
        if self.ejection.is_ejected(owned.name):
            # A probe may fail, so work that must not run twice is never used as one.
            may_be_probe = work.work_class is not messages.WorkClass.TASK
            idle = not owned.ledger.reserved
            return may_be_probe and idle and self.ejection.may_probe(owned.name)
        if work.work_class is not messages.WorkClass.BATCH:
            return True
        if owned.reserved_for == work.task_id:
            # The worker was cleared for this task. Requiring headroom could starve a
            # task that needs almost the whole worker.
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
        colocation = learned.colocation_on(owned, self.residents)
        predicted = self.latencies.predict(work.kind, colocation, now)
        admitted = self.admission.admits(work.kind, predicted, deadline, now)
        if not admitted:
            # The caller is refused with "deadline" before its deadline has passed. The
            # terms of the prediction distinguish a busy worker from a wrong estimate.
            log.info(
                "deadline cannot be met", task=work.task_id, worker=owned.name,
                left=round(deadline - now, 3), predicted=round(predicted, 3),
                alone=round(self.latencies.baseline(work.kind), 4),
                factor=round(self.latencies.worker_factor(owned.name, now), 2),
                others=dict(colocation.neighbours), load=round(colocation.load, 2),
            )  # fmt: skip
        return admitted

    def _reserve(
        self, work: messages.Work, owned: workers.OwnedWorker
    ) -> result.Result[Placement, errors.NotPlaced]:
        colocation = learned.colocation_on(owned, self.residents)
        if not owned.ledger.reserve(work.task_id, work.needs, is_durable(work)):
            return self._refuse(errors.Reason.NO_CAPACITY, self._retry_after())
        self.residents.add(work)
        placed = Placement(work, owned, colocation, self.clock.monotonic())
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
        # Neighbours start and end while a task runs. The mean of the counts at its
        # start and end is closer to the conditions it saw than either of them.
        neighbours = {
            kind: (before.get(kind, 0) + after[kind]) / 2
            for kind in set(before) | set(after)
        }
        observe = self.latencies.observe if ok else self.latencies.observe_loss
        observe(
            placed.work.kind,
            dataclasses.replace(placed.colocation, neighbours=neighbours),
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
        """Release reservations on workers that are no longer owned."""
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
    """Return the resources that batch work of `needs` must leave free for quotes.

    It is limited so that a task that needs a whole worker can still run.
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
    """Return whether the work may be started only while the lease is valid."""
    return work.work_class is not messages.WorkClass.QUOTE


def batch_task_id(work: messages.Work) -> str:
    """Return the task id of a batch task, or an empty string for other work."""
    return work.task_id if work.work_class is messages.WorkClass.BATCH else ""


def size_key(work: messages.Work) -> str:
    """Return the key of the learned size; sizes are not shared between teams."""
    return f"{work.team}/{work.kind}"


def job_key(work: messages.Work) -> str:
    """Return the key of the job of the work, or an empty string without a job."""
    return f"{work.team}/{work.job}" if work.job else ""


def work_from_report(report: dispatch_messages.Report) -> messages.Work:
    """Return the work that corresponds to a task reported by a worker."""
    return messages.Work(
        report.task_id,
        report.team,
        report.kind,
        report.needs,
        messages.WorkClass.TASK,
    )
