"""The workers as their leader knows them: what they hold, when they were heard."""

import collections.abc as cabc
import enum
import itertools

from mangosail import resources
from mangosail.scheduler import messages, progress

#: Share by which a worker's clock may be slower than ours, and a little more.
MAX_CLOCK_DRIFT = 0.025
#: Milliseconds after a lease's end within which its runs are surely killed.
KILL_MARGIN_MS = 250.0
#: Seconds around a suspect's start in which nothing else begins on its worker.
ISOLATED_START_S = 0.3
#: Share of its processors that a latency-critical task uses in the mean, for the room
#: that it leaves to best-effort tasks.
LATENCY_CRITICAL_USE = 0.5


#: Returns the data centres whose workers may be sent nothing more.
ClosedDataCentres = cabc.Callable[[], frozenset[str]]


class IncarnationOrder(enum.Enum):
    """Which life of a worker an answer comes from, seen from the one that is known."""

    EARLIER = "earlier"
    CURRENT = "present"
    LATER = "later"


def same_incarnation(first: int | None, second: int | None) -> bool:
    """Tell whether two births may be the same; None is one that was not told."""
    return first is None or second is None or first == second


class Worker:
    """One life of a worker, and what runs there as far as the leader knows."""

    def __init__(
        self,
        entry: messages.WorkerEntry,
        change_numbers: cabc.Iterator[int],
        closed_data_centres: ClosedDataCentres,
    ) -> None:
        self.entry = entry
        self.change_numbers = change_numbers
        self.closed_data_centres = closed_data_centres
        #: Number of its latest change that may have made room; of all workers' changes
        #: the later one has the higher number.
        self.last_change = next(self.change_numbers)
        self.name = entry.name
        #: When this life began, as the worker tells it; None if it doesn't say.
        self.incarnation = entry.incarnation
        #: When earlier lives under this name began.
        self.earlier_incarnations: frozenset[int] = frozenset()
        #: Elapsed time at which this life was first heard of.
        self.discovered_at = 0.0
        #: The newest entry that tells of another life, earlier or later.
        self.conflicting_entry: messages.WorkerEntry | None = None
        #: The latest suspect that was placed there, beside which nothing may begin.
        self.isolated_suspect: progress.Task | None = None
        #: Elapsed time until which orders to an earlier life may be carried out here,
        #: and the longest lease in seconds that they can bring.
        self.stray_orders_until = 0.0
        self.max_stray_lease = 0.0
        #: Runs that may exist there, by the name of their task.
        self.tasks: dict[str, progress.Task] = {}
        self.free = entry.capacity
        #: Cores that best-effort tasks may use, as far as is known.
        self.idle_cpus = entry.capacity.cpus
        #: Continuous tasks that are not best-effort, and best-effort ones, by count.
        self.latency_critical_count = 0
        self.best_effort_count = 0
        #: The worker's clock in ms when it was last heard, and our elapsed time.
        self.clock = 0.0
        self.last_contact_at = 0.0
        #: Latest end of its lease that was ever sent, in ms on its clock.
        self.lease_deadline = 0.0
        #: Elapsed time by which all that an earlier leader started has ended.
        self.inherited_runs_until = 0.0
        #: True once it has answered this leader's token.
        self.contacted = False
        self.reachable = False
        #: Elapsed time until which nothing is placed there.
        self.avoid_until = 0.0
        #: Number of the latest end taken in, and of the latest that is durable.
        self.last_end_seen = 0
        self.last_end_acknowledged = 0
        #: True once the platform no longer lists it.
        self.unlisted = False
        self.removed = False
        #: Logarithm of its speed against the others', and when that was last noted.
        self.log_speed = 0.0
        self.speed_updated_at = 0.0
        #: Best-effort images at the last look, and when speeds were last changed.
        self.best_effort_images: frozenset[str] = frozenset()
        self.throttled_at = 0.0

    @property
    def entry_is_current(self) -> bool:
        """Tell whether the entry is this life's: another may have other capacity."""
        return same_incarnation(self.entry.incarnation, self.incarnation)

    def classify_report(
        self, report: messages.WorkerReport, sent_at: float
    ) -> IncarnationOrder:
        """Tell which life has answered a look that was sent at `sent_at`.

        Births are not in order, as clocks of day jump. But an answer to what was sent
        after this life was heard of can't come from an earlier one; and no life's own
        clock runs back.
        """
        if report.incarnation in self.earlier_incarnations:
            return IncarnationOrder.EARLIER
        if same_incarnation(report.incarnation, self.incarnation):
            unborn = report.incarnation is None or self.incarnation is None
            return (
                IncarnationOrder.LATER
                if unborn and self.runs_back(report, sent_at)
                else IncarnationOrder.CURRENT
            )
        return (
            IncarnationOrder.LATER
            if sent_at >= self.discovered_at
            else IncarnationOrder.EARLIER
        )

    def runs_back(self, report: messages.WorkerReport, sent_at: float) -> bool:
        """Tell whether the worker's clock shows less than before the look was sent."""
        return sent_at >= self.last_contact_at and report.clock < self.clock

    def update_entry(self, entry: messages.WorkerEntry) -> None:
        """Take in what the worker says of itself now; its capacity may have changed."""
        before, self.entry = self.entry, entry
        if entry.capacity == before.capacity:
            return
        self.free = self.free + entry.capacity - before.capacity
        self.idle_cpus += entry.capacity.cpus - before.capacity.cpus
        self.last_change = next(self.change_numbers)

    @property
    def overcommitted(self) -> bool:
        """Tell whether more is set aside there than the worker has."""
        return not resources.Resources().fits_in(self.free)

    def record_contact(self, clock: int, now: float) -> None:
        """Take in the worker's clock as it stood at the elapsed time `now`."""
        self.clock = float(clock)
        self.last_contact_at = now
        self.reachable = True
        self.last_change = next(self.change_numbers)

    def clock_at(self, now: float) -> float:
        """Return what the worker's clock shows at elapsed time `now`, in ms."""
        return self.clock + (now - self.last_contact_at) * 1000

    def lease_expired(self, now: float) -> bool:
        """Tell whether its lease has surely run out, though its clock be slow."""
        if not self.last_contact_at:
            return now > self.inherited_runs_until
        passed = (now - self.last_contact_at) * 1000 * (1 - MAX_CLOCK_DRIFT)
        over = self.clock + passed > self.lease_deadline + KILL_MARGIN_MS
        if (
            self.stray_orders_until
            and now < self.stray_orders_until + self.max_stray_lease
        ):
            return False
        return over and (self.contacted or now > self.inherited_runs_until)

    def usable(self, now: float) -> bool:
        """Tell whether new tasks may be placed there."""
        return (
            self.contacted
            and self.reachable
            and not self.removed
            and not self.unlisted
            and not self.entry.draining
            and (self.entry.incarnation == self.incarnation or self.entry_is_current)
            and (
                self.isolated_suspect is None
                or not just_begun(self.isolated_suspect, now)
            )
            and self.entry.data_centre not in self.closed_data_centres()
            and now >= self.avoid_until
        )

    def no_recent_start(self, now: float) -> bool:
        """Tell whether nothing has just begun there."""
        return not any(just_begun(task, now) for task in self.tasks.values())

    @property
    def busy(self) -> bool:
        """Tell whether something may run there, or an end there is not durable yet."""
        return bool(self.tasks) or self.last_end_seen > self.last_end_acknowledged

    @property
    def runs_finite_tasks(self) -> bool:
        """Tell whether tasks that end by themselves may run there."""
        return len(self.tasks) > self.latency_critical_count

    def reserve(self, task: progress.Task) -> None:
        """Set the room of a task aside until `release`."""
        if task.name in self.tasks:
            return
        self.tasks[task.name] = task
        step = task.step
        self.free -= reserved_resources(step)
        self.idle_cpus -= expected_cpus(step)
        self.latency_critical_count += step.continuous and not step.best_effort
        self.best_effort_count += step.best_effort

    def release(self, task: progress.Task) -> None:
        """Give the room of a task back."""
        if self.tasks.pop(task.name, None) is None:
            return
        if task is self.isolated_suspect:
            self.isolated_suspect = None
        step = task.step
        self.free += reserved_resources(step)
        self.idle_cpus += expected_cpus(step)
        self.latency_critical_count -= step.continuous and not step.best_effort
        self.best_effort_count -= step.best_effort
        self.last_change = next(self.change_numbers)

    def count_of_step(self, step_run: progress.StepRun) -> int:
        """Return how many tasks of a step may run there."""
        return sum(task.step_run is step_run for task in self.tasks.values())


def just_begun(task: progress.Task, now: float) -> bool:
    """Tell whether a task's start is on its way, or was sent a moment ago."""
    if task.phase is progress.Phase.STARTING:
        return True
    return (
        task.start_sent_at is not None and now <= task.start_sent_at + ISOLATED_START_S
    )


def reserved_resources(step: messages.Step) -> resources.Resources:
    """Return what a task of the step takes of a worker's capacity."""
    if not step.best_effort:
        return step.need
    need = step.need
    return resources.Resources(memory_gb=need.memory_gb, accelerators=need.accelerators)


def expected_cpus(step: messages.Step) -> float:
    """Return the cores that a task of the step uses, as a guess."""
    if step.continuous and not step.best_effort:
        return step.need.cpus * LATENCY_CRITICAL_USE
    return step.need.cpus


class Fleet:
    """All workers by name."""

    def __init__(self, closed_data_centres: ClosedDataCentres = frozenset) -> None:
        self.workers: dict[str, Worker] = {}
        self.closed_data_centres = closed_data_centres
        self.change_numbers = itertools.count(1)

    def __iter__(self) -> cabc.Iterator[Worker]:
        return iter(list(self.workers.values()))

    def __len__(self) -> int:
        return len(self.workers)

    def get(self, name: str) -> Worker | None:
        """Return a worker, or None if it is not known."""
        return self.workers.get(name)

    def add(self, entry: messages.WorkerEntry) -> Worker:
        """Begin to know a worker."""
        worker = Worker(entry, self.change_numbers, self.closed_data_centres)
        self.workers[entry.name] = worker
        return worker

    def remove(self, worker: Worker) -> None:
        """Forget a worker whose life is over."""
        worker.removed = True
        if self.workers.get(worker.name) is worker:
            del self.workers[worker.name]

    def replace_incarnation(
        self, worker: Worker, incarnation: int | None, now: float
    ) -> Worker:
        """Begin to know the next life of a worker, of which nothing is known yet."""
        self.remove(worker)
        other = worker.conflicting_entry
        entry = (
            other
            if other is not None and other.incarnation == incarnation
            else worker.entry
        )
        later = self.add(entry)
        later.incarnation = incarnation
        later.discovered_at = now
        later.unlisted = worker.unlisted
        later.inherited_runs_until = worker.inherited_runs_until
        if worker.incarnation is not None:
            later.earlier_incarnations = worker.earlier_incarnations | {
                worker.incarnation
            }
        return later
