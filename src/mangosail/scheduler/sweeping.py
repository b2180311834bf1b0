"""Removal of the stored rows of jobs that have ended.

The row of a job is kept for as long as its state can be queried, so that a repeated
submission is recognized; its text is cleared as soon as the job has ended. This runs in
the background and may be left undone: only the size of the store depends on it.
"""

import collections.abc as cabc
import heapq

import logbook
import result

from mangosail import clock as clocks
from mangosail.platform import table
from mangosail.scheduler import keys, ports
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("sweeping")

#: Seconds between sweeps.
SWEEP_INTERVAL_S = 1.5
#: Seconds between reads of the rows of refused jobs.
REFUSALS_INTERVAL_S = 30.0
#: Seconds for which these rows are kept. A write without an answer may take effect
#: seconds later, and as long it must find the row.
REFUSAL_RETENTION_S = 60.0
#: Maximum number of rows changed by one transaction; the platform accepts 100.
MAX_ROWS = 80


class Sweeper:
    """Clears rows of ended jobs; runs on the leader."""

    def __init__(
        self,
        rows: ports.WatchableTable,
        on_dropped: cabc.Callable[[str], None],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.rows = rows
        #: Called with each job of which nothing is stored any more.
        self.on_dropped = on_dropped
        self.clock = clock
        self.counters = counters
        #: Keys of job rows whose text is no longer needed.
        self.ended: list[str] = []
        #: Wall times from which rows may be dropped, with their keys.
        self.due: list[tuple[float, str]] = []
        #: Writes that failed, to be retried by the next sweep.
        self.failed: list[table.Write] = []
        #: Rows of refused jobs by key: version, and elapsed time of the first read.
        self.refusals: dict[str, tuple[int, float]] = {}
        self.read_refusals_at = 0.0

    def job_ended(self, job_key: str, drop_at: float) -> None:
        """Clear a job's row soon, and drop all rows of the job after `drop_at`."""
        self.ended.append(job_key)
        self.schedule_drop(job_key, drop_at)

    def schedule_drop(self, job_key: str, drop_at: float) -> None:
        """Drop all rows of a job after the wall time `drop_at`."""
        heapq.heappush(self.due, (drop_at, job_key))

    def run(self) -> None:
        """Sweep periodically, without end."""
        while True:
            self.clock.sleep(SWEEP_INTERVAL_S)
            self.sweep()
            if self.clock.elapsed() >= self.read_refusals_at:
                self.read_refusals_at = self.clock.elapsed() + REFUSALS_INTERVAL_S
                self.sweep_refusals()

    def sweep(self) -> None:
        """Clear and drop what is due; failed writes are left for the next sweep."""
        ended, self.ended = self.ended, []
        writes, self.failed = self.failed, []
        writes += [table.Write(key, keys.ENDED_JOB_TEXT) for key in ended]
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

    def sweep_refusals(self) -> None:
        """Drop the rows of refused jobs that are old enough.

        Their age counts from when this leader has first read them. A row that was
        replaced meanwhile is kept, as the refusal was renewed.
        """
        now = self.clock.elapsed()
        found = self.rows.read_all(keys.REFUSALS)
        if isinstance(found, result.Err):
            self.counters.count("sweeping.failed")
            return
        known, self.refusals = self.refusals, {}
        due: list[table.Write] = []
        for row in found.ok_value.rows:
            version, read_at = known.get(row.key, (row.version, now))
            if version != row.version:
                read_at = now
            self.refusals[row.key] = row.version, read_at
            if now - read_at >= REFUSAL_RETENTION_S:
                due.append(table.Write(row.key, None))
        self._drop_refusals(due)

    def _drop_refusals(self, due: list[table.Write]) -> None:
        """Drop rows of refused jobs that still have the version that was read."""
        # Each row takes two entries of a transaction: a check and a write.
        for group in by_shard(due, MAX_ROWS // 2):
            checks = [
                table.Check(write.key, self.refusals[write.key][0]) for write in group
            ]
            done = self.rows.commit(table.Transaction(tuple(checks), tuple(group)))
            if isinstance(done, result.Err):
                self.counters.count("sweeping.failed")


def by_shard(
    writes: cabc.Iterable[table.Write], max_rows: int = MAX_ROWS
) -> list[list[table.Write]]:
    """Return the writes in groups that each fit into one transaction."""
    groups: dict[str, list[table.Write]] = {}
    for write in writes:
        groups.setdefault(keys.shard_of(write.key), []).append(write)
    return [
        group[first : first + max_rows]
        for group in groups.values()
        for first in range(0, len(group), max_rows)
    ]
