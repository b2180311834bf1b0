"""Detection of workers on which the tasks of several jobs fail."""

import collections

from mangosail.scheduler import fleet

#: Seconds for which an ended run counts in the assessment of a worker.
FAILURE_WINDOW_S = 5.0
#: Number of jobs that must have failed on a worker before it is quarantined.
MIN_FAILED_JOBS = 2
#: Seconds for which a worker is quarantined; then it is tried again.
QUARANTINE_S = 3.0
#: Maximum number of ended runs remembered per worker.
MAX_ENDS_PER_WORKER = 64


class Health:
    """Tracks the latest ended runs on each worker."""

    def __init__(self) -> None:
        self.ends: dict[str, collections.deque[tuple[float, str, bool]]] = {}

    def record(
        self, worker: fleet.Worker, job_id: str, succeeded: bool, now: float
    ) -> bool:
        """Record an ended run, and return whether the worker is quarantined for it."""
        ends = self.ends.setdefault(
            worker.name, collections.deque(maxlen=MAX_ENDS_PER_WORKER)
        )
        ends.append((now, job_id, succeeded))
        if succeeded:
            return False
        recent = [end for end in ends if now - end[0] <= FAILURE_WINDOW_S]
        failed_jobs = {job for _, job, good in recent if not good}
        failures = sum(not good for _, _, good in recent)
        # Jobs that can't succeed fail on every worker, each a few times; a worker is at
        # fault when several jobs fail there and most of its ended runs are failures.
        if len(failed_jobs) < MIN_FAILED_JOBS or failures * 2 <= len(recent):
            return False
        worker.avoid_until = now + QUARANTINE_S
        return True

    def forget(self, worker: fleet.Worker) -> None:
        """Drop the history of a worker whose incarnation has ended."""
        self.ends.pop(worker.name, None)
