"""Handling of the results of task attempts: final states, retries and backoff."""

import random

import result

from mangosail import clock as clocks
from mangosail.jobs import held, messages, records, room, tracker
from mangosail.placement import errors as placement_errors
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages

#: Delay before the first retry of a task; doubled with each failure.
INITIAL_BACKOFF_S = 0.25
#: Upper bound of the retry delay.
MAX_BACKOFF_S = 30.0


class AttemptHandler:
    """Applies the results of attempts, whichever source reports them."""

    def __init__(
        self,
        job_records: records.Records,
        task_room: room.Room,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        seed: int = 0,
    ) -> None:
        self.records = job_records
        self.room = task_room
        self.clock = clock
        self.counters = counters
        self.random = random.Random(seed)

    def settle(
        self, job: held.HeldJob, index: int, request_id: str, outcome: str
    ) -> None:
        """Apply the result of an attempt; results of earlier attempts are ignored."""
        if request_id != job.request(index).request_id:
            return
        if job.tracker.statuses[index] != tracker.TaskStatus.RUNNING:
            return
        if outcome == work_messages.State.COMPLETED:
            self._finish(job, index, tracker.TaskStatus.COMPLETED)
        elif outcome == work_messages.State.CANCELLED:
            self._finish(job, index, tracker.TaskStatus.CANCELLED)
        elif outcome == work_messages.State.FAILED:
            self._handle_failure(job, index, request_id)
        elif outcome == work_messages.State.NOT_RUN:
            self.counters.count("jobs.retry.not_run")
            job.tracker.attempts[index] += 1
            self.requeue(job, index, 1)
        elif outcome == work_messages.State.EVICTED:
            self.counters.count("jobs.retry.evicted")
            self.requeue(job, index, 0)
        else:
            job.schedule_poll(index, self.clock.monotonic())

    def _finish(
        self, job: held.HeldJob, index: int, status: tracker.TaskStatus
    ) -> None:
        job.polls.pop(index, None)
        job.tracker.set_status(index, status)
        self.counters.count(f"jobs.task.{status.name.lower()}")

    def handle_not_started(self, job: held.HeldJob, index: int, error: object) -> None:
        """Requeue a task that was not started, or fail a job that can't run."""
        if isinstance(error, placement_errors.NotPlaced) and error.retry_after is None:
            job.stop(messages.State.FAILED, error.reason.value)
            self._finish(job, index, tracker.TaskStatus.FAILED)
            return
        self.counters.count(f"jobs.retry.{type(error).__name__.lower()}")
        self.requeue(job, index, 0)

    def _handle_failure(self, job: held.HeldJob, index: int, request_id: str) -> None:
        """Retry a failed task unless it has no attempts left or the job has stopped."""
        row = self._read_work_row(job.spec.team, request_id)
        if row is not None:
            job.reason = row.reason
            job.failed_workers.add(row.worker)
        job.failures += 1
        job.failed_attempts[index] += 1
        if job.poisoned(self.room.worker_count()):
            self.counters.count("jobs.poisoned")
            job.stop(messages.State.FAILED, f"fails everywhere: {job.reason}")
        exhausted = job.failed_attempts[index] >= tracker.MAX_FAILED_ATTEMPTS
        if exhausted or job.state is not messages.State.RUNNING:
            self._finish(job, index, tracker.TaskStatus.FAILED)
            return
        self.counters.count("jobs.retry.failed")
        job.tracker.attempts[index] += 1
        self.requeue(job, index, job.failed_attempts[index])

    def requeue(self, job: held.HeldJob, index: int, failures: int) -> None:
        """Requeue a task after a backoff with jitter, which spreads the retries."""
        job.polls.pop(index, None)
        if job.state is not messages.State.RUNNING:
            self._finish(job, index, tracker.TaskStatus.CANCELLED)
            return
        delay = backoff(failures) * self.random.uniform(0.5, 1.0)
        job.tracker.requeue(index, self.clock.monotonic() + delay)

    def _read_work_row(
        self, team: str, request_id: str
    ) -> work_messages.WorkRow | None:
        found = self.records.find_work_rows([work_messages.work_key(team, request_id)])
        if isinstance(found, result.Err):
            return None
        return next(iter(found.ok_value), None)


def backoff(failures: int) -> float:
    """Return the upper bound in seconds of the delay after `failures` failures."""
    return min(INITIAL_BACKOFF_S * 2**failures, MAX_BACKOFF_S)
