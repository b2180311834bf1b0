"""Sequential, fenced writes of the leader.

Every transaction checks the row of the lease, and checks and replaces the row
`CHAIN`. So a transaction of a deposed leader fails, and one whose answer was lost
cannot take effect after a later one, because its link is no longer the last of the
chain. Jobs that change during a transaction are batched into the next one::

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
from mangosail.scheduler import commits, errors, keys, progress, recording
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("journal")

#: Job rows per transaction at most; the platform accepts 100 entries.
MAX_TRANSACTION_ROWS = 80
#: Bytes of rows per transaction, unless a single row is longer: 75 KB on the wire,
#: which a link of 5 Mbit/s carries in half of `commits.ANSWER_TIMEOUT_S`.
MAX_TRANSACTION_BYTES = 50_000
#: Seconds between renewals of the lease: a third of the lease time-out of standbys.
RENEWAL_INTERVAL_S = 0.3
#: Decay per renewal of the longest interval between renewals: a half-life of 4 s.
INTERVAL_DECAY = 0.95
#: Renewals of the lease per write of the rows that are saved periodically.
RENEWALS_PER_PERIODIC_WRITE = 7
#: Seconds before a failed transaction is sent again.
RETRY_INTERVAL_S = 0.05
#: Seconds after which a transaction that is not confirmed is late: twenty times its
#: usual duration.
LATE_AFTER_S = 0.1
#: Seconds for which changes are batched into one transaction, which costs the same for
#: 1 row as for 80.
BATCH_WINDOW_S = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Content of the row that names the leader."""

    holder: str
    incarnation: str
    #: Fencing token, higher for each new leader.
    token: int
    #: Incremented with each renewal, which shows standbys that the holder is alive.
    renewals: int = 0
    #: True once the holder has released the lease.
    released: bool = False
    #: Processor share of the holder, in cores.
    cores: float = 1.0
    #: Longest recent interval between the holder's renewals, in seconds.
    interval: float = RENEWAL_INTERVAL_S
    #: Number of workers that the holder polls.
    workers: int = 0
    #: Total cores that continuous jobs may reserve; None if not yet known.
    continuous_bound: float | None = None
    #: Accepted jobs per queue of which no task has started.
    pending: dict[str, int] = dataclasses.field(default_factory=dict)
    #: Encoded `backlog.Backlog`; empty if it is not known.
    backlog: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """The lease that this instance holds, and the versions of its rows."""

    lease: Lease
    lease_version: int
    chain_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCallback:
    """A callback that is due once the first `jobs` unwritten jobs are durable."""

    callback: cabc.Callable[[], None]
    jobs: int


class Journal:
    """Writes job progress and the lease, in order, while this instance leads."""

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
        #: Return values that the lease row publishes to all instances.
        self.pending_counts: cabc.Callable[[], dict[str, int]] = dict
        self.worker_count: cabc.Callable[[], int] = lambda: 0
        self.continuous_bound: cabc.Callable[[], float | None] = lambda: None
        self.backlog: cabc.Callable[[], str] = str
        #: Returns rows that have changed, to save with the next renewal of the lease.
        self.changed_rows: cabc.Callable[[], tuple[table.Write, ...]] = tuple
        #: Returns rows to save periodically, along with a renewal of the lease.
        self.periodic_writes: cabc.Callable[[], tuple[table.Write, ...]] = tuple
        #: Jobs to write, the one that has been waiting longest first.
        self.unwritten_jobs: dict[str, progress.JobProgress] = {}
        self.pending_callbacks: list[PendingCallback] = []
        self.write_requested = gevent.event.Event()
        self.link_count = 0
        self.renew_at = 0.0
        #: Elapsed time of the latest renewal, or of the claim of the lease.
        self.renewed_at = clock.elapsed()
        #: Elapsed time at which the latest committed transaction was sent.
        self.confirmed_at = clock.elapsed()
        #: Elapsed time at which the present transaction was first sent; None if there
        #: is none without a known outcome.
        self.unconfirmed_since: float | None = None
        #: True once the store has answered a read of that transaction's outcome.
        self.outcome_read = False
        #: Assignments that the present transaction contains: task, run and worker.
        self.sent_assignments: list[tuple[progress.Task, int, str]] = []
        self.deposed = False
        #: True once the lease is to be released.
        self.releasing = False

    @property
    def token(self) -> int:
        """Return the fencing token of this leader."""
        return self.held.lease.token

    def is_late(self, now: float) -> bool:
        """Return whether a transaction has waited too long for its confirmation."""
        sent_at = self.unconfirmed_since
        return sent_at is not None and now > sent_at + LATE_AFTER_S

    def record(self, job: progress.JobProgress) -> None:
        """Mark the job's progress to be written."""
        self.unwritten_jobs[job.job.job_id] = job
        self.write_requested.set()

    def when_durable(self, callback: cabc.Callable[[], None]) -> None:
        """Call `callback` once everything recorded so far is durable."""
        self.pending_callbacks.append(
            PendingCallback(callback, len(self.unwritten_jobs))
        )
        self.write_requested.set()

    def run(self) -> None:
        """Write until another instance leads or the lease is released."""
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
        """Write one transaction, sent again until its outcome is known."""
        self.write_requested.clear()
        transaction, jobs = self._next_transaction()
        callbacks = self._due_callbacks(jobs)
        self.unconfirmed_since, self.outcome_read = self.clock.elapsed(), False
        version = self._commit(transaction)
        self.unconfirmed_since = None
        for task, run, worker in self.sent_assignments:
            task.confirm_assignment(run, worker)
        held = self.held
        wrote_lease = any(write.key == keys.LEASE for write in transaction.writes)
        self.held = dataclasses.replace(
            held,
            chain_version=version,
            lease_version=version if wrote_lease else held.lease_version,
        )
        if self.releasing and wrote_lease and not self.unwritten_jobs:
            log.info("lease released", token=self.token)
            self.deposed = True
            raise errors.DeposedError
        if self.unwritten_jobs:
            self.write_requested.set()
        for callback in callbacks:
            callback()

    def release(self) -> None:
        """Release the lease with the transaction that writes the last recorded job.

        Without this the next leader would have to wait until the lease times out.
        """
        self.releasing = True
        self.write_requested.set()

    def _take_job_writes(self, max_bytes: int) -> list[table.Write]:
        """Return the writes of the oldest unwritten jobs, up to `max_bytes` together.

        A longer row is written alone; the rest is left for the next transaction. With a
        limit on the row count only, a transaction could take longer than the write
        time-out on a slow link. It was then sent again for ever, no progress became
        durable, and the lease expired.
        """
        writes: list[table.Write] = []
        for job in list(self.unwritten_jobs.values())[:MAX_TRANSACTION_ROWS]:
            write = progress_write(job)
            max_bytes -= size_in_bytes(write)
            if writes and max_bytes < 0:
                break
            writes.append(write)
            self.sent_assignments += job.recorded_assignments()
            del self.unwritten_jobs[job.job.job_id]
        return writes

    def _due_callbacks(self, written: int) -> list[cabc.Callable[[], None]]:
        """Return the callbacks that are due once the next `written` jobs are durable.

        Changes made during a transaction do not delay callbacks of earlier ones. When
        callbacks waited until no change was left, starts were 3 s late under a steady
        stream of changes.
        """
        due = [each.callback for each in self.pending_callbacks if each.jobs <= written]
        self.pending_callbacks = [
            PendingCallback(each.callback, each.jobs - written)
            for each in self.pending_callbacks
            if each.jobs > written
        ]
        return due

    def _next_transaction(self) -> tuple[table.Transaction, int]:
        """Return the next transaction and the number of jobs that it writes."""
        held = self.held
        self.sent_assignments = []
        self.link_count += 1
        writes = [table.Write(keys.CHAIN, self._chain_link())]
        renews = self.clock.elapsed() >= self.renew_at or self.releasing
        if renews:
            writes += self._renewal_writes()
        jobs = self._take_job_writes(
            MAX_TRANSACTION_BYTES - sum(map(size_in_bytes, writes))
        )
        if renews and self.releasing and not self.unwritten_jobs:
            writes[-1] = self._lease_write(released=True)
        checks = (
            table.Check(keys.LEASE, held.lease_version),
            table.Check(keys.CHAIN, held.chain_version),
        )
        return table.Transaction(checks, (*writes, *jobs)), len(jobs)

    def _renewal_writes(self) -> list[table.Write]:
        """Return the writes of a lease renewal, the lease row last."""
        renewals = self.held.lease.renewals + 1
        now = self.clock.elapsed()
        passed, self.renewed_at = now - self.renewed_at, now
        self.renew_at = now + RENEWAL_INTERVAL_S
        extra = (
            self.periodic_writes()
            if renewals % RENEWALS_PER_PERIODIC_WRITE == 0
            else ()
        )
        lease = self._lease_write(
            renewals=renewals,
            interval=self._recent_interval(passed),
            workers=self.worker_count(),
            pending=self.pending_counts(),
            continuous_bound=self.continuous_bound(),
            backlog=self.backlog(),
            released=False,
        )
        return [*self.changed_rows(), *extra, lease]

    def _recent_interval(self, passed: float) -> float:
        """Return the longest recent renewal interval; `passed` is the latest one."""
        decayed = INTERVAL_DECAY * self.held.lease.interval
        return round(max(passed, decayed, RENEWAL_INTERVAL_S), 3)

    def _lease_write(self, **facts: t.Any) -> table.Write:
        """Return the write of the lease with these fields changed."""
        lease = dataclasses.replace(self.held.lease, **facts)
        self.held = dataclasses.replace(self.held, lease=lease)
        return table.Write(keys.LEASE, encode_lease(lease))

    def _chain_link(self) -> str:
        return codec.to_json(f"{self.token}.{self.link_count}")

    def _commit(self, transaction: table.Transaction) -> int:
        attempts = commits.Attempts(
            self.rows, transaction, self._committed_version, self.clock
        )
        while True:
            if self.deposed:
                raise errors.DeposedError
            sent_at = self.clock.elapsed()
            outcome = attempts.try_commit()
            self.counters.time("journal.commit", self.clock.elapsed() - sent_at)
            if isinstance(outcome, result.Ok):
                self.confirmed_at = sent_at
                return outcome.ok_value
            if isinstance(outcome.err_value, store_errors.Conflict):
                version = self._resolve_conflict()
                if version is not None:
                    self.confirmed_at = sent_at
                    return version
            reason = type(outcome.err_value).__name__.lower()
            self.counters.count(f"journal.retry.{reason}")
            self.clock.sleep(RETRY_INTERVAL_S)

    def _committed_version(self) -> int | None:
        """Return the version of our link if it is the last of the chain, else None."""
        found = link_version(self.rows, self._chain_link())
        self.outcome_read = self.outcome_read or isinstance(found, result.Ok)
        if isinstance(found, result.Err) or found.ok_value is None:
            return None
        self.counters.count("journal.answer_recovered")
        return found.ok_value

    def _resolve_conflict(self) -> int | None:
        """Find out after a conflict whether the answer or the lease was lost.

        Returns the version of our transaction if it was committed, or None if the rows
        can't be read now. Raises `DeposedError` if another instance leads.
        """
        found = link_version(self.rows, self._chain_link())
        if isinstance(found, result.Err):
            return None
        if found.ok_value is not None:
            self.counters.count("journal.answer_recovered")
            return found.ok_value
        self.deposed = True
        log.warning("lease lost to another leader", token=self.token)
        raise errors.DeposedError


def encode_lease(lease: Lease) -> str:
    """Encode a lease; without a backlog the row is the same as that of other builds."""
    return codec.to_json_without_empty(lease, {"backlog"})


def progress_write(job: progress.JobProgress) -> table.Write:
    """Return the write of a job's progress record."""
    return table.Write(keys.state(job.job.job_id), recording.encode(job))


def size_in_bytes(write: table.Write) -> int:
    """Return the length in bytes of the value that is written."""
    return len((write.value or "").encode())


def claim_lease(
    rows: table.Table, lease: Lease, link: str, lease_version: int
) -> int | None:
    """Write the rows of a new leader; return their version, or None on failure.

    Replacing the chain makes transactions of the earlier leader that are still in
    flight fail. The version of the chain is not checked: a live leader replaces it with
    each transaction, so that a claim against one would never succeed.
    """
    transaction = table.Transaction(
        (table.Check(keys.LEASE, lease_version),),
        (
            table.Write(keys.LEASE, encode_lease(lease)),
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
    """Return the version of `link`, or None if another link is the chain's last."""
    found = rows.read([keys.CHAIN])
    if isinstance(found, result.Err):
        return found
    chain = found.ok_value.get(keys.CHAIN)
    return result.Ok(chain.version if chain and chain.value == link else None)
