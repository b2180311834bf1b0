"""Group commit: merges transactions of one instance into larger ones.

A claim or an end writes only one or two rows, and the table takes several hundred
commits a second for all instances together. `GroupCommit` implements the table
interface itself, so writers need not know that their writes are merged::

    rows = batching.GroupCommit(http.HttpTable(caller), counters)
    gevent.spawn(rows.run)
    rows.commit(transaction)
"""

import dataclasses
import time
import typing as t

import gevent
import gevent.event
import logbook
import result

from mangosail.platform import errors, table
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("platform")

#: Seconds for which the first transaction of a group waits for others.
WINDOW_S = 0.01
#: Maximum number of transactions in a group; keeps each commit small.
MAX_GROUP_SIZE = 64
#: Maximum number of queued transactions; more are refused as `store_busy`.
MAX_QUEUE_LENGTH = 512

#: Maximum time in seconds for which a transaction is queued before it is sent.
MAX_WAIT_S = 2.0

#: Reason of a transaction that is refused before it is sent.
STORE_BUSY = "store_busy"


@dataclasses.dataclass(slots=True)
class QueuedTransaction:
    """A queued transaction and the receiver of its result."""

    transaction: table.Transaction
    answer: gevent.event.AsyncResult
    #: Monotonic time after which it is refused instead of sent.
    deadline: float

    def keys(self) -> set[str]:
        """Return all keys that the transaction checks or writes."""
        checked = {check.key for check in self.transaction.checks}
        return checked | {write.key for write in self.transaction.writes}


class GroupCommit:
    """A table whose commits are merged into fewer, larger ones."""

    def __init__(
        self,
        rows: table.Table,
        counters: telemetry.Counters,
        window: float = WINDOW_S,
        max_queue_length: int = MAX_QUEUE_LENGTH,
    ) -> None:
        self.rows = rows
        self.counters = counters
        self.window = window
        self.max_queue_length = max_queue_length
        self.queue: list[QueuedTransaction] = []
        self.not_empty = gevent.event.Event()

    def read(
        self, keys: t.Sequence[str]
    ) -> result.Result[dict[str, table.Row], errors.Unavailable]:
        """Return the rows of `keys` that exist."""
        return self.rows.read(keys)

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> result.Result[list[table.Row], errors.Unavailable]:
        """Return up to `limit` rows under `prefix` with keys past `after`, by key."""
        return self.rows.scan(prefix, after, limit)

    def commit(
        self, transaction: table.Transaction
    ) -> result.Result[int, errors.CommitError]:
        """Apply `transaction` in the next group and return its version."""
        if len(self.queue) >= self.max_queue_length:
            return self._refuse_busy()
        deadline = time.monotonic() + MAX_WAIT_S
        waiting = QueuedTransaction(transaction, gevent.event.AsyncResult(), deadline)
        self.queue.append(waiting)
        self.not_empty.set()
        return waiting.answer.get()

    def run(self) -> t.NoReturn:
        """Commit queued transactions in groups, for ever."""
        while True:
            self.not_empty.wait()
            gevent.sleep(self.window)
            try:
                self.commit_group()
            except Exception:
                # Callers of this group got `Uncertain`; later groups must be committed.
                self.counters.count("platform.group_commit_failed")
                log.exception("group commit failed")

    def commit_group(self) -> None:
        """Commit the queued transactions, up to the size of one group."""
        self._refuse_expired()
        group = self._next_group()
        if not self.queue:
            self.not_empty.clear()
        if not group:
            return
        try:
            self._commit(group)
        finally:
            # Even if the adapter raises, no caller may wait for ever; a write with
            # an unknown outcome is uncertain.
            uncertain = result.Err(errors.Uncertain("group_commit_failed"))
            for waiting in group:
                if not waiting.answer.ready():
                    waiting.answer.set(uncertain)

    def _refuse_busy(self) -> result.Result[int, errors.CommitError]:
        self.counters.count("platform.refused.store_busy")
        return result.Err(errors.Unavailable(STORE_BUSY))

    def _refuse_expired(self) -> None:
        """Refuse expired transactions; they were not sent, so they have no effect."""
        now = time.monotonic()
        for waiting in self.queue:
            if waiting.deadline <= now:
                waiting.answer.set(self._refuse_busy())
        self.queue = [w for w in self.queue if w.deadline > now]

    def _next_group(self) -> list[QueuedTransaction]:
        """Remove the next group from the queue; no two transactions share a key."""
        group: list[QueuedTransaction] = []
        touched: set[str] = set()
        remaining: list[QueuedTransaction] = []
        for waiting in self.queue:
            keys = waiting.keys()
            if len(group) < MAX_GROUP_SIZE and not keys & touched:
                group.append(waiting)
            else:
                remaining.append(waiting)
            # Writes of a row keep their order if an earlier one remains in the queue.
            touched |= keys
        self.queue = remaining
        return group

    def _commit(self, group: list[QueuedTransaction]) -> None:
        """Commit `group`; a conflict fails those with its key, the rest is retried."""
        while group:
            committed = self.rows.commit(merge(group))
            self.counters.count("platform.group_commits")
            self.counters.count("platform.grouped_transactions", len(group))
            finished = group
            if isinstance(committed, result.Err) and isinstance(
                committed.err_value, errors.Conflict
            ):
                key = committed.err_value.key
                finished = [w for w in group if key in w.keys()] or group
                self.counters.count("platform.retry.group_conflict")
            for waiting in finished:
                waiting.answer.set(committed)
            group = [w for w in group if w not in finished]


def merge(group: t.Sequence[QueuedTransaction]) -> table.Transaction:
    """Return one transaction with all checks and writes of `group`."""
    return table.Transaction(
        tuple(check for w in group for check in w.transaction.checks),
        tuple(write for w in group for write in w.transaction.writes),
    )
