"""The jobs that this instance holds, and the placement of their waiting tasks."""

import collections
import collections.abc as cabc
import contextlib

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

#: Interval between placement rounds while tasks end or jobs arrive.
PLACE_INTERVAL_S = 0.05
#: Interval between placement rounds while nothing changes. Each round looks at every
#: held job: with a few dozen waiting, back-to-back rounds would cost more CPU time
#: than everything else.
IDLE_PLACE_INTERVAL_S = 0.25
#: Time for which the end of a task is awaited before its row is polled instead.
TASK_TIMEOUT_S = 3600.0
#: Time within which a peer that was offered a task claims it, or never will.
OFFER_CLAIM_TIMEOUT_S = 10.0
#: The same for an urgent task, which must not wait for slow peers. A peer that claims
#: it later conflicts with the claim of another or becomes its holder; in either case
#: the task starts once.
URGENT_OFFER_CLAIM_TIMEOUT_S = 0.5
#: Attempts to write a cancellation against concurrent writes of the holder.
MAX_CANCEL_ATTEMPTS = 5


class JobQueue:
    """Holds jobs and starts their tasks as capacity becomes available."""

    def __init__(
        self,
        job_records: records.Records,
        runner: work.WorkRunner,
        task_room: room.Room,
        task_offers: offers.TaskOffers,
        lease: session.Session,
        quotas: cabc.Callable[[str], resources.Resources],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        policy: ordering.OrderingPolicy | None = None,
        seed: int = 0,
    ) -> None:
        self.records = job_records
        self.runner = runner
        self.room = task_room
        self.offers = task_offers
        self.lease = lease
        self.quotas = quotas
        self.clock = clock
        self.counters = counters
        self.ordering = policy or ordering.FairSharePolicy()
        self.jobs: dict[str, held.HeldJob] = {}
        #: Submissions, by key of the job, that may have created it and not know yet.
        self.creating: collections.Counter[str] = collections.Counter()
        self.attempt_handler = attempts.AttemptHandler(
            job_records, task_room, clock, counters, seed
        )
        self.canceller = cancellation.JobCanceller(
            runner, self.attempt_handler, clock, counters
        )
        poller = polling.TaskPoller(job_records, self.attempt_handler, clock)
        self.recorder = recording.JobRecorder(
            self.jobs, job_records, poller, self.canceller, lease, counters
        )
        #: Set when a waiting task may fit: some work ended, or a job was added.
        self.changed = gevent.event.Event()

    def submit(
        self, job: messages.Job
    ) -> result.Result[tuple[messages.Progress, bool], errors.SubmitError]:
        """Store `job` and queue it; return its progress and whether it is new."""
        own = self.lease.row
        state = messages.JobState(job.team, job.job_id, own.instance, own.incarnation)
        row = messages.JobRow(job, messages.job_digest(job), own.data_centre)
        with self._mark_creating(job):
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

    @contextlib.contextmanager
    def _mark_creating(self, job: messages.Job) -> cabc.Iterator[None]:
        """Mark `job` as being created, until it is held if that succeeded.

        The marks are counted, as a caller may submit a job again before the first
        submission has returned.
        """
        key = messages.job_key(job.team, job.job_id)
        self.creating[key] += 1
        try:
            yield
        finally:
            self.creating[key] -= 1
            if not self.creating[key]:
                del self.creating[key]

    def is_held(self, key: str) -> bool:
        """Return whether a job is held here, or will be once its write is answered."""
        return key in self.jobs or key in self.creating

    def look_up(
        self, team: str, job_id: str
    ) -> result.Result[messages.Progress, errors.ReadError]:
        """Return the progress of a job, whichever instance holds it."""
        own = self.jobs.get(messages.job_key(team, job_id))
        if own is not None:
            return result.Ok(messages.progress_of(own.spec, own.shown_state()))
        return self.records.find(team, job_id).map(self._progress)

    def page(
        self, team: str, after: str, limit: int
    ) -> result.Result[messages.Page, errors.StoreUnavailable]:
        """Return up to `limit` jobs of a team in order of id, after the id `after`."""
        found = self.records.page(team, after, limit)
        if isinstance(found, result.Err):
            return found
        jobs = tuple(self._progress(each) for each in found.ok_value)
        more = jobs[-1].job_id if len(jobs) == limit else None
        return result.Ok(messages.Page(jobs, more))

    def cancel(
        self, team: str, job_id: str
    ) -> result.Result[messages.Progress, errors.CancelError]:
        """Record the cancellation of a job, then cancel its tasks if it is held here.

        Another holder finds the cancellation when it next records its states.
        """
        for _ in range(MAX_CANCEL_ATTEMPTS):
            found = self.records.find(team, job_id)
            if isinstance(found, result.Err):
                return found
            stored = found.ok_value
            if stored.state.state is not messages.State.RUNNING:
                return result.Ok(self._progress(stored))
            state = messages.with_changes(stored.state, state=messages.State.CANCELLING)
            written = self.records.write(stored, state)
            if isinstance(written, result.Ok):
                return result.Ok(self._apply_cancellation(written.ok_value))
            if isinstance(written.err_value, platform_errors.Unavailable):
                return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
            # The holder wrote its progress concurrently, or the answer was lost.
            self.counters.count("jobs.retry.cancel_conflict")
        return result.Err(errors.Undecided(outcomes.RETRY_AFTER_S))

    def _apply_cancellation(self, stored: records.StoredJob) -> messages.Progress:
        self.counters.count("jobs.cancelled")
        own = self.jobs.get(records.keys_of(stored.row)[0])
        if own is not None:
            own.stored = stored
            self.canceller.cancel(own)
        return self._progress(stored)

    def waiting(self) -> int:
        """Return the number of waiting tasks of all held jobs."""
        waiting = tracker.TaskStatus.WAITING
        return sum(job.tracker.counts[waiting] for job in self.jobs.values())

    def hold(self, job: held.HeldJob) -> None:
        """Add a job to those held by this instance."""
        self.jobs[messages.job_key(job.spec.team, job.spec.job_id)] = job
        self.changed.set()
        if job.state is messages.State.CANCELLING:
            self.canceller.cancel_running(job)

    def place_forever(self) -> None:
        """Run placement rounds until the process ends."""
        while True:
            self.changed.clear()
            try:
                self.place()
            except Exception:
                # An error in one job must not stop placement of the others for good.
                self.counters.count("jobs.place_failed")
                log.exception("placement round failed")
            self.clock.sleep(PLACE_INTERVAL_S)
            self.changed.wait(IDLE_PLACE_INTERVAL_S - PLACE_INTERVAL_S)

    def place(self) -> None:
        """Start waiting tasks as long as one of them fits on some worker."""
        while self.lease.valid() and self._place_one():
            # Yields to other greenlets between two tasks.
            self.clock.sleep(0)

    def _place_one(self) -> bool:
        """Start the highest-ranked task that fits; return whether there was one."""
        now = self.clock.monotonic()
        for job in self.ordering.rank(self.jobs.values(), self.quotas):
            index = job.tracker.next_index(now)
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
            if self._awaits_worker(job):
                return False
            job.tracker.mark_started(index)
            self.room.add_pending(request, job.spec.urgent)
            gevent.spawn(self._run, job, index, request)
            return True
        if not self.offers.offer(request, job.spec.urgent):
            return False
        self._mark_offered(job, index, request)
        return True

    def _awaits_worker(self, job: held.HeldJob) -> bool:
        """Return whether the job waits for a worker that is large enough."""
        fits = self.room.fits_listed_worker(job.spec.needs)
        fitted = job.unfit_since is None
        awaits = job.awaits_worker(fits, self.clock.monotonic())
        if fitted and awaits:
            self.counters.count("jobs.worker_awaited")
            log.warning(
                "no listed worker large enough", team=job.spec.team,
                job=job.spec.job_id, cpus=job.spec.needs.cpus,
                memory_gb=job.spec.needs.memory_gb,
            )  # fmt: skip
        return awaits

    def _make_room(self, job: held.HeldJob, index: int, blocked_since: float) -> bool:
        """Make room here, else ask peers; return whether one may have the task.

        Peers are asked because this instance may have no worker, or none on which
        evictions would make enough room.
        """
        if job.unfit_since is not None and self._awaits_worker(job):
            return False
        request = job.request(index)
        if self.room.make_room(request, job.spec.urgent, blocked_since):
            return False
        if not job.spec.urgent or not self.offers.request_room(request):
            return False
        self._mark_offered(job, index, request)
        return True

    def _mark_offered(
        self, job: held.HeldJob, index: int, request: work_messages.Request
    ) -> None:
        self.room.forget(request)
        job.tracker.mark_started(index)
        job.blocked_since = None
        claim_timeout = (
            URGENT_OFFER_CLAIM_TIMEOUT_S if job.spec.urgent else OFFER_CLAIM_TIMEOUT_S
        )
        job.schedule_poll(index, self.clock.monotonic(), claim_timeout)
        self.canceller.cancel_if_late(job, index)

    def _run(
        self, job: held.HeldJob, index: int, request: work_messages.Request
    ) -> None:
        answer = self.runner.submit(
            request, self.clock.monotonic() + TASK_TIMEOUT_S, forward=False
        )
        self.room.forget(request)
        if isinstance(answer, result.Err):
            self.attempt_handler.handle_not_started(job, index, answer.err_value)
            return
        self.attempt_handler.settle(
            job, index, request.request_id, answer.ok_value.state
        )

    def on_end(
        self, outcome: work_messages.Outcome, row: work_messages.WorkRow
    ) -> None:
        """Apply the end of work that ran here, including adopted work."""
        self.changed.set()
        request = row.request
        job = self.jobs.get(messages.job_key(request.team, request.job))
        task = tracker.parse_request_id(job.spec, request.request_id) if job else None
        if job is not None and task is not None:
            self.attempt_handler.settle(job, task[0], request.request_id, outcome.state)

    def task_ended(self, message: messages.TaskEnded) -> messages.Acknowledgement:
        """Apply a peer's report of the end of a task that it had accepted."""
        key = messages.job_key(message.team, message.job_id)
        job = self.jobs.get(key)
        task = tracker.parse_request_id(job.spec, message.request_id) if job else None
        if job is None or task is None:
            return messages.Acknowledgement()
        if message.outcome:
            self.attempt_handler.settle(
                job, task[0], message.request_id, message.outcome
            )
        elif job.request(task[0]).request_id == message.request_id:
            self.attempt_handler.requeue(job, task[0], "offer_failed")
        return messages.Acknowledgement()

    def _progress(self, found: records.StoredJob) -> messages.Progress:
        return messages.progress_of(found.row.job, found.state)
