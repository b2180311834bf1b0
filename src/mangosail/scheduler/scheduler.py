"""The scheduler that runs on the leader.

A new one is created each time this instance acquires the lease. It loads its state
from the store and the workers, and ends once another instance leads::

    Scheduler(rows, calls, held, catalog, clock, counters).run()
"""

import collections
import collections.abc as cabc
import sys

import gevent
import gevent.event
import gevent.pool
import logbook

from mangosail import clock as clocks
from mangosail import codec
from mangosail.platform import table
from mangosail.scheduler import (
    admission,
    advice,
    backlog,
    crashes,
    endings,
    estimates,
    fleet,
    handover,
    health,
    interference,
    journal,
    keys,
    listing,
    loading,
    messages,
    options,
    orders,
    polling,
    ports,
    progress,
    records,
    reports,
    rounds,
    routing,
    row_watcher,
    sweeping,
    worker_speeds,
    yielding,
)
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("scheduler")

#: Seconds for which the final state of a job is kept beyond the promised retention.
RETENTION_MARGIN_S = 30.0
#: Longest lease, in seconds, that a worker grants, unless the settings say otherwise.
MAX_LEASE_S = 10.0
#: Seconds between checks for expired leases of unlisted workers.
EXPIRY_CHECK_INTERVAL_S = 0.25
#: Maximum number of failed jobs of earlier leaders that are logged at a takeover.
MAX_LOGGED_RESTORED = 20
#: Seconds from the takeover until the backlog is published: a large fleet is polled
#: within two seconds.
BACKLOG_DELAY_S = 2.5
#: Minimum seconds between renewals of the lease because a worker rejected the token.
FENCE_CHECK_INTERVAL_S = 0.1


class Scheduler:
    """Places the tasks of all jobs on the workers while the lease is held."""

    def __init__(
        self,
        rows: ports.WatchableTable,
        client: ports.WorkerClient,
        held: journal.HeldLease,
        catalog: cabc.Callable[[], messages.Catalog | None],
        decode_entry: listing.Decode,
        worker_prefix: str,
        retention: float,
        advisor: advice.Advisor,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        closed_data_centres: fleet.ClosedDataCentres = frozenset,
        max_workers: int = sys.maxsize,
        max_lease: float = MAX_LEASE_S,
        enabled: options.Options = options.NONE,
        successors: handover.Successors | None = None,
    ) -> None:
        self.rows = rows
        self.options = enabled
        self.max_lease = max_lease
        self.retention = retention
        self.clock = clock
        self.counters = counters
        self.changed = gevent.event.Event()
        self.jobs: dict[str, progress.JobProgress] = {}
        #: Progress records as read at the takeover, until the jobs have been read.
        self.stored_records: dict[str, records.JobRecord] = {}
        #: Ended jobs whose rows may still exist. Without this set, they would count as
        #: new and run again whenever all rows are read again.
        self.ended_jobs: set[str] = set()
        #: How many of these earlier leaders ended, by state.
        self.restored_ends: collections.Counter[messages.State] = collections.Counter()
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
        self.estimator = estimates.DurationEstimator(
            clock.elapsed if enabled.estimate_from_progress else None
        )
        self.speeds = worker_speeds.WorkerSpeeds(self.estimator)
        self.worker_health = health.Health()
        self.journal = journal.Journal(rows, held, clock, counters)
        self.journal.pending_counts = self.pending_counts
        self.journal.periodic_writes = self._periodic_writes
        self.sweeper = sweeping.Sweeper(rows, self.ended_jobs.discard, clock, counters)
        self.journal.continuous_bound = self.continuous_bound
        self.journal.worker_count = self.worker_count
        self.returns = admission.ReservationReconciler(rows, self.jobs, clock, counters)
        self.orders = orders.Orders(
            client, held.lease.token, self.workers, self.changed, clock, counters
        )
        self.router = routing.Router(self.jobs, catalog)
        self.journal.changed_rows = self._changed_rows
        self.loader = loading.Loader(rows, clock, counters)
        self.rounds = rounds.PlacementLoop(
            self.jobs,
            self.workers,
            self.model,
            self.estimator,
            self.speeds,
            self.journal,
            self.orders,
            advice.TicketCache(advisor, self.workers, self.changed, clock, counters),
            self.router,
            self.changed,
            clock,
            counters,
            enabled,
        )
        if enabled.refuse_late_jobs:
            self.rounds.planner.measures_backlog = True
            self.journal.backlog = self.encoded_backlog
        self.reports = reports.ReportProcessor(
            self.find_task,
            self.on_job_change,
            self._fail_job,
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
            self._remove_worker,
            self._replace_incarnation,
            clock,
            counters,
        )
        self.orders.poll_now = self.poller.poll_now
        self.orders.poll_and_extend = self.poller.poll_and_extend
        self.orders.record_job = self.journal.record
        #: Hands the lease over while the store refuses this instance; None if that is
        #: off.
        self.handover: handover.LeaseHandover | None = None
        if enabled.hand_over_lease and successors is not None:
            self.handover = handover.LeaseHandover(
                self.journal, successors, self.give_up, clock, counters
            )
        #: Set once a peer has the lease that this leader asked it to take.
        self.given_up = gevent.event.Event()
        #: Called at that moment.
        self.on_handed_over: cabc.Callable[[], None] = lambda: None
        #: Called with the version of the configuration under which a job was accepted.
        self.on_catalog_version: cabc.Callable[[int], None] = lambda version: None
        self.greenlets = gevent.pool.Group()
        self.leading_since = clock.elapsed()
        #: True once all jobs have been read.
        self.jobs_loaded = False
        #: True once all jobs are known, so that workers can be polled.
        self.polling_started = False

    def run(self) -> None:
        """Schedule until another instance leads."""
        try:
            writing = self.greenlets.spawn(self.journal.run)
            if self.handover is not None:
                self.greenlets.spawn(self.handover.run)
            for watcher in self.load():
                self.greenlets.spawn(watcher.run)
            self.polling_started = True
            yielder = yielding.CooperativeYielder(self.clock)
            for worker in self.workers:
                yielder.yield_if_due()
                self.start_polling(worker)
            self.greenlets.spawn(self.rounds.run)
            self.greenlets.spawn(self._check_fence)
            self.greenlets.spawn(self.expire_forever)
            self.greenlets.spawn(self.returns.run)
            self.greenlets.spawn(self.sweeper.run)
            self.greenlets.spawn(self.rounds.report_forever)
            # Not until the journal's call to the store ends, after the lease has been
            # handed over: it may last for seconds.
            gevent.wait([writing, self.given_up], count=1)
            if writing.ready():
                writing.get()
        finally:
            self.greenlets.kill(block=False)

    def stop(self) -> None:
        """Stop placing tasks and release the lease."""
        self.rounds.stopping = True
        self.journal.release()

    def give_up(self) -> None:
        """Stop leading at once, as another instance has the lease."""
        log.warning("lease handed over", token=self.journal.token)
        self.rounds.stopping = True
        self.journal.deposed = True
        self.on_handed_over()
        self.given_up.set()

    def find_task(self, name: str) -> progress.Task | None:
        """Return a task by name, or None if there is no such task."""
        job_id, _, numbers = name.partition(".")
        job = self.jobs.get(job_id)
        if job is None:
            return None
        parts = numbers.split(".")
        if len(parts) != 3 or not all(part.isdigit() for part in parts):
            return None
        occurrence, step, index = map(int, parts)
        return job.find(occurrence, step, index)

    def pending_counts(self) -> dict[str, int]:
        """Return the number of accepted jobs per queue that have not started.

        A job whose starts are pending, in doubt or refused has not started. Until all
        jobs have been read, the counts of the earlier leader are returned: with many
        jobs, partial counts told callers for seconds that nothing is waiting.
        """
        if not self.jobs_loaded:
            return self.journal.held.lease.pending
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.started and not job.ended:
                counts[job.job.queue] = counts.get(job.job.queue, 0) + 1
        return counts

    def continuous_bound(self) -> float | None:
        """Return the cores that continuous jobs may reserve; None if not known yet."""
        if not self.polling_started:
            return self.journal.held.lease.continuous_bound
        return admission.continuous_core_limit(self.workers) or None

    def worker_count(self) -> int:
        """Return the number of polled workers; at first that of the earlier leader."""
        if not self.polling_started:
            return self.journal.held.lease.workers
        return len(self.workers)

    def encoded_backlog(self) -> str:
        """Return the backlog for the lease row; empty while it is not known.

        After a takeover only those workers count that have been polled, so that there
        seem to be too few cores at first.
        """
        now = self.clock.elapsed()
        if now < self.leading_since + BACKLOG_DELAY_S:
            return ""
        found = self.rounds.planner.current_backlog(now)
        return backlog.encode(found) if found else ""

    def _periodic_writes(self) -> tuple[table.Write, ...]:
        text = codec.to_json(self.model.snapshot())
        return (table.Write(keys.LEARNED, text),)

    def _changed_rows(self) -> tuple[table.Write, ...]:
        if not self.jobs_loaded:
            # Those of the earlier leader have not been read yet.
            return ()
        text = self.router.text_to_store()
        return () if text is None else (table.Write(keys.ROUTES, text),)

    # State in the store.

    def load(self) -> tuple[row_watcher.RowWatcher, ...]:
        """Read workers, progress records and jobs, after the lease was acquired.

        Returns the watchers that deliver further changes.
        """
        workers = row_watcher.RowWatcher(
            self.rows,
            self.listing.prefix,
            self._process_worker_changes,
            self.clock,
            self.counters,
        )
        jobs = row_watcher.RowWatcher(
            self.rows, keys.JOBS, self._process_job_changes, self.clock, self.counters
        )
        # Workers come first: a job that was cancelled in the meantime stops its runs
        # as soon as it is read, for which their workers must be known.
        while not workers.read_once(0):
            self.clock.sleep(loading.RETRY_INTERVAL_S)
        self.stored_records, unreadable = self.loader.read_records()
        # It is unknown which of their tasks have run, so none may be started again.
        self.ended_jobs |= unreadable
        stored = self.loader.read_leader_rows()
        self._restore_learned(stored.get(keys.LEARNED))
        while not jobs.read_once(0):
            self.clock.sleep(loading.RETRY_INTERVAL_S)
        self.stored_records = {}
        self.jobs_loaded = True
        self._restore_routes(stored.get(keys.ROUTES))
        self.listing.enforce_limit()
        log.info(
            "took over", jobs=len(self.jobs), workers=len(self.workers),
            token=self.journal.token,
            seconds=round(self.clock.elapsed() - self.leading_since, 3),
            ended=self.restored_ends.total(),
            failed=self.restored_ends[messages.State.FAILED],
        )  # fmt: skip
        return workers, jobs

    def _restore_learned(self, row: table.Row | None) -> None:
        """Restore learned interference, without which latencies would rise again."""
        if row is None:
            log.info("no learned interference restored")
            return
        snapshot = self.loader.decode(row.key, row.value, decode_snapshot)
        if snapshot is not None:
            self.model.restore(snapshot)

    def _restore_routes(self, row: table.Row | None) -> None:
        """Restore the routes of jobs whose queues have moved or been removed."""
        if row is not None:
            self.loader.decode(row.key, row.value, self.router.restore)

    def _process_job_changes(self, changes: ports.Changes, whole: bool) -> None:
        """Process new jobs and cancellation requests."""
        yielder = yielding.CooperativeYielder(self.clock)
        for row in changes.rows:
            if not keys.is_cancellation(row.key):
                yielder.yield_if_due()
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
        job = self.loader.decode(key, text, decode_job)
        if job is None:
            return
        held = progress.JobProgress(job, key)
        record = self.stored_records.get(job.job_id)
        if record is not None:
            held.restore(record, self.clock.elapsed(), self.clock.wall())
        if held.ended:
            self.ended_jobs.add(job.job_id)
            self._count_restored_end(held)
            self.sweeper.job_ended(key, held.drop_at)
            return
        self.jobs[job.job_id] = held
        self.router.record_job(job)
        self.on_catalog_version(job.catalog_version)
        self.counters.count("scheduler.jobs_taken")
        waited = round(self.clock.wall() - job.accepted_at, 3)
        log.info(
            "job taken", job=job.job_id, queue=job.queue, waited=waited,
            token=self.journal.token, restored=record is not None,
            failures=max((task.failures for task in held.tasks()), default=0),
            crashes=max((task.crashes for task in held.tasks()), default=0),
        )  # fmt: skip
        self.rounds.copier.report_unsupported(job)
        for task in held.runs():
            if task.live:
                self._reserve_inherited_run(task)

    def _count_restored_end(self, job: progress.JobProgress) -> None:
        """Count a job that an earlier leader ended, and log it if it failed."""
        self.restored_ends[job.state] += 1
        self.counters.count(f"scheduler.ended_jobs_restored.{job.state.value}")
        if (
            job.state is messages.State.FAILED
            and self.restored_ends[job.state] <= MAX_LOGGED_RESTORED
        ):
            log.info(
                "failed job restored", job=job.job.job_id, token=self.journal.token,
                **endings.recorded_fields(job.failure),
            )  # fmt: skip

    def _reserve_inherited_run(self, task: progress.Task) -> None:
        """Reserve the resources of a task that an earlier leader may have started."""
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
        self._end_job(job, endings.CANCELLED)

    def _process_worker_changes(self, changes: ports.Changes, whole: bool) -> None:
        self.listing.apply_changes(changes, whole)
        self.changed.set()

    def check_same_address(self, entry: messages.WorkerEntry) -> None:
        """Poll other workers with the address of an entry, which may have ended.

        The entry does not tell which of the two is the earlier incarnation: an entry of
        an earlier one may be written again after that of the later one. Removing the
        later one by mistake would let its tasks run twice.
        """
        for worker in self.workers:
            if worker.entry.address == entry.address:
                self.check_incarnation(worker, worker.entry)

    def check_incarnation(
        self, worker: fleet.Worker, entry: messages.WorkerEntry
    ) -> None:
        """Poll the address of an entry to see which incarnation answers."""
        if self.polling_started:
            self.greenlets.spawn(self.poller.check_incarnation, worker, entry)

    def add(self, entry: messages.WorkerEntry) -> fleet.Worker:
        """Add a worker to the fleet."""
        worker = self.workers.add(entry)
        worker.inherited_runs_until = (
            self.leading_since
            + (polling.LEASE_EXTENSION_S + polling.MAX_UNCONFIRMED_S)
            * (1 + fleet.MAX_CLOCK_DRIFT)
            + fleet.KILL_MARGIN_MS / 1000
        )
        return worker

    def start_polling(self, worker: fleet.Worker) -> None:
        """Start polling a worker."""
        # Before all jobs are known, a poll would treat their runs as unknown and stop
        # them.
        if not self.polling_started or not worker.entry.address:
            return
        log.info(
            "polling worker", worker=worker.name, address=worker.entry.address,
            data_centre=worker.entry.data_centre, labels=sorted(worker.entry.labels),
        )  # fmt: skip
        self.greenlets.spawn(self.poller.poll_until_removed, worker)

    def stop_polling(self, worker: fleet.Worker) -> None:
        """Stop polling a worker that is healthy and runs nothing."""
        self.workers.remove(worker)
        self.worker_health.forget(worker)

    def _replace_incarnation(
        self, worker: fleet.Worker, report: messages.WorkerReport
    ) -> fleet.Worker:
        """Replace a worker by its next incarnation, which has answered a poll."""
        successor = self.workers.replace_incarnation(
            worker, report.incarnation, self.clock.elapsed()
        )
        successor.max_stray_lease = self.max_lease
        self.worker_health.forget(worker)
        self._void_tickets(worker)
        self.reports.handle_worker_lost(worker, "restarted", successor)
        self.start_polling(successor)
        self.changed.set()
        return successor

    def _void_tickets(self, worker: fleet.Worker) -> None:
        """Drop tickets for an earlier incarnation, which the later one would refuse."""
        for job in self.jobs.values():
            for step_run in job.steps.values():
                step_run.tickets.pop(worker.name, None)

    def _remove_worker(self, worker: fleet.Worker, why: str) -> None:
        """Remove a worker that has ended, and let its tasks run elsewhere."""
        if worker.removed:
            return
        self.workers.remove(worker)
        self.worker_health.forget(worker)
        self.reports.handle_worker_lost(worker, why)
        self.changed.set()

    def expire_forever(self) -> None:
        """Free tasks that an earlier leader started on workers that are not listed.

        Also starts to use workers whose pool has been configured since they were
        listed, and workers beyond the limit in place of others that were removed.
        """
        while True:
            self.clock.sleep(EXPIRY_CHECK_INTERVAL_S)
            self.listing.recheck_pools()
            self.listing.rebalance()
            now = self.clock.elapsed()
            for worker in self.workers:
                if not worker.entry.address and worker.lease_expired(now):
                    self._remove_worker(worker, "never_listed")

    def evacuate(self, worker: fleet.Worker) -> None:
        """Move tasks that a draining worker would otherwise interrupt."""
        for task in list(worker.tasks.values()):
            moves = task.step.continuous or task.step.checkpointing
            if moves and task.phase is progress.Phase.RUNNING:
                self.orders.stop(task, worker, "evacuation")

    # Job states.

    def on_job_change(self, job: progress.JobProgress) -> None:
        """Update and record a job of which tasks have ended or wait again."""
        if not job.ended:
            self._update_state(job)
        self.journal.record(job)
        self.changed.set()

    def _update_state(self, job: progress.JobProgress) -> None:
        end = endings.COMPLETED if job.all_done() else endings.find_exhausted(job)
        if end is not None:
            self._end_job(job, end)

    def _fail_job(self, task: progress.Task, worker: str) -> None:
        """Fail the job of a task that crashes the workers that run it."""
        end = endings.crash_limit(task, worker)
        self.counters.count("scheduler.jobs_given_up")
        log.warning(
            "job failed for crashing workers", job=task.job.job.job_id,
            token=self.journal.token, **end.evidence_fields(),
        )  # fmt: skip
        self._end_job(task.job, end)

    def _end_job(self, job: progress.JobProgress, end: endings.JobEnd) -> None:
        job.state = end.state
        job.failure = end.failure_record(self.journal.token)
        self.ended_jobs.add(job.job.job_id)
        job.drop_at = self.clock.wall() + self.retention + RETENTION_MARGIN_S
        self.counters.count(f"scheduler.jobs_ended.{end.state.value}")
        self.counters.count(f"scheduler.jobs_ended_by.{end.cause.value}")
        took = round(self.clock.wall() - job.job.accepted_at, 3)
        # Log collectors may cut lines off, so the cause and the token come first.
        log.info(
            "job ended", job=job.job.job_id, cause=end.cause.value,
            token=self.journal.token, state=end.state.value, **end.evidence_fields(),
            took=took,
        )  # fmt: skip
        for task in job.runs():
            worker = self.workers.get(task.worker)
            if worker is None:
                continue
            if task.phase in (progress.Phase.RUNNING, progress.Phase.DOUBTFUL):
                self.orders.stop(task, worker, end.state.value)
        self.journal.record(job)
        self.journal.when_durable(lambda: self._drop_job(job))
        if end.state is messages.State.FAILED:
            self.journal.when_durable(lambda: self._log_durable_failure(job))

    def _log_durable_failure(self, job: progress.JobProgress) -> None:
        """Log that callers are shown the failure, whoever leads from now on."""
        log.info("job failure recorded", job=job.job.job_id, token=self.journal.token)

    def _drop_job(self, job: progress.JobProgress) -> None:
        """Drop a job whose end is durable, once no runs of it are left."""
        if not job.cleanup_requested:
            job.cleanup_requested = True
            self.sweeper.job_ended(job.key, job.drop_at)
        if any(task.live for task in job.runs()):
            gevent.spawn_later(1.0, self._drop_job, job)
            return
        self.jobs.pop(job.job.job_id, None)
        for task in job.tasks():
            # The model would otherwise keep the loads of ended tasks while this leads.
            self.model.forget(task)

    def _check_fence(self) -> None:
        """Renew the lease at once after a worker has rejected the token.

        The store then shows whether another instance really leads.
        """
        while True:
            self.orders.fenced.wait()
            self.counters.count("scheduler.fenced")
            self.journal.renew_at = 0.0
            self.journal.write_requested.set()
            self.clock.sleep(FENCE_CHECK_INTERVAL_S)
            self.orders.fenced.clear()


def decode_job(text: str) -> messages.Job:
    """Decode a job's row, or raise `codec.DecodeError`."""
    return codec.from_json(text, messages.Job)


def decode_snapshot(text: str) -> interference.ModelSnapshot:
    """Decode the row with learned interference, or raise `codec.DecodeError`."""
    return codec.from_json(text, interference.ModelSnapshot)
