"""What becomes of a task's attempts: ended, or tried again after a while."""

import random

import result

from mangosail import clock as clocks
from mangosail.jobs import held, messages, records, room, tracker
from mangosail.placement import errors as placement_errors
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages

#: Seconds until a task is tried again, doubled with each failure.
BACKOFF = 0.25
#: Longest such time in seconds.
LONGEST_BACKOFF = 30.0


class Ends:
    """Settles attempts, wherever the news of their ends come from."""

    def __init__(
        self,
        rows: records.Records,
        places: room.Room,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        seed: int = 0,
    ) -> None:
        self.records = rows
        self.room = places
        self.clock = clock
        self.counters = counters
        self.random = random.Random(seed)

    def settle(
        self, job: held.HeldJob, index: int, request_id: str, outcome: str
    ) -> None:
        """Take in what became of a task's attempt; late news change nothing."""
        if request_id != job.request(index).request_id:
            return
        if job.tally.standings[index] != tracker.Standing.RUNNING:
            return
        if outcome == work_messages.State.COMPLETED:
            self._end(job, index, tracker.Standing.COMPLETED)
        elif outcome == work_messages.State.CANCELLED:
            self._end(job, index, tracker.Standing.CANCELLED)
        elif outcome == work_messages.State.FAILED:
            self._failed(job, index, request_id)
        elif outcome == work_messages.State.NOT_RUN:
            self.counters.count("jobs.retry.not_run")
            job.tally.attempts[index] += 1
            self.put_back(job, index, 1)
        elif outcome == work_messages.State.EVICTED:
            self.counters.count("jobs.retry.evicted")
            self.put_back(job, index, 0)
        else:
            job.follow(index, self.clock.monotonic())

    def _end(self, job: held.HeldJob, index: int, at: tracker.Standing) -> None:
        job.followed.pop(index, None)
        job.tally.move(index, at)
        self.counters.count(f"jobs.task.{at.name.lower()}")

    def not_run(self, job: held.HeldJob, index: int, error: object) -> None:
        """Let a task that was not started wait again, unless it never can be."""
        if isinstance(error, placement_errors.NotPlaced) and error.retry_after is None:
            job.stop(messages.State.FAILED, error.reason.value)
            self._end(job, index, tracker.Standing.FAILED)
            return
        self.counters.count(f"jobs.retry.{type(error).__name__.lower()}")
        self.put_back(job, index, 0)

    def _failed(self, job: held.HeldJob, index: int, request_id: str) -> None:
        """Try a task that failed again, unless that is of no use."""
        row = self._row(job.job.team, request_id)
        if row is not None:
            job.reason = row.reason
            job.failed_on.add(row.worker)
        job.failures += 1
        job.failed_attempts[index] += 1
        if job.poisoned(self.room.workers()):
            self.counters.count("jobs.poisoned")
            job.stop(messages.State.FAILED, f"fails everywhere: {job.reason}")
        spent = job.failed_attempts[index] >= tracker.MOST_ATTEMPTS
        if spent or job.state is not messages.State.RUNNING:
            self._end(job, index, tracker.Standing.FAILED)
            return
        self.counters.count("jobs.retry.failed")
        job.tally.attempts[index] += 1
        self.put_back(job, index, job.failed_attempts[index])

    def put_back(self, job: held.HeldJob, index: int, failures: int) -> None:
        """Let a task wait again, a while and by chance, so that none march in step."""
        job.followed.pop(index, None)
        if job.state is not messages.State.RUNNING:
            self._end(job, index, tracker.Standing.CANCELLED)
            return
        wait = backoff(failures) * self.random.uniform(0.5, 1.0)
        job.tally.put_back(index, self.clock.monotonic() + wait)

    def _row(self, team: str, request_id: str) -> work_messages.WorkRow | None:
        found = self.records.work([work_messages.work_key(team, request_id)])
        if isinstance(found, result.Err):
            return None
        return next(iter(found.ok_value), None)


def backoff(failures: int) -> float:
    """Return the seconds to wait at most after so many failures."""
    return min(BACKOFF * 2**failures, LONGEST_BACKOFF)
