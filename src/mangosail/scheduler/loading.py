"""Loading of what earlier leaders have stored, at a takeover."""

import collections.abc as cabc
import typing as t

import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.platform import errors as store_errors
from mangosail.platform import table
from mangosail.scheduler import keys, ports, records, yielding
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("scheduler")

T = t.TypeVar("T")

#: Seconds between attempts to read rows.
RETRY_INTERVAL_S = 0.1


class Loader:
    """Reads rows until the store answers, and skips those that can't be decoded."""

    def __init__(
        self,
        rows: ports.WatchableTable,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.rows = rows
        self.clock = clock
        self.counters = counters

    def read_records(self) -> tuple[dict[str, records.JobRecord], set[str]]:
        """Return the progress records by job, and the jobs with unreadable ones."""
        stored = self.read_until_answered(lambda: self.rows.read_all(keys.STATES))
        found, unreadable = {}, set()
        yielder = yielding.CooperativeYielder(self.clock)
        for row in stored.rows:
            yielder.yield_if_due()
            record = self.decode(row.key, row.value, records.decode)
            if record is None:
                unreadable.add(keys.job_id(row.key))
            else:
                found[keys.job_id(row.key)] = record
        return found, unreadable

    def read_leader_rows(self) -> dict[str, table.Row]:
        """Return the rows with learned interference and routes, if they exist."""
        wanted = [keys.LEARNED, keys.ROUTES]
        return self.read_until_answered(lambda: self.rows.read(wanted))

    def read_until_answered(
        self, read: cabc.Callable[[], result.Result[T, store_errors.Unavailable]]
    ) -> T:
        """Return what the store answers, however often it has to be asked."""
        while True:
            found = read()
            if isinstance(found, result.Ok):
                return found.ok_value
            self.clock.sleep(RETRY_INTERVAL_S)

    def decode(self, key: str, text: str, decode: cabc.Callable[[str], T]) -> T | None:
        """Decode the text of a row with `decode`; return None if it raises."""
        try:
            return decode(text)
        except codec.DecodeError as exc:
            self.counters.count("scheduler.row_unreadable")
            log.error("row cannot be decoded", key=key, error=str(exc))
            return None
