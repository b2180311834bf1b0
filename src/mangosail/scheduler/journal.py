"""The leader's writes: one transaction after the other, each fenced.

Every transaction checks the row of the lease, and checks and replaces the row
`CHAIN`. So a transaction of a deposed leader fails, and one whose answer was lost
cannot take effect after a later one: its link of the chain is no longer the last.
All jobs that changed meanwhile go into the next transaction::

    journal.record(job)
    journal.then(lambda: send(order))
"""

import collections.abc as cabc
import dataclasses
import typing as t

import gevent
import gevent.event
import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.platform import errors as store_errors
from mangosail.platform import table
from mangosail.scheduler import commits, errors, keys, progress
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("journal")

#: Rows that one transaction writes at most; the platform takes 100 entries.
MAX_TRANSACTION_ROWS = 80
#: Bytes of rows that one transaction writes, unless one row alone takes more: 75 KB on
#: the wire, which a link of 5 Mbit/s carries in half of `commits.ANSWER_TIMEOUT_S`.
MAX_TRANSACTION_BYTES = 50_000
#: Seconds between renewals of the lease; a third of what standbys wait.
RENEWAL_INTERVAL_S = 0.3
#: Share of the longest time between renewals that still counts at the next one, so that
#: half of it is forgotten in 4 s.
INTERVAL_KEPT = 0.95
#: Renewals of the lease between writes of what is kept now and again.
EXTRA_RENEWALS = 7
#: Seconds before a transaction that was refused is sent again.
RETRY_INTERVAL_S = 0.05
#: Seconds for which further changes are gathered once one waits. A transaction
#: costs the same for 1 and for 80 rows.
BATCH_WINDOW_S = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The row that says who leads."""

    holder: str
    incarnation: str
    #: Fencing token; each leader has a higher one.
    token: int
    #: Changes with each renewal, so that standbys see the holder live.
    renewals: int = 0
    #: True once the holder has given the lease up.
    released: bool = False
    #: Speed of the holder, in cores.
    cores: float = 1.0
    #: Seconds between the holder's renewals, the longest of late.
    interval: float = RENEWAL_INTERVAL_S
    #: Workers that the holder attends to.
    workers: int = 0
    #: Cores that continuous jobs may take together; None if not known yet.
    continuous_bound: float | None = None
    #: Accepted jobs of each queue of which nothing has started.
    pending: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """The lease as it was taken, and the versions of the rows behind it."""

    lease: Lease
    lease_version: int
    chain_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCallback:
    """A callback, and how many of the jobs that wait longest it waits for."""

    callback: cabc.Callable[[], None]
    jobs: int


class Journal:
    """Writes what must last, in order, for as long as this instance leads."""

    def __init__(
        self,
        rows: table.Table,
        held: HeldLease,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.rows = rows
        self.held = held
        self.clock = clock
        self.counters = counters
        #: Return what the lease's row tells all instances.
        self.pending_counts: cabc.Callable[[], dict[str, int]] = dict
        self.worker_count: cabc.Callable[[], int] = lambda: 0
        self.continuous_bound: cabc.Callable[[], float | None] = lambda: None
        #: Returns rows that are kept now and again, with a renewal of the lease.
        self.periodic_writes: cabc.Callable[[], tuple[table.Write, ...]] = tuple
        #: Jobs to write, the one that has waited longest first.
        self.unwritten_jobs: dict[str, progress.JobProgress] = {}
        self.pending_callbacks: list[PendingCallback] = []
        self.write_requested = gevent.event.Event()
        self.links = 0
        self.renew_at = 0.0
        #: Elapsed time of the latest renewal, or of the claim.
        self.renewed_at = clock.elapsed()
        #: Elapsed time at which the latest transaction that took effect was sent.
        self.confirmed_at = clock.elapsed()
        self.deposed = False
        #: True once the lease is to be given up.
        self.releasing = False

    @property
    def token(self) -> int:
        """Return the fencing token of this leader."""
        return self.held.lease.token

    def record(self, job: progress.JobProgress) -> None:
        """Write the job's progress with the next transaction."""
        self.unwritten_jobs[job.job.job_id] = job
        self.write_requested.set()

    def when_durable(self, callback: cabc.Callable[[], None]) -> None:
        """Call back once all that was recorded so far is durable."""
        self.pending_callbacks.append(
            PendingCallback(callback, len(self.unwritten_jobs))
        )
        self.write_requested.set()

    def run(self) -> None:
        """Write until another instance leads, or the lease is given up."""
        while not self.deposed:
            due = self.renew_at - self.clock.elapsed()
            if not self.write_requested.wait(max(due, 0.0)) and due > 0:
                continue
            gevent.sleep(BATCH_WINDOW_S)
            try:
                self.write()
            except errors.DeposedError:
                log.warning("no longer leading", token=self.token)

    def write(self) -> None:
        """Write what waits in one transaction, however often it must be sent."""
        self.write_requested.clear()
        transaction, jobs = self._next_transaction()
        callbacks = self._due(jobs)
        version = self._commit(transaction)
        held = self.held
        wrote_lease = any(write.key == keys.LEASE for write in transaction.writes)
        self.held = dataclasses.replace(
            held,
            chain_version=version,
            lease_version=version if wrote_lease else held.lease_version,
        )
        if self.releasing and wrote_lease and not self.unwritten_jobs:
            log.info("lease given up", token=self.token)
            self.deposed = True
            raise errors.DeposedError
        if self.unwritten_jobs:
            self.write_requested.set()
        for callback in callbacks:
            callback()

    def release(self) -> None:
        """Give the lease up with the next transaction, so that another may take it.

        What was recorded goes with it. Without this the next leader would wait
        until the lease is old.
        """
        self.releasing = True
        self.write_requested.set()

    def _take_job_writes(self, max_bytes: int) -> list[table.Write]:
        """Return the writes of the jobs that wait longest, of `most` bytes together.

        One that takes more goes alone. When only rows were counted, a transaction took
        narrow links longer than a write may take. It was sent again for ever, nothing
        that had changed was kept, and the lease ran out. What is left goes next.
        """
        writes: list[table.Write] = []
        for job in list(self.unwritten_jobs.values())[:MAX_TRANSACTION_ROWS]:
            write = write_of(job)
            max_bytes -= size_of(write)
            if writes and max_bytes < 0:
                break
            writes.append(write)
            del self.unwritten_jobs[job.job.job_id]
        return writes

    def _due(self, written: int) -> list[cabc.Callable[[], None]]:
        """Return what waits for no more than the next `written` jobs.

        What changes while a transaction is on its way holds back nothing that was
        recorded before: when callbacks waited until no change was left, starts
        came 3 s late where changes never ceased.
        """
        due = [each.callback for each in self.pending_callbacks if each.jobs <= written]
        self.pending_callbacks = [
            PendingCallback(each.callback, each.jobs - written)
            for each in self.pending_callbacks
            if each.jobs > written
        ]
        return due

    def _next_transaction(self) -> tuple[table.Transaction, int]:
        """Return the next transaction, and how many jobs it writes."""
        held = self.held
        self.links += 1
        writes = [table.Write(keys.CHAIN, self._link())]
        renews = self.clock.elapsed() >= self.renew_at or self.releasing
        if renews:
            writes += self._renewal_writes()
        jobs = self._take_job_writes(MAX_TRANSACTION_BYTES - sum(map(size_of, writes)))
        if renews and self.releasing and not self.unwritten_jobs:
            writes[-1] = self._write_lease(released=True)
        checks = (
            table.Check(keys.LEASE, held.lease_version),
            table.Check(keys.CHAIN, held.chain_version),
        )
        return table.Transaction(checks, (*writes, *jobs)), len(jobs)

    def _renewal_writes(self) -> list[table.Write]:
        """Return what a renewal of the lease writes, the lease last."""
        renewals = self.held.lease.renewals + 1
        now = self.clock.elapsed()
        passed, self.renewed_at = now - self.renewed_at, now
        self.renew_at = now + RENEWAL_INTERVAL_S
        extra = self.periodic_writes() if renewals % EXTRA_RENEWALS == 0 else ()
        lease = self._write_lease(
            renewals=renewals,
            interval=self._interval(passed),
            workers=self.worker_count(),
            pending=self.pending_counts(),
            continuous_bound=self.continuous_bound(),
            released=False,
        )
        return [*extra, lease]

    def _interval(self, passed: float) -> float:
        """Return the longest time between renewals of late, `passed` being the last."""
        kept = INTERVAL_KEPT * self.held.lease.interval
        return round(max(passed, kept, RENEWAL_INTERVAL_S), 3)

    def _write_lease(self, **facts: t.Any) -> table.Write:
        """Return the write of the lease, changed in these facts."""
        lease = dataclasses.replace(self.held.lease, **facts)
        self.held = dataclasses.replace(self.held, lease=lease)
        return table.Write(keys.LEASE, codec.to_json(lease))

    def _link(self) -> str:
        return codec.to_json(f"{self.token}.{self.links}")

    def _commit(self, transaction: table.Transaction) -> int:
        attempts = commits.Attempts(
            self.rows, transaction, self._committed_version, self.clock
        )
        while True:
            if self.deposed:
                raise errors.DeposedError
            sent_at = self.clock.elapsed()
            done = attempts.try_commit()
            self.counters.time("journal.commit", self.clock.elapsed() - sent_at)
            if isinstance(done, result.Ok):
                self.confirmed_at = sent_at
                return done.ok_value
            if isinstance(done.err_value, store_errors.Conflict):
                version = self._resolve()
                if version is not None:
                    self.confirmed_at = sent_at
                    return version
            reason = type(done.err_value).__name__.lower()
            self.counters.count(f"journal.retry.{reason}")
            self.clock.sleep(RETRY_INTERVAL_S)

    def _committed_version(self) -> int | None:
        """Return the version of our link if it is the chain's last, None if not."""
        found = link_version(self.rows, self._link())
        if isinstance(found, result.Err) or found.ok_value is None:
            return None
        self.counters.count("journal.answer_recovered")
        return found.ok_value

    def _resolve(self) -> int | None:
        """Tell a lost answer from a lost lease after a conflict.

        Returns the version that our transaction got, or None if the rows can't be
        read now.
        """
        found = link_version(self.rows, self._link())
        if isinstance(found, result.Err):
            return None
        if found.ok_value is not None:
            self.counters.count("journal.answer_recovered")
            return found.ok_value
        self.deposed = True
        log.warning("deposed", token=self.token)
        raise errors.DeposedError


def write_of(job: progress.JobProgress) -> table.Write:
    """Return the write that keeps a job's progress."""
    return table.Write(keys.state(job.job.job_id), progress.encode_job(job))


def size_of(write: table.Write) -> int:
    """Return how many bytes a row takes."""
    return len((write.value or "").encode())


def claim_lease(
    rows: table.Table, lease: Lease, link: str, lease_version: int
) -> int | None:
    """Write a new leader's rows over those that were read; None if that failed.

    Replacing the chain makes a transaction of the earlier leader that is still on
    its way fail. Its version is not checked: a live leader replaces it with each
    transaction, and no claim would ever succeed against one.
    """
    transaction = table.Transaction(
        (table.Check(keys.LEASE, lease_version),),
        (
            table.Write(keys.LEASE, codec.to_json(lease)),
            table.Write(keys.CHAIN, link),
        ),
    )
    done = rows.commit(transaction)
    if isinstance(done, result.Ok):
        return done.ok_value
    found = link_version(rows, link)
    return found.ok_value if isinstance(found, result.Ok) else None


def link_version(
    rows: table.Table, link: str
) -> result.Result[int | None, store_errors.Unavailable]:
    """Return the version that `link` got, or None if another is the chain's last."""
    found = rows.read([keys.CHAIN])
    if isinstance(found, result.Err):
        return found
    chain = found.ok_value.get(keys.CHAIN)
    return result.Ok(chain.version if chain and chain.value == link else None)
