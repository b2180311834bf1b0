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
PROOFS = frozenset({"replaced", "restarted"})


class Reports:
    """Takes in what workers list, and changes the tasks accordingly."""

    def __init__(
        self,
        find: cabc.Callable[[str], progress.Task | None],
        on_change: cabc.Callable[[progress.JobProgress], None],
        give_up: cabc.Callable[[progress.JobProgress], None],
        workers: fleet.Fleet,
        sender: orders.Orders,
        judge: health.Health,
        blame: crashes.Judge,
        expected: estimates.Estimates,
        speed: worker_speeds.Speeds,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.find = find
        self.on_change = on_change
        self.give_up = give_up
        self.workers = workers
        self.orders = sender
        self.health = judge
        self.blame = blame
        self.expected = expected
        self.speeds = speed
        self.clock = clock
        self.counters = counters

    def take_in(
        self, worker: fleet.Worker, look: messages.Look, sent_at: float
    ) -> None:
        """Take in a look that was asked for at the elapsed time `sent_at`."""
        first = not worker.known
        worker.heard(look.clock, self.clock.elapsed())
        worker.known = True
        self.blame.heard(worker)
        for end in look.ended:
            if end.number > worker.taken_in:
                worker.taken_in = end.number
                self._ended(worker, end)
        listed = {}
        for row in look.running:
            listed[row.task] = row
            self._running(worker, row)
        for task in list(worker.tasks.values()):
            if task.name not in listed:
                self._not_listed(worker, task, sent_at, first)

    def lost(
        self, worker: fleet.Worker, why: str, later: fleet.Worker | None = None
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
            draining=worker.entry.draining, silent=round(now - worker.heard_at, 3),
        )  # fmt: skip
        tasks = list(worker.tasks.values())
        for task in tasks:
            self._run_lost(worker, task)
        if worker.gone:
            suspects = self.blame.over(worker, crashed=why in PROOFS)
        else:
            self.blame.silent(worker)
            suspects = ()
        for task in tasks:
            if later is None or task.listed:
                self._free(worker, task, "worker_lost")
            else:
                self.orders.hand_over(task, worker, later)
        for suspect in suspects:
            self._suspected(worker, suspect, why)

    def _suspected(
        self, worker: fleet.Worker, suspect: crashes.Suspect, why: str
    ) -> None:
        """Give a task's job up if the task has crashed enough workers."""
        task = suspect.task
        if task.job.over:
            return
        self.counters.count(f"reports.suspected.{why}")
        log.info(
            "suspected", task=task.name, run=task.run, worker=worker.name, reason=why,
            late=suspect.late, crashes=task.crashes, clear=task.clear_crashes,
        )  # fmt: skip
        if crashes.guilty(task):
            self.give_up(task.job)
        else:
            self.on_change(task.job)

    def _run_lost(self, worker: fleet.Worker, task: progress.Task) -> None:
        """Log what is known of a run that ended with its worker.

        `age` is how long before the worker was last heard its start was sent; less than
        nothing if nothing was heard since, and None if another leader sent it.
        """
        age = None
        if task.ordered_at is not None:
            age = round(worker.heard_at - task.ordered_at, 3)
        self.counters.count("reports.runs_lost")
        log.info(
            "run lost", task=task.name, run=task.run, worker=worker.name, age=age,
            phase=task.phase.name.lower(), failures=task.failures,
        )  # fmt: skip

    def _ended(self, worker: fleet.Worker, end: messages.End) -> None:
        task = self.find(end.task)
        self.counters.count(f"reports.ended.{end.outcome.value}")
        log.info(
            "ended", task=end.task, run=end.run, worker=worker.name,
            outcome=end.outcome.value, number=end.number,
        )  # fmt: skip
        if task is None:
            return
        task.job.begun = True
        present = task.worker == worker.name and task.run == end.run and task.live
        if crashes.clears(end.outcome):
            crashes.clear(task)
        if end.outcome is messages.Outcome.DONE and not task.step.continuous:
            self._done(worker, task, end, present)
        elif present:
            self._failed_or_stopped(worker, task, end)

    def _done(
        self,
        worker: fleet.Worker,
        task: progress.Task,
        end: messages.End,
        present: bool,
    ) -> None:
        now = self.clock.elapsed()
        self.health.note(worker, task.job.job.job_id, True, now)
        if task.phase is progress.Phase.DONE:
            return
        if present:
            worker.release(task)
            if task.whole and not task.throttled_at:
                self.expected.note(task, now - task.started_at)
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
            self._gang_done(task)
        self.on_change(task.job)

    def _gang_done(self, task: progress.Task) -> None:
        """Take the end of one member of a gang for that of all."""
        for other in task.step_run.tasks:
            holder = self.holder_of(other)
            if holder is not None:
                holder.release(other)
            task.job.mark_done(other)

    def _discard_run(self, task: progress.Task) -> None:
        holder = self.holder_of(task)
        if holder is not None:
            holder.release(task)
            row = messages.Running(task.name, task.run, "", 0)
            self.orders.stop_unknown(holder, row)

    def holder_of(self, task: progress.Task) -> fleet.Worker | None:
        """Return the worker on which the task's run may be."""
        return self.workers.get(task.worker)

    def _failed_or_stopped(
        self, worker: fleet.Worker, task: progress.Task, end: messages.End
    ) -> None:
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if end.outcome is messages.Outcome.FAILED:
            self._failed(worker, task)
        self._free(worker, task, end.outcome.value)

    def _failed(self, worker: fleet.Worker, task: progress.Task) -> None:
        now = self.clock.elapsed()
        task.failures += 1
        task.avoid = worker.name
        # A start from the checkpoint of a failed run may fail the same way; the
        # platform lets it, and the work saved is worth more.
        if self.health.note(worker, task.job.job.job_id, False, now):
            self.counters.count("workers.set_aside")
            log.warning(
                "worker set aside", worker=worker.name, until=worker.avoid_until
            )

    def _free(self, worker: fleet.Worker, task: progress.Task, why: str) -> None:
        """Let a task whose run is over wait for its next one."""
        worker.release(task)
        if task.worker != worker.name or not task.live:
            return
        task.worker = ""
        task.phase = progress.Phase.WAITING
        task.barred_at = None
        log.info("waiting again", task=task.name, run=task.run, reason=why)
        self.on_change(task.job)

    def _running(self, worker: fleet.Worker, row: messages.Running) -> None:
        task = self.find(row.task)
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
            task.began = True
            task.job.begun = True
            task.started_at = task.moved_at = now
        if task.crashes and crashes.proves(task, now):
            crashes.clear(task)
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        self.speeds.note(worker, task, row, now)
        if row.percent != task.percent:
            task.percent = row.percent
            task.moved_at = now
        if task.phase is progress.Phase.RUNNING and not orders.task_wanted(task):
            self.orders.stop(task, worker, "cancelled")

    def _not_listed(
        self, worker: fleet.Worker, task: progress.Task, sent_at: float, first: bool
    ) -> None:
        """Judge a run that the worker lists neither as running nor as ended."""
        phase = task.phase
        if phase is progress.Phase.DOUBTFUL:
            if first and task.ordered_at is None:
                # The worker has seen our token now: what an earlier leader sent
                # is refused if it comes yet.
                suspects = self.blame.missing(worker, task)
                self._free(worker, task, "never_began")
                for suspect in suspects:
                    self._suspected(worker, suspect, "young_life")
            else:
                self.orders.stop(task, worker, "doubt")
        elif phase is progress.Phase.STOPPING:
            if task.barred_at is not None and sent_at > task.barred_at:
                self._free(worker, task, "barred")
        elif phase is progress.Phase.RUNNING and sent_at > task.started_at:
            self.orders.stop(task, worker, "vanished")
