"""A job that this instance sees to."""

import collections
import dataclasses
import itertools

from mangosail import resources
from mangosail.jobs import messages, records, tracker
from mangosail.work import messages as work_messages

#: Failed attempts, without one success, after which a job may be given up.
POISON_FAILURES = 6
#: Workers on which it must have failed, if there are as many.
POISON_WORKERS = 2

#: Seconds until the first reading of a followed task's row, and at most
#: between two. 17,000 running tasks read every 30 s are 570 rows a second.
FIRST_FOLLOW = 1.0
LONGEST_FOLLOW = 30.0

NUMBERS = itertools.count()


@dataclasses.dataclass(frozen=True, slots=True)
class Followed:
    """When a task's row is read next, in monotonic time, and after which wait.

    The waits double: who runs the task tells of its end, and the row is read
    only because that message may be lost.
    """

    read_at: float
    wait: float

    def again(self, now: float) -> "Followed":
        """Return when to read the row the next time."""
        wait = min(self.wait * 2, LONGEST_FOLLOW)
        return Followed(now + wait, wait)


class HeldJob:
    """A job's rows and tasks, as its holder keeps them."""

    def __init__(self, found: records.Found) -> None:
        self.found = found
        self.tally = tracker.Tally(found.row.job.tasks)
        #: Rises from job to job; the older one has its turn first.
        self.number = next(NUMBERS)
        #: State to be recorded next; differs from the found one when it changed.
        self.state = found.state.state
        self.reason = found.state.reason
        #: Monotonic time since which the next task finds no room; None if it does.
        self.blocked_since: float | None = None
        #: Tasks of whose end this instance may not hear.
        self.followed: dict[int, Followed] = {}
        self.failures = 0
        #: Failed attempts of each task that has some.
        self.failed_attempts: collections.Counter[int] = collections.Counter()
        self.failed_on: set[str] = set()

    @property
    def job(self) -> messages.Job:
        """Return what was declared."""
        return self.found.row.job

    def request(self, index: int) -> work_messages.Request:
        """Return the present attempt of a task."""
        return tracker.request_of(self.job, index, self.tally.attempts[index])

    def follow(self, index: int, now: float, wait: float = FIRST_FOLLOW) -> None:
        """Read a task's row in `wait` seconds, unless that is planned already."""
        self.followed.setdefault(index, Followed(now + wait, wait))

    def running_needs(self) -> resources.Resources:
        """Return what the job's running tasks take together."""
        count = self.tally.counts[tracker.Standing.RUNNING]
        needs = self.job.needs
        return resources.Resources(
            needs.cpus * count, needs.memory_gb * count, needs.accelerators * count
        )

    def next_state(self) -> messages.JobState:
        """Return the state as it stands now, to be recorded."""
        before = self.found.state
        return messages.JobState(
            before.team,
            before.job_id,
            before.holder,
            before.incarnation,
            self._final() if self.tally.over() else self.state,
            self.tally.as_counts(),
            self.reason,
        )

    def poisoned(self, workers: int) -> bool:
        """Tell whether the job fails wherever it is tried."""
        if self.tally.counts[tracker.Standing.COMPLETED]:
            return False
        enough = self.failures >= POISON_FAILURES
        return enough and len(self.failed_on) >= min(POISON_WORKERS, workers)

    def stop(self, state: messages.State, reason: str) -> None:
        """Let no waiting task start any more."""
        if self.state is not messages.State.RUNNING:
            return
        self.state = state
        self.reason = reason
        self.tally.cancel_waiting()

    def _final(self) -> messages.State:
        if self.state is messages.State.CANCELLING:
            return messages.State.CANCELLED
        if self.tally.counts[tracker.Standing.FAILED]:
            return messages.State.FAILED
        if self.state is messages.State.RUNNING:
            return messages.State.COMPLETED
        return self.state
