"""Failure domains of a job: its tasks gather in one data centre, on few workers.

A job ends with its last task. With its tasks on all workers, the loss of any data
centre delays nearly every job in flight; with each job in one data centre, it delays
only those there. Each occurrence of a job gets a home data centre, which its tasks
prefer while workers there have idle cores for them::

    homes = JobHomes(workers, counters)
    preference = homes.preference(step_run, service, now)
    if worker.entry.data_centre == preference.data_centre:
        score += preference.bonus(worker)
"""

import collections
import collections.abc as cabc
import dataclasses
import enum
import weakref

import logbook

from mangosail.scheduler import fleet, progress
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("homes")

#: Bonus in cores for a worker of the home, and a further one if it has tasks of the
#: job. Each is more than the cores of a worker, so that idle cores don't outweigh it.
#: All bonuses together are less than `scoring.COLOCATION_WEIGHT`, which keeps
#: best-effort tasks off latency-critical ones, and than `scoring.DATA_LOCALITY_WEIGHT`.
HOME_WEIGHT = 300.0
SAME_JOB_WEIGHT = 300.0
#: Bonus in cores for tasks that reserve their cores on workers of the home with
#: latency-critical tasks. Gathered best-effort tasks leave whole workers idle, which
#: outweigh `scoring.LATENCY_CRITICAL_WEIGHT` by some 18 idle cores. Without the bonus
#: short tasks go there, and more best-effort ones start beside latency-critical ones.
LATENCY_CRITICAL_WEIGHT = 20.0
#: Share of a data centre's idle cores that the widest step of a job may take there.
#: With less idle room, gathered tasks would soon compete for it, while spread ones
#: find what is left on all workers.
MAX_WIDEST_SHARE = 0.25
#: Seconds for which the state of the data centres and their idle cores are kept. Tasks
#: placed meanwhile are subtracted at once.
REFRESH_INTERVAL_S = 0.1


class HomeSource(enum.StrEnum):
    """What a home was chosen by."""

    IDLE_CORES = "idle_cores"
    #: Where most of the occurrence's live tasks run, which an earlier leader placed.
    LIVE_TASKS = "live_tasks"


class DropReason(enum.StrEnum):
    """Why a data centre can't be a home."""

    CLOSED = "closed"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class Home:
    """The home of an occurrence; `data_centre` is empty if it has none."""

    data_centre: str
    #: Number of the refresh at which it was chosen.
    refresh: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepKind:
    """What decides which workers a step may use, and which cores are idle for it."""

    service: str
    label: str
    best_effort: bool

    def includes(self, worker: fleet.Worker) -> bool:
        """Return whether a step of this kind may use the worker."""
        entry = worker.entry
        return entry.service == self.service and (
            not self.label or self.label in entry.labels
        )

    def idle_cores(self, worker: fleet.Worker) -> float:
        """Return the cores that a task of this kind finds idle on the worker.

        Beside latency-critical tasks best-effort ones get hardly any. Other tasks need
        cores that are not reserved, and slow down best-effort ones on those in use.
        """
        if not self.best_effort:
            return max(min(worker.idle_cpus, worker.free.cpus), 0.0)
        return 0.0 if worker.latency_critical_count else max(worker.idle_cpus, 0.0)


class Preference:
    """Bonus of each worker of the home for the tasks of one step."""

    __slots__ = (
        "best_effort",
        "counts",
        "data_centre",
        "max_preferred",
        "needed_cpus",
    )

    def __init__(self, step_run: progress.StepRun, data_centre: str) -> None:
        step = step_run.step
        self.data_centre = data_centre
        self.needed_cpus = step.need.cpus
        self.best_effort = step.best_effort
        self.max_preferred = max_preferred_tasks(step.count)
        #: Number of the step's tasks by worker that has tasks of the occurrence.
        self.counts: dict[str, int] = {}
        for other in finite_steps(step_run):
            for task in other.tasks:
                if task.worker:
                    count = self.counts.get(task.worker, 0)
                    self.counts[task.worker] = count + (other is step_run)

    def bonus(self, worker: fleet.Worker) -> float:
        """Return the bonus in cores for a task of the step on a worker of the home.

        There is none where the task would share its cores with others: there it may
        run slower than elsewhere. Neither is there one for best-effort tasks beside
        latency-critical ones, where headroom decides.
        """
        if worker.idle_cpus < self.needed_cpus or (
            self.best_effort and worker.latency_critical_count
        ):
            return 0.0
        bonus = HOME_WEIGHT
        if worker.latency_critical_count:
            bonus += LATENCY_CRITICAL_WEIGHT
        if self.counts.get(worker.name, self.max_preferred) < self.max_preferred:
            bonus += SAME_JOB_WEIGHT
        return bonus

    def record(self, worker: fleet.Worker) -> None:
        """Record that a task of the step was placed on the worker."""
        self.counts[worker.name] = self.counts.get(worker.name, 0) + 1

    def is_home(self, workers: cabc.Iterable[fleet.Worker]) -> bool:
        """Return whether all of the workers are in the home."""
        return all(worker.entry.data_centre == self.data_centre for worker in workers)


class DataCentre:
    """How many workers of a data centre serve a pool, and how many of them can't."""

    __slots__ = ("closed", "draining", "unreachable", "workers")

    def __init__(self, closed: bool) -> None:
        self.closed = closed
        self.workers = 0
        self.draining = 0
        self.unreachable = 0

    def add(self, worker: fleet.Worker) -> None:
        """Count a worker. One that was not polled yet is not unreachable."""
        self.workers += 1
        self.draining += worker.entry.draining
        self.unreachable += worker.unlisted or (
            worker.contacted and not worker.reachable
        )

    @property
    def drop_reason(self) -> DropReason | None:
        """Return why it can't be a home; None if it can."""
        if self.closed:
            return DropReason.CLOSED
        if 2 * self.draining > self.workers:
            return DropReason.DRAINING
        if 2 * self.unreachable > self.workers:
            return DropReason.UNREACHABLE
        return None


class JobHomes:
    """Chooses the home of each occurrence of a job, and drops it."""

    def __init__(self, workers: fleet.Fleet, counters: telemetry.Counters) -> None:
        self.workers = workers
        self.counters = counters
        #: Homes by occurrence. They go with the job.
        self.homes: weakref.WeakKeyDictionary[progress.JobProgress, dict[int, Home]] = (
            weakref.WeakKeyDictionary()
        )
        #: Elapsed time of the next refresh, and number of the latest.
        self.refresh_at = 0.0
        self.refreshes = 0
        #: Workers that were usable at the latest refresh.
        self.usable: list[fleet.Worker] = []
        #: Data centres by service and name.
        self.data_centres: dict[str, dict[str, DataCentre]] = {}
        #: Idle cores by data centre, for the kinds of steps asked for since then.
        self.idle: dict[StepKind, dict[str, float]] = {}

    def preference(
        self, step_run: progress.StepRun, service: str, now: float
    ) -> Preference | None:
        """Return the bonuses for a step; None if it has no home."""
        if step_run.step.continuous:
            return None
        if now >= self.refresh_at:
            self._refresh(now)
        if len(self.data_centres.get(service, ())) < 2:
            return None
        data_centre = self._home(step_run, service)
        return Preference(step_run, data_centre) if data_centre else None

    def record(self, task: progress.Task, worker: fleet.Worker) -> None:
        """Subtract the cores of a task that was placed from the idle ones."""
        cpus = fleet.expected_cpus(task.step)
        for kind, idle in self.idle.items():
            if kind.includes(worker) and not (
                kind.best_effort and worker.latency_critical_count
            ):
                name = worker.entry.data_centre
                idle[name] = idle.get(name, 0.0) - cpus

    def _refresh(self, now: float) -> None:
        """Count the workers that can be used, by service and data centre."""
        self.refresh_at = now + REFRESH_INTERVAL_S
        self.refreshes += 1
        self.idle = {}
        self.usable = []
        self.data_centres = {}
        closed = self.workers.closed_data_centres()
        for worker in self.workers:
            name = worker.entry.data_centre
            of_service = self.data_centres.setdefault(worker.entry.service, {})
            if name not in of_service:
                of_service[name] = DataCentre(name in closed)
            of_service[name].add(worker)
            if worker.usable(now):
                self.usable.append(worker)

    def _home(self, step_run: progress.StepRun, service: str) -> str:
        """Return the home of the step's occurrence, which may have to be chosen."""
        homes = self.homes.setdefault(step_run.job, {})
        home = homes.get(step_run.occurrence)
        if home is not None and home.data_centre:
            reason = self._drop_reason(service, home.data_centre)
            if reason is None:
                return home.data_centre
            self.counters.count(f"homes.dropped.{reason.value}")
            log.info(
                "home data centre dropped", job=step_run.job.job.job_id,
                occurrence=step_run.occurrence, data_centre=home.data_centre,
                reason=reason.value,
            )  # fmt: skip
        elif home is not None and home.refresh == self.refreshes:
            return ""
        chosen = self._choose(step_run, service, first=home is None)
        homes[step_run.occurrence] = Home(chosen, self.refreshes)
        return chosen

    def _drop_reason(self, service: str, name: str) -> DropReason | None:
        data_centre = self.data_centres[service].get(name)
        if data_centre is None:
            return DropReason.UNREACHABLE
        return data_centre.drop_reason

    def _choose(self, step_run: progress.StepRun, service: str, first: bool) -> str:
        """Choose a home and log it; an empty name if no data centre has enough room.

        The absence of one is logged only if it is the `first` choice for an occurrence.
        """
        step = step_run.step
        idle = self._idle_cores(StepKind(service, step.label, step.best_effort))
        widest = widest_step(step_run)
        source = HomeSource.LIVE_TASKS
        chosen = self._data_centre_of_most(step_run)
        if not chosen or self._drop_reason(service, chosen) is not None:
            source = HomeSource.IDLE_CORES
            chosen = self._choose_by_idle_cores(step_run, service, idle)
        cores = {name: round(of_one) for name, of_one in sorted(idle.items())}
        if chosen:
            self.counters.count(f"homes.chosen.{source.value}")
            log.info(
                "home data centre chosen", job=step_run.job.job.job_id,
                occurrence=step_run.occurrence, data_centre=chosen,
                reason=source.value, widest=round(widest), idle=cores,
            )  # fmt: skip
        elif first:
            self.counters.count("homes.none")
            log.info(
                "no home data centre", job=step_run.job.job.job_id,
                occurrence=step_run.occurrence, widest=round(widest), idle=cores,
            )  # fmt: skip
        return chosen

    def _choose_by_idle_cores(
        self, step_run: progress.StepRun, service: str, idle: dict[str, float]
    ) -> str:
        """Return the data centre with the job's data, or else with most idle cores.

        Only those count that have room for the widest step; empty if none has.
        """
        widest = widest_step(step_run)
        suitable = [
            name
            for name, cores in idle.items()
            if widest <= MAX_WIDEST_SHARE * cores
            and self._drop_reason(service, name) is None
        ]
        with_data = self._data_centre_with_data(step_run)
        return max(
            suitable, key=lambda name: (name == with_data, idle[name]), default=""
        )

    def _idle_cores(self, kind: StepKind) -> dict[str, float]:
        """Return the idle cores of usable workers by data centre."""
        idle = self.idle.get(kind)
        if idle is None:
            idle = self.idle[kind] = {}
            for worker in self.usable:
                if kind.includes(worker):
                    name = worker.entry.data_centre
                    idle[name] = idle.get(name, 0.0) + kind.idle_cores(worker)
        return idle

    def _data_centre_of_most(self, step_run: progress.StepRun) -> str:
        """Return where more than half of the occurrence's live tasks run, if any."""
        counts: collections.Counter[str] = collections.Counter()
        for other in finite_steps(step_run):
            for task in other.tasks:
                worker = self.workers.get(task.worker) if task.worker else None
                if worker is not None:
                    counts[worker.entry.data_centre] += 1
        for name, count in counts.most_common(1):
            if 2 * count > counts.total():
                return name
        return ""

    def _data_centre_with_data(self, step_run: progress.StepRun) -> str:
        """Return the data centre of the data that the job reads, if any.

        Its tasks are placed near the data first. With a home elsewhere, those that
        find no room there would depend on a second data centre.
        """
        racks = {step.data_rack for step in step_run.job.job.steps if step.data_rack}
        if not racks:
            return ""
        return next(
            (
                worker.entry.data_centre
                for worker in self.usable
                if not racks.isdisjoint(worker.entry.labels)
            ),
            "",
        )


def finite_steps(step_run: progress.StepRun) -> list[progress.StepRun]:
    """Return the steps of the same occurrence whose tasks end on their own."""
    job, occurrence = step_run.job, step_run.occurrence
    return [
        job.steps[occurrence, number]
        for number, step in enumerate(job.job.steps)
        if not step.continuous
    ]


def widest_step(step_run: progress.StepRun) -> float:
    """Return the most cores that a step of the same kind in the job takes."""
    return max(
        step.count * step.need.cpus
        for step in step_run.job.job.steps
        if not step.continuous and step.best_effort == step_run.step.best_effort
    )


def max_preferred_tasks(count: int) -> int:
    """Return from how many tasks of a step on a worker it is no longer preferred.

    A worker that fails what it starts would otherwise use up an attempt of all tasks
    at once.
    """
    return 2 if count == 2 else (count + 1) // 2
