"""The scheduler of the instance that leads: jobs in, starts out.

It is made anew with each lease that is won and reads all it knows from the store
and the workers. It ends once another instance leads::

    Scheduler(rows, calls, held, catalog, clock, counters).run()
"""

import collections.abc as cabc
import sys

import gevent
import gevent.event
import gevent.pool
import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.platform import table
from mangosail.scheduler import (
    admission,
    advice,
    crashes,
    estimates,
    fleet,
    health,
    interference,
    journal,
    keys,
    listing,
    messages,
    orders,
    polling,
    ports,
    progress,
    reports,
    rounds,
    row_watcher,
    sweeping,
    worker_speeds,
    yielding,
)
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("scheduler")

#: Seconds for which a job's last state is kept beyond what is promised.
KEEP_MARGIN = 30.0
#: Seconds for which a worker lets a lease run at most, unless the settings say it.
MAX_LEASE_S = 10.0
#: Seconds between looks at whether leases of unlisted workers are over.
EXPIRE_INTERVAL = 0.25
#: Seconds between attempts to read everything after the lease was won.
READ_RETRY_INTERVAL_S = 0.1


class Scheduler:
    """Places the tasks of all jobs on all workers, while its lease is held."""

    def __init__(
        self,
        rows: ports.WatchableTable,
        client: ports.WorkerClient,
        held: journal.HeldLease,
        catalog: cabc.Callable[[], messages.Catalog | None],
        decode_entry: listing.Decode,
        worker_prefix: str,
        keep_term: float,
        advisor: advice.Advisor,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        closed_data_centres: fleet.ClosedDataCentres = frozenset,
        max_workers: int = sys.maxsize,
        max_lease: float = MAX_LEASE_S,
    ) -> None:
        self.rows = rows
        self.max_lease = max_lease
        self.keep_term = keep_term
        self.clock = clock
        self.counters = counters
        self.changed = gevent.event.Event()
        self.jobs: dict[str, progress.JobProgress] = {}
        #: States of jobs as read at the takeover, until the jobs are read.
        self.stored_records: dict[str, progress.JobRecord] = {}
        #: Jobs that are over and whose rows may still be there. When all rows are
        #: read again, they would be taken for new ones and run once more.
        self.ended_jobs: set[str] = set()
        self.workers = fleet.Fleet(closed_data_centres)
        self.listing = listing.Listing(
            worker_prefix,
            decode_entry,
            self.workers,
            self,
            catalog,
            clock,
            counters,
            max_workers,
        )
        self.model = interference.Model()
        self.estimator = estimates.DurationEstimator()
        self.speeds = worker_speeds.WorkerSpeeds(self.estimator)
        self.worker_health = health.Health()
        self.journal = journal.Journal(rows, held, clock, counters)
        self.journal.pending_counts = self.pending_counts
        self.journal.periodic_writes = self._kept_now_and_again
        self.sweeper = sweeping.Sweeper(rows, self.ended_jobs.discard, clock, counters)
        self.journal.continuous_bound = self.continuous_bound
        self.journal.worker_count = self.worker_count
        self.returns = admission.ReservationReconciler(rows, self.jobs, clock, counters)
        self.orders = orders.Orders(
            client, held.lease.token, self.workers, self.changed, clock, counters
        )
        self.rounds = rounds.PlacementLoop(
            self.jobs,
            self.workers,
            self.model,
            self.estimator,
            self.speeds,
            self.journal,
            self.orders,
            advice.TicketCache(advisor, self.workers, self.changed, clock, counters),
            catalog,
            self.changed,
            clock,
            counters,
        )
        self.reports = reports.ReportProcessor(
            self.find_task,
            self.on_job_change,
            self._give_up,
            self.workers,
            self.orders,
            self.worker_health,
            crashes.CrashTracker(self.workers),
            self.estimator,
            self.speeds,
            clock,
            counters,
        )
        self.poller = polling.Poller(
            client,
            self.journal,
            self.reports,
            self.orders,
            self.model,
            self.changed,
            self._gone,
            self._later_life,
            clock,
            counters,
        )
        self.orders.poll_now = self.poller.poll_now
        self.greenlets = gevent.pool.Group()
        self.leading_since = clock.elapsed()
        #: True once all jobs were read.
        self.jobs_known = False
        #: True once all jobs are known, so that workers can be looked at.
        self.polling_started = False

    def run(self) -> None:
        """Schedule until another instance leads."""
        try:
            writing = self.greenlets.spawn(self.journal.run)
            for feed in self.load():
                self.greenlets.spawn(feed.run)
            self.polling_started = True
            shared = yielding.CooperativeYielder(self.clock)
            for worker in self.workers:
                shared.yield_if_due()
                self.start_polling(worker)
            self.greenlets.spawn(self.rounds.run)
            self.greenlets.spawn(self._check_fence)
            self.greenlets.spawn(self.expire_forever)
            self.greenlets.spawn(self.returns.run)
            self.greenlets.spawn(self.sweeper.run)
            self.greenlets.spawn(self.rounds.report_forever)
            writing.get()
        finally:
            self.greenlets.kill(block=False)

    def stop(self) -> None:
        """Start nothing more, and hand the lease over."""
        self.rounds.stopping = True
        self.journal.release()

    def find_task(self, name: str) -> progress.Task | None:
        """Return the task of that name, or None if no job has it."""
        job_id, _, numbers = name.partition(".")
        job = self.jobs.get(job_id)
        if job is None:
            return None
        parts = numbers.split(".")
        if len(parts) != 3 or not all(part.isdigit() for part in parts):
            return None
        occurrence, step, index = map(int, parts)
        return job.find_task(occurrence, step, index)

    def pending_counts(self) -> dict[str, int]:
        """Return how many accepted jobs of each queue have not begun.

        A job whose starts are on their way, in doubt or were refused has not begun.
        Until all jobs were read the earlier leader's counts stay in force: those of the
        jobs read so far told callers that nothing waits, for seconds with many jobs.
        """
        if not self.jobs_known:
            return self.journal.held.lease.pending
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.started and not job.ended:
                counts[job.job.queue] = counts.get(job.job.queue, 0) + 1
        return counts

    def continuous_bound(self) -> float | None:
        """Return the cores that continuous jobs may take; None if not known yet."""
        if not self.polling_started:
            return self.journal.held.lease.continuous_bound
        return admission.continuous_core_limit(self.workers) or None

    def worker_count(self) -> int:
        """Return how many workers are attended to; the earlier leader's before that."""
        if not self.polling_started:
            return self.journal.held.lease.workers
        return len(self.workers)

    def _kept_now_and_again(self) -> tuple[table.Write, ...]:
        text = codec.to_json(self.model.snapshot())
        return (table.Write(keys.LEARNED, text),)

    # What the store holds.

    def load(self) -> tuple[row_watcher.RowWatcher, ...]:
        """Read jobs, their states and the workers; the lease is ours by now.

        Returns what goes on to follow them.
        """
        workers = row_watcher.RowWatcher(
            self.rows,
            self.listing.prefix,
            self._take_workers,
            self.clock,
            self.counters,
        )
        jobs = row_watcher.RowWatcher(
            self.rows, keys.JOBS, self._take_jobs, self.clock, self.counters
        )
        # Workers first: a job that was cancelled meanwhile stops its runs at once,
        # and needs to know where they are.
        while not workers.read_once(0):
            self.clock.sleep(READ_RETRY_INTERVAL_S)
        self.stored_records = self._read_states()
        self._read_learned()
        while not jobs.read_once(0):
            self.clock.sleep(READ_RETRY_INTERVAL_S)
        self.stored_records = {}
        self.jobs_known = True
        self.listing.enforce_limit()
        log.info(
            "took over", jobs=len(self.jobs), workers=len(self.workers),
            token=self.journal.token,
            seconds=round(self.clock.elapsed() - self.leading_since, 3),
        )  # fmt: skip
        return workers, jobs

    def _read_learned(self) -> None:
        """Take over what was learned; without it latencies would rise anew."""
        found = self.rows.read([keys.LEARNED])
        row = found.ok_value.get(keys.LEARNED) if isinstance(found, result.Ok) else None
        if row is None:
            log.info("nothing learned yet", read=isinstance(found, result.Ok))
            return
        try:
            self.model.restore(codec.from_json(row.value, interference.ModelSnapshot))
        except codec.DecodeError as exc:
            self._unreadable(row.key, exc)

    def _read_states(self) -> dict[str, progress.JobRecord]:
        while True:
            found = self.rows.read_all(keys.STATES)
            if isinstance(found, result.Ok):
                break
            self.clock.sleep(READ_RETRY_INTERVAL_S)
        states = {}
        shared = yielding.CooperativeYielder(self.clock)
        for row in found.ok_value.rows:
            shared.yield_if_due()
            job_id = keys.job_id(row.key)
            try:
                states[job_id] = progress.decode_record(row.value)
            except codec.DecodeError as exc:
                # What has run of it is not known, so nothing of it may start again.
                self.ended_jobs.add(job_id)
                self._unreadable(row.key, exc)
        return states

    def _unreadable(self, key: str, error: codec.DecodeError) -> None:
        self.counters.count("scheduler.row_unreadable")
        log.error("row unreadable", key=key, error=str(error))

    def _take_jobs(self, changes: ports.Changes, whole: bool) -> None:
        """Take in new jobs and requests to cancel."""
        shared = yielding.CooperativeYielder(self.clock)
        for row in changes.rows:
            if not keys.is_cancellation(row.key):
                shared.yield_if_due()
                self._accept(row.key, row.value)
        for row in changes.rows:
            if keys.is_cancellation(row.key):
                self._cancel(keys.job_id(row.key))
        self.changed.set()

    def _accept(self, key: str, text: str) -> None:
        job_id = keys.job_id(key)
        if (
            text == keys.ENDED_JOB_TEXT
            or job_id in self.jobs
            or job_id in self.ended_jobs
        ):
            return
        try:
            job = codec.from_json(text, messages.Job)
        except codec.DecodeError as exc:
            self._unreadable(key, exc)
            return
        held = progress.JobProgress(job, key)
        record = self.stored_records.get(job.job_id)
        if record is not None:
            held.restore(record)
        if held.ended:
            self.ended_jobs.add(job.job_id)
            self.sweeper.job_ended(key, held.drop_at)
            return
        self.jobs[job.job_id] = held
        self.counters.count("scheduler.jobs_taken")
        waited = round(self.clock.wall() - job.accepted_at, 3)
        log.info("job taken", job=job.job_id, queue=job.queue, waited=waited)
        for task in held.tasks():
            if task.live:
                self._await_worker(task)

    def _await_worker(self, task: progress.Task) -> None:
        """Set the room aside of a task that an earlier leader may have started."""
        worker = self.workers.get(task.worker)
        if worker is None:
            unknown = messages.WorkerEntry(
                task.worker, "", "", "", task.step.need, frozenset()
            )
            worker = self.add(unknown)
            worker.unlisted = True
        worker.reserve(task)

    def _cancel(self, job_id: str) -> None:
        job = self.jobs.get(job_id)
        if job is None or job.cancelled or job.ended:
            return
        job.cancelled = True
        self.counters.count("scheduler.jobs_cancelled")
        log.info("cancelling", job=job_id)
        self._end_job(job, messages.State.CANCELLED)

    def _take_workers(self, changes: ports.Changes, whole: bool) -> None:
        self.listing.apply_changes(changes, whole)
        self.changed.set()

    def check_same_address(self, entry: messages.WorkerEntry) -> None:
        """Ask workers whose address an entry names whether their life is over.

        The entry itself does not say which of the two is the earlier one: that of
        an earlier life can be written once more after the later one's. To take the
        later one for dead would let its tasks run twice.
        """
        for worker in self.workers:
            if worker.entry.address == entry.address:
                self.check_incarnation(worker, worker.entry)

    def check_incarnation(
        self, worker: fleet.Worker, entry: messages.WorkerEntry
    ) -> None:
        """Find out which life of a worker answers where an entry says."""
        if self.polling_started:
            self.greenlets.spawn(self.poller.check_incarnation, worker, entry)

    def add(self, entry: messages.WorkerEntry) -> fleet.Worker:
        """Begin to know a worker."""
        worker = self.workers.add(entry)
        worker.inherited_runs_until = (
            self.leading_since
            + (polling.LEASE_EXTENSION_S + polling.MAX_UNCONFIRMED_S)
            * (1 + fleet.MAX_CLOCK_DRIFT)
            + fleet.KILL_MARGIN_MS / 1000
        )
        return worker

    def start_polling(self, worker: fleet.Worker) -> None:
        """Begin to look at a worker."""
        # A look before all jobs are known would take their runs for unwanted ones.
        if not self.polling_started or not worker.entry.address:
            return
        log.info(
            "worker seen", worker=worker.name, address=worker.entry.address,
            data_centre=worker.entry.data_centre, labels=sorted(worker.entry.labels),
        )  # fmt: skip
        self.greenlets.spawn(self.poller.poll_until_removed, worker)

    def stop_polling(self, worker: fleet.Worker) -> None:
        """Attend no longer to a worker that is well and runs nothing."""
        self.workers.remove(worker)
        self.worker_health.forget(worker)

    def _later_life(
        self, worker: fleet.Worker, look: messages.WorkerReport
    ) -> fleet.Worker:
        """Begin to know the life that has answered a look at a worker."""
        later = self.workers.replace_incarnation(
            worker, look.incarnation, self.clock.elapsed()
        )
        later.max_stray_lease = self.max_lease
        self.worker_health.forget(worker)
        self._void_tickets(worker)
        self.reports.handle_worker_lost(worker, "restarted", later)
        self.start_polling(later)
        self.changed.set()
        return later

    def _void_tickets(self, worker: fleet.Worker) -> None:
        """Forget the tickets for an earlier life; the later one refuses them."""
        for job in self.jobs.values():
            for step_run in job.steps.values():
                step_run.tickets.pop(worker.name, None)

    def _gone(self, worker: fleet.Worker, why: str) -> None:
        """Forget a worker whose life is over, and free its tasks."""
        if worker.removed:
            return
        self.workers.remove(worker)
        self.worker_health.forget(worker)
        self.reports.handle_worker_lost(worker, why)
        self.changed.set()

    def expire_forever(self) -> None:
        """Free what an earlier leader started on workers that nobody lists.

        Workers that came before the configuration that names their pool are used too,
        and those beyond the reach in place of others that are gone.
        """
        while True:
            self.clock.sleep(EXPIRE_INTERVAL)
            self.listing.recheck_pools()
            self.listing.rebalance()
            now = self.clock.elapsed()
            for worker in self.workers:
                if not worker.entry.address and worker.lease_expired(now):
                    self._gone(worker, "never_listed")

    def evacuate(self, worker: fleet.Worker) -> None:
        """Move what would be cut off when a draining worker leaves."""
        for task in list(worker.tasks.values()):
            moves = task.step.continuous or task.step.checkpointing
            if moves and task.phase is progress.Phase.RUNNING:
                self.orders.stop(task, worker, "evacuation")

    # What becomes of jobs.

    def on_job_change(self, job: progress.JobProgress) -> None:
        """Take note that tasks of a job have ended or wait again."""
        if not job.ended:
            self._judge(job)
        self.journal.record(job)
        self.changed.set()

    def _judge(self, job: progress.JobProgress) -> None:
        if job.all_done():
            self._end_job(job, messages.State.COMPLETED)
            return
        for step_run in job.steps.values():
            if step_run.failures >= job.job.attempts and not step_run.step.continuous:
                self._end_job(job, messages.State.FAILED)
                return

    def _give_up(self, job: progress.JobProgress) -> None:
        """End a job of which a task crashes the workers that start it."""
        self.counters.count("scheduler.jobs_given_up")
        log.warning("job given up", job=job.job.job_id)
        self._end_job(job, messages.State.FAILED)

    def _end_job(self, job: progress.JobProgress, state: messages.State) -> None:
        job.state = state
        self.ended_jobs.add(job.job.job_id)
        job.drop_at = self.clock.wall() + self.keep_term + KEEP_MARGIN
        self.counters.count(f"scheduler.jobs_ended.{state.value}")
        took = round(self.clock.wall() - job.job.accepted_at, 3)
        log.info("job ended", job=job.job.job_id, state=state.value, took=took)
        for task in job.tasks():
            worker = self.workers.get(task.worker)
            if worker is None:
                continue
            if task.phase in (progress.Phase.RUNNING, progress.Phase.DOUBTFUL):
                self.orders.stop(task, worker, state.value)
        self.journal.record(job)
        self.journal.when_durable(lambda: self._drop_job(job))

    def _drop_job(self, job: progress.JobProgress) -> None:
        """Drop a job whose end is durable, once nothing of it runs."""
        if not job.cleanup_requested:
            job.cleanup_requested = True
            self.sweeper.job_ended(job.key, job.drop_at)
        if any(task.live for task in job.tasks()):
            gevent.spawn_later(1.0, self._drop_job, job)
            return
        self.jobs.pop(job.job.job_id, None)
        for task in job.tasks():
            # Loads of tasks that ended would add up for as long as this one leads.
            self.model.forget(task)

    def _check_fence(self) -> None:
        """See at the store whether a worker that has a higher token is right."""
        while True:
            self.orders.fenced.wait()
            self.counters.count("scheduler.fenced")
            self.journal.renew_at = 0.0
            self.journal.write_requested.set()
            self.clock.sleep(READ_RETRY_INTERVAL_S)
            self.orders.fenced.clear()
