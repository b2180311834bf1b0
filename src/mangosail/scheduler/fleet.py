"""The leader's view of the workers: reserved resources, leases and last contact."""

import collections.abc as cabc
import enum
import itertools

from mangosail import resources
from mangosail.scheduler import messages, progress

#: Share by which a worker's clock may run slower than ours, with a small margin.
MAX_CLOCK_DRIFT = 0.025
#: Milliseconds after the end of a lease by which its runs have been killed.
KILL_MARGIN_MS = 250.0
#: Seconds before and after the start of a suspect task in which nothing else starts on
#: its worker, so that a crash can be attributed to it.
ISOLATED_START_S = 0.3
#: Assumed mean utilization of the cores that a latency-critical task reserves; the
#: rest is available to best-effort tasks.
LATENCY_CRITICAL_UTILIZATION = 0.5


#: Returns the data centres whose workers must not receive new tasks.
ClosedDataCentres = cabc.Callable[[], frozenset[str]]


class IncarnationOrder(enum.Enum):
    """Incarnation that a report comes from, relative to the one that is known."""

    EARLIER = "earlier"
    CURRENT = "present"
    LATER = "later"


def same_incarnation(first: int | None, second: int | None) -> bool:
    """Return whether two incarnations may be the same; None is one not reported."""
    return first is None or second is None or first == second


class Worker:
    """One incarnation of a worker, and the runs that may exist there."""

    def __init__(
        self,
        entry: messages.WorkerEntry,
        change_numbers: cabc.Iterator[int],
        closed_data_centres: ClosedDataCentres,
    ) -> None:
        self.entry = entry
        self.change_numbers = change_numbers
        self.closed_data_centres = closed_data_centres
        #: Number of the latest change that may have freed resources. Numbers increase
        #: across all workers.
        self.last_change = next(self.change_numbers)
        self.name = entry.name
        #: Start of this incarnation as the worker reports it; None if it does not.
        self.incarnation = entry.incarnation
        #: Starts of earlier incarnations under the same name.
        self.earlier_incarnations: frozenset[int] = frozenset()
        #: Elapsed time at which this incarnation was first known.
        self.discovered_at = 0.0
        #: The newest entry of another incarnation, earlier or later.
        self.conflicting_entry: messages.WorkerEntry | None = None
        #: The latest suspect task placed there; nothing may start beside it.
        self.isolated_suspect: progress.Task | None = None
        #: Elapsed time until which orders to an earlier incarnation may still be
        #: carried out here, and the longest lease in seconds that they can grant.
        self.stray_orders_until = 0.0
        self.max_stray_lease = 0.0
        #: Tasks that may have a run there, by name.
        self.tasks: dict[str, progress.Task] = {}
        self.free = entry.capacity
        #: Estimated cores that are idle and usable by best-effort tasks.
        self.idle_cpus = entry.capacity.cpus
        #: Number of continuous tasks that are not best-effort, and of best-effort ones.
        self.latency_critical_count = 0
        self.best_effort_count = 0
        #: The worker's clock in ms at the last contact, and the elapsed time of that.
        self.clock = 0.0
        self.last_contact_at = 0.0
        #: Latest lease deadline that was sent to it, in ms on its clock.
        self.lease_deadline = 0.0
        #: Elapsed time until which it certainly extends the lease of what runs there:
        #: by the deadlines in calls that it has answered.
        self.lease_held_until = 0.0
        #: Elapsed time by which all runs that an earlier leader started have ended.
        self.inherited_runs_until = 0.0
        #: True once it has answered a call with this leader's fencing token, and the
        #: elapsed time at which it first did.
        self.contacted = False
        self.first_contact_at = 0.0
        #: True once a complete report has been processed: what earlier leaders started
        #: there is known.
        self.fully_reported = False
        #: True if the latest report left out ends, which the next one lists.
        self.has_more_ends = False
        self.reachable = False
        #: Elapsed time since when an answer is overdue or calls fail; None if neither.
        self.silent_since: float | None = None
        #: Elapsed time before which nothing is placed there.
        self.avoid_until = 0.0
        #: Number of the latest end that was processed, and of the latest durable one.
        self.last_end_seen = 0
        self.last_end_acknowledged = 0
        #: True while the platform does not list it.
        self.unlisted = False
        self.removed = False
        #: Logarithm of its speed relative to the others, and when it was updated.
        self.log_speed = 0.0
        self.speed_updated_at = 0.0
        #: Best-effort images at the last poll, and when a run was last throttled.
        self.best_effort_images: frozenset[str] = frozenset()
        self.throttled_at = 0.0
        #: Worst tail latency at the last report, as a share of its target.
        self.target_share = 0.0

    @property
    def entry_is_current(self) -> bool:
        """Return whether the entry may describe this incarnation.

        Another incarnation may have a different capacity.
        """
        return same_incarnation(self.entry.incarnation, self.incarnation)

    def classify_report(
        self, report: messages.WorkerReport, sent_at: float
    ) -> IncarnationOrder:
        """Return which incarnation answered a poll that was sent at `sent_at`.

        Start times of incarnations are not ordered, as the wall clock may jump. But an
        answer to a poll sent after this incarnation was discovered can't come from an
        earlier one, and the clock of one incarnation never goes back.
        """
        if report.incarnation in self.earlier_incarnations:
            return IncarnationOrder.EARLIER
        if same_incarnation(report.incarnation, self.incarnation):
            unreported = report.incarnation is None or self.incarnation is None
            return (
                IncarnationOrder.LATER
                if unreported and self.clock_went_back(report, sent_at)
                else IncarnationOrder.CURRENT
            )
        return (
            IncarnationOrder.LATER
            if sent_at >= self.discovered_at
            else IncarnationOrder.EARLIER
        )

    def clock_went_back(self, report: messages.WorkerReport, sent_at: float) -> bool:
        """Return whether the clock is behind what it was before the poll was sent."""
        return sent_at >= self.last_contact_at and report.clock < self.clock

    def update_entry(self, entry: messages.WorkerEntry) -> None:
        """Replace the entry, and adjust free resources if the capacity changed."""
        before, self.entry = self.entry, entry
        if entry.capacity == before.capacity:
            return
        self.free = self.free + entry.capacity - before.capacity
        self.idle_cpus += entry.capacity.cpus - before.capacity.cpus
        self.last_change = next(self.change_numbers)

    @property
    def overcommitted(self) -> bool:
        """Return whether more is reserved than the worker's capacity."""
        return not resources.Resources().fits_in(self.free)

    def record_contact(self, clock: int, now: float) -> None:
        """Record an answer: the worker's clock showed `clock` at elapsed time `now`."""
        self.clock = float(clock)
        self.last_contact_at = now
        self.reachable = True
        self.silent_since = None
        self.last_change = next(self.change_numbers)

    def record_lease(self, deadline: float) -> None:
        """Record that its latest answer was to a call with this lease deadline."""
        seconds = (deadline - self.clock) / 1000
        self.lease_held_until = max(
            self.lease_held_until, self.last_contact_at + seconds
        )

    def mark_silent(self, since: float) -> None:
        """Record that an answer was due at `since`, unless one was due before."""
        if self.silent_since is None:
            self.silent_since = since

    def mark_unreachable(self, now: float) -> None:
        """Record that a call has failed."""
        self.reachable = False
        self.mark_silent(now)

    def clock_at(self, now: float) -> float:
        """Return the estimated worker clock at elapsed time `now`, in ms."""
        return self.clock + (now - self.last_contact_at) * 1000

    def lease_expired(self, now: float) -> bool:
        """Return whether its lease has expired even if its clock runs slow."""
        if not self.last_contact_at:
            return now > self.inherited_runs_until
        passed = (now - self.last_contact_at) * 1000 * (1 - MAX_CLOCK_DRIFT)
        expired = self.clock + passed > self.lease_deadline + KILL_MARGIN_MS
        if (
            self.stray_orders_until
            and now < self.stray_orders_until + self.max_stray_lease
        ):
            return False
        return expired and (self.contacted or now > self.inherited_runs_until)

    def usable(self, now: float) -> bool:
        """Return whether new tasks may be placed there."""
        return (
            self.contacted
            and self.reachable
            and not self.removed
            and not self.unlisted
            and not self.entry.draining
            and (self.entry.incarnation == self.incarnation or self.entry_is_current)
            and self.isolation_over(now)
            and self.entry.data_centre not in self.closed_data_centres()
            and now >= self.avoid_until
        )

    def isolation_over(self, now: float) -> bool:
        """Return whether other tasks may start there after the latest suspect.

        Not until the worker was heard a moment after that start: one that the suspect
        has crashed would get others meanwhile, and these would be as suspicious.
        """
        suspect = self.isolated_suspect
        if suspect is None:
            return True
        if recently_started(suspect, now):
            return False
        sent_at = suspect.start_sent_at
        return sent_at is None or self.last_contact_at >= sent_at + ISOLATED_START_S

    def no_recent_start(self, now: float) -> bool:
        """Return whether no task was started there recently."""
        return not any(recently_started(task, now) for task in self.tasks.values())

    def starts_in_isolation(self, task: progress.Task, now: float) -> bool:
        """Return whether a suspect is started there, and nothing else just was."""
        return self.isolated_suspect is task and not any(
            recently_started(other, now)
            for other in self.tasks.values()
            if other is not task
        )

    @property
    def busy(self) -> bool:
        """Return whether a run may exist there, or an end is not durable yet."""
        return bool(self.tasks) or self.last_end_seen > self.last_end_acknowledged

    @property
    def runs_finite_tasks(self) -> bool:
        """Return whether tasks that end on their own may run there."""
        return len(self.tasks) > self.latency_critical_count

    def reserve(self, task: progress.Task) -> None:
        """Reserve the resources of a task until `release`."""
        if task.name in self.tasks:
            return
        self.tasks[task.name] = task
        step = task.step
        self.free -= reserved_resources(step)
        self.idle_cpus -= expected_cpus(step)
        self.latency_critical_count += step.continuous and not step.best_effort
        self.best_effort_count += step.best_effort

    def release(self, task: progress.Task) -> None:
        """Release the resources reserved for a task."""
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
        """Return how many tasks of a step may have a run there."""
        return sum(task.step_run is step_run for task in self.tasks.values())


def recently_started(task: progress.Task, now: float) -> bool:
    """Return whether a task's start is pending or was sent a moment ago."""
    if task.phase is progress.Phase.STARTING:
        return True
    return (
        task.start_sent_at is not None and now <= task.start_sent_at + ISOLATED_START_S
    )


def reserved_resources(step: messages.Step) -> resources.Resources:
    """Return the capacity that a task of the step reserves on a worker."""
    if not step.best_effort:
        return step.need
    need = step.need
    return resources.Resources(memory_gb=need.memory_gb, accelerators=need.accelerators)


def expected_cpus(step: messages.Step) -> float:
    """Return the cores that a task of the step is expected to use."""
    if step.continuous and not step.best_effort:
        return step.need.cpus * LATENCY_CRITICAL_UTILIZATION
    return step.need.cpus


class Fleet:
    """All known workers, by name."""

    def __init__(self, closed_data_centres: ClosedDataCentres = frozenset) -> None:
        self.workers: dict[str, Worker] = {}
        self.closed_data_centres = closed_data_centres
        self.change_numbers = itertools.count(1)

    def __iter__(self) -> cabc.Iterator[Worker]:
        return iter(list(self.workers.values()))

    def __len__(self) -> int:
        return len(self.workers)

    def get(self, name: str) -> Worker | None:
        """Return a worker by name, or None if it is not known."""
        return self.workers.get(name)

    def add(self, entry: messages.WorkerEntry) -> Worker:
        """Add a worker from its entry."""
        worker = Worker(entry, self.change_numbers, self.closed_data_centres)
        self.workers[entry.name] = worker
        return worker

    def remove(self, worker: Worker) -> None:
        """Remove a worker."""
        worker.removed = True
        if self.workers.get(worker.name) is worker:
            del self.workers[worker.name]

    def replace_incarnation(
        self, worker: Worker, incarnation: int | None, now: float
    ) -> Worker:
        """Replace a worker by its next incarnation, which starts without state."""
        self.remove(worker)
        conflicting = worker.conflicting_entry
        entry = (
            conflicting
            if conflicting is not None and conflicting.incarnation == incarnation
            else worker.entry
        )
        successor = self.add(entry)
        successor.incarnation = incarnation
        successor.discovered_at = now
        successor.unlisted = worker.unlisted
        successor.inherited_runs_until = worker.inherited_runs_until
        if worker.incarnation is not None:
            successor.earlier_incarnations = worker.earlier_incarnations | {
                worker.incarnation
            }
        return successor
