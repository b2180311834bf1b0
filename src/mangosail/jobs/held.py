"""A job that this instance sees to."""

import collections
import dataclasses
import itertools

from mangosail import resources
from mangosail.jobs import messages, records, tracker
from mangosail.work import messages as work_messages

#: Failed attempts, without one success, after which a job may be given up.
POISON_MIN_FAILURES = 6
#: Workers on which it must have failed, if there are as many.
POISON_MIN_WORKERS = 2

#: Seconds until the first reading of a followed task's row, and at most
#: between two. 17,000 running tasks read every 30 s are 570 rows a second.
INITIAL_POLL_INTERVAL_S = 1.0
MAX_POLL_INTERVAL_S = 30.0

SEQUENCE_NUMBERS = itertools.count()


@dataclasses.dataclass(frozen=True, slots=True)
class PollSchedule:
    """When a task's row is read next, in monotonic time, and after which wait.

    The waits double: who runs the task tells of its end, and the row is read
    only because that message may be lost.
    """

    poll_at: float
    interval: float

    def after_poll(self, now: float) -> "PollSchedule":
        """Return when to read the row the next time."""
        wait = min(self.interval * 2, MAX_POLL_INTERVAL_S)
        return PollSchedule(now + wait, wait)


class HeldJob:
    """A job's rows and tasks, as its holder keeps them."""

    def __init__(self, stored: records.StoredJob) -> None:
        self.stored = stored
        self.tracker = tracker.TaskTracker(stored.row.job.tasks)
        #: Rises from job to job; the older one has its turn first.
        self.sequence_number = next(SEQUENCE_NUMBERS)
        #: State to be recorded next; differs from the found one when it changed.
        self.state = stored.state.state
        self.reason = stored.state.reason
        #: Monotonic time since which the next task finds no room; None if it does.
        self.blocked_since: float | None = None
        #: Tasks of whose end this instance may not hear.
        self.polls: dict[int, PollSchedule] = {}
        self.failures = 0
        #: Failed attempts of each task that has some.
        self.failed_attempts: collections.Counter[int] = collections.Counter()
        self.failed_workers: set[str] = set()

    @property
    def spec(self) -> messages.Job:
        """Return what was declared."""
        return self.stored.row.job

    def request(self, index: int) -> work_messages.Request:
        """Return the present attempt of a task."""
        return tracker.task_request(self.spec, index, self.tracker.attempts[index])

    def schedule_poll(
        self, index: int, now: float, interval: float = INITIAL_POLL_INTERVAL_S
    ) -> None:
        """Read a task's row in `wait` seconds, unless that is planned already."""
        self.polls.setdefault(index, PollSchedule(now + interval, interval))

    def running_needs(self) -> resources.Resources:
        """Return what the job's running tasks take together."""
        count = self.tracker.counts[tracker.TaskStatus.RUNNING]
        needs = self.spec.needs
        return resources.Resources(
            needs.cpus * count, needs.memory_gb * count, needs.accelerators * count
        )

    def next_state(self) -> messages.JobState:
        """Return the state as it stands now, to be recorded."""
        before = self.stored.state
        return messages.JobState(
            before.team,
            before.job_id,
            before.holder,
            before.incarnation,
            self._final_state() if self.tracker.all_ended() else self.state,
            self.tracker.as_counts(),
            self.reason,
        )

    def poisoned(self, workers: int) -> bool:
        """Tell whether the job fails wherever it is tried."""
        if self.tracker.counts[tracker.TaskStatus.COMPLETED]:
            return False
        enough = self.failures >= POISON_MIN_FAILURES
        return enough and len(self.failed_workers) >= min(POISON_MIN_WORKERS, workers)

    def stop(self, state: messages.State, reason: str) -> None:
        """Let no waiting task start any more."""
        if self.state is not messages.State.RUNNING:
            return
        self.state = state
        self.reason = reason
        self.tracker.cancel_waiting()

    def _final_state(self) -> messages.State:
        if self.state is messages.State.CANCELLING:
            return messages.State.CANCELLED
        if self.tracker.counts[tracker.TaskStatus.FAILED]:
            return messages.State.FAILED
        if self.state is messages.State.RUNNING:
            return messages.State.COMPLETED
        return self.state
