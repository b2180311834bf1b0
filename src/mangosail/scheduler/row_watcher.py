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
RETRY_INTERVAL = 0.2
#: Bytes of changes that are read however long a row is: a narrow link takes 0.1 s.
SMALL_CHANGES = 65_536
#: Seconds for which one request waits for changes. A connection that went silent
#: is found by the end of this and the client's own time limit.
WAIT = 1.0


class Arrival:
    """The answer to one reading of a follower, from its first part to its end."""

    def __init__(self, follower: "Follower") -> None:
        self.follower = follower
        self.begun = False

    def heard(self) -> None:
        """Note that a part has come."""
        self.follower.heard_at = self.follower.clock.elapsed()
        if not self.begun:
            self.begun = True
            self.follower.arriving += 1
            self.follower.idle.clear()

    def __enter__(self) -> "Arrival":
        return self

    def __exit__(self, *raised: object) -> None:
        if not self.begun:
            return
        self.follower.arriving -= 1
        if not self.follower.arriving:
            self.follower.idle.set()


class Follower:
    """Passes the rows under a prefix on, whole at first and then as they change.

    `take` gets the changes, and True if they are all rows there are. With `newest_only`
    the rows are few, and in place of changes that are much longer than a row was, all
    rows are read. Changes hold each version that was missed: an instance with a narrow
    link, four versions of a large configuration behind, took four times as long.
    """

    def __init__(
        self,
        rows: ports.Rows,
        prefix: str,
        take: cabc.Callable[[ports.Changes, bool], None],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        wait: float = WAIT,
        newest_only: bool = False,
    ) -> None:
        self.rows = rows
        self.prefix = prefix
        self.take = take
        self.clock = clock
        self.counters = counters
        self.wait = wait
        self.newest_only = newest_only
        #: Bytes of the longest text of a row, as last read.
        self.longest = 0
        #: Version to go on from, or None if all rows must be read.
        self.version: int | None = None
        #: Elapsed time at which all that had changed was last known.
        self.fresh_at: float | None = None
        #: Elapsed time at which a part of an answer last came.
        self.heard_at: float | None = None
        #: Number of the latest reading that was begun, of the latest of those that went
        #: well, and how many have failed.
        self.begun = 0
        self.read_through = 0
        self.failures = 0
        #: Answers that are arriving now, and whether there are none.
        self.arriving = 0
        self.idle = gevent.event.Event()
        self.idle.set()
        #: Reads for those who ask for what has changed until now.
        self.refreshing: gevent.Greenlet | None = None
        #: True unless the latest request failed.
        self.reached = True
        #: Elapsed time of the first failure since the latest success.
        self.failing_since = 0.0

    def run(self) -> None:
        """Follow for ever."""
        while True:
            self.follow_once()

    def follow_once(self) -> None:
        """Wait for changes once; after a failure ask at once instead.

        A request that waits is answered only once its wait is over where nothing has
        changed: callers were refused for 0.5 s more although the store was back.
        """
        if not self.step(self.wait if self.reached else 0):
            self.clock.sleep(RETRY_INTERVAL)

    def refresh(self, term: float) -> bool:
        """Read what has changed until now, and tell whether that went well.

        Those who ask while an answer arrives wait for it, and share one reading after
        it: each made the same rows be sent once more, and on a narrow link all of them
        came as many times later. A reading that failed meanwhile is not repeated for
        each. Nobody is kept for more than `term` seconds; what is arriving by then is
        there for those who come later.
        """
        asked, failures = self.begun, self.failures
        deadline = self.clock.elapsed() + term
        while self.read_through <= asked:
            left = deadline - self.clock.elapsed()
            if self.failures > failures or left <= 0:
                return False
            if self.arriving:
                self.idle.wait(left)
                continue
            if self.refreshing is None or self.refreshing.ready():
                self.refreshing = gevent.spawn(self.step, 0)
            self.refreshing.join(left)
        return True

    def step(self, wait: float) -> bool:
        """Read once, and tell whether that went well."""
        self.begun += 1
        number = self.begun
        with Arrival(self) as arrival:
            reason = self._step(wait, arrival.heard)
        if not reason:
            self.read_through = max(self.read_through, number)
        self._note(reason)
        return not reason

    def _note(self, reason: str) -> None:
        """Log that the rows are out of reach, or in reach again."""
        now = self.clock.elapsed()
        if reason:
            self.failures += 1
            self.counters.count("following.read_failed")
        if reason and self.reached:
            self.failing_since = now
            log.warning(
                "following interrupted", prefix=self.prefix, version=self.version,
                reason=reason,
            )  # fmt: skip
        if not reason and not self.reached:
            log.info(
                "following again", prefix=self.prefix, version=self.version,
                seconds=round(now - self.failing_since, 3),
            )  # fmt: skip
        self.reached = not reason

    def _step(self, wait: float, heard: ports.Heard) -> str:
        """Read once; return why that failed, or an empty text."""
        sent_at = self.clock.elapsed()
        version = self.version
        if version is None:
            return self._read_all(sent_at, heard)
        most = SMALL_CHANGES + self.longest * 3 // 2 if self.newest_only else None
        found = self.rows.changes(self.prefix, version, wait, heard, most)
        if isinstance(found, result.Ok):
            if self.version is not None and self.version > found.ok_value.version:
                # Another greenlet has read further meanwhile.
                return ""
            self._pass_on(found.ok_value, False, sent_at)
            return ""
        if isinstance(found.err_value, ports.HistoryLost):
            self.counters.count("following.history_lost")
            log.info("history lost", prefix=self.prefix, version=version)
            return self._read_all(sent_at, heard)
        if isinstance(found.err_value, ports.TooLong):
            self.counters.count("following.read_whole")
            return self._read_all(sent_at, heard)
        return found.err_value.reason

    def _read_all(self, sent_at: float, heard: ports.Heard) -> str:
        """Read all rows; return why that failed, or an empty text."""
        found = self.rows.read_all(self.prefix, heard)
        if isinstance(found, result.Err):
            return found.err_value.reason
        self._pass_on(found.ok_value, True, sent_at)
        return ""

    def _pass_on(self, changes: ports.Changes, whole: bool, sent_at: float) -> None:
        self.version = changes.version
        self.fresh_at = sent_at
        if changes.rows:
            self.longest = max(len(row.value) for row in changes.rows)
        if whole or changes.rows or changes.removed:
            self.take(changes, whole)
