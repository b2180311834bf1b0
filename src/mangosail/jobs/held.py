"""The state of a job that this instance holds."""

import collections
import dataclasses
import itertools

from mangosail import resources
from mangosail.jobs import messages, records, tracker
from mangosail.work import messages as work_messages

#: Failed attempts, without a single success, after which a job may be given up.
POISON_MIN_FAILURES = 6
#: Workers on which attempts must have failed, if there are that many.
POISON_MIN_WORKERS = 2

#: Delay before the first poll of a task's row, and the longest one between two
#: polls. Polling 17,000 running tasks every 30 s reads 570 rows/s.
INITIAL_POLL_INTERVAL_S = 1.0
MAX_POLL_INTERVAL_S = 30.0

#: Seconds for which a job waits while no listed worker is large enough for its tasks.
WORKER_WAIT_S = 300.0

SEQUENCE_NUMBERS = itertools.count()


@dataclasses.dataclass(frozen=True, slots=True)
class PollSchedule:
    """The monotonic time of the next poll of a task's row, and the interval used.

    The interval doubles with each poll: the instance that runs the task reports its
    end, and polling only covers the loss of that message.
    """

    poll_at: float
    interval: float

    def after_poll(self, now: float) -> "PollSchedule":
        """Return the schedule of the following poll."""
        interval = min(self.interval * 2, MAX_POLL_INTERVAL_S)
        return PollSchedule(now + interval, interval)


class HeldJob:
    """A job's stored rows and the status of its tasks, as kept by its holder."""

    def __init__(self, stored: records.StoredJob) -> None:
        self.stored = stored
        self.tracker = tracker.TaskTracker(stored.row.job.tasks)
        #: Increases with each job; among equals, the older job is placed first.
        self.sequence_number = next(SEQUENCE_NUMBERS)
        #: State to be written next; differs from the stored one after a change.
        self.state = stored.state.state
        self.reason = stored.state.reason
        #: Monotonic time since which the next task has not fit; None if it fits.
        self.blocked_since: float | None = None
        #: Polls of the tasks whose end might not be reported to this instance.
        self.polls: dict[int, PollSchedule] = {}
        self.failures = 0
        #: Failed attempts by task index.
        self.failed_attempts: collections.Counter[int] = collections.Counter()
        self.failed_workers: set[str] = set()
        #: Monotonic time since which its tasks fit on no listed worker, else None.
        self.unfit_since: float | None = None

    @property
    def spec(self) -> messages.Job:
        """Return the job as it was submitted."""
        return self.stored.row.job

    def request(self, index: int) -> work_messages.Request:
        """Return the work request of a task's current attempt."""
        return tracker.task_request(self.spec, index, self.tracker.attempts[index])

    def schedule_poll(
        self, index: int, now: float, interval: float = INITIAL_POLL_INTERVAL_S
    ) -> None:
        """Poll a task's row in `interval` seconds, unless a poll is scheduled."""
        self.polls.setdefault(index, PollSchedule(now + interval, interval))

    def running_needs(self) -> resources.Resources:
        """Return the total resource needs of the running tasks."""
        count = self.tracker.counts[tracker.TaskStatus.RUNNING]
        needs = self.spec.needs
        return resources.Resources(
            needs.cpus * count, needs.memory_gb * count, needs.accelerators * count
        )

    def next_state(self) -> messages.JobState:
        """Return the current state in the form in which it is stored."""
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

    def awaits_worker(self, fits: bool, now: float) -> bool:
        """Return whether a worker that its tasks fit on may be listed again.

        `fits` tells whether they fit on a listed worker. A worker leaves the list when
        it restarts or is replaced, and the job was accepted when one was listed.
        """
        if fits:
            self.unfit_since = None
            return False
        if self.unfit_since is None:
            self.unfit_since = now
        return now < self.unfit_since + WORKER_WAIT_S

    def shown_state(self) -> messages.JobState:
        """Return the current progress, with the state and the reason that are stored.

        If this holder is lost before it has stored an end, or that it gave the job up,
        the next one goes on with the job.
        """
        stored = self.stored.state
        return messages.with_changes(
            self.next_state(), state=stored.state, reason=stored.reason
        )

    def poisoned(self, listed_workers: int) -> bool:
        """Return whether the job fails on every worker and should be given up.

        `listed_workers` is the number of workers that its tasks could run on, 0 if that
        is not known. One worker that fails everything proves nothing beside others.
        """
        if self.tracker.counts[tracker.TaskStatus.COMPLETED]:
            return False
        if self.failures < POISON_MIN_FAILURES:
            return False
        workers = min(POISON_MIN_WORKERS, listed_workers or POISON_MIN_WORKERS)
        return len(self.failed_workers) >= workers

    def stop(self, state: messages.State, reason: str) -> None:
        """Leave the running state and cancel all waiting tasks."""
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
