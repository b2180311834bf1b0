"""Outlier ejection of faulty workers and detection of poisoned jobs.

A single failure does not show whether the worker or the work is at fault. A job
that failed on several otherwise healthy workers is poisoned. A worker is ejected
after several consecutive failures if at least one of them was of a kind that
succeeds on other workers and of a job that is not poisoned. Only a fraction of
the workers may be ejected at a time, and ejected workers are probed with single
tasks::

    ejection.observe("w1", "fuel.quote", "", ok=False)
    ejection.is_ejected("w1")
"""

import collections
import collections.abc as cabc
import dataclasses

from mangosail import clock as clocks
from mangosail.telemetry import counters as telemetry

#: Consecutive failures after which a worker may be ejected.
CONSECUTIVE_FAILURES = 5
#: At most one worker out of this many may be ejected at a time.
MAX_EJECTED_DIVISOR = 3
#: Seconds from ejection to the first probe; doubled by each failed probe.
PROBE_INTERVAL_S = 1.0
#: Upper bound of the interval between two probes, in seconds.
MAX_PROBE_INTERVAL_S = 30.0
#: Consecutive successful probes required to readmit a worker.
REQUIRED_PROBES = 2
#: Healthy workers on which a job must have failed to be poisoned.
MIN_POISON_WORKERS = 2
#: Failures required to poison a job that never succeeded.
MIN_POISON_FAILURES = 3
#: Jobs tracked at most; the oldest is evicted first.
MAX_JOBS = 10000
#: Seconds for which a success counts as evidence that a worker or a kind is healthy.
SUCCESS_WINDOW_S = 60.0


@dataclasses.dataclass(slots=True)
class WorkerRecord:
    """Recent outcomes on one worker; times are monotonic."""

    last_success: dict[str, float] = dataclasses.field(default_factory=dict)
    #: Kind and job of each failure since the last success.
    failures: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    ejected: bool = False
    next_probe_at: float = 0.0
    probe_interval: float = PROBE_INTERVAL_S
    probe_successes: int = 0


@dataclasses.dataclass(slots=True)
class JobRecord:
    """Failures of a job by worker, and successes on all workers."""

    failures_by_worker: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    successes: int = 0


class Ejection:
    """Tracks outcomes by worker and job.

    `worker_names` returns the owned workers, `listed_workers` the number of all listed
    ones, 0 if that is not known.
    """

    def __init__(
        self,
        worker_names: cabc.Callable[[], list[str]],
        listed_workers: cabc.Callable[[], int],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.worker_names = worker_names
        self.listed_workers = listed_workers
        self.clock = clock
        self.counters = counters
        self.workers: dict[str, WorkerRecord] = {}
        self.jobs: dict[str, JobRecord] = {}

    def observe(self, worker: str, kind: str, job: str, ok: bool) -> None:
        """Record the end of a task; refused, lost and late tasks count as failed."""
        record = self.workers.setdefault(worker, WorkerRecord())
        job_record = self._job_record(job) if job else None
        if ok:
            self._on_success(worker, record, kind)
            if job_record:
                job_record.successes += 1
            return
        if job_record:
            job_record.failures_by_worker[worker] += 1
        record.failures = [*record.failures[-CONSECUTIVE_FAILURES:], (kind, job)]
        if record.ejected:
            self._on_probe_failure(record)
        elif self._is_at_fault(worker, record) and self._may_eject():
            self._eject(record)

    def is_ejected(self, worker: str) -> bool:
        """Return whether `worker` is ejected and receives only probes."""
        record = self.workers.get(worker)
        return record is not None and record.ejected

    def may_probe(self, worker: str) -> bool:
        """Return whether a probe may be sent to an ejected worker now."""
        record = self.workers.get(worker)
        return record is not None and self.clock.monotonic() >= record.next_probe_at

    def poison_reason(self, job: str) -> str | None:
        """Return why `job` is considered poisoned, or None if it is not."""
        record = self.jobs.get(job)
        if record is None or record.successes:
            return None
        if record.failures_by_worker.total() < MIN_POISON_FAILURES:
            return None
        healthy = [w for w in record.failures_by_worker if self._is_healthy(w)]
        # Not of the owned ones: the only worker of an instance may be the one that is
        # sick, while the job would do well on those of others.
        listed = self.listed_workers() or MIN_POISON_WORKERS
        if len(healthy) < min(MIN_POISON_WORKERS, listed):
            return None
        return "fails_everywhere"

    def _on_success(self, worker: str, record: WorkerRecord, kind: str) -> None:
        record.last_success[kind] = self.clock.monotonic()
        record.failures = []
        if not record.ejected:
            return
        record.probe_successes += 1
        if record.probe_successes >= REQUIRED_PROBES:
            self.workers[worker] = WorkerRecord(last_success=record.last_success)
            self.counters.count("placement.readmitted")

    def _is_at_fault(self, worker: str, record: WorkerRecord) -> bool:
        if len(record.failures) < CONSECUTIVE_FAILURES:
            return False
        return any(
            self._succeeds_elsewhere(worker, kind) and self.poison_reason(job) is None
            for kind, job in record.failures
        )

    def _succeeds_elsewhere(self, worker: str, kind: str) -> bool:
        now = self.clock.monotonic()
        return any(
            now - record.last_success.get(kind, -SUCCESS_WINDOW_S) < SUCCESS_WINDOW_S
            for name, record in self.workers.items()
            if name != worker
        )

    def _is_healthy(self, worker: str) -> bool:
        record = self.workers[worker]
        now = self.clock.monotonic()
        return not record.ejected and any(
            now - at < SUCCESS_WINDOW_S for at in record.last_success.values()
        )

    def _may_eject(self) -> bool:
        names = self.worker_names()
        ejected = sum(self.is_ejected(name) for name in names)
        limit = max(len(names) // MAX_EJECTED_DIVISOR, 1) if len(names) > 1 else 0
        if ejected >= limit:
            self.counters.count("placement.ejection_bounded")
        return ejected < limit

    def _eject(self, record: WorkerRecord) -> None:
        record.ejected = True
        record.next_probe_at = self.clock.monotonic() + record.probe_interval
        self.counters.count("placement.ejected")

    def _on_probe_failure(self, record: WorkerRecord) -> None:
        record.probe_successes = 0
        record.probe_interval = min(record.probe_interval * 2, MAX_PROBE_INTERVAL_S)
        record.next_probe_at = self.clock.monotonic() + record.probe_interval

    def _job_record(self, job: str) -> JobRecord:
        if job not in self.jobs and len(self.jobs) >= MAX_JOBS:
            self.jobs.pop(next(iter(self.jobs)))
        return self.jobs.setdefault(job, JobRecord())
