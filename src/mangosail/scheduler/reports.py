"""What a worker's look says of the tasks that may run there."""

import collections.abc as cabc

import logbook

from mangosail import clock as clocks
from mangosail.scheduler import (
    crashes,
    estimates,
    fleet,
    health,
    messages,
    orders,
    progress,
    worker_speeds,
)
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("reports")

#: Reasons for which a worker is lost that prove that its life is over.
CRASH_REASONS = frozenset({"replaced", "restarted"})


class ReportProcessor:
    """Takes in what workers list, and changes the tasks accordingly."""

    def __init__(
        self,
        find_task: cabc.Callable[[str], progress.Task | None],
        on_change: cabc.Callable[[progress.JobProgress], None],
        give_up: cabc.Callable[[progress.JobProgress], None],
        workers: fleet.Fleet,
        sender: orders.Orders,
        worker_health: health.Health,
        crash_tracker: crashes.CrashTracker,
        estimator: estimates.DurationEstimator,
        speeds: worker_speeds.WorkerSpeeds,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.find_task = find_task
        self.on_change = on_change
        self.give_up = give_up
        self.workers = workers
        self.orders = sender
        self.health = worker_health
        self.crash_tracker = crash_tracker
        self.estimator = estimator
        self.speeds = speeds
        self.clock = clock
        self.counters = counters

    def process(
        self, worker: fleet.Worker, look: messages.WorkerReport, sent_at: float
    ) -> None:
        """Take in a look that was asked for at the elapsed time `sent_at`."""
        first = not worker.contacted
        worker.record_contact(look.clock, self.clock.elapsed())
        worker.contacted = True
        self.crash_tracker.record_reachable(worker)
        for end in look.ended:
            if end.number > worker.last_end_seen:
                worker.last_end_seen = end.number
                self._handle_end(worker, end)
        listed = {}
        for row in look.running:
            listed[row.task] = row
            self._handle_running(worker, row)
        for task in list(worker.tasks.values()):
            if task.name not in listed:
                self._handle_not_listed(worker, task, sent_at, first)

    def handle_worker_lost(
        self, worker: fleet.Worker, why: str, successor: fleet.Worker | None = None
    ) -> None:
        """Take note that all runs of the worker are over.

        `later` is its next life under the same name, if it has one. An order that the
        earlier life has not shown to have carried out may reach that one, also seconds
        from now.
        """
        now = self.clock.elapsed()
        self.counters.count(f"workers.lost.{why}")
        log.warning(
            "worker lost", worker=worker.name, reason=why, tasks=len(worker.tasks),
            draining=worker.entry.draining,
            silent=round(now - worker.last_contact_at, 3),
        )  # fmt: skip
        tasks = list(worker.tasks.values())
        for task in tasks:
            self._log_lost_run(worker, task)
        if worker.removed:
            suspects = self.crash_tracker.record_incarnation_end(
                worker, crashed=why in CRASH_REASONS
            )
        else:
            self.crash_tracker.record_unreachable(worker)
            suspects = ()
        for task in tasks:
            if successor is None or task.listed:
                self._requeue(worker, task, "worker_lost")
            else:
                self.orders.transfer(task, worker, successor)
        for suspect in suspects:
            self._handle_suspect(worker, suspect, why)

    def _handle_suspect(
        self, worker: fleet.Worker, suspect: crashes.Suspect, why: str
    ) -> None:
        """Give a task's job up if the task has crashed enough workers."""
        task = suspect.task
        if task.job.ended:
            return
        self.counters.count(f"reports.suspected.{why}")
        log.info(
            "suspected", task=task.name, run=task.run, worker=worker.name, reason=why,
            late=suspect.started_recently, crashes=task.crashes,
            clear=task.certain_crashes,
        )  # fmt: skip
        if crashes.exceeds_crash_limit(task):
            self.give_up(task.job)
        else:
            self.on_change(task.job)

    def _log_lost_run(self, worker: fleet.Worker, task: progress.Task) -> None:
        """Log what is known of a run that ended with its worker.

        `age` is how long before the worker was last heard its start was sent; less than
        nothing if nothing was heard since, and None if another leader sent it.
        """
        age = None
        if task.start_sent_at is not None:
            age = round(worker.last_contact_at - task.start_sent_at, 3)
        self.counters.count("reports.runs_lost")
        log.info(
            "run lost", task=task.name, run=task.run, worker=worker.name, age=age,
            phase=task.phase.name.lower(), failures=task.failures,
        )  # fmt: skip

    def _handle_end(self, worker: fleet.Worker, end: messages.RunEnd) -> None:
        task = self.find_task(end.task)
        self.counters.count(f"reports.ended.{end.outcome.value}")
        log.info(
            "ended", task=end.task, run=end.run, worker=worker.name,
            outcome=end.outcome.value, number=end.number,
        )  # fmt: skip
        if task is None:
            return
        task.job.started = True
        present = task.worker == worker.name and task.run == end.run and task.live
        if crashes.ended_by_itself(end.outcome):
            crashes.reset_crash_counts(task)
        if end.outcome is messages.Outcome.DONE and not task.step.continuous:
            self._handle_done(worker, task, end, present)
        elif present:
            self._handle_failed_or_stopped(worker, task, end)

    def _handle_done(
        self,
        worker: fleet.Worker,
        task: progress.Task,
        end: messages.RunEnd,
        present: bool,
    ) -> None:
        now = self.clock.elapsed()
        self.health.record(worker, task.job.job.job_id, True, now)
        if task.phase is progress.Phase.DONE:
            return
        if present:
            worker.release(task)
            if task.from_beginning and not task.throttled_at:
                self.estimator.record(task, now - task.started_at)
        else:
            # An earlier run finished after all; the present one must not, and
            # the next one must not begin.
            self.counters.count("reports.done_late")
            log.warning(
                "earlier run done", task=task.name, run=end.run, present=task.run
            )
            if task.live:
                self._discard_run(task)
        task.job.mark_done(task)
        if task.step.gang:
            self._finish_gang(task)
        self.on_change(task.job)

    def _finish_gang(self, task: progress.Task) -> None:
        """Take the end of one member of a gang for that of all."""
        for other in task.step_run.tasks:
            holder = self.worker_of(other)
            if holder is not None:
                holder.release(other)
            task.job.mark_done(other)

    def _discard_run(self, task: progress.Task) -> None:
        holder = self.worker_of(task)
        if holder is not None:
            holder.release(task)
            row = messages.RunningTask(task.name, task.run, "", 0)
            self.orders.stop_unknown(holder, row)

    def worker_of(self, task: progress.Task) -> fleet.Worker | None:
        """Return the worker on which the task's run may be."""
        return self.workers.get(task.worker)

    def _handle_failed_or_stopped(
        self, worker: fleet.Worker, task: progress.Task, end: messages.RunEnd
    ) -> None:
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if end.outcome is messages.Outcome.FAILED:
            self._record_failure(worker, task)
        self._requeue(worker, task, end.outcome.value)

    def _record_failure(self, worker: fleet.Worker, task: progress.Task) -> None:
        now = self.clock.elapsed()
        task.failures += 1
        task.avoided_worker = worker.name
        # A start from the checkpoint of a failed run may fail the same way; the
        # platform lets it, and the work saved is worth more.
        if self.health.record(worker, task.job.job.job_id, False, now):
            self.counters.count("workers.set_aside")
            log.warning(
                "worker set aside", worker=worker.name, until=worker.avoid_until
            )

    def _requeue(self, worker: fleet.Worker, task: progress.Task, why: str) -> None:
        """Let a task whose run is over wait for its next one."""
        worker.release(task)
        if task.worker != worker.name or not task.live:
            return
        task.worker = ""
        task.phase = progress.Phase.WAITING
        task.stop_confirmed_at = None
        log.info("waiting again", task=task.name, run=task.run, reason=why)
        self.on_change(task.job)

    def _handle_running(self, worker: fleet.Worker, row: messages.RunningTask) -> None:
        task = self.find_task(row.task)
        if task is None or task.worker != worker.name or task.run != row.run:
            if task is None or task.run >= row.run or not task.live:
                self.orders.stop_unknown(worker, row)
            return
        now = self.clock.elapsed()
        task.listed = True
        if task.phase in (progress.Phase.STARTING, progress.Phase.DOUBTFUL):
            if task.phase is progress.Phase.DOUBTFUL and task.step.best_effort:
                # An earlier leader may have slowed it down; looks don't say. It has
                # stood still from now on at most: taken for stuck since ever, all such
                # tasks were stopped at each change of leader.
                task.speed_limit = 0
                task.throttled_at = now
            task.phase = progress.Phase.RUNNING
            task.start_confirmed = True
            task.job.started = True
            task.started_at = task.progressed_at = now
        if task.crashes and crashes.is_stable(task, now):
            crashes.reset_crash_counts(task)
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        self.speeds.record(worker, task, row, now)
        if row.progress_percent != task.progress_percent:
            task.progress_percent = row.progress_percent
            task.progressed_at = now
        if task.phase is progress.Phase.RUNNING and not orders.is_wanted(task):
            self.orders.stop(task, worker, "cancelled")

    def _handle_not_listed(
        self, worker: fleet.Worker, task: progress.Task, sent_at: float, first: bool
    ) -> None:
        """Judge a run that the worker lists neither as running nor as ended."""
        phase = task.phase
        if phase is progress.Phase.DOUBTFUL:
            if first and task.start_sent_at is None:
                # The worker has seen our token now: what an earlier leader sent
                # is refused if it comes yet.
                suspects = self.crash_tracker.record_missing_run(worker, task)
                self._requeue(worker, task, "never_began")
                for suspect in suspects:
                    self._handle_suspect(worker, suspect, "young_life")
            else:
                self.orders.stop(task, worker, "doubt")
        elif phase is progress.Phase.STOPPING:
            if task.stop_confirmed_at is not None and sent_at > task.stop_confirmed_at:
                self._requeue(worker, task, "barred")
        elif phase is progress.Phase.RUNNING and sent_at > task.started_at:
            self.orders.stop(task, worker, "vanished")
