"""Which workers fail what they start, judged against the others."""

import collections

from mangosail.scheduler import fleet

#: Seconds for which an end counts towards a worker's judgement.
FAILURE_WINDOW_S = 5.0
#: Failed ends, of as many jobs, after which a worker is set aside.
MIN_FAILED_JOBS = 2
#: Seconds for which a worker is set aside; then it is tried again.
QUARANTINE_S = 3.0
#: Ends that are remembered for each worker at most.
MAX_ENDS_PER_WORKER = 64


class Health:
    """Remembers the latest ends on each worker."""

    def __init__(self) -> None:
        self.ends: dict[str, collections.deque[tuple[float, str, bool]]] = {}

    def record(
        self, worker: fleet.Worker, job_id: str, succeeded: bool, now: float
    ) -> bool:
        """Take in an end, and tell whether the worker is set aside for it."""
        ends = self.ends.setdefault(
            worker.name, collections.deque(maxlen=MAX_ENDS_PER_WORKER)
        )
        ends.append((now, job_id, succeeded))
        if succeeded:
            return False
        recent = [end for end in ends if now - end[0] <= FAILURE_WINDOW_S]
        failed = {job for _, job, fine in recent if not fine}
        failures = sum(not fine for _, _, fine in recent)
        # Jobs that can never be done fail everywhere, each a few times; a worker
        # is at fault when several jobs fail there and most ends are failures.
        if len(failed) < MIN_FAILED_JOBS or failures * 2 <= len(recent):
            return False
        worker.avoid_until = now + QUARANTINE_S
        return True

    def forget(self, worker: fleet.Worker) -> None:
        """Drop what is known of a worker whose life is over."""
        self.ends.pop(worker.name, None)
