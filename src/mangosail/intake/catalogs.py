"""The operator's configuration as this instance knows it."""

import collections.abc as cabc

import logbook

from mangosail import clock as clocks
from mangosail.scheduler import messages, ports, row_watcher
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("catalog")

#: Seconds for which a request that follows the configuration waits. Its answers say
#: that the store is in reach.
FOLLOW_WAIT_S = 0.5
#: Seconds without a word from the store after which it counts as out of reach: a
#: following request waits 0.5 s; the rest is for a store or an instance that is slow.
STALE_AFTER_S = 1.5
#: Seconds that a caller is kept at most until it is known whether a queue was added: of
#: the 3 s that it has, what leaves time for the rest.
REFRESH_TIMEOUT_S = 2.5
#: Seconds within which a change of the configuration must be in force, unless the
#: platform says otherwise.
MAX_AGE_S = 2.0


class Catalogs:
    """Holds the newest catalog that was read; it never goes back.

    `decode` turns the text of the row `key` into a catalog, or None.
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
        #: Begins the keys of rows that close a data centre, each until it is dropped.
        self.closed_prefix = closed_prefix
        self.closed: frozenset[str] = frozenset()
        #: Seconds for which it may be gone by after it was surely the newest: a change
        #: must be in force by then.
        self.max_age = max_age
        #: Elapsed time at which a peer last answered in the place of this instance.
        self.invalidated_at: float | None = None
        prefix = key[: key.rindex("/") + 1]
        self.follower = row_watcher.RowWatcher(
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
        """Return the newest version that was read; 0 before the first."""
        return self.catalog.version if self.catalog else 0

    def invalidate(self) -> None:
        """Go by the present catalog no longer until it was read anew.

        A caller was just answered by a peer, which may have a newer one. To answer
        the next by an older one would take back what is in force.
        """
        self.invalidated_at = self.clock.elapsed()

    @property
    def invalidated(self) -> bool:
        """Tell whether a peer may have a newer catalog than this instance."""
        if self.invalidated_at is None:
            return False
        fresh_at = self.follower.fresh_at
        return fresh_at is None or fresh_at <= self.invalidated_at

    def current(self) -> messages.Catalog | None:
        """Return the newest catalog, or None before the first was read."""
        return self.catalog

    def find(self, host: str, path: str) -> messages.Queue | None:
        """Return the queue with the longest prefix of `path`, or None."""
        for queue in self.by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def stale(self) -> bool:
        """Tell whether the store has been silent for longer than it may be.

        What it sends counts from its first piece on. A large configuration takes
        seconds to arrive on a narrow link; callers were refused meanwhile for want of a
        whole answer. It is not waited for beyond the time in which it must be in force.
        """
        fresh_at, heard_at = self.follower.fresh_at, self.follower.last_data_at
        if fresh_at is None:
            return True
        now = self.clock.elapsed()
        silent_since = max(fresh_at, heard_at or fresh_at)
        return now - silent_since > STALE_AFTER_S or now - fresh_at > self.max_age

    def age(self) -> float | None:
        """Return the seconds since this was surely the newest; None before that."""
        fresh_at = self.follower.fresh_at
        if fresh_at is None:
            return None
        return round(self.clock.elapsed() - fresh_at, 3)

    def superseded(self) -> bool:
        """Tell whether a newer one has been arriving for longer than it may take.

        By the present one callers would be served from queues that were dropped. An
        instance that hears nothing from the store does not know of a newer one.
        """
        fresh_at = self.follower.fresh_at
        if fresh_at is None or not self.follower.active_responses:
            return False
        return self.clock.elapsed() - fresh_at > self.max_age

    def refresh(self, timeout: float = REFRESH_TIMEOUT_S) -> bool:
        """Read what has changed now, and tell whether that went well within `term`.

        A path that no queue has may belong to one that was added just now.
        """
        return self.follower.refresh(timeout)

    def closed_data_centres(self) -> frozenset[str]:
        """Return the data centres whose workers may be sent nothing more."""
        return self.closed

    def _update_closed(self, changes: ports.Changes, whole: bool) -> None:
        """Take in which data centres are closed, and which are open again."""
        if self.closed_prefix is None:
            return
        begins = self.closed_prefix
        before = frozenset() if whole else self.closed
        opened = {key.removeprefix(begins) for key in changes.removed}
        rows = (row.key for row in changes.rows if row.key.startswith(begins))
        closed = (before - opened) | {key.removeprefix(begins) for key in rows}
        if closed != self.closed:
            log.info("closed data centres", now=sorted(closed), was=sorted(self.closed))
        self.closed = closed

    def _apply_changes(self, changes: ports.Changes, whole: bool) -> None:
        self._update_closed(changes, whole)
        for row in changes.rows:
            if row.key != self.key:
                continue
            catalog = self.decode(row.value)
            if catalog is None:
                self.counters.count("catalog.unreadable")
                log.error("catalog unreadable", version=row.version)
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
        log.info(
            "catalog in force", version=catalog.version, queues=len(catalog.queues)
        )
