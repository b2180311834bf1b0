"""Tells a worker that fails everything from a job that fails everywhere.

A failure alone does not say whose fault it is. The work that failed is asked
first: a job that failed on several workers that do other work well is poisoned.
A worker is ejected when it has failed several tasks in a row, of which at least
one was of a kind or job that others do well. A share of the workers at most is
ejected, and each is tried again with single tasks::

    ejection.observe("w1", "fuel.quote", "", ok=False)
    ejection.ejected("w1")
"""

import collections
import collections.abc as cabc
import dataclasses

from mangosail import clock as clocks
from mangosail.telemetry import counters as telemetry

#: Failures in a row after which a worker is suspected.
CONSECUTIVE_FAILURES = 5
#: One in so many workers may be ejected at a time.
MAX_EJECTED_DIVISOR = 3
#: Seconds from ejection to the first probe; each failed probe doubles it.
PROBE_INTERVAL_S = 1.0
#: Longest time in seconds between two probes.
MAX_PROBE_INTERVAL_S = 30.0
#: Probes that must succeed in a row for the worker to come back.
REQUIRED_PROBES = 2
#: Workers on which a job must have failed, each doing other work well.
MIN_POISON_WORKERS = 2
#: Failures of a job that had no success at all.
MIN_POISON_FAILURES = 3
#: Jobs that are remembered.
MAX_JOBS = 10000
#: Seconds for which a success speaks for a worker or a kind.
SUCCESS_WINDOW_S = 60.0


@dataclasses.dataclass(slots=True)
class WorkerRecord:
    """What is known of one worker; times are monotonic."""

    last_success: dict[str, float] = dataclasses.field(default_factory=dict)
    #: Kinds and jobs of the failures since the last success.
    failures: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    ejected: bool = False
    next_probe_at: float = 0.0
    probe_interval: float = PROBE_INTERVAL_S
    probe_successes: int = 0


@dataclasses.dataclass(slots=True)
class JobRecord:
    """Where a job's tasks failed, and how many succeeded anywhere."""

    failures_by_worker: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    successes: int = 0


class Ejection:
    """Outcomes by worker and by job; `names` returns the workers in use."""

    def __init__(
        self,
        worker_names: cabc.Callable[[], list[str]],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.worker_names = worker_names
        self.clock = clock
        self.counters = counters
        self.workers: dict[str, WorkerRecord] = {}
        self.jobs: dict[str, JobRecord] = {}

    def observe(self, worker: str, kind: str, job: str, ok: bool) -> None:
        """Take in the end of a task; refused, lost and late ones count as failed."""
        standing = self.workers.setdefault(worker, WorkerRecord())
        record = self._job_record(job) if job else None
        if ok:
            self._on_success(worker, standing, kind)
            if record:
                record.successes += 1
            return
        if record:
            record.failures_by_worker[worker] += 1
        standing.failures = [*standing.failures[-CONSECUTIVE_FAILURES:], (kind, job)]
        if standing.ejected:
            self._on_probe_failure(standing)
        elif self._is_at_fault(worker, standing) and self._may_eject():
            self._eject(standing)

    def is_ejected(self, worker: str) -> bool:
        """Tell whether `worker` gets nothing but probes."""
        standing = self.workers.get(worker)
        return standing is not None and standing.ejected

    def may_probe(self, worker: str) -> bool:
        """Tell whether a single task may be tried on an ejected worker."""
        standing = self.workers.get(worker)
        return standing is not None and self.clock.monotonic() >= standing.next_probe_at

    def poison_reason(self, job: str) -> str | None:
        """Return why `job` can't succeed anywhere, or None."""
        record = self.jobs.get(job)
        if record is None or record.successes:
            return None
        if record.failures_by_worker.total() < MIN_POISON_FAILURES:
            return None
        sound = [w for w in record.failures_by_worker if self._is_healthy(w)]
        if len(sound) < min(MIN_POISON_WORKERS, len(self.worker_names())):
            return None
        return "fails_everywhere"

    def _on_success(self, worker: str, standing: WorkerRecord, kind: str) -> None:
        standing.last_success[kind] = self.clock.monotonic()
        standing.failures = []
        if not standing.ejected:
            return
        standing.probe_successes += 1
        if standing.probe_successes >= REQUIRED_PROBES:
            self.workers[worker] = WorkerRecord(last_success=standing.last_success)
            self.counters.count("placement.readmitted")

    def _is_at_fault(self, worker: str, standing: WorkerRecord) -> bool:
        if len(standing.failures) < CONSECUTIVE_FAILURES:
            return False
        return any(
            self._succeeds_elsewhere(worker, kind) and self.poison_reason(job) is None
            for kind, job in standing.failures
        )

    def _succeeds_elsewhere(self, worker: str, kind: str) -> bool:
        now = self.clock.monotonic()
        return any(
            now - standing.last_success.get(kind, -SUCCESS_WINDOW_S) < SUCCESS_WINDOW_S
            for name, standing in self.workers.items()
            if name != worker
        )

    def _is_healthy(self, worker: str) -> bool:
        standing = self.workers[worker]
        now = self.clock.monotonic()
        return not standing.ejected and any(
            now - at < SUCCESS_WINDOW_S for at in standing.last_success.values()
        )

    def _may_eject(self) -> bool:
        names = self.worker_names()
        ejected = sum(self.is_ejected(name) for name in names)
        limit = max(len(names) // MAX_EJECTED_DIVISOR, 1) if len(names) > 1 else 0
        if ejected >= limit:
            self.counters.count("placement.ejection_bounded")
        return ejected < limit

    def _eject(self, standing: WorkerRecord) -> None:
        standing.ejected = True
        standing.next_probe_at = self.clock.monotonic() + standing.probe_interval
        self.counters.count("placement.ejected")

    def _on_probe_failure(self, standing: WorkerRecord) -> None:
        standing.probe_successes = 0
        standing.probe_interval = min(standing.probe_interval * 2, MAX_PROBE_INTERVAL_S)
        standing.next_probe_at = self.clock.monotonic() + standing.probe_interval

    def _job_record(self, job: str) -> JobRecord:
        if job not in self.jobs and len(self.jobs) >= MAX_JOBS:
            self.jobs.pop(next(iter(self.jobs)))
        return self.jobs.setdefault(job, JobRecord())
