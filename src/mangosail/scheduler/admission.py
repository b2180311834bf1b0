"""Admission of continuous jobs, bounded by a share of the workers' cores.

Continuous tasks hold their cores for minutes and leave the rest to short tasks, so
their total is bounded at submission: a job that would exceed the limit is rejected at
once, and its caller is told to retry. The row `CONTINUOUS` holds the cores reserved by
accepted jobs. Accepting a continuous job checks and replaces this row in one
transaction, so instances can't exceed the limit together. The leader publishes the
limit, and releases the cores of jobs that have ended.
"""

import dataclasses

import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.platform import table
from mangosail.scheduler import fleet, keys, messages, progress
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("admission")

#: Share of all cores that continuous jobs may reserve. They must still fit when a data
#: centre is lost, and best-effort work raises their tail latencies, so it needs workers
#: of its own.
CONTINUOUS_SHARE = 0.45
#: Seconds between checks whether cores can be released.
RECONCILE_INTERVAL_S = 1.0
#: Seconds within which the leader learns of every accepted job.
PROPAGATION_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ContinuousReservation:
    """Cores reserved by accepted continuous jobs that have not ended."""

    cores: float = 0.0


def continuous_cores(job: messages.Job) -> float:
    """Return the cores that a job reserves until it ends."""
    return sum(
        step.count * step.need.cpus
        for step in job.steps
        if step.continuous and not step.best_effort
    )


def continuous_core_limit(workers: fleet.Fleet) -> float:
    """Return the cores that continuous jobs may reserve in total."""
    usable = [worker for worker in workers if not worker.unlisted]
    return CONTINUOUS_SHARE * sum(worker.entry.capacity.cpus for worker in usable)


class ReservationReconciler:
    """Releases the cores of ended jobs; runs on the leader."""

    def __init__(
        self,
        rows: table.Table,
        jobs: dict[str, progress.JobProgress],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.rows = rows
        self.jobs = jobs
        self.clock = clock
        self.counters = counters
        #: Cores that the row held when it was last read or written.
        self.last_known_cores: float | None = None

    def run(self) -> None:
        """Reconcile the row periodically, without end."""
        while True:
            self.clock.sleep(RECONCILE_INTERVAL_S)
            if (
                self.last_known_cores is None
                or abs(self._reserved_cores() - self.last_known_cores) > 0.01
            ):
                self.reconcile()

    def reconcile(self) -> None:
        """Write the cores in use, unless another job was accepted in the meantime."""
        answer = self.rows.read([keys.CONTINUOUS])
        if isinstance(answer, result.Err):
            return
        row = answer.ok_value.get(keys.CONTINUOUS)
        version = row.version if row else table.ABSENT
        stored = (
            codec.from_json(row.value, ContinuousReservation)
            if row
            else ContinuousReservation()
        )
        self.clock.sleep(PROPAGATION_DELAY_S)
        current = self._reserved_cores()
        if abs(current - stored.cores) > 0.01:
            transaction = table.Transaction(
                (table.Check(keys.CONTINUOUS, version),),
                (
                    table.Write(
                        keys.CONTINUOUS, codec.to_json(ContinuousReservation(current))
                    ),
                ),
            )
            if isinstance(self.rows.commit(transaction), result.Err):
                self.counters.count("admission.return_failed")
                return
            log.info(
                "continuous reservation reconciled",
                before=stored.cores,
                after=current,
            )
        self.last_known_cores = current

    def _reserved_cores(self) -> float:
        return sum(
            continuous_cores(job.job) for job in self.jobs.values() if not job.ended
        )
