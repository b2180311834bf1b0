"""Placement rounds: place the tasks of all steps that are ready, in order.

A round pauses in between, so that its results are written and sent, and then places
urgent tasks that became ready meanwhile. `step_placement.py` places a single step.
"""

import collections.abc as cabc

import gevent.event
import logbook

from mangosail import clock as clocks
from mangosail.scheduler import (
    advice,
    assigned_starts,
    assignment_updates,
    assignments,
    copies,
    estimates,
    failure_domains,
    fleet,
    interference,
    journal,
    messages,
    options,
    orders,
    placing,
    planning,
    progress,
    relocation,
    routing,
    start_sending,
    step_placement,
    worker_speeds,
    yielding,
)
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("rounds")

#: Seconds between rounds, so that tasks that arrive together are placed together.
ROUND_INTERVAL_S = 0.004
#: Best-effort steps for which one round searches all workers without success; starts
#: are sent after the round.
MAX_FAILED_SEARCHES = 6
#: Pauses between rounds, as a multiple of the duration of the last one, and their
#: maximum.
PAUSE_RATIO = 3
MAX_PAUSE_S = PAUSE_RATIO * yielding.YIELD_INTERVAL_S
#: Pauses within a round, as a multiple of the work since the last one.
YIELD_PAUSE_RATIO = 2
#: Seconds between searches for urgent tasks while the loop pauses after a long round,
#: and maximum seconds that one takes: no lease is renewed meanwhile.
URGENT_INTERVAL_S = 0.02
URGENT_BUDGET_S = 0.02
#: Seconds after which a round runs without a change, for tasks that become due and
#: workers that become usable again.
IDLE_INTERVAL_S = 0.1
#: Seconds from which a round is logged as long: a third of the time between renewals of
#: the lease, which can't run during the work of a round.
LONG_ROUND_S = 0.1
#: Seconds between log lines with the number of waiting tasks.
REPORT_INTERVAL_S = 2.0


class PlacementLoop:
    """Places the tasks of `jobs` on `workers`, round after round."""

    def __init__(
        self,
        jobs: cabc.Mapping[str, progress.JobProgress],
        workers: fleet.Fleet,
        model: interference.Model,
        estimator: estimates.DurationEstimator,
        speeds: worker_speeds.WorkerSpeeds,
        job_journal: journal.Journal,
        worker_orders: orders.Orders,
        ticket_cache: advice.TicketCache,
        router: routing.Router,
        changed: gevent.event.Event,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        enabled: options.Options = options.NONE,
    ) -> None:
        self.jobs = jobs
        self.workers = workers
        homes = None
        if enabled.gather_jobs:
            homes = failure_domains.JobHomes(workers, counters)
        self.placer = placing.Placer(workers, model, homes)
        self.router = router
        self.planner = planning.Planner(workers, estimator, router.queue)
        self.sender = start_sending.StartSender(job_journal, worker_orders)
        self.changed = changed
        self.clock = clock
        self.counters = counters
        self.relocator = relocation.Relocator(
            workers,
            self.placer,
            speeds,
            worker_orders,
            router.service_of,
            clock,
            counters,
        )
        assigner = assignments.Assigner(workers, self.placer)
        self.assignment_updater = assignment_updates.AssignmentUpdater(
            enabled.assign_ahead, assigner, router, self.planner, job_journal, clock
        )
        self.assigned_starts = assigned_starts.AssignedStarts(
            enabled.assign_ahead,
            assigner,
            job_journal,
            self.sender.send_at_once,
            clock,
            counters,
        )
        self.step_placer = step_placement.StepPlacer(
            workers,
            self.placer,
            self.planner,
            router,
            ticket_cache,
            self.assignment_updater,
            self.assigned_starts,
            self.sender,
            worker_orders,
            clock,
        )
        self.copier = copies.Copier(
            jobs,
            workers,
            self.placer,
            estimator,
            self.sender.record_and_send,
            self.step_placer.has_advice,
            router.service_of,
            enabled.copy_tasks,
            counters,
        )
        #: True once a planned shutdown has begun.
        self.stopping = False
        self.yielder = yielding.CooperativeYielder(clock, YIELD_PAUSE_RATIO)

    def report_forever(self) -> None:
        """Log the waiting tasks and the free resources periodically."""
        while True:
            self.clock.sleep(REPORT_INTERVAL_S)
            now = self.clock.elapsed()
            usable = [worker for worker in self.workers if worker.usable(now)]
            waiting = [
                task
                for job in self.jobs.values()
                for step_run in job.ready_steps(self.clock.wall())
                for task in step_run.waiting()
            ]
            log.info(
                "state",
                jobs=len(self.jobs),
                not_begun=sum(not job.started for job in self.jobs.values()),
                waiting_best_effort=sum(task.step.best_effort for task in waiting),
                waiting_continuous=sum(task.step.continuous for task in waiting),
                waiting=len(waiting),
                in_time=sum(plan.in_time for plan in self.planner.plans.values()),
                workers=len(self.workers),
                usable=len(usable),
                latency_critical=sum(
                    bool(worker.latency_critical_count) for worker in usable
                ),
                free_cores=round(sum(worker.free.cpus for worker in usable)),
                unused_cores=round(sum(worker.idle_cpus for worker in usable)),
                slowed=sum(
                    task.speed_limit < progress.FULL_SPEED
                    for worker in usable
                    for task in worker.tasks.values()
                ),
            )

    def run(self) -> None:
        """Place whenever something has changed, until the planned shutdown."""
        while True:
            self.changed.wait(IDLE_INTERVAL_S)
            self.changed.clear()
            if self.stopping:
                return
            self._run_logged(self.place)
            # Placement takes a third of the processor at most, as its results have to
            # be written and sent. A long round has already paused in between.
            took = self.yielder.total_worked()
            self.counters.time("rounds.place", took)
            if took >= LONG_ROUND_S:
                log.warning(
                    "slow placement round", seconds=round(took, 3), jobs=len(self.jobs)
                )
            pause = min(PAUSE_RATIO * took, MAX_PAUSE_S)
            self._pause_until(self.clock.elapsed() + max(ROUND_INTERVAL_S, pause))

    def _run_logged(self, place: cabc.Callable[[], None]) -> None:
        """Place tasks; a fault with one job must not stop the others for good."""
        try:
            place()
        except Exception:
            self.counters.count("rounds.place_failed")
            log.exception("placement round failed")

    def _pause_until(self, deadline: float) -> None:
        """Let other greenlets run, but for urgent tasks that become ready."""
        while True:
            left = deadline - self.clock.elapsed()
            self.clock.sleep(min(left, URGENT_INTERVAL_S))
            if left <= URGENT_INTERVAL_S or self.stopping:
                return
            if self.changed.is_set():
                self._run_logged(self._place_urgent)

    def place(self) -> None:
        """Place waiting tasks in order, as far as there is room."""
        self.yielder = yielding.CooperativeYielder(self.clock, YIELD_PAUSE_RATIO)
        now = self.clock.elapsed()
        wall = self.clock.wall()
        self.router.refresh()
        ready = [
            step_run for job in self.jobs.values() for step_run in job.ready_steps(wall)
        ]
        self.planner.refresh(ready, now, wall)
        self.assigned_starts.refresh()
        self.relocator.update_slow_workers(now)
        self.assignment_updater.update_after_takeover(
            self.jobs.values(), now, self.yielder
        )
        ready.sort(key=self.planner.sort_key)
        self.relocator.move_some(now)
        unplaced: list[step_placement.UnplacedStep] = []
        failed_searches = 0
        for step_run in ready:
            if self.yielder.yield_if_due():
                self._place_urgent()
            if self.stopping:
                return
            tasks = self.step_placer.start_assigned_tasks(step_run, now)
            if not tasks:
                continue
            best_effort = step_run.step.best_effort
            searches_all = best_effort and placing.needs_full_search(step_run, now)
            if (
                searches_all
                and failed_searches >= MAX_FAILED_SEARCHES
                and not self.step_placer.is_overdue(step_run, now)
            ):
                # It waits for room like the steps that were tried. If many wait, those
                # in front use up the bound in every round, and one at the end would
                # never count as starving.
                self.step_placer.mark_blocked(step_run, now)
                continue
            placed = self.step_placer.place(step_run, tasks, unplaced, now)
            failed_searches += searches_all and not placed
        self.copier.start_some(ready, self.clock.elapsed())

    def _place_urgent(self) -> None:
        """Place the tasks of urgent steps that have become ready since the round began.

        Under overload a round with its pauses takes half a second, mostly for
        best-effort steps that find no room; a quote is late by then.
        """
        now = self.clock.elapsed()
        deadline = now + URGENT_BUDGET_S
        wall = self.clock.wall()
        urgent = [
            step_run
            for job in self.jobs.values()
            if job.has_urgent_steps
            for step_run in job.ready_steps(wall)
            if step_run.blocked_since is None and is_urgent(step_run.step)
        ]
        urgent.sort(key=self.planner.sort_key)
        unplaced: list[step_placement.UnplacedStep] = []
        for step_run in urgent:
            tasks = self.step_placer.start_assigned_tasks(step_run, now)
            if tasks:
                self.step_placer.place(step_run, tasks, unplaced, now)
            if self.clock.elapsed() >= deadline:
                return


def is_urgent(step: messages.Step) -> bool:
    """Return whether callers wait for the step's tasks, which reserve their room."""
    return not step.best_effort and not step.continuous
