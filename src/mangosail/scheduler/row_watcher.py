"""Watching the rows under a prefix: one full read, then long polls for changes."""

import collections.abc as cabc

import gevent
import gevent.event
import logbook
import result

from mangosail import clock as clocks
from mangosail.scheduler import ports
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("following")

#: Seconds before a failed read is repeated.
RETRY_INTERVAL_S = 0.2
#: Seconds without an answer after which a read in the background is replaced.
UNANSWERED_S = 0.4
#: Size of changes that is always accepted: 0.1 s on a slow link.
MIN_CHANGES_LIMIT_BYTES = 65_536
#: Number of chunks from which on an answer counts as long.
LONG_ANSWER_CHUNKS = 2
#: Seconds for which a long poll waits for changes. A connection that went silent is
#: detected after this and the client's own time-out.
LONG_POLL_WAIT_S = 1.0


class ResponseTracker:
    """Tracks the response to one read of a watcher, from its first chunk to its end."""

    def __init__(self, watcher: "RowWatcher") -> None:
        self.watcher = watcher
        self.greenlet = gevent.getcurrent()
        #: Number of chunks that have arrived, up to `LONG_ANSWER_CHUNKS`.
        self.chunks = 0
        #: True once the read has ended, also if chunks still arrive.
        self.ended = False

    def on_data(self) -> None:
        """Record that a chunk has arrived."""
        if self.ended:
            return
        self.watcher.last_data_at = self.watcher.clock.elapsed()
        if self.chunks == LONG_ANSWER_CHUNKS:
            return
        self.chunks += 1
        if self.chunks == 1:
            self.watcher.active_responses += 1
            self.watcher.idle.clear()
        elif self.chunks == LONG_ANSWER_CHUNKS:
            self.watcher.cancel_unanswered()

    def __enter__(self) -> "ResponseTracker":
        self.watcher.trackers.append(self)
        return self

    def __exit__(self, *raised: object) -> None:
        self.ended = True
        self.watcher.trackers.remove(self)
        if not self.chunks:
            return
        self.watcher.active_responses -= 1
        if not self.watcher.active_responses:
            self.watcher.idle.set()


class RowWatcher:
    """Delivers all rows under a prefix at first, and then their changes.

    `on_changes` receives the changes, and True if they contain all existing rows.
    `latest_only` is for prefixes with few rows: if the changes are much longer than a
    row, all rows are read instead. Changes contain every version that was missed, so
    catching up over four versions of a large configuration took four times as long on
    a slow link.
    """

    def __init__(
        self,
        rows: ports.WatchableTable,
        prefix: str,
        on_changes: cabc.Callable[[ports.Changes, bool], None],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        wait: float = LONG_POLL_WAIT_S,
        latest_only: bool = False,
    ) -> None:
        self.rows = rows
        self.prefix = prefix
        self.on_changes = on_changes
        self.clock = clock
        self.counters = counters
        self.wait = wait
        self.latest_only = latest_only
        #: Bytes of the longest value at the last read that returned rows.
        self.longest_value_bytes = 0
        #: Version to read changes from, or None if all rows must be read.
        self.version: int | None = None
        #: Elapsed time up to which all changes are known.
        self.fresh_at: float | None = None
        #: Elapsed time at which a chunk of a response last arrived.
        self.last_data_at: float | None = None
        #: Number of the latest read that was started and of the latest that succeeded,
        #: and the count of failed ones.
        self.reads_started = 0
        self.latest_successful_read = 0
        self.failed_reads = 0
        #: Reads under way.
        self.trackers: list[ResponseTracker] = []
        #: Number of responses that are arriving, and an event that is set if none is.
        self.active_responses = 0
        self.idle = gevent.event.Event()
        self.idle.set()
        #: The read of `run`, and the one that callers of `refresh` share.
        self.watch_read: gevent.Greenlet | None = None
        self.refresh_read: gevent.Greenlet | None = None
        self.refresh_started_at = 0.0
        #: True unless the latest request failed.
        self.reachable = True
        #: Elapsed time of the first failure since the latest success, and the count of
        #: failed reads before it.
        self.failing_since = 0.0
        self.failures_before = 0

    def run(self) -> None:
        """Watch for ever."""
        while True:
            self.watch_once()

    def watch_once(self) -> None:
        """Wait for changes once; after a failure or a long read, do not wait.

        Without changes a long poll is answered only after its wait, so callers would be
        refused for that time (0.5 s) although the store is reachable again, or although
        the rows that have just arrived after a long time are the newest ones.
        """
        if self.active_responses:
            # It has what this read would bring, and a second copy would slow it down.
            self.idle.wait()
            return
        wait = 0 if self._is_behind() else self.wait
        self.watch_read = gevent.spawn(self.read_once, wait)
        try:
            done = self.watch_read.get()
        finally:
            self.watch_read.kill(block=False)
        if done is False:
            self.clock.sleep(RETRY_INTERVAL_S)

    def cancel_unanswered(self) -> None:
        """Cancel reads without an answer, as a long one has begun to arrive."""
        answered = {tracker.greenlet for tracker in self.trackers if tracker.chunks}
        for read in (self.watch_read, self.refresh_read):
            if read is not None and read not in answered:
                read.kill(block=False)

    def _is_behind(self) -> bool:
        """Return whether changes have been unknown for longer than polls take."""
        if not self.reachable or self.fresh_at is None:
            return True
        return self.clock.elapsed() - self.fresh_at > 2 * self.wait

    def refresh(self, timeout: float) -> bool:
        """Read all changes up to now, and return whether that succeeded.

        Concurrent callers wait for a response that is already arriving, then share one
        read. With a read for each caller, the same rows are sent many times, which on a
        slow link delays all callers. A failed read is not repeated for each caller. No
        caller waits for more than `timeout` seconds; a response that is still arriving
        then serves later callers.
        """
        started, failures = self.reads_started, self.failed_reads
        deadline = self.clock.elapsed() + timeout
        while self.latest_successful_read <= started:
            left = deadline - self.clock.elapsed()
            if self.failed_reads > failures or left <= 0:
                return False
            if self.active_responses:
                self.idle.wait(left)
                continue
            read = self.refresh_read
            if read is None or read.ready():
                read = self._start_refresh()
            read.join(left)
        return True

    def refresh_in_background(self) -> None:
        """Start a read unless an answer is arriving, or one was just started.

        After an outage `run` may wait for seconds for the answer to a request that was
        lost, and callers would be refused meanwhile. At most one read is under way for
        callers; it replaces one that got no answer.
        """
        now = self.clock.elapsed()
        if self.active_responses or now < self.refresh_started_at + UNANSWERED_S:
            return
        if self.refresh_read is not None:
            self.refresh_read.kill(block=False)
        self._start_refresh()

    def _start_refresh(self) -> gevent.Greenlet:
        self.refresh_started_at = self.clock.elapsed()
        self.refresh_read = gevent.spawn(self.read_once, 0)
        return self.refresh_read

    def read_once(self, wait: float) -> bool:
        """Read once, and return whether that succeeded."""
        self.reads_started += 1
        number = self.reads_started
        with ResponseTracker(self) as arrival:
            reason = self._read(wait, arrival.on_data)
        if not reason:
            self.latest_successful_read = max(self.latest_successful_read, number)
        self._record_result(reason)
        return not reason

    def _record_result(self, reason: str) -> None:
        """Count a failure, and log when reads begin to fail or succeed again."""
        now = self.clock.elapsed()
        if reason:
            self.failed_reads += 1
            self.counters.count("following.read_failed")
        if reason and self.reachable:
            self.failing_since = now
            self.failures_before = self.failed_reads - 1
            log.warning(
                "row watch interrupted", prefix=self.prefix, version=self.version,
                reason=reason,
            )  # fmt: skip
        if not reason and not self.reachable:
            log.info(
                "row watch resumed", prefix=self.prefix, version=self.version,
                seconds=round(now - self.failing_since, 3),
                failures=self.failed_reads - self.failures_before,
            )  # fmt: skip
        self.reachable = not reason

    def _read(self, wait: float, on_data: ports.OnData) -> str:
        """Read once; return why that failed, or an empty text."""
        sent_at = self.clock.elapsed()
        version = self.version
        if version is None:
            return self._read_all(sent_at, on_data)
        max_bytes = (
            MIN_CHANGES_LIMIT_BYTES + self.longest_value_bytes * 3 // 2
            if self.latest_only
            else None
        )
        found = self.rows.changes(self.prefix, version, wait, on_data, max_bytes)
        if isinstance(found, result.Ok):
            if self.version is not None and self.version > found.ok_value.version:
                # Another greenlet has read a later version in the meantime.
                return ""
            self._deliver(found.ok_value, False, sent_at)
            return ""
        if isinstance(found.err_value, ports.HistoryLost):
            self.counters.count("following.history_lost")
            log.info(
                "history lost; reading all rows", prefix=self.prefix, version=version
            )
            return self._read_all(sent_at, on_data)
        if isinstance(found.err_value, ports.TooLong):
            self.counters.count("following.read_whole")
            log.info("changes too long; reading all rows", prefix=self.prefix)
            return self._read_all(sent_at, on_data)
        return found.err_value.reason

    def _read_all(self, sent_at: float, on_data: ports.OnData) -> str:
        """Read all rows; return why that failed, or an empty text.

        The version may be lower than the known one if the store was set up anew, but
        not lower than what another greenlet has read meanwhile.
        """
        before = self.version
        found = self.rows.read_all(self.prefix, on_data)
        if isinstance(found, result.Err):
            return found.err_value.reason
        now = self.version
        if now is not None and now != before and now > found.ok_value.version:
            self.counters.count("following.overtaken")
            return ""
        self._deliver(found.ok_value, True, sent_at)
        return ""

    def _deliver(self, changes: ports.Changes, whole: bool, sent_at: float) -> None:
        self.version = changes.version
        self.fresh_at = sent_at
        if changes.rows:
            self.longest_value_bytes = max(len(row.value) for row in changes.rows)
        if whole or changes.rows or changes.removed:
            self.on_changes(changes, whole)
