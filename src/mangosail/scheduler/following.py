"""Following the rows of a kind: read once, then their changes, one greenlet each."""

import collections.abc as cabc

import logbook
import result

from mangosail import clock as clocks
from mangosail.scheduler import ports
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("following")

#: Seconds before a failed reading is tried again.
RETRY_INTERVAL = 0.2
#: Seconds for which one request waits for changes. A connection that went silent
#: is found by the end of this and the client's own time limit.
WAIT = 1.0


class Follower:
    """Passes the rows under a prefix on, whole at first and then as they change.

    `take` gets the changes, and True if they are all rows there are.
    """

    def __init__(
        self,
        rows: ports.Rows,
        prefix: str,
        take: cabc.Callable[[ports.Changes, bool], None],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        wait: float = WAIT,
    ) -> None:
        self.rows = rows
        self.prefix = prefix
        self.take = take
        self.clock = clock
        self.counters = counters
        self.wait = wait
        #: Version to go on from, or None if all rows must be read.
        self.version: int | None = None
        #: Elapsed time at which all that had changed was last known.
        self.fresh_at: float | None = None
        #: True unless the latest request failed.
        self.reached = True

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

    def step(self, wait: float) -> bool:
        """Read once, and tell whether that went well."""
        self.reached = self._step(wait)
        return self.reached

    def _step(self, wait: float) -> bool:
        sent_at = self.clock.elapsed()
        version = self.version
        if version is None:
            return self._read_all(sent_at)
        found = self.rows.changes(self.prefix, version, wait)
        if isinstance(found, result.Ok):
            if self.version is not None and self.version > found.ok_value.version:
                # Another greenlet has read further meanwhile.
                return True
            self._pass_on(found.ok_value, False, sent_at)
            return True
        if isinstance(found.err_value, ports.HistoryLost):
            self.counters.count("following.history_lost")
            log.info("history lost", prefix=self.prefix, version=version)
            return self._read_all(sent_at)
        self.counters.count("following.read_failed")
        return False

    def _read_all(self, sent_at: float) -> bool:
        found = self.rows.read_all(self.prefix)
        if isinstance(found, result.Err):
            self.counters.count("following.read_failed")
            return False
        self._pass_on(found.ok_value, True, sent_at)
        return True

    def _pass_on(self, changes: ports.Changes, whole: bool, sent_at: float) -> None:
        self.version = changes.version
        self.fresh_at = sent_at
        if whole or changes.rows or changes.removed:
            self.take(changes, whole)
