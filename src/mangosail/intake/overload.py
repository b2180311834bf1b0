"""Refusal of jobs that would end too late for their callers.

While more work arrives than can be done, jobs would otherwise end after their callers
have given up, and delay the others. The leader publishes its backlog in the lease row;
each instance reads the row while jobs come in, and judges new jobs by it. In doubt a
job is accepted::

    late_jobs = LateJobs(rows, queue_of, clock, counters, rand)
    refusal = late_jobs.check(job)
    if refusal is not None:
        return result.Err(refusal)
"""

import collections.abc as cabc
import dataclasses
import enum
import random

import gevent
import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.intake import errors
from mangosail.platform import errors as store_errors
from mangosail.platform import table
from mangosail.scheduler import (
    backlog,
    commits,
    estimates,
    journal,
    keys,
    messages,
    ordering,
)
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("overload")

#: Up to this multiple of what a queue allows for a job, its late result is of use.
LATE_TIMES = 3.0
#: Factor by which declared durations may be too short. The objective grows with them,
#: so a job that ends in time with this factor must not be refused.
ESTIMATE_ERROR = 2.0
#: Seconds between reads of the row, and after the last job until reading ends. At the
#: largest deployment an instance gets a job every 3 s.
READ_INTERVAL_S = 0.5
KEEP_READING_S = 15.0
#: Seconds for which the row may not have changed, which is renewed every 0.3 s; and the
#: same from the last read that found it different, up to an interval earlier.
MAX_AGE_S = 1.5
MAX_READ_AGE_S = MAX_AGE_S + READ_INTERVAL_S
#: Seconds after figures were missing or old in which no job is refused. The store may
#: have been away, and a write of an earlier build, which does not check for refusals,
#: may still take effect seconds later: a job submitted again would be refused, and run.
SETTLE_S = 5.0
#: Value of the row of a refusal; only its version is used.
REFUSAL_TEXT = "{}"
#: Number of jobs with an unknown outcome that are remembered.
MAX_UNDECIDED = 10000
#: Bounds of the seconds after which a refused caller should retry, and the part of them
#: that is added at random so that callers do not return together.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 10.0
RETRY_SPREAD = 0.5


class NotRefused(enum.StrEnum):
    """Why a job that would be too late is not refused."""

    #: An earlier attempt to store it may still take effect.
    UNDECIDED = "undecided"
    #: Whether it is stored could not be read.
    UNREAD = "unread"
    #: It is stored already.
    REPEATED = "repeated"
    #: The write of its refusal has no certain success.
    UNRECORDED = "unrecorded"


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a job asks for by its declared durations."""

    core_seconds: float
    critical_path: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job would be too late; times are in seconds from now."""

    #: Core-seconds ahead of the job, and the cores that it and they can use.
    backlog: float
    cores: float
    expected_end: float
    #: Time within which it should end, by its declared durations.
    objective: float
    retry_after: float


def demand(job: messages.Job) -> Demand:
    """Return what a job asks for; 1 s counts for a task without declared duration."""
    core_seconds = 0.0
    paths: list[float] = []
    for step in job.steps:
        seconds = step.estimate or estimates.DEFAULT_ESTIMATE_S
        seconds = min(max(seconds, estimates.MIN_DURATION_S), estimates.MAX_DURATION_S)
        core_seconds += step.count * seconds * step.need.cpus
        paths.append(seconds + max((paths[i] for i in step.after), default=0.0))
    return Demand(core_seconds, max(paths, default=0.0))


def is_refusable(job: messages.Job) -> bool:
    """Return whether a job may be refused: not a continuous or scheduled one."""
    return not job.scheduled and not any(step.continuous for step in job.steps)


def judge(
    job: messages.Job,
    queue: messages.Queue,
    published: backlog.Backlog,
    rand: random.Random,
) -> Refusal | None:
    """Return why a job must be refused, or None if it may end while it is of use.

    Its tasks may take `ESTIMATE_ERROR` times as long as declared, for which its
    objective is longer too.
    """
    waiting = published.of(job.priority)
    if waiting is None or waiting.cores <= 0:
        return None
    wanted = demand(job)
    path = ESTIMATE_ERROR * wanted.critical_path
    own = ESTIMATE_ERROR * wanted.core_seconds
    allowed = queue.stretch * path + queue.target
    work = ordering.RemainingWork(
        job.job_id,
        0.0,
        wanted.core_seconds,
        wanted.core_seconds,
        wanted.critical_path,
    )
    ahead_if_selected, ahead = waiting.ahead(ordering.value_rate(work, waiting.mean))
    if (ahead_if_selected + own) / waiting.cores + path <= allowed:
        return None
    expected_end = (ahead + own) / waiting.cores + path
    excess = expected_end - LATE_TIMES * allowed
    if excess <= 0:
        return None
    retry_after = min(max(excess, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return Refusal(
        ahead,
        waiting.cores,
        expected_end,
        queue.stretch * wanted.critical_path + queue.target,
        retry_after * (1 + rand.uniform(0, RETRY_SPREAD)),
    )


class BacklogReader:
    """Keeps the backlog that the leader publishes, while jobs come in."""

    def __init__(
        self, rows: table.Table, clock: clocks.Clock, counters: telemetry.Counters
    ) -> None:
        self.rows = rows
        self.clock = clock
        self.counters = counters
        #: Returns whether the row may hold a backlog, by what is known of it anyway.
        self.may_be_published: cabc.Callable[[], bool] = lambda: True
        self.published: backlog.Backlog | None = None
        self.version = table.ABSENT
        #: Elapsed time at which the last successful read was sent.
        self.read_at: float | None = None
        #: The same of the last read that found an earlier version of the row: the
        #: present version was written after that. None if no change was seen.
        self.unchanged_since: float | None = None
        #: Elapsed time at which figures were missing or old last.
        self.unsettled_at = clock.elapsed()
        #: Elapsed time until which the row is read again and again.
        self.needed_until = 0.0
        self.reading = False

    def job_arrived(self) -> None:
        """Keep reading the row for a while if it may hold a backlog.

        Mostly there is none, and the reads of all instances would be a fifth of all
        calls to the store.
        """
        if not self.reading and not self.may_be_published():
            return
        self.needed_until = self.clock.elapsed() + KEEP_READING_S
        if not self.reading:
            self.reading = True
            gevent.spawn(self._read_while_needed)

    def current(self) -> backlog.Backlog | None:
        """Return the backlog if it is certainly new enough, and else None."""
        now = self.clock.elapsed()
        if self.published is None or self._is_old(now):
            return None
        return self.published if now >= self.unsettled_at + SETTLE_S else None

    def _is_old(self, now: float) -> bool:
        since = self.unchanged_since
        return since is None or now > since + MAX_READ_AGE_S

    def _read_while_needed(self) -> None:
        try:
            while self.clock.elapsed() < self.needed_until:
                self.read()
                self.clock.sleep(READ_INTERVAL_S)
        finally:
            self.reading = False

    def read(self) -> None:
        """Read the row once."""
        sent_at = self.clock.elapsed()
        if self._is_old(sent_at):
            self.unsettled_at = sent_at
        found = self.rows.read([keys.LEASE])
        if isinstance(found, result.Err):
            self.counters.count("overload.unusable.read_failed")
            self.unsettled_at = sent_at
            return
        row = found.ok_value.get(keys.LEASE)
        if row is None:
            self.published = None
        elif row.version != self.version:
            self.version = row.version
            self.unchanged_since = self.read_at
            self.published = self._decode(row.value)
        self.read_at = sent_at

    def _decode(self, text: str) -> backlog.Backlog | None:
        """Return the backlog in a lease row; None if it has none that can be read."""
        try:
            lease = codec.from_json(text, journal.Lease)
        except codec.DecodeError as exc:
            self.counters.count("overload.unusable.undecodable")
            log.warning("lease row cannot be decoded", error=str(exc))
            return None
        if not lease.backlog or lease.released:
            return None
        found = backlog.decode(lease.backlog)
        if found is None:
            self.counters.count("overload.unusable.other_version")
        return found


class LateJobs:
    """Refuses jobs that would end too late, and whose refusal is certainly true."""

    def __init__(
        self,
        rows: table.Table,
        queue_of: cabc.Callable[[str], messages.Queue | None],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        rand: random.Random,
        may_be_published: cabc.Callable[[], bool] | None = None,
    ) -> None:
        self.rows = rows
        self.queue_of = queue_of
        self.clock = clock
        self.counters = counters
        self.rand = rand
        self.reader = BacklogReader(rows, clock, counters)
        if may_be_published is not None:
            self.reader.may_be_published = may_be_published
        #: Jobs that this instance may have stored.
        self.undecided: set[str] = set()

    def record_undecided(self, job_id: str) -> None:
        """Record that a job may be stored later."""
        if len(self.undecided) >= MAX_UNDECIDED:
            self.undecided.clear()
        self.undecided.add(job_id)

    def check(self, job: messages.Job) -> errors.Refused | store_errors.Conflict | None:
        """Return the refusal of a job that would be late, or None to store it.

        A job that is stored already conflicts with its row, as if it was stored again.
        """
        if not is_refusable(job):
            return None
        self.reader.job_arrived()
        published = self.reader.current()
        queue = self.queue_of(job.queue)
        if published is None or queue is None:
            return None
        refusal = judge(job, queue, published, self.rand)
        if refusal is None:
            return None
        reason = self._reason_to_accept(job.job_id)
        if reason is not None:
            self.counters.count(f"overload.not_refused.{reason.value}")
            if reason is NotRefused.REPEATED:
                return store_errors.Conflict(keys.job(job.job_id))
            return None
        self.counters.count("overload.refused")
        log.info(
            "job refused as too late", job=job.job_id, queue=job.queue,
            priority=job.priority, backlog=round(refusal.backlog, 1),
            cores=refusal.cores, expected_end=round(refusal.expected_end, 2),
            objective=round(refusal.objective, 2),
            retry_after=round(refusal.retry_after, 2),
        )  # fmt: skip
        return errors.Refused("overloaded", refusal.retry_after)

    def _reason_to_accept(self, job_id: str) -> NotRefused | None:
        """Return why a late job is not refused; None if its refusal was recorded."""
        if job_id in self.undecided:
            return NotRefused.UNDECIDED
        found = self.rows.read([keys.job(job_id), keys.state(job_id)])
        if isinstance(found, result.Err):
            return NotRefused.UNREAD
        if found.ok_value:
            return NotRefused.REPEATED
        done = self._record_refusal(job_id)
        if isinstance(done, result.Ok):
            return None
        if done.err_value == store_errors.Conflict(keys.job(job_id)):
            return NotRefused.REPEATED
        return NotRefused.UNRECORDED

    def _record_refusal(
        self, job_id: str
    ) -> result.Result[int, store_errors.CommitError]:
        """Write the refusal of a job that is not stored.

        Each submission checks the version of this row. So a write of the job that was
        sent before, by any instance, and has had no answer can't take effect later.
        """
        transaction = table.Transaction(
            (table.Check(keys.job(job_id), table.ABSENT),),
            (table.Write(keys.refusal(job_id), REFUSAL_TEXT),),
        )
        attempts = commits.Attempts(self.rows, transaction, lambda: None, self.clock)
        return attempts.try_commit()
