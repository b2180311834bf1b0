"""The workers as their leader knows them: what they hold, when they were heard."""

import collections.abc as cabc
import enum
import itertools

from mangosail import resources
from mangosail.scheduler import messages, progress

#: Share by which a worker's clock may be slower than ours, and a little more.
CLOCK_DRIFT = 0.025
#: Milliseconds after a lease's end within which its runs are surely killed.
KILL_MARGIN = 250.0
#: Seconds around a suspect's start in which nothing else begins on its worker.
ALONE_TERM = 0.3
#: Share of its processors that a latency-critical task uses in the mean, for the room
#: that it leaves to best-effort tasks.
LATENCY_CRITICAL_USE = 0.5


#: Returns the data centres whose workers may be sent nothing more.
Closed = cabc.Callable[[], frozenset[str]]


class Life(enum.Enum):
    """Which life of a worker an answer comes from, seen from the one that is known."""

    EARLIER = "earlier"
    PRESENT = "present"
    LATER = "later"


def same_life(first: int | None, second: int | None) -> bool:
    """Tell whether two births may be the same; None is one that was not told."""
    return first is None or second is None or first == second


class Worker:
    """One life of a worker, and what runs there as far as the leader knows."""

    def __init__(
        self, entry: messages.WorkerEntry, changes: cabc.Iterator[int], closed: Closed
    ) -> None:
        self.entry = entry
        self.changes = changes
        self.closed = closed
        #: Number of its latest change that may have made room; of all workers' changes
        #: the later one has the higher number.
        self.changed = next(self.changes)
        self.name = entry.name
        #: When this life began, as the worker tells it; None if it doesn't say.
        self.born = entry.born
        #: When earlier lives under this name began.
        self.earlier: frozenset[int] = frozenset()
        #: Elapsed time at which this life was first heard of.
        self.since = 0.0
        #: The newest entry that tells of another life, earlier or later.
        self.other: messages.WorkerEntry | None = None
        #: The latest suspect that was placed there, beside which nothing may begin.
        self.alone: progress.Task | None = None
        #: Elapsed time until which orders to an earlier life may be carried out here,
        #: and the longest lease in seconds that they can bring.
        self.strays_until = 0.0
        self.longest_lease = 0.0
        #: Runs that may exist there, by the name of their task.
        self.tasks: dict[str, progress.Task] = {}
        self.free = entry.capacity
        #: Cores that best-effort tasks may use, as far as is known.
        self.unused = entry.capacity.cpus
        #: Continuous tasks that are not best-effort, and best-effort ones, by count.
        self.latency_critical = 0
        self.best_effort = 0
        #: The worker's clock in ms when it was last heard, and our elapsed time.
        self.clock = 0.0
        self.heard_at = 0.0
        #: Latest end of its lease that was ever sent, in ms on its clock.
        self.deadline = 0.0
        #: Elapsed time by which all that an earlier leader started has ended.
        self.inherited_until = 0.0
        #: True once it has answered this leader's token.
        self.known = False
        self.reachable = False
        #: Elapsed time until which nothing is placed there.
        self.avoid_until = 0.0
        #: Number of the latest end taken in, and of the latest that is durable.
        self.taken_in = 0
        self.acknowledged = 0
        #: True once the platform no longer lists it.
        self.unlisted = False
        self.gone = False
        #: Logarithm of its speed against the others', and when that was last noted.
        self.speed = 0.0
        self.speed_at = 0.0
        #: Best-effort images at the last look, and when speeds were last changed.
        self.best_effort_images: frozenset[str] = frozenset()
        self.throttled_at = 0.0

    @property
    def described(self) -> bool:
        """Tell whether the entry is this life's: another may have other capacity."""
        return same_life(self.entry.born, self.born)

    def life_in(self, look: messages.Look, sent_at: float) -> Life:
        """Tell which life has answered a look that was sent at `sent_at`.

        Births are not in order, as clocks of day jump. But an answer to what was sent
        after this life was heard of can't come from an earlier one; and no life's own
        clock runs back.
        """
        if look.born in self.earlier:
            return Life.EARLIER
        if same_life(look.born, self.born):
            unborn = look.born is None or self.born is None
            return (
                Life.LATER if unborn and self.runs_back(look, sent_at) else Life.PRESENT
            )
        return Life.LATER if sent_at >= self.since else Life.EARLIER

    def runs_back(self, look: messages.Look, sent_at: float) -> bool:
        """Tell whether the worker's clock shows less than before the look was sent."""
        return sent_at >= self.heard_at and look.clock < self.clock

    def describe(self, entry: messages.WorkerEntry) -> None:
        """Take in what the worker says of itself now; its capacity may have changed."""
        before, self.entry = self.entry, entry
        if entry.capacity == before.capacity:
            return
        self.free = self.free + entry.capacity - before.capacity
        self.unused += entry.capacity.cpus - before.capacity.cpus
        self.changed = next(self.changes)

    @property
    def overfull(self) -> bool:
        """Tell whether more is set aside there than the worker has."""
        return not resources.Resources().fits_in(self.free)

    def heard(self, clock: int, now: float) -> None:
        """Take in the worker's clock as it stood at the elapsed time `now`."""
        self.clock = float(clock)
        self.heard_at = now
        self.reachable = True
        self.changed = next(self.changes)

    def clock_at(self, now: float) -> float:
        """Return what the worker's clock shows at elapsed time `now`, in ms."""
        return self.clock + (now - self.heard_at) * 1000

    def expired(self, now: float) -> bool:
        """Tell whether its lease has surely run out, though its clock be slow."""
        if not self.heard_at:
            return now > self.inherited_until
        passed = (now - self.heard_at) * 1000 * (1 - CLOCK_DRIFT)
        over = self.clock + passed > self.deadline + KILL_MARGIN
        if self.strays_until and now < self.strays_until + self.longest_lease:
            return False
        return over and (self.known or now > self.inherited_until)

    def usable(self, now: float) -> bool:
        """Tell whether new tasks may be placed there."""
        return (
            self.known
            and self.reachable
            and not self.gone
            and not self.unlisted
            and not self.entry.draining
            and (self.entry.born == self.born or self.described)
            and (self.alone is None or not just_begun(self.alone, now))
            and self.entry.data_centre not in self.closed()
            and now >= self.avoid_until
        )

    def quiet(self, now: float) -> bool:
        """Tell whether nothing has just begun there."""
        return not any(just_begun(task, now) for task in self.tasks.values())

    @property
    def busy(self) -> bool:
        """Tell whether something may run there, or an end there is not durable yet."""
        return bool(self.tasks) or self.taken_in > self.acknowledged

    @property
    def runs_short(self) -> bool:
        """Tell whether tasks that end by themselves may run there."""
        return len(self.tasks) > self.latency_critical

    def reserve(self, task: progress.Task) -> None:
        """Set the room of a task aside until `release`."""
        if task.name in self.tasks:
            return
        self.tasks[task.name] = task
        step = task.step
        self.free -= reserved(step)
        self.unused -= used(step)
        self.latency_critical += step.continuous and not step.best_effort
        self.best_effort += step.best_effort

    def release(self, task: progress.Task) -> None:
        """Give the room of a task back."""
        if self.tasks.pop(task.name, None) is None:
            return
        if task is self.alone:
            self.alone = None
        step = task.step
        self.free += reserved(step)
        self.unused += used(step)
        self.latency_critical -= step.continuous and not step.best_effort
        self.best_effort -= step.best_effort
        self.changed = next(self.changes)

    def same_step(self, step_run: progress.StepRun) -> int:
        """Return how many tasks of a step may run there."""
        return sum(task.step_run is step_run for task in self.tasks.values())


def just_begun(task: progress.Task, now: float) -> bool:
    """Tell whether a task's start is on its way, or was sent a moment ago."""
    if task.phase is progress.Phase.STARTING:
        return True
    return task.ordered_at is not None and now <= task.ordered_at + ALONE_TERM


def reserved(step: messages.Step) -> resources.Resources:
    """Return what a task of the step takes of a worker's capacity."""
    if not step.best_effort:
        return step.need
    need = step.need
    return resources.Resources(memory_gb=need.memory_gb, accelerators=need.accelerators)


def used(step: messages.Step) -> float:
    """Return the cores that a task of the step uses, as a guess."""
    if step.continuous and not step.best_effort:
        return step.need.cpus * LATENCY_CRITICAL_USE
    return step.need.cpus


class Fleet:
    """All workers by name."""

    def __init__(self, closed: Closed = frozenset) -> None:
        self.workers: dict[str, Worker] = {}
        self.closed = closed
        self.changes = itertools.count(1)

    def __iter__(self) -> cabc.Iterator[Worker]:
        return iter(list(self.workers.values()))

    def __len__(self) -> int:
        return len(self.workers)

    def get(self, name: str) -> Worker | None:
        """Return a worker, or None if it is not known."""
        return self.workers.get(name)

    def add(self, entry: messages.WorkerEntry) -> Worker:
        """Begin to know a worker."""
        worker = Worker(entry, self.changes, self.closed)
        self.workers[entry.name] = worker
        return worker

    def remove(self, worker: Worker) -> None:
        """Forget a worker whose life is over."""
        worker.gone = True
        if self.workers.get(worker.name) is worker:
            del self.workers[worker.name]

    def succeed(self, worker: Worker, born: int | None, now: float) -> Worker:
        """Begin to know the next life of a worker, of which nothing is known yet."""
        self.remove(worker)
        other = worker.other
        entry = other if other is not None and other.born == born else worker.entry
        later = self.add(entry)
        later.born = born
        later.since = now
        later.unlisted = worker.unlisted
        later.inherited_until = worker.inherited_until
        if worker.born is not None:
            later.earlier = worker.earlier | {worker.born}
        return later
