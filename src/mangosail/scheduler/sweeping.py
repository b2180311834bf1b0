"""Clearing away what the store keeps of jobs that are over.

A job's row stays for as long as its state can be asked for, so that a repeated
hand-in is known; its text goes as soon as the job is over. All of it happens in the
background and may be left undone: nothing rests on it but the size of the store.
"""

import collections.abc as cabc
import heapq

import logbook
import result

from mangosail import clock as clocks
from mangosail.platform import table
from mangosail.scheduler import keys
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("sweeping")

#: Seconds between sweeps.
SWEEP_INTERVAL_S = 1.5
#: Rows changed by one transaction at most; the platform takes 100.
MAX_ROWS = 80


class Sweeper:
    """Clears rows of jobs that are over; for the leader."""

    def __init__(
        self,
        rows: table.Table,
        on_dropped: cabc.Callable[[str], None],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.rows = rows
        #: Told of each job of which nothing is kept any more.
        self.on_dropped = on_dropped
        self.clock = clock
        self.counters = counters
        #: Keys of jobs' rows whose text is not needed any more.
        self.ended: list[str] = []
        #: Wall times from which rows may be dropped, with their keys.
        self.due: list[tuple[float, str]] = []
        #: Writes that failed, for the next sweep.
        self.failed: list[table.Write] = []

    def job_ended(self, job_key: str, drop_at: float) -> None:
        """Clear a job's row soon, and drop all that is kept of it after `drop_at`."""
        self.ended.append(job_key)
        self.schedule_drop(job_key, drop_at)

    def schedule_drop(self, job_key: str, drop_at: float) -> None:
        """Drop all that is kept of a job after the wall time `drop_at`."""
        heapq.heappush(self.due, (drop_at, job_key))

    def run(self) -> None:
        """Sweep for ever."""
        while True:
            self.clock.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Clear and drop what is due; what fails is left for the next sweep."""
        over, self.ended = self.ended, []
        writes, self.failed = self.failed, []
        writes += [table.Write(key, keys.ENDED_JOB_TEXT) for key in over]
        while self.due and self.due[0][0] <= self.clock.wall():
            _, key = heapq.heappop(self.due)
            job_id = keys.job_id(key)
            writes.append(table.Write(key, None))
            writes.append(table.Write(keys.cancellation(job_id), None))
            writes.append(table.Write(keys.state(job_id), None))
        for group in by_shard(writes):
            done = self.rows.commit(table.Transaction((), tuple(group)))
            if isinstance(done, result.Err):
                self.counters.count("sweeping.failed")
                self.failed += group
                continue
            for write in group:
                if write.value is None:
                    self.on_dropped(keys.job_id(write.key))


def by_shard(writes: cabc.Iterable[table.Write]) -> list[list[table.Write]]:
    """Return the writes in groups that one transaction can take each."""
    groups: dict[str, list[table.Write]] = {}
    for write in writes:
        groups.setdefault(keys.shard_of(write.key), []).append(write)
    return [
        group[first : first + MAX_ROWS]
        for group in groups.values()
        for first in range(0, len(group), MAX_ROWS)
    ]
