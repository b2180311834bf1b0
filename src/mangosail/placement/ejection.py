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
FAILURES = 5
#: One in so many workers may be ejected at a time.
EJECTED_ONE_IN = 3
#: Seconds from ejection to the first probe; each failed probe doubles it.
PROBE_INTERVAL = 1.0
#: Longest time in seconds between two probes.
LONGEST_PROBE_INTERVAL = 30.0
#: Probes that must succeed in a row for the worker to come back.
PROBES = 2
#: Workers on which a job must have failed, each doing other work well.
POISON_WORKERS = 2
#: Failures of a job that had no success at all.
POISON_FAILURES = 3
#: Jobs that are remembered.
JOBS_KEPT = 10000
#: Seconds for which a success speaks for a worker or a kind.
SUCCESS_TERM = 60.0


@dataclasses.dataclass(slots=True)
class Standing:
    """What is known of one worker; times are monotonic."""

    succeeded: dict[str, float] = dataclasses.field(default_factory=dict)
    #: Kinds and jobs of the failures since the last success.
    failures: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    ejected: bool = False
    probe_at: float = 0.0
    interval: float = PROBE_INTERVAL
    probes: int = 0


@dataclasses.dataclass(slots=True)
class JobRecord:
    """Where a job's tasks failed, and how many succeeded anywhere."""

    failed_on: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    succeeded: int = 0


class Ejection:
    """Outcomes by worker and by job; `names` returns the workers in use."""

    def __init__(
        self,
        names: cabc.Callable[[], list[str]],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.names = names
        self.clock = clock
        self.counters = counters
        self.workers: dict[str, Standing] = {}
        self.jobs: dict[str, JobRecord] = {}

    def observe(self, worker: str, kind: str, job: str, ok: bool) -> None:
        """Take in the end of a task; refused, lost and late ones count as failed."""
        standing = self.workers.setdefault(worker, Standing())
        record = self._record(job) if job else None
        if ok:
            self._succeeded(worker, standing, kind)
            if record:
                record.succeeded += 1
            return
        if record:
            record.failed_on[worker] += 1
        standing.failures = [*standing.failures[-FAILURES:], (kind, job)]
        if standing.ejected:
            self._probe_failed(standing)
        elif self._guilty(worker, standing) and self._may_eject():
            self._eject(standing)

    def ejected(self, worker: str) -> bool:
        """Tell whether `worker` gets nothing but probes."""
        standing = self.workers.get(worker)
        return standing is not None and standing.ejected

    def may_probe(self, worker: str) -> bool:
        """Tell whether a single task may be tried on an ejected worker."""
        standing = self.workers.get(worker)
        return standing is not None and self.clock.monotonic() >= standing.probe_at

    def poisoned(self, job: str) -> str | None:
        """Return why `job` can't succeed anywhere, or None."""
        record = self.jobs.get(job)
        if record is None or record.succeeded:
            return None
        if record.failed_on.total() < POISON_FAILURES:
            return None
        sound = [w for w in record.failed_on if self._does_well(w)]
        if len(sound) < min(POISON_WORKERS, len(self.names())):
            return None
        return "fails_everywhere"

    def _succeeded(self, worker: str, standing: Standing, kind: str) -> None:
        standing.succeeded[kind] = self.clock.monotonic()
        standing.failures = []
        if not standing.ejected:
            return
        standing.probes += 1
        if standing.probes >= PROBES:
            self.workers[worker] = Standing(succeeded=standing.succeeded)
            self.counters.count("placement.readmitted")

    def _guilty(self, worker: str, standing: Standing) -> bool:
        if len(standing.failures) < FAILURES:
            return False
        return any(
            self._done_elsewhere(worker, kind) and self.poisoned(job) is None
            for kind, job in standing.failures
        )

    def _done_elsewhere(self, worker: str, kind: str) -> bool:
        now = self.clock.monotonic()
        return any(
            now - standing.succeeded.get(kind, -SUCCESS_TERM) < SUCCESS_TERM
            for name, standing in self.workers.items()
            if name != worker
        )

    def _does_well(self, worker: str) -> bool:
        standing = self.workers[worker]
        now = self.clock.monotonic()
        return not standing.ejected and any(
            now - at < SUCCESS_TERM for at in standing.succeeded.values()
        )

    def _may_eject(self) -> bool:
        names = self.names()
        ejected = sum(self.ejected(name) for name in names)
        limit = max(len(names) // EJECTED_ONE_IN, 1) if len(names) > 1 else 0
        if ejected >= limit:
            self.counters.count("placement.ejection_bounded")
        return ejected < limit

    def _eject(self, standing: Standing) -> None:
        standing.ejected = True
        standing.probe_at = self.clock.monotonic() + standing.interval
        self.counters.count("placement.ejected")

    def _probe_failed(self, standing: Standing) -> None:
        standing.probes = 0
        standing.interval = min(standing.interval * 2, LONGEST_PROBE_INTERVAL)
        standing.probe_at = self.clock.monotonic() + standing.interval

    def _record(self, job: str) -> JobRecord:
        if job not in self.jobs and len(self.jobs) >= JOBS_KEPT:
            self.jobs.pop(next(iter(self.jobs)))
        return self.jobs.setdefault(job, JobRecord())
