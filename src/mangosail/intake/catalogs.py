"""Local copy of the operator's configuration."""

import collections.abc as cabc
import sys

import logbook

from mangosail import clock as clocks
from mangosail import limits as request_limits
from mangosail.scheduler import messages, ports, row_watcher
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("catalog")

#: Seconds for which a long poll for configuration changes waits. Its answers also show
#: that the store is reachable.
FOLLOW_WAIT_S = 0.5
#: Seconds without data from the store after which it counts as unreachable: a long poll
#: takes 0.5 s, the rest is a margin for a slow store or instance.
STALE_AFTER_S = 1.5
#: Seconds that a caller waits at most for a check whether a queue was just added.
#: Callers time out after 3 s, and the rest of the request needs some of that time.
REFRESH_TIMEOUT_S = 2.5
#: Seconds that a caller waits at most for a confirmation of the catalog.
CONFIRM_TIMEOUT_S = 0.3
#: Seconds within which a change of the configuration must be in force, unless the
#: platform specifies another limit.
MAX_AGE_S = 2.0
#: Stands for a version that may be newer than any known one.
UNKNOWN_VERSION = sys.maxsize


class Catalogs:
    """Holds the newest catalog that was read; versions never decrease.

    `decode` turns the text of the row `key` into a catalog, or returns None if the
    text is invalid.
    """

    def __init__(
        self,
        rows: ports.WatchableTable,
        key: str,
        decode: cabc.Callable[[str], messages.Catalog | None],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        max_age: float = MAX_AGE_S,
        closed_prefix: str | None = None,
    ) -> None:
        self.key = key
        self.decode = decode
        self.clock = clock
        self.counters = counters
        self.catalog: messages.Catalog | None = None
        self.by_host: dict[str, list[messages.Queue]] = {}
        self.by_name: dict[str, messages.Queue] = {}
        #: Key prefix of rows that each close a data centre for as long as they exist.
        self.closed_prefix = closed_prefix
        self.closed: frozenset[str] = frozenset()
        #: Seconds for which a catalog may be used after it was last confirmed as the
        #: newest, because a change must be in force by then.
        self.max_age = max_age
        #: Newest version that may be in force elsewhere, and the elapsed time at which
        #: this was last learned.
        self.required_version = 0
        self.invalidated_at: float | None = None
        prefix = key[: key.rindex("/") + 1]
        self.watcher = row_watcher.RowWatcher(
            rows,
            prefix,
            self._apply_changes,
            clock,
            counters,
            FOLLOW_WAIT_S,
            latest_only=True,
        )

    @property
    def version(self) -> int:
        """Return the newest version that was read, or 0 before the first one."""
        return self.catalog.version if self.catalog else 0

    def invalidate(self, version: int | None = None) -> None:
        """Mark the catalog as invalid until a read shows whether it is the newest.

        `version` is one that is in force elsewhere: a peer answered a caller by it, or
        it has the queue of an accepted job. Answering the next caller by an older one
        would revert a change that is already in force. None stands for an answer that
        does not tell; it may have been by any newer catalog.
        """
        required = UNKNOWN_VERSION if version is None else version
        known = self.required_version if self.invalidated else self.version
        if required <= self.version or required <= known < UNKNOWN_VERSION:
            return
        self.required_version = max(required, known)
        self.invalidated_at = self.clock.elapsed()

    @property
    def invalidated(self) -> bool:
        """Return whether a newer catalog than this one may be in force elsewhere.

        A read that was sent since then has returned it if it exists.
        """
        if self.invalidated_at is None or self.version >= self.required_version:
            return False
        fresh_at = self.watcher.fresh_at
        return fresh_at is None or fresh_at <= self.invalidated_at

    @property
    def min_version(self) -> int:
        """Return the lowest version by which a peer may answer for this instance."""
        if not self.invalidated or self.required_version == UNKNOWN_VERSION:
            return self.version
        return self.required_version

    def current(self) -> messages.Catalog | None:
        """Return the newest catalog, or None before the first one was read."""
        return self.catalog

    def limits(self) -> request_limits.Limits:
        """Return the limits on requests in the newest catalog, or the default ones."""
        return self.catalog.limits if self.catalog else request_limits.DEFAULT

    def find(self, host: str, path: str) -> messages.Queue | None:
        """Return the queue with the longest prefix that matches `path`, or None."""
        for queue in self.by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def queue(self, name: str) -> messages.Queue | None:
        """Return a queue by name, or None if there is none."""
        return self.by_name.get(name)

    def stale(self) -> bool:
        """Return whether the store has been silent for too long.

        Any part of a response counts as a sign of life: a large configuration takes
        seconds to arrive on a slow link, and waiting for the complete response meant
        that callers were refused meanwhile.
        """
        fresh_at, heard_at = self.watcher.fresh_at, self.watcher.last_data_at
        if fresh_at is None or not self.confirmed():
            return True
        silent_since = max(fresh_at, heard_at or fresh_at)
        return self.clock.elapsed() - silent_since > STALE_AFTER_S

    def confirmed(self) -> bool:
        """Return whether this was the newest catalog less than `max_age` ago.

        Nothing heard of a newer one since then does not show that there is none: reads
        of the configuration may fail while the store answers all others, and callers
        were served from queues that had been removed.
        """
        fresh_at = self.watcher.fresh_at
        return fresh_at is not None and self.clock.elapsed() - fresh_at <= self.max_age

    def confirm(self) -> bool:
        """Return whether the catalog is confirmed, after asking the store if need be.

        Callers do not wait for a store that fails, nor for a catalog that is arriving,
        but what they ask for lets the instance notice soon that the store is back.
        """
        if self.confirmed():
            return True
        if not self.watcher.reachable or self.watcher.active_responses:
            self.watcher.refresh_in_background()
            return False
        return self.refresh(CONFIRM_TIMEOUT_S) and self.confirmed()

    def age(self) -> float | None:
        """Return the seconds since the last confirmation as newest; None before it."""
        fresh_at = self.watcher.fresh_at
        if fresh_at is None:
            return None
        return round(self.clock.elapsed() - fresh_at, 3)

    def refresh(self, timeout: float = REFRESH_TIMEOUT_S) -> bool:
        """Read changes now and return whether that succeeded within `timeout`.

        A path that matches no queue may belong to a queue that was just added.
        """
        return self.watcher.refresh(timeout)

    def closed_data_centres(self) -> frozenset[str]:
        """Return the data centres to whose workers no work may be sent."""
        return self.closed

    def _update_closed(self, changes: ports.Changes, whole: bool) -> None:
        """Update the set of closed data centres from changed rows."""
        if self.closed_prefix is None:
            return
        prefix = self.closed_prefix
        closed_before = frozenset() if whole else self.closed
        opened = {key.removeprefix(prefix) for key in changes.removed}
        rows = (row.key for row in changes.rows if row.key.startswith(prefix))
        closed = (closed_before - opened) | {key.removeprefix(prefix) for key in rows}
        if closed != self.closed:
            log.info(
                "closed data centres changed",
                now=sorted(closed),
                was=sorted(self.closed),
            )
        self.closed = closed

    def _apply_changes(self, changes: ports.Changes, whole: bool) -> None:
        self._update_closed(changes, whole)
        for row in changes.rows:
            if row.key != self.key:
                continue
            catalog = self.decode(row.value)
            if catalog is None:
                self.counters.count("catalog.unreadable")
                log.error("catalog could not be decoded", version=row.version)
                continue
            self._install(catalog)

    def _install(self, catalog: messages.Catalog) -> None:
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return
        self.catalog = catalog
        by_host: dict[str, list[messages.Queue]] = {}
        for queue in catalog.queues:
            by_host.setdefault(queue.host, []).append(queue)
        for queues in by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)
        self.by_host = by_host
        self.by_name = {queue.name: queue for queue in catalog.queues}
        log.info(
            "catalog in force", version=catalog.version, queues=len(catalog.queues),
            bytes=self.watcher.longest_value_bytes, seconds=self.age(),
        )  # fmt: skip
