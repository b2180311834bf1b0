"""The jobs that this instance sees to, and the tasks that wait for a worker."""

import collections.abc as cabc
import random

import gevent
import gevent.event
import gevent.pool
import logbook
import result

from mangosail import clock as clocks
from mangosail import resources
from mangosail.jobs import (
    errors,
    held,
    messages,
    offers,
    order,
    records,
    room,
    tally,
    work,
)
from mangosail.ownership import session
from mangosail.placement import errors as placement_errors
from mangosail.platform import errors as platform_errors
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages

log = logbook.Logger("jobs")

#: Seconds between attempts to place waiting tasks while things change.
PLACE_INTERVAL = 0.05
#: Seconds between them while nothing does. Each attempt looks at every held job,
#: so that a few dozen that wait cost more than all else if tried all the time.
QUIET_INTERVAL = 0.25
#: Seconds between writings of jobs' states, and readings of what we follow.
RECORD_INTERVAL = 1.0
#: Seconds that one task of a job may take until it is looked at again.
TASK_PATIENCE = 3600.0
#: Seconds until a task is tried again, doubled with each failure.
BACKOFF = 0.25
#: Longest such time in seconds.
LONGEST_BACKOFF = 30.0
#: Seconds in which a peer that was offered a task claims it, or never will.
FOLLOW_GRACE = 10.0
#: Most cancellations in hand at a time.
CANCEL_TASKS = 16
#: Attempts at a cancellation while the holder writes at the same time.
CANCEL_ATTEMPTS = 5
#: Rows read at a time while following tasks.
READ_ROWS = 500


class JobQueue:
    """Jobs held by this instance; tasks start as soon as they fit."""

    def __init__(
        self,
        rows: records.Records,
        run: work.Work,
        places: room.Room,
        peers: offers.Offers,
        lease: session.Session,
        quotas: cabc.Callable[[str], resources.Resources],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        arrangement: order.Order | None = None,
        seed: int = 0,
    ) -> None:
        self.records = rows
        self.run = run
        self.room = places
        self.peers = peers
        self.lease = lease
        self.quotas = quotas
        self.clock = clock
        self.counters = counters
        self.order = arrangement or order.FairOrder()
        self.random = random.Random(seed)
        self.jobs: dict[str, held.HeldJob] = {}
        self.cancelling = gevent.pool.Pool(CANCEL_TASKS)
        #: Set when a task may fit that did not: work ended, or a job came.
        self.changed = gevent.event.Event()

    def submit(
        self, job: messages.Job
    ) -> result.Result[tuple[messages.Progress, bool], errors.SubmitError]:
        """Record `job` durably and queue it; True tells that it is new."""
        own = self.lease.row
        state = messages.JobState(job.team, job.job_id, own.instance, own.incarnation)
        row = messages.JobRow(job, messages.digest_of(job), own.data_centre)
        created = self.records.create(row, state)
        if isinstance(created, result.Err):
            reason = type(created.err_value).__name__.lower()
            self.counters.count(f"jobs.refused.{reason}")
            return created
        found = created.ok_value
        new = found.state is state
        if new:
            self.hold(held.HeldJob(found))
            self.counters.count("jobs.submitted")
        else:
            self.counters.count("jobs.repeated")
        return result.Ok((self._progress(found), new))

    def look_up(
        self, team: str, job_id: str
    ) -> result.Result[messages.Progress, errors.ReadError]:
        """Return how far a job has come, whoever holds it."""
        own = self.jobs.get(messages.job_key(team, job_id))
        if own is not None:
            return result.Ok(messages.progress_of(own.job, own.next_state()))
        return self.records.find(team, job_id).map(self._progress)

    def page(
        self, team: str, after: str, limit: int
    ) -> result.Result[messages.Page, errors.StoreUnavailable]:
        """Return at most `limit` jobs of a team by id, past the id `after`."""
        found = self.records.page(team, after, limit)
        if isinstance(found, result.Err):
            return found
        jobs = tuple(self._progress(each) for each in found.ok_value)
        more = jobs[-1].job_id if len(jobs) == limit else None
        return result.Ok(messages.Page(jobs, more))

    def cancel(
        self, team: str, job_id: str
    ) -> result.Result[messages.Progress, errors.CancelError]:
        """Cancel a job: durably first, then what waits and runs of it here.

        Another holder finds the cancellation when it next records its state.
        """
        for _ in range(CANCEL_ATTEMPTS):
            found = self.records.find(team, job_id)
            if isinstance(found, result.Err):
                return found
            present = found.ok_value
            if present.state.state is not messages.State.RUNNING:
                return result.Ok(self._progress(present))
            state = messages.change(present.state, state=messages.State.CANCELLING)
            written = self.records.write(present, state)
            if isinstance(written, result.Ok):
                return result.Ok(self._cancelled(written.ok_value))
            if isinstance(written.err_value, platform_errors.Unavailable):
                return result.Err(errors.StoreUnavailable(records.COME_BACK))
            # The holder wrote its progress in between, or the answer was lost.
            self.counters.count("jobs.retry.cancel_conflict")
        return result.Err(errors.Undecided(records.COME_BACK))

    def _cancelled(self, found: records.Found) -> messages.Progress:
        self.counters.count("jobs.cancelled")
        own = self.jobs.get(records.keys_of(found.row)[0])
        if own is not None:
            own.found = found
            self._stop(own, messages.State.CANCELLING, "")
        return self._progress(found)

    def waiting(self) -> int:
        """Return how many tasks of held jobs have not been started."""
        waiting = tally.Standing.WAITING
        return sum(job.tally.counts[waiting] for job in self.jobs.values())

    def hold(self, job: held.HeldJob) -> None:
        """See to a job from now on."""
        self.jobs[messages.job_key(job.job.team, job.job.job_id)] = job
        self.changed.set()
        if job.state is messages.State.CANCELLING:
            self._cancel_running(job)

    def place_forever(self) -> None:
        """Place waiting tasks again and again."""
        while True:
            self.changed.clear()
            try:
                self.place()
            except Exception:
                # A fault with one job must not stop the others for good.
                self.counters.count("jobs.place_failed")
                log.exception("place failed")
            self.clock.sleep(PLACE_INTERVAL)
            self.changed.wait(QUIET_INTERVAL - PLACE_INTERVAL)

    def place(self) -> None:
        """Start waiting tasks while one of them fits somewhere."""
        while self.lease.valid() and self._place_one():
            # Others have their turn between two tasks.
            self.clock.sleep(0)

    def _place_one(self) -> bool:
        """Start the first task in order that fits, and tell whether one did."""
        now = self.clock.monotonic()
        for job in self.order.arrange(self.jobs.values(), self.quotas):
            index = job.tally.next(now)
            if index is None:
                continue
            if self._place_task(job, index):
                job.blocked_since = None
                return True
            job.blocked_since = job.blocked_since or now
            self.room.make(job.request(index), job.job.urgent, job.blocked_since)
        return False

    def _place_task(self, job: held.HeldJob, index: int) -> bool:
        request = job.request(index)
        if self.room.fits(request):
            job.tally.begin(index)
            self.room.started(request, job.job.urgent)
            gevent.spawn(self._run, job, index, request)
            return True
        if not self.peers.offer(request, job.job.urgent):
            return False
        self.room.forget(request)
        job.tally.begin(index)
        job.follow(index, self.clock.monotonic(), FOLLOW_GRACE)
        return True

    def _run(
        self, job: held.HeldJob, index: int, request: work_messages.Request
    ) -> None:
        answer = self.run.submit(
            request, now_and(self.clock, TASK_PATIENCE), forward=False
        )
        self.room.forget(request)
        if isinstance(answer, result.Err):
            self._not_run(job, index, answer.err_value)
            return
        self.settle(job, index, request.request_id, answer.ok_value.state)

    def settle(
        self, job: held.HeldJob, index: int, request_id: str, outcome: str
    ) -> None:
        """Take in what became of a task's attempt; late news change nothing."""
        if request_id != job.request(index).request_id:
            return
        if job.tally.standings[index] != tally.Standing.RUNNING:
            return
        if outcome == work_messages.State.COMPLETED:
            self._end(job, index, tally.Standing.COMPLETED)
        elif outcome == work_messages.State.CANCELLED:
            self._end(job, index, tally.Standing.CANCELLED)
        elif outcome == work_messages.State.FAILED:
            self._failed(job, index, request_id)
        elif outcome == work_messages.State.NOT_RUN:
            self.counters.count("jobs.retry.not_run")
            job.tally.attempts[index] += 1
            self._put_back(job, index, 1)
        elif outcome == work_messages.State.EVICTED:
            self.counters.count("jobs.retry.evicted")
            self._put_back(job, index, 0)
        else:
            job.follow(index, self.clock.monotonic())

    def _end(self, job: held.HeldJob, index: int, at: tally.Standing) -> None:
        job.followed.pop(index, None)
        job.tally.move(index, at)
        self.counters.count(f"jobs.task.{at.name.lower()}")

    def _not_run(self, job: held.HeldJob, index: int, error: object) -> None:
        """Let a task that was not started wait again, unless it never can be."""
        if isinstance(error, placement_errors.NotPlaced) and error.retry_after is None:
            self._stop(job, messages.State.FAILED, error.reason.value)
            self._end(job, index, tally.Standing.FAILED)
            return
        self.counters.count(f"jobs.retry.{type(error).__name__.lower()}")
        self._put_back(job, index, 0)

    def _failed(self, job: held.HeldJob, index: int, request_id: str) -> None:
        """Try a task that failed again, unless that is of no use."""
        row = self._row(job.job.team, request_id)
        if row is not None:
            job.reason = row.reason
            job.failed_on.add(row.worker)
        job.failures += 1
        job.failed_attempts[index] += 1
        if job.poisoned(self.room.workers()):
            self.counters.count("jobs.poisoned")
            self._stop(job, messages.State.FAILED, f"fails everywhere: {job.reason}")
        if job.failed_attempts[index] >= tally.MOST_ATTEMPTS:
            self._end(job, index, tally.Standing.FAILED)
            return
        if job.state is not messages.State.RUNNING:
            self._end(job, index, tally.Standing.FAILED)
            return
        self.counters.count("jobs.retry.failed")
        job.tally.attempts[index] += 1
        self._put_back(job, index, job.failed_attempts[index])

    def _put_back(self, job: held.HeldJob, index: int, failures: int) -> None:
        """Let a task wait again, a while and by chance, so that none march in step."""
        job.followed.pop(index, None)
        if job.state is not messages.State.RUNNING:
            self._end(job, index, tally.Standing.CANCELLED)
            return
        longest = min(BACKOFF * 2**failures, LONGEST_BACKOFF)
        wait = longest * self.random.uniform(0.5, 1.0)
        job.tally.put_back(index, now_and(self.clock, wait))

    def _row(self, team: str, request_id: str) -> work_messages.WorkRow | None:
        found = self.records.work([work_messages.work_key(team, request_id)])
        if isinstance(found, result.Err):
            return None
        return next(iter(found.ok_value), None)

    def on_end(
        self, outcome: work_messages.Outcome, row: work_messages.WorkRow
    ) -> None:
        """Take in the end of work that ran here, adopted work among it."""
        self.changed.set()
        request = row.request
        job = self.jobs.get(messages.job_key(request.team, request.job))
        task = tally.task_of(job.job, request.request_id) if job else None
        if job is not None and task is not None:
            self.settle(job, task[0], request.request_id, outcome.state)

    def task_ended(self, message: messages.TaskEnded) -> messages.Noted:
        """Take in what a peer tells of a task that it took on."""
        key = messages.job_key(message.team, message.job_id)
        job = self.jobs.get(key)
        task = tally.task_of(job.job, message.request_id) if job else None
        if job is None or task is None:
            return messages.Noted()
        if message.outcome:
            self.settle(job, task[0], message.request_id, message.outcome)
        elif job.request(task[0]).request_id == message.request_id:
            self.counters.count("jobs.retry.offer_failed")
            self._put_back(job, task[0], 0)
        return messages.Noted()

    def record(self) -> None:
        """Write what changed of the held jobs, and read of what we follow."""
        for key, job in list(self.jobs.items()):
            self._follow(job)
            if not self.lease.valid():
                return
            if job.tally.over():
                self._record_end(key, job)
            elif job.next_state() != job.found.state:
                self._record_change(key, job)
        self._learn_cancellations()

    def _record_end(self, key: str, job: held.HeldJob) -> None:
        ended = self.records.end(job.found, job.next_state())
        if isinstance(ended, result.Ok):
            del self.jobs[key]
            self.counters.count(f"jobs.ended.{ended.ok_value.state.state}")
            return
        self._unrecorded(key, job, ended.err_value)

    def _record_change(self, key: str, job: held.HeldJob) -> None:
        written = self.records.write(job.found, job.next_state())
        if isinstance(written, result.Ok):
            job.found = written.ok_value
            return
        self._unrecorded(key, job, written.err_value)

    def _unrecorded(
        self, key: str, job: held.HeldJob, error: platform_errors.CommitError
    ) -> None:
        self.counters.count(f"jobs.record_failed.{type(error).__name__.lower()}")
        if isinstance(error, platform_errors.Conflict):
            self._reread(key, job)
        elif isinstance(error, platform_errors.Uncertain):
            self._reread(key, job)

    def _learn_cancellations(self) -> None:
        """Find what others wrote to our jobs' states: cancelled, or taken over."""
        rows = [job.found.row for job in self.jobs.values()]
        found = self.records.states(rows)
        if isinstance(found, result.Err):
            return
        for present in found.ok_value:
            key = records.keys_of(present.row)[0]
            job = self.jobs.get(key)
            if job is not None and present.version > job.found.version:
                self._accept(key, job, present)

    def _reread(self, key: str, job: held.HeldJob) -> None:
        found = self.records.find(job.job.team, job.job.job_id)
        if isinstance(found, result.Ok):
            self._accept(key, job, found.ok_value)

    def _accept(self, key: str, job: held.HeldJob, present: records.Found) -> None:
        """Take in a state that this instance did not write."""
        own = self.lease.row
        holder = (present.state.holder, present.state.incarnation)
        if present.row.final or holder != (own.instance, own.incarnation):
            # Another holder queues the tasks now. Those that run here go on;
            # their rows keep anybody from starting them a second time.
            self.jobs.pop(key, None)
            job.tally.cancel_waiting()
            self.counters.count("jobs.lost")
            return
        job.found = present
        if present.state.state is messages.State.CANCELLING:
            self._stop(job, messages.State.CANCELLING, "")

    def _stop(self, job: held.HeldJob, state: messages.State, reason: str) -> None:
        if job.state is not messages.State.RUNNING:
            return
        job.stop(state, reason)
        if state is messages.State.CANCELLING:
            self._cancel_running(job)

    def _cancel_running(self, job: held.HeldJob) -> None:
        """Cancel what runs, a few tasks at a time, without holding up others."""
        gevent.spawn(self._cancel_each, job)

    def _cancel_each(self, job: held.HeldJob) -> None:
        for index in list(job.tally.indices(tally.Standing.RUNNING)):
            self.cancelling.spawn(self._cancel_task, job, index)

    def _cancel_task(self, job: held.HeldJob, index: int) -> None:
        request = job.request(index)
        failures = 0
        while job.tally.standings[index] == tally.Standing.RUNNING:
            answer = self.run.cancel(request.team, request.request_id)
            if isinstance(answer, result.Ok):
                self.settle(job, index, request.request_id, answer.ok_value.state)
                # Where it runs elsewhere, its row tells of the end.
                job.follow(index, self.clock.monotonic())
                return
            self.counters.count("jobs.retry.cancel")
            failures += 1
            self.clock.sleep(min(BACKOFF * 2**failures, LONGEST_BACKOFF))

    def _follow(self, job: held.HeldJob) -> None:
        """Read the rows of tasks of whose end we would not hear."""
        now = self.clock.monotonic()
        indices = [idx for idx, each in job.followed.items() if each.read_at <= now]
        for first in range(0, len(indices), READ_ROWS):
            part = indices[first : first + READ_ROWS]
            requests = {job.request(idx).request_id: idx for idx in part}
            keys = [work_messages.work_key(job.job.team, rid) for rid in requests]
            found = self.records.work(keys)
            if isinstance(found, result.Err):
                return
            for row in found.ok_value:
                request_id = row.request.request_id
                index = requests.pop(request_id)
                if index in job.followed:
                    job.followed[index] = job.followed[index].again(now)
                self.settle(job, index, request_id, row.state)
            for index in requests.values():
                self._missing(job, index)

    def _missing(self, job: held.HeldJob, index: int) -> None:
        """Queue a task again that was offered but not claimed in time."""
        if index not in job.followed:
            return
        self.counters.count("jobs.retry.offer_lost")
        self._put_back(job, index, 0)

    def _progress(self, found: records.Found) -> messages.Progress:
        return messages.progress_of(found.row.job, found.state)


def now_and(clock: clocks.Clock, seconds: float) -> float:
    """Return the monotonic time in `seconds` from now."""
    return clock.monotonic() + seconds
