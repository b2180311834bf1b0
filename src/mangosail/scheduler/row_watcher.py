"""Following the rows of a kind: read once, then their changes, one greenlet each."""

import collections.abc as cabc

import gevent
import gevent.event
import logbook
import result

from mangosail import clock as clocks
from mangosail.scheduler import ports
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("following")

#: Seconds before a failed reading is tried again.
RETRY_INTERVAL_S = 0.2
#: Bytes of changes that are read however long a row is: a narrow link takes 0.1 s.
SMALL_CHANGES = 65_536
#: Seconds for which one request waits for changes. A connection that went silent
#: is found by the end of this and the client's own time limit.
WAIT = 1.0


class Arrival:
    """The answer to one reading of a follower, from its first part to its end."""

    def __init__(self, watcher: "RowWatcher") -> None:
        self.watcher = watcher
        self.started = False

    def on_data(self) -> None:
        """Note that a part has come."""
        self.watcher.last_data_at = self.watcher.clock.elapsed()
        if not self.started:
            self.started = True
            self.watcher.active_responses += 1
            self.watcher.idle.clear()

    def __enter__(self) -> "Arrival":
        return self

    def __exit__(self, *raised: object) -> None:
        if not self.started:
            return
        self.watcher.active_responses -= 1
        if not self.watcher.active_responses:
            self.watcher.idle.set()


class RowWatcher:
    """Passes the rows under a prefix on, whole at first and then as they change.

    `take` gets the changes, and True if they are all rows there are. With `latest_only`
    the rows are few, and in place of changes that are much longer than a row was, all
    rows are read. Changes hold each version that was missed: an instance with a narrow
    link, four versions of a large configuration behind, took four times as long.
    """

    def __init__(
        self,
        rows: ports.WatchableTable,
        prefix: str,
        on_changes: cabc.Callable[[ports.Changes, bool], None],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        wait: float = WAIT,
        latest_only: bool = False,
    ) -> None:
        self.rows = rows
        self.prefix = prefix
        self.on_changes = on_changes
        self.clock = clock
        self.counters = counters
        self.wait = wait
        self.latest_only = latest_only
        #: Bytes of the longest text of a row, as last read.
        self.longest_value_bytes = 0
        #: Version to go on from, or None if all rows must be read.
        self.version: int | None = None
        #: Elapsed time at which all that had changed was last known.
        self.fresh_at: float | None = None
        #: Elapsed time at which a part of an answer last came.
        self.last_data_at: float | None = None
        #: Number of the latest reading that was begun, of the latest of those that went
        #: well, and how many have failed.
        self.reads_started = 0
        self.read_through = 0
        self.failed_reads = 0
        #: Answers that are arriving now, and whether there are none.
        self.active_responses = 0
        self.idle = gevent.event.Event()
        self.idle.set()
        #: Reads for those who ask for what has changed until now.
        self.refreshing: gevent.Greenlet | None = None
        #: True unless the latest request failed.
        self.reachable = True
        #: Elapsed time of the first failure since the latest success.
        self.failing_since = 0.0

    def run(self) -> None:
        """Follow for ever."""
        while True:
            self.watch_once()

    def watch_once(self) -> None:
        """Wait for changes once; after a failure ask at once instead.

        A request that waits is answered only once its wait is over where nothing has
        changed: callers were refused for 0.5 s more although the store was back.
        """
        if not self.read_once(self.wait if self.reachable else 0):
            self.clock.sleep(RETRY_INTERVAL_S)

    def refresh(self, timeout: float) -> bool:
        """Read what has changed until now, and tell whether that went well.

        Those who ask while an answer arrives wait for it, and share one reading after
        it: each made the same rows be sent once more, and on a narrow link all of them
        came as many times later. A reading that failed meanwhile is not repeated for
        each. Nobody is kept for more than `term` seconds; what is arriving by then is
        there for those who come later.
        """
        asked, failures = self.reads_started, self.failed_reads
        deadline = self.clock.elapsed() + timeout
        while self.read_through <= asked:
            left = deadline - self.clock.elapsed()
            if self.failed_reads > failures or left <= 0:
                return False
            if self.active_responses:
                self.idle.wait(left)
                continue
            if self.refreshing is None or self.refreshing.ready():
                self.refreshing = gevent.spawn(self.read_once, 0)
            self.refreshing.join(left)
        return True

    def read_once(self, wait: float) -> bool:
        """Read once, and tell whether that went well."""
        self.reads_started += 1
        number = self.reads_started
        with Arrival(self) as arrival:
            reason = self._read(wait, arrival.on_data)
        if not reason:
            self.read_through = max(self.read_through, number)
        self._record_result(reason)
        return not reason

    def _record_result(self, reason: str) -> None:
        """Log that the rows are out of reach, or in reach again."""
        now = self.clock.elapsed()
        if reason:
            self.failed_reads += 1
            self.counters.count("following.read_failed")
        if reason and self.reachable:
            self.failing_since = now
            log.warning(
                "following interrupted", prefix=self.prefix, version=self.version,
                reason=reason,
            )  # fmt: skip
        if not reason and not self.reachable:
            log.info(
                "following again", prefix=self.prefix, version=self.version,
                seconds=round(now - self.failing_since, 3),
            )  # fmt: skip
        self.reachable = not reason

    def _read(self, wait: float, heard: ports.OnData) -> str:
        """Read once; return why that failed, or an empty text."""
        sent_at = self.clock.elapsed()
        version = self.version
        if version is None:
            return self._read_all(sent_at, heard)
        most = (
            SMALL_CHANGES + self.longest_value_bytes * 3 // 2
            if self.latest_only
            else None
        )
        found = self.rows.changes(self.prefix, version, wait, heard, most)
        if isinstance(found, result.Ok):
            if self.version is not None and self.version > found.ok_value.version:
                # Another greenlet has read further meanwhile.
                return ""
            self._deliver(found.ok_value, False, sent_at)
            return ""
        if isinstance(found.err_value, ports.HistoryLost):
            self.counters.count("following.history_lost")
            log.info("history lost", prefix=self.prefix, version=version)
            return self._read_all(sent_at, heard)
        if isinstance(found.err_value, ports.TooLong):
            self.counters.count("following.read_whole")
            return self._read_all(sent_at, heard)
        return found.err_value.reason

    def _read_all(self, sent_at: float, heard: ports.OnData) -> str:
        """Read all rows; return why that failed, or an empty text."""
        found = self.rows.read_all(self.prefix, heard)
        if isinstance(found, result.Err):
            return found.err_value.reason
        self._deliver(found.ok_value, True, sent_at)
        return ""

    def _deliver(self, changes: ports.Changes, whole: bool, sent_at: float) -> None:
        self.version = changes.version
        self.fresh_at = sent_at
        if changes.rows:
            self.longest_value_bytes = max(len(row.value) for row in changes.rows)
        if whole or changes.rows or changes.removed:
            self.on_changes(changes, whole)
