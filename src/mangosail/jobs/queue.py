"""The jobs that this instance sees to, and the tasks that wait for a worker."""

import collections.abc as cabc

import gevent
import gevent.event
import logbook
import result

from mangosail import clock as clocks
from mangosail import resources
from mangosail.jobs import (
    attempts,
    cancellation,
    errors,
    held,
    messages,
    offers,
    ordering,
    polling,
    recording,
    records,
    room,
    tracker,
    work,
)
from mangosail.ownership import session
from mangosail.platform import errors as platform_errors
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages
from mangosail.work import outcomes

log = logbook.Logger("jobs")

#: Seconds between attempts to place waiting tasks while things change.
PLACE_INTERVAL = 0.05
#: Seconds between them while nothing does. Each attempt looks at every held job,
#: so that a few dozen that wait cost more than all else if tried all the time.
QUIET_INTERVAL = 0.25
#: Seconds that one task of a job may take until it is looked at again.
TASK_PATIENCE = 3600.0
#: Seconds in which a peer that was offered a task claims it, or never will.
FOLLOW_GRACE = 10.0
#: The same for an urgent task, which may not wait for slow peers: one that claims it
#: later finds that another has, or is found to have it; it starts once.
URGENT_GRACE = 0.5
#: Attempts at a cancellation while the holder writes at the same time.
CANCEL_ATTEMPTS = 5


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
        arrangement: ordering.Order | None = None,
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
        self.order = arrangement or ordering.FairOrder()
        self.jobs: dict[str, held.HeldJob] = {}
        self.ends = attempts.Ends(rows, places, clock, counters, seed)
        self.cancelling = cancellation.Cancelling(run, self.ends, clock, counters)
        followed = polling.Following(rows, self.ends, clock, counters)
        self.recording = recording.Recording(
            self.jobs, rows, followed, self.cancelling, lease, counters
        )
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
                return result.Err(errors.StoreUnavailable(outcomes.ASK_AGAIN))
            # The holder wrote its progress in between, or the answer was lost.
            self.counters.count("jobs.retry.cancel_conflict")
        return result.Err(errors.Undecided(outcomes.ASK_AGAIN))

    def _cancelled(self, found: records.Found) -> messages.Progress:
        self.counters.count("jobs.cancelled")
        own = self.jobs.get(records.keys_of(found.row)[0])
        if own is not None:
            own.found = found
            self.cancelling.stop(own)
        return self._progress(found)

    def waiting(self) -> int:
        """Return how many tasks of held jobs have not been started."""
        waiting = tracker.Standing.WAITING
        return sum(job.tally.counts[waiting] for job in self.jobs.values())

    def hold(self, job: held.HeldJob) -> None:
        """See to a job from now on."""
        self.jobs[messages.job_key(job.job.team, job.job.job_id)] = job
        self.changed.set()
        if job.state is messages.State.CANCELLING:
            self.cancelling.cancel_running(job)

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
            if self._make_room(job, index, job.blocked_since):
                return True
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
        self._taken_by_peer(job, index, request)
        return True

    def _make_room(self, job: held.HeldJob, index: int, blocked_since: float) -> bool:
        """Have room made here, or else by a peer; True if one may have the task.

        This instance may have no workers, or none that can be cleared.
        """
        request = job.request(index)
        if self.room.make(request, job.job.urgent, blocked_since):
            return False
        if not job.job.urgent or not self.peers.clear(request):
            return False
        self._taken_by_peer(job, index, request)
        return True

    def _taken_by_peer(
        self, job: held.HeldJob, index: int, request: work_messages.Request
    ) -> None:
        self.room.forget(request)
        job.tally.begin(index)
        job.blocked_since = None
        grace = URGENT_GRACE if job.job.urgent else FOLLOW_GRACE
        job.follow(index, self.clock.monotonic(), grace)

    def _run(
        self, job: held.HeldJob, index: int, request: work_messages.Request
    ) -> None:
        answer = self.run.submit(
            request, self.clock.monotonic() + TASK_PATIENCE, forward=False
        )
        self.room.forget(request)
        if isinstance(answer, result.Err):
            self.ends.not_run(job, index, answer.err_value)
            return
        self.ends.settle(job, index, request.request_id, answer.ok_value.state)

    def on_end(
        self, outcome: work_messages.Outcome, row: work_messages.WorkRow
    ) -> None:
        """Take in the end of work that ran here, adopted work among it."""
        self.changed.set()
        request = row.request
        job = self.jobs.get(messages.job_key(request.team, request.job))
        task = tracker.task_of(job.job, request.request_id) if job else None
        if job is not None and task is not None:
            self.ends.settle(job, task[0], request.request_id, outcome.state)

    def task_ended(self, message: messages.TaskEnded) -> messages.Noted:
        """Take in what a peer tells of a task that it took on."""
        key = messages.job_key(message.team, message.job_id)
        job = self.jobs.get(key)
        task = tracker.task_of(job.job, message.request_id) if job else None
        if job is None or task is None:
            return messages.Noted()
        if message.outcome:
            self.ends.settle(job, task[0], message.request_id, message.outcome)
        elif job.request(task[0]).request_id == message.request_id:
            self.counters.count("jobs.retry.offer_failed")
            self.ends.put_back(job, task[0], 0)
        return messages.Noted()

    def _progress(self, found: records.Found) -> messages.Progress:
        return messages.progress_of(found.row.job, found.state)
