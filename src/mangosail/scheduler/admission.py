"""How much of the workers' cores continuous jobs may take.

Continuous work holds its room for minutes and short work has to do with the rest, so it
is bounded when it is handed in: a job over the bound is refused at once, and its
caller told to come back. The row `CONTINUOUS` holds what was accepted; accepting a
continuous job checks and replaces it, so instances can't exceed the bound together.
The leader says what the bound is, and gives back what ended jobs had.
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

#: Share of all cores that continuous jobs may take. They must still fit when a data
#: centre is lost, and best-effort work disturbs them, so it needs workers of its own.
#: At 0.5 three of ten releases were late on days of high load, at 0.45 one of ten (mean
#: of two days each).
CONTINUOUS_SHARE = 0.45
#: Seconds between looks at whether room can be given back.
RECONCILE_INTERVAL_S = 1.0
#: Seconds by which the leader has surely heard of each job that was accepted.
PROPAGATION_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ContinuousReservation:
    """Cores of the accepted continuous jobs and are not over."""

    cores: float = 0.0


def continuous_cores(job: messages.Job) -> float:
    """Return the cores that a job holds for as long as it lasts."""
    return sum(
        step.count * step.need.cpus
        for step in job.steps
        if step.continuous and not step.best_effort
    )


def continuous_core_limit(workers: fleet.Fleet) -> float:
    """Return the cores that continuous jobs may take together."""
    usable = [worker for worker in workers if not worker.unlisted]
    return CONTINUOUS_SHARE * sum(worker.entry.capacity.cpus for worker in usable)


class ReservationReconciler:
    """Gives back the room of jobs that are over; for the leader."""

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
        #: What the row held when it was last read or written.
        self.last_known_cores: float | None = None

    def run(self) -> None:
        """Give back for ever."""
        while True:
            self.clock.sleep(RECONCILE_INTERVAL_S)
            if (
                self.last_known_cores is None
                or abs(self._reserved_cores() - self.last_known_cores) > 0.01
            ):
                self.reconcile()

    def reconcile(self) -> None:
        """Write what the jobs hold, unless another one was accepted meanwhile."""
        found = self.rows.read([keys.CONTINUOUS])
        if isinstance(found, result.Err):
            return
        row = found.ok_value.get(keys.CONTINUOUS)
        version = row.version if row else table.ABSENT
        taken = (
            codec.from_json(row.value, ContinuousReservation)
            if row
            else ContinuousReservation()
        )
        self.clock.sleep(PROPAGATION_DELAY_S)
        present = self._reserved_cores()
        if abs(present - taken.cores) > 0.01:
            transaction = table.Transaction(
                (table.Check(keys.CONTINUOUS, version),),
                (
                    table.Write(
                        keys.CONTINUOUS, codec.to_json(ContinuousReservation(present))
                    ),
                ),
            )
            if isinstance(self.rows.commit(transaction), result.Err):
                self.counters.count("admission.return_failed")
                return
            log.info("room given back", before=taken.cores, after=present)
        self.last_known_cores = present

    def _reserved_cores(self) -> float:
        return sum(
            continuous_cores(job.job) for job in self.jobs.values() if not job.ended
        )
