"""Submission, lookup and cancellation of jobs.

All answers are based on the store, so any instance can give them. A job is stored
before its submission is acknowledged; the leader reads it from the store.
"""

import collections.abc as cabc
import dataclasses

import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.intake import errors, overload
from mangosail.platform import errors as store_errors
from mangosail.platform import table
from mangosail.scheduler import (
    admission,
    commits,
    endings,
    journal,
    keys,
    messages,
    ports,
    records,
)
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("intake")

#: Seconds after which a write without an answer is not retried. The caller is better
#: served by another instance than by waiting for this one.
COMMIT_TIMEOUT_S = 1.0
#: Seconds until a failed write is retried.
RETRY_INTERVAL_S = 0.08
#: Seconds after the arrival of a job within which an earlier refusal of it is replaced.
#: A later one may answer a repetition of this request at another instance.
MAX_REPLACE_DELAY_S = 0.5
#: Seconds after which a refused caller should retry.
RETRY_AFTER_S = 0.3
#: Seconds after which a refused continuous job may find capacity.
CONTINUOUS_RETRY_AFTER_S = 2.0
#: Seconds for which counts of pending jobs are cached.
PENDING_TTL_S = 0.5
#: Limit of cached job states, which answer callers while the store is unreachable.
MAX_CACHED_STATES = 20000


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCounts:
    """Pending jobs by queue, and the time until which the counts may be used."""

    by_queue: dict[str, int]
    expires_at: float


#: Errors of submissions and cancellations.
ChangeError = errors.Refused | errors.Undecided | errors.UnknownJob

#: Outcome of a write, as far as it can be determined.
WriteResult = result.Result[
    int, store_errors.Conflict | errors.Refused | errors.Undecided
]


class JobService:
    """Submits, looks up and cancels jobs in the store."""

    def __init__(
        self,
        rows: ports.WatchableTable,
        store_unreachable: cabc.Callable[[], bool],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        late_jobs: overload.LateJobs | None = None,
    ) -> None:
        self.rows = rows
        #: Refuses jobs that would end too late; None to accept all.
        self.late_jobs = late_jobs
        #: Returns whether the store has been unreachable for a while.
        self.store_unreachable = store_unreachable
        self.clock = clock
        self.counters = counters
        self.pending_counts = PendingCounts({}, 0.0)
        #: Last state read of each job.
        self.cached_states: dict[str, messages.State] = {}

    def submit(self, job: messages.Job) -> result.Result[None, ChangeError]:
        """Store a job; resubmitting a stored job succeeds."""
        began_at = self.clock.elapsed()
        deadline = began_at + COMMIT_TIMEOUT_S
        cores = admission.continuous_cores(job)
        if self.store_unreachable():
            # Nothing has been sent, so the refusal is certain. Trying to write would
            # delay the caller for seconds and leave the outcome unknown.
            done: WriteResult = result.Err(errors.Refused("store_away", RETRY_AFTER_S))
        elif cores:
            done = self._submit_continuous(job, cores, deadline)
        else:
            done = self._submit_unless_late(job, began_at)
        took = self.clock.elapsed() - began_at
        self.counters.time("intake.stored", took)
        outcome = outcome_of(done)
        self.counters.count(f"intake.{outcome}")
        log.info(
            "handed in", job=job.job_id, queue=job.queue, outcome=outcome,
            reason=reason_of(done), seconds=round(took, 4),
            tasks=sum(step.count for step in job.steps),
        )  # fmt: skip
        return caller_result(done)

    def _submit_unless_late(self, job: messages.Job, began_at: float) -> WriteResult:
        """Store a job unless it would end too late for its caller."""
        if self.late_jobs is None:
            # Other instances may refuse jobs, so their refusals are checked here too.
            return self._store(job, began_at)
        fault = self.late_jobs.check(job)
        if fault is not None:
            return result.Err(fault)
        done = self._store(job, began_at)
        if isinstance(done, result.Err) and isinstance(
            done.err_value, errors.Undecided
        ):
            self.late_jobs.record_undecided(job.job_id)
        return done

    def _store(self, job: messages.Job, began_at: float) -> WriteResult:
        """Store a job, also one that was refused as too late before.

        A refusal that may be later than this request must hold. No attempt to store the
        job takes effect after it, but an earlier one may have, so the outcome is open.
        """
        deadline = began_at + COMMIT_TIMEOUT_S
        done = self._commit(store_transaction(job), deadline)
        key, refusal = keys.job(job.job_id), keys.refusal(job.job_id)
        refused = store_errors.Conflict(refusal)
        if isinstance(done, result.Ok) or done.err_value != refused:
            return done
        found = self.rows.read([key, refusal])
        if isinstance(found, result.Err):
            return result.Err(errors.Undecided("store_away"))
        if key in found.ok_value:
            return result.Err(store_errors.Conflict(key))
        if self.clock.elapsed() <= began_at + MAX_REPLACE_DELAY_S:
            row = found.ok_value.get(refusal)
            version = row.version if row else table.ABSENT
            done = self._commit(store_transaction(job, version), deadline)
            if isinstance(done, result.Ok):
                self.counters.count("intake.refusal_replaced")
            if isinstance(done, result.Ok) or done.err_value != refused:
                return done
        return result.Err(errors.Undecided("refused_elsewhere"))

    def _submit_continuous(
        self, job: messages.Job, cores: float, deadline: float
    ) -> WriteResult:
        """Store a continuous job if the bound on continuous jobs permits it."""
        attempted = False
        while True:
            found = self.rows.read_all(keys.LEADERSHIP)
            if isinstance(found, result.Err):
                if attempted:
                    return result.Err(errors.Undecided("store_away"))
                return result.Err(errors.Refused("store_away", RETRY_AFTER_S))
            rows = {row.key: row for row in found.ok_value.rows}
            capacity = continuous_capacity(rows)
            if capacity.bound is not None and capacity.taken + cores > capacity.bound:
                return self._refuse_continuous(job, capacity)
            check = table.Check(keys.CONTINUOUS, capacity.version)
            used = codec.to_json(
                admission.ContinuousReservation(capacity.taken + cores)
            )
            base = store_transaction(job)
            transaction = table.Transaction(
                (*base.checks, check),
                (*base.writes, table.Write(keys.CONTINUOUS, used)),
            )
            done = self._commit(transaction, deadline)
            attempted = True
            contended = store_errors.Conflict(keys.CONTINUOUS)
            if isinstance(done, result.Ok) or done.err_value != contended:
                return done
            if self.clock.elapsed() >= deadline:
                # This conflict must not be treated like one on the row of the job,
                # which means that the job is stored: when hundreds of jobs were
                # submitted at once, callers got acceptances of jobs that did not exist.
                # The job is not stored, since no attempt checked the row's current
                # version.
                return result.Err(errors.Refused("room_contended", RETRY_AFTER_S))
            self.counters.count("intake.retry.continuous_conflict")

    def _refuse_continuous(
        self, job: messages.Job, capacity: "ContinuousCapacity"
    ) -> WriteResult:
        """Refuse a continuous job unless an earlier attempt has stored it."""
        key = keys.continuous_job(job.job_id)
        found = self.rows.read([key])
        if isinstance(found, result.Err):
            return result.Err(errors.Undecided("store_away"))
        if key in found.ok_value:
            return result.Err(store_errors.Conflict(key))
        log.info(
            "no capacity for continuous job",
            job=job.job_id,
            taken=capacity.taken,
            most=capacity.bound,
        )
        return result.Err(
            errors.Refused("no_room_for_continuous", CONTINUOUS_RETRY_AFTER_S)
        )

    def state(
        self, job_id: str
    ) -> result.Result[messages.State, errors.UnknownJob | errors.Refused]:
        """Return the state of a job."""
        final = self._cached_final_state(job_id)
        if final is not None:
            return result.Ok(final)
        found = self._read_state(job_id)
        # Another request may have read the end of the job in the meantime.
        final = self._cached_final_state(job_id)
        if final is not None:
            return result.Ok(final)
        if isinstance(found, result.Err):
            if isinstance(found.err_value, errors.UnknownJob):
                return found
            self.counters.count("intake.state_from_memory")
            known = self.cached_states.get(job_id)
            if known is None:
                return found
            return result.Ok(known)
        state = found.ok_value
        if len(self.cached_states) >= MAX_CACHED_STATES:
            self.cached_states.clear()
        self.cached_states[job_id] = state
        return result.Ok(state)

    def _cached_final_state(self, job_id: str) -> messages.State | None:
        known = self.cached_states.get(job_id)
        return known if known in messages.FINAL else None

    def state_without_store(self, job_id: str) -> messages.State | None:
        """Return the last known state of a job if the store does not answer.

        None if no state of the job is known, or if the store answers.
        """
        known = self.cached_states.get(job_id)
        if known is None or self.rows.read([keys.state(job_id)]).is_ok():
            return None
        self.counters.count("intake.state_from_memory")
        return known

    def _log_failed_job(self, job_id: str, record: records.JobRecord) -> None:
        """Log why a job failed; once, as callers are answered from the cache later."""
        self.counters.count("intake.failed_jobs_read")
        log.info(
            "failed job read", job=job_id, **endings.recorded_fields(record.failure)
        )

    def _read_state(
        self, job_id: str
    ) -> result.Result[messages.State, errors.UnknownJob | errors.Refused]:
        """Read the state of a job; one not yet recorded by the leader is queued."""
        for key in (
            keys.state(job_id),
            keys.job(job_id),
            keys.continuous_job(job_id),
        ):
            found = self.rows.read([key])
            if isinstance(found, result.Err):
                return result.Err(errors.Refused("store_away", RETRY_AFTER_S))
            row = found.ok_value.get(key)
            if row is None:
                continue
            if key == keys.state(job_id):
                record = records.decode(row.value)
                if record.state is messages.State.FAILED:
                    self._log_failed_job(job_id, record)
                return result.Ok(record.state)
            return result.Ok(messages.State.QUEUED)
        return result.Err(errors.UnknownJob())

    def cancel(self, job_id: str) -> result.Result[None, ChangeError]:
        """Request the cancellation of a job; durable once this returns Ok."""
        began_at = self.clock.elapsed()
        known = self.state(job_id)
        if isinstance(known, result.Err):
            return known
        if known.ok_value in messages.FINAL:
            return result.Ok(None)
        key = keys.cancellation(job_id)
        transaction = table.Transaction((), (table.Write(key, "1"),))
        done = self._commit(transaction, began_at + COMMIT_TIMEOUT_S)
        log.info("cancellation requested", job=job_id, done=isinstance(done, result.Ok))
        self.counters.count("intake.cancelled")
        return caller_result(done)

    def pending(self, queue: str) -> result.Result[int, errors.Refused]:
        """Return the number of accepted jobs of a queue that have not started."""
        now = self.clock.elapsed()
        if now >= self.pending_counts.expires_at:
            found = self.rows.read([keys.LEASE])
            if isinstance(found, result.Err):
                return result.Err(errors.Refused("store_away", RETRY_AFTER_S))
            row = found.ok_value.get(keys.LEASE)
            lease = codec.from_json(row.value, journal.Lease) if row else None
            by_queue = lease.pending if lease else {}
            self.pending_counts = PendingCounts(by_queue, now + PENDING_TTL_S)
        return result.Ok(self.pending_counts.by_queue.get(queue, 0))

    def _stored_version(self, key: str) -> int | None:
        """Return the version of a write-once row, or None if it does not exist."""
        found = self.rows.read([key])
        row = found.ok_value.get(key) if isinstance(found, result.Ok) else None
        return row.version if row else None

    def _commit(self, transaction: table.Transaction, deadline: float) -> WriteResult:
        """Commit a transaction and resolve its outcome if the answer is lost.

        The transaction is sent again over a new connection; its checks ensure that
        it takes effect only once. A refusal is returned only if every attempt was
        answered, since an unanswered one may still take effect.
        """
        lost = ""
        key = transaction.writes[0].key
        attempts = commits.Attempts(
            self.rows, transaction, lambda: self._stored_version(key), self.clock
        )
        while True:
            done = attempts.try_commit()
            if isinstance(done, result.Ok):
                return done
            error = done.err_value
            if isinstance(error, store_errors.Conflict):
                return result.Err(error)
            reason = type(error).__name__.lower()
            self.counters.count(f"intake.retry.{reason}")
            if isinstance(error, store_errors.Uncertain):
                lost = error.reason or reason
            if self.clock.elapsed() >= deadline or not lost:
                break
            self.clock.sleep(RETRY_INTERVAL_S)
            # An instance that was frozen must not write again: the job may have been
            # refused elsewhere, so long ago that the refusal has been dropped.
            if self.clock.elapsed() >= deadline:
                break
        if lost:
            return result.Err(errors.Undecided(lost))
        return result.Err(errors.Refused("store_away", RETRY_AFTER_S))


@dataclasses.dataclass(frozen=True, slots=True)
class ContinuousCapacity:
    """Capacity used by continuous jobs, and its bound, as read from the store."""

    taken: float
    version: int
    bound: float | None


def continuous_capacity(rows: cabc.Mapping[str, table.Row]) -> ContinuousCapacity:
    """Return the capacity of continuous jobs from the leadership rows."""
    held, leader = rows.get(keys.CONTINUOUS), rows.get(keys.LEASE)
    taken = (
        codec.from_json(held.value, admission.ContinuousReservation).cores
        if held
        else 0.0
    )
    version = held.version if held else table.ABSENT
    lease = codec.from_json(leader.value, journal.Lease) if leader else None
    return ContinuousCapacity(taken, version, lease.continuous_bound if lease else None)


def store_transaction(
    job: messages.Job, refusal: int = table.ABSENT
) -> table.Transaction:
    """Return a transaction that stores a job unless it is stored already.

    It fails if the job has been refused as too late, except by the refusal of the given
    version, which it removes.
    """
    text = codec.to_json(job)
    if admission.continuous_cores(job):
        # Such a job is never refused as too late.
        key = keys.continuous_job(job.job_id)
        return table.Transaction(
            (table.Check(key, table.ABSENT),), (table.Write(key, text),)
        )
    key, refusal_key = keys.job(job.job_id), keys.refusal(job.job_id)
    writes = [table.Write(key, text)]
    if refusal != table.ABSENT:
        writes.append(table.Write(refusal_key, None))
    return table.Transaction(
        (table.Check(key, table.ABSENT), table.Check(refusal_key, refusal)),
        tuple(writes),
    )


def caller_result(done: WriteResult) -> result.Result[None, ChangeError]:
    """Return the result for the caller; an existing row counts as success.

    The only conflict that a write result contains here is one on the row of the job.
    """
    if isinstance(done, result.Ok):
        return result.Ok(None)
    error = done.err_value
    if isinstance(error, store_errors.Conflict):
        return result.Ok(None)
    return result.Err(error)


def reason_of(done: WriteResult) -> str:
    """Return why a job was refused or is undecided, or an empty text."""
    if isinstance(done, result.Ok) or isinstance(done.err_value, store_errors.Conflict):
        return ""
    return done.err_value.reason


def outcome_of(done: WriteResult) -> str:
    """Return the outcome of a write as used in counters and logs."""
    if isinstance(done, result.Ok):
        return "accepted"
    if isinstance(done.err_value, store_errors.Conflict):
        return "repeated"
    return type(done.err_value).__name__.lower()
