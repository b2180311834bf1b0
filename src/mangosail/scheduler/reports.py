"""Processing of worker reports: updates the tasks that may run there."""

import collections.abc as cabc

import logbook

from mangosail import clock as clocks
from mangosail.scheduler import (
    contacts,
    copies,
    crashes,
    estimates,
    fleet,
    health,
    messages,
    orders,
    progress,
    remaining,
    worker_speeds,
)
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("reports")

#: Seconds after a change of speed until the processor use that a worker reports, an
#: average of half a second, no longer includes the time before.
MEASUREMENT_TERM_S = 0.7
#: Processor use in thousandths of a core from which a run is not paused.
WORKING_MILLICORES = 100.0
#: Reasons for the loss of a worker that prove that its incarnation has ended.
CRASH_REASONS = frozenset({"replaced", "restarted"})


class ReportProcessor:
    """Processes the reports of workers, and updates the tasks accordingly."""

    def __init__(
        self,
        find_task: cabc.Callable[[str], progress.Task | None],
        on_change: cabc.Callable[[progress.JobProgress], None],
        fail_job: cabc.Callable[[progress.Task, str], None],
        workers: fleet.Fleet,
        worker_orders: orders.Orders,
        worker_health: health.Health,
        crash_tracker: crashes.CrashTracker,
        estimator: estimates.DurationEstimator,
        speeds: worker_speeds.WorkerSpeeds,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.find_task = find_task
        self.on_change = on_change
        self.fail_job = fail_job
        self.workers = workers
        self.orders = worker_orders
        self.health = worker_health
        self.crash_tracker = crash_tracker
        self.estimator = estimator
        self.speeds = speeds
        self.clock = clock
        self.counters = counters

    def process(
        self, worker: fleet.Worker, report: messages.WorkerReport, sent_at: float
    ) -> None:
        """Process a report that was requested at the elapsed time `sent_at`."""
        worker.record_contact(report.clock, self.clock.elapsed())
        if not worker.contacted:
            worker.first_contact_at = worker.last_contact_at
        worker.contacted = True
        self.crash_tracker.record_reachable(worker)
        for end in report.ended:
            if end.number > worker.last_end_seen:
                worker.last_end_seen = end.number
                self._handle_end(worker, end)
        listed = {}
        for row in report.running:
            listed[row.task] = row
            self._handle_running(worker, row)
        if report.complete:
            self._handle_unlisted_runs(worker, listed, sent_at)
        elif not worker.has_more_ends:
            self.counters.count("reports.incomplete")
            log.info(
                "report left ends out", worker=worker.name, ends=len(report.ended),
                last=worker.last_end_seen, tasks=len(worker.tasks),
            )  # fmt: skip
        worker.has_more_ends = not report.complete

    def handle_worker_lost(
        self, worker: fleet.Worker, reason: str, successor: fleet.Worker | None = None
    ) -> None:
        """Record that all runs on the worker have ended.

        `successor` is its next incarnation under the same name, if there is one. An
        order that the earlier incarnation has not shown to have carried out may still
        reach the successor, even seconds from now.
        """
        now = self.clock.elapsed()
        self.counters.count(f"workers.lost.{reason}")
        log.warning(
            "worker lost", worker=worker.name, reason=reason,
            proof=contacts.proof(reason in CRASH_REASONS).value,
            tasks=len(worker.tasks), draining=worker.entry.draining,
            **contacts.fields(worker, now),
            successor=successor.incarnation if successor else None,
        )  # fmt: skip
        tasks = list(worker.tasks.values())
        for task in tasks:
            if not task.from_assignment:
                self._log_lost_run(worker, task)
        if worker.removed:
            findings = self.crash_tracker.record_incarnation_end(
                worker, reason in CRASH_REASONS, now
            )
        else:
            findings = self.crash_tracker.record_unreachable(worker)
        for task in tasks:
            if successor is None or task.listed:
                self._requeue(worker, task, "worker_lost")
            else:
                self.orders.transfer(task, worker, successor)
        for finding in findings:
            self._handle_finding(worker, finding, reason)

    def _handle_finding(
        self, worker: fleet.Worker, finding: crashes.Finding, reason: str
    ) -> None:
        """Record a suspicion, and fail the job if the task crashed enough workers."""
        suspect = finding.suspect
        task = suspect.task.original
        if task.job.ended or finding.verdict is crashes.Verdict.CLEARED:
            return
        now = self.clock.elapsed()
        delay = 0.0
        if finding.delays_next_start:
            delay = crashes.back_off(task, now)
        self.counters.count(f"reports.suspected.{finding.verdict.value}")
        log.info(
            "task suspected of crash", task=task.name, run=suspect.run,
            worker=worker.name, reason=reason, verdict=finding.verdict.value,
            isolated=suspect.isolated, confirmed=suspect.confirmed,
            lease_left=round(suspect.lease_held_until - now, 3),
            crashes=task.crashes, certain=task.certain_crashes, delay=delay,
        )  # fmt: skip
        if crashes.exceeds_crash_limit(task):
            self.fail_job(task, worker.name)
        else:
            self.on_change(task.job)

    def _log_lost_run(self, worker: fleet.Worker, task: progress.Task) -> None:
        """Log what is known of a run that ended with its worker.

        `age` is the time from sending its start to the last contact with the worker:
        negative if there was no contact since, and None if another leader sent the
        start.
        """
        age = None
        if task.start_sent_at is not None:
            age = round(worker.last_contact_at - task.start_sent_at, 3)
        self.counters.count("reports.runs_lost")
        log.info(
            "run lost", task=task.name, run=task.run, worker=worker.name, age=age,
            phase=task.phase.name.lower(), failures=task.failures,
        )  # fmt: skip

    def _find_run(
        self, worker: fleet.Worker, name: str, run: int
    ) -> progress.Task | None:
        """Return the copy of a task if it has this run on the worker, else the task."""
        task = self.find_task(name)
        copy = task.copy if task else None
        if copy is not None and copy.worker == worker.name and copy.run == run:
            return copy
        return task

    def _handle_end(self, worker: fleet.Worker, end: messages.RunEnd) -> None:
        task = self._find_run(worker, end.task, end.run)
        self.counters.count(f"reports.ended.{end.outcome.value}")
        log.info(
            "ended", task=end.task, run=end.run, worker=worker.name,
            outcome=end.outcome.value, number=end.number,
        )  # fmt: skip
        if task is None:
            return
        task.job.started = True
        is_current = task.worker == worker.name and task.run == end.run and task.live
        if is_current and task.from_assignment:
            self._adopt_assigned_run(worker, task)
        if crashes.ended_by_itself(end.outcome):
            crashes.clear(task)
        if end.outcome is messages.Outcome.DONE and not task.step.continuous:
            self._handle_done(worker, task, end, is_current)
        elif is_current:
            self._handle_failed_or_stopped(worker, task, end)

    def _handle_done(
        self,
        worker: fleet.Worker,
        task: progress.Task,
        end: messages.RunEnd,
        is_current: bool,
    ) -> None:
        now = self.clock.elapsed()
        self.health.record(worker, task.job.job.job_id, True, now)
        if task.original.phase is progress.Phase.DONE:
            if is_current:
                # Both runs were completed; the other one counted.
                self._requeue(worker, task, end.outcome.value)
            return
        if is_current:
            worker.release(task)
            self._stop_other_run(copies.choose_run(task, self.counters))
            if task.from_beginning and not task.throttled_at:
                self.estimator.record(task, now - task.started_at)
        else:
            # An earlier run was completed after all; the current run must not be, and
            # the next one must not start.
            self.counters.count("reports.done_late")
            log.warning(
                "superseded run completed",
                task=task.name,
                run=end.run,
                present=task.run,
            )
            if task.live:
                self._discard_run(task)
            if task.copy is not None:
                self.counters.count("copies.ended.lost")
                self._stop_other_run(task.copy)
        task.job.mark_done(task)
        if task.step.gang:
            self._finish_gang(task)
        self.on_change(task.job)

    def _stop_other_run(self, other: progress.Task | None) -> None:
        """Stop the run of a pair that does not count; its room stays reserved."""
        holder = self.worker_of(other) if other is not None else None
        if other is not None and holder is not None:
            self.orders.stop(other, holder, "superseded")

    def _finish_gang(self, task: progress.Task) -> None:
        """Mark all members of a gang as done, since one of them is."""
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
        """Return the worker on which the task's run may exist."""
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
        counted = task.count_failure()
        self._log_failure(worker, task, counted)
        task.original.avoided_worker = worker.name
        # A restart from the checkpoint of a failed run may fail the same way. The
        # platform permits it, and the work saved is worth more.
        if self.health.record(worker, task.job.job.job_id, False, now):
            self.counters.count("workers.set_aside")
            log.warning(
                "worker set aside", worker=worker.name, until=worker.avoid_until
            )

    def _log_failure(
        self, worker: fleet.Worker, task: progress.Task, counted: bool
    ) -> None:
        """Log a failed run, and the failures that now count towards the attempts."""
        if counted:
            self.counters.count("reports.attempts_failed")
        gang = task.step.gang
        log.info(
            "attempt failed", task=task.name, run=task.run, worker=worker.name,
            failures=task.step_run.failures if gang else task.original.failures,
            attempts=task.job.job.attempts, counted=counted,
        )  # fmt: skip

    def _adopt_assigned_run(self, worker: fleet.Worker, task: progress.Task) -> None:
        """Record that an earlier leader has started a run under its assignment."""
        self.counters.count("assignments.adopted")
        log.info(
            "run without a record found",
            task=task.name,
            run=task.run,
            worker=worker.name,
        )
        task.from_assignment = False
        task.job.begin()
        self.on_change(task.job)

    def _requeue(self, worker: fleet.Worker, task: progress.Task, reason: str) -> None:
        """Requeue a task whose run has ended."""
        worker.release(task)
        if task.worker != worker.name or not task.live:
            return
        copies.end_run(task, reason, self.counters)
        if task.original.phase is progress.Phase.WAITING:
            log.info("waiting again", task=task.name, run=task.run, reason=reason)
        self.on_change(task.job)

    def _handle_running(self, worker: fleet.Worker, row: messages.RunningTask) -> None:
        task = self._find_run(worker, row.task, row.run)
        if task is None or task.worker != worker.name or task.run != row.run:
            if task is None or task.highest_run >= row.run or not task.live:
                self.orders.stop_unknown(worker, row)
            return
        now = self.clock.elapsed()
        task.listed = True
        if task.from_assignment:
            self._adopt_assigned_run(worker, task)
        if task.phase in (progress.Phase.STARTING, progress.Phase.DOUBTFUL):
            if task.speed_unknown:
                # If it is paused, that counts from now: when it counted from the
                # beginning, all such tasks were taken for stuck and stopped at each
                # change of leader.
                task.throttled_at = now
            task.phase = progress.Phase.RUNNING
            task.start_confirmed = True
            task.job.started = True
            task.started_at = task.progressed_at = now
        if task.original.suspect and crashes.is_stable(task, now):
            crashes.clear(task)
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        self._settle_speed(worker, task, row, now)
        if self._record_progress(worker, task, row, now):
            self.speeds.record(worker, task, row, now)
        if row.progress_percent != task.progress_percent:
            task.progress_percent = row.progress_percent
            task.progressed_at = now
        if task.phase is progress.Phase.RUNNING and not orders.is_wanted(task):
            done = task.original.phase is progress.Phase.DONE
            self.orders.stop(task, worker, "superseded" if done else "cancelled")

    def _record_progress(
        self,
        worker: fleet.Worker,
        task: progress.Task,
        row: messages.RunningTask,
        now: float,
    ) -> bool:
        """Record progress for the estimates; return whether it can be used."""
        if not self.estimator.uses_progress or task.step.continuous:
            return True
        fault = remaining.observe(task, row, now)
        if fault is None or task.pace is None:
            return True
        self.counters.count(f"reports.progress_invalid.{fault.value}")
        if not task.pace.invalid_logged:
            task.pace.invalid_logged = True
            log.warning(
                "invalid progress", task=task.name, run=task.run, worker=worker.name,
                fault=fault.value, percent=row.progress_percent,
                highest=task.pace.percent,
            )  # fmt: skip
        return False

    def _settle_speed(
        self,
        worker: fleet.Worker,
        task: progress.Task,
        row: messages.RunningTask,
        now: float,
    ) -> None:
        """Correct the believed speed of a best-effort run by its processor use."""
        if not task.step.best_effort or now < task.throttled_at + MEASUREMENT_TERM_S:
            return
        works = row.measurement >= WORKING_MILLICORES
        doubtful = task.speed_unknown or now < task.stray_throttles_until
        task.speed_unknown = False
        believed = task.speed_limit
        if works:
            task.speed_limit = progress.FULL_SPEED
        elif doubtful:
            task.speed_limit = 0
        if task.speed_limit == believed:
            return
        use = "working" if works else "idle"
        self.counters.count(f"reports.speed_corrected.{use}")
        log.info(
            "speed corrected", task=task.name, run=task.run, worker=worker.name,
            use=use, millicores=round(row.measurement),
            throttled=round(now - task.throttled_at, 3),
        )  # fmt: skip

    def _handle_unlisted_runs(
        self,
        worker: fleet.Worker,
        listed: cabc.Container[str],
        sent_at: float,
    ) -> None:
        """Handle the runs that a complete report neither shows as running nor as ended.

        An incomplete one proves nothing about them: ends that it left out follow. When
        a new leader took such a report for complete, it started tasks again that had
        ended done.
        """
        is_first = not worker.fully_reported
        worker.fully_reported = True
        unbegun = []
        for task in list(worker.tasks.values()):
            if task.name in listed:
                continue
            if is_first and task.from_assignment:
                # The worker refuses the earlier leader's starts from now on.
                worker.release(task)
                task.wait_again()
                unbegun.append(task.name)
            else:
                self._handle_unlisted_run(worker, task, sent_at, is_first)
        if unbegun:
            # One line, and no write: at a takeover, most waiting tasks are among them.
            self.counters.count("assignments.unbegun", len(unbegun))
            log.info("assigned runs not begun", worker=worker.name, tasks=unbegun)

    def _handle_unlisted_run(
        self,
        worker: fleet.Worker,
        task: progress.Task,
        sent_at: float,
        is_first: bool,
    ) -> None:
        """Handle one such run; `is_first` for the first complete report."""
        phase = task.phase
        if phase is progress.Phase.DOUBTFUL:
            if is_first and task.start_sent_at is None:
                # The worker has seen this leader's token by now, and rejects a start of
                # an earlier leader that is still to arrive.
                findings = self.crash_tracker.record_missing_run(
                    worker, task, self.clock.elapsed()
                )
                self._requeue(worker, task, "never_began")
                for finding in findings:
                    self._handle_finding(worker, finding, "young_life")
            else:
                self.orders.stop(task, worker, "doubt")
        elif phase is progress.Phase.STOPPING:
            if task.stop_confirmed_at is not None and sent_at > task.stop_confirmed_at:
                self._requeue(worker, task, "barred")
        elif phase is progress.Phase.RUNNING and sent_at > task.started_at:
            self.orders.stop(task, worker, "vanished")
