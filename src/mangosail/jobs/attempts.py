"""Handling of the results of task attempts: final states, retries and backoff."""

import random

import logbook
import result

from mangosail import clock as clocks
from mangosail.jobs import held, messages, records, room, tracker
from mangosail.placement import errors as placement_errors
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages

log = logbook.Logger("jobs")

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
        if not is_awaited(job, index, request_id):
            return
        if outcome == work_messages.State.COMPLETED:
            self._finish(job, index, tracker.TaskStatus.COMPLETED)
        elif outcome == work_messages.State.CANCELLED:
            self._finish(job, index, tracker.TaskStatus.CANCELLED)
        elif outcome == work_messages.State.FAILED:
            self._handle_failure(job, index, request_id)
        elif outcome == work_messages.State.NOT_RUN:
            job.tracker.attempts[index] += 1
            self.requeue(job, index, "not_run", 1)
        elif outcome == work_messages.State.EVICTED:
            self.requeue(job, index, "evicted")
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
        reason = permanent_refusal(job, error)
        if reason is not None:
            self._give_up(job, reason.value)
            self._finish(job, index, tracker.TaskStatus.FAILED)
            return
        self.requeue(job, index, type(error).__name__.lower())

    def _handle_failure(self, job: held.HeldJob, index: int, request_id: str) -> None:
        """Retry a failed task unless it has no attempts left or the job has stopped."""
        row = self._read_work_row(job.spec.team, request_id)
        if not is_awaited(job, index, request_id):
            # Two greenlets report the end of a task that ran here: the one that waited
            # for it, and the runner. The other one has applied it during the read.
            return
        if row is not None:
            job.failed_workers.add(row.worker)
            if job.state is messages.State.RUNNING:
                # The reason for which a job was given up or cancelled stands.
                job.reason = row.reason
        job.failures += 1
        job.failed_attempts[index] += 1
        log.info(
            "attempt failed",
            team=job.spec.team,
            attempt=request_id,
            worker=row.worker if row else "",
            reason=row.reason if row else "",
            failed_attempts=job.failed_attempts[index],
        )
        if job.poisoned(self.room.listed_workers(job.spec.needs)):
            self.counters.count("jobs.poisoned")
            self._give_up(job, f"fails everywhere: {job.reason}")
        exhausted = job.failed_attempts[index] >= tracker.MAX_FAILED_ATTEMPTS
        if exhausted or job.state is not messages.State.RUNNING:
            self._finish(job, index, tracker.TaskStatus.FAILED)
            return
        job.tracker.attempts[index] += 1
        self.requeue(job, index, "failed", job.failed_attempts[index])

    def _give_up(self, job: held.HeldJob, reason: str) -> None:
        """Fail a job as a whole: its waiting tasks never start."""
        if job.state is not messages.State.RUNNING:
            return
        job.stop(messages.State.FAILED, reason)
        log.warning(
            "job given up",
            team=job.spec.team,
            job=job.spec.job_id,
            reason=reason,
            failures=job.failures,
            failed_on=sorted(job.failed_workers),
        )

    def requeue(
        self, job: held.HeldJob, index: int, reason: str, failures: int = 0
    ) -> None:
        """Requeue a task after a backoff with jitter, which spreads the retries."""
        self.counters.count(f"jobs.retry.{reason}")
        job.polls.pop(index, None)
        if job.state is not messages.State.RUNNING:
            self._finish(job, index, tracker.TaskStatus.CANCELLED)
            return
        delay = backoff(failures) * self.random.uniform(0.5, 1.0)
        job.tracker.requeue(index, self.clock.monotonic() + delay)
        log.info(
            "task requeued",
            team=job.spec.team,
            attempt=job.request(index).request_id,
            reason=reason,
            delay=round(delay, 3),
        )

    def _read_work_row(
        self, team: str, request_id: str
    ) -> work_messages.WorkRow | None:
        found = self.records.find_work_rows([work_messages.work_key(team, request_id)])
        if isinstance(found, result.Err):
            return None
        return next(iter(found.ok_value), None)


def permanent_refusal(
    job: held.HeldJob, error: object
) -> placement_errors.Reason | None:
    """Return why a job can't run, or None if it may later.

    If the only worker that is large enough has just left the list, the job waits for
    it first.
    """
    if not isinstance(error, placement_errors.NotPlaced):
        return None
    too_large = error.reason is placement_errors.Reason.TOO_LARGE
    if error.retry_after is not None or (too_large and job.unfit_since is None):
        return None
    return error.reason


def is_awaited(job: held.HeldJob, index: int, request_id: str) -> bool:
    """Return whether the result of an attempt has not been applied yet."""
    current = request_id == job.request(index).request_id
    return current and job.tracker.statuses[index] == tracker.TaskStatus.RUNNING


def backoff(failures: int) -> float:
    """Return the upper bound in seconds of the delay after `failures` failures."""
    return min(INITIAL_BACKOFF_S * 2**failures, MAX_BACKOFF_S)
