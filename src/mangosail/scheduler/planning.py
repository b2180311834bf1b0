"""Order of the waiting jobs, from their progress and expected durations.

`Planner` provides the input of `ordering`: for each job of short tasks the work left,
the length of the critical path, and the due time. A plan is kept for a moment, since
placement rounds follow each other within milliseconds.
"""

import collections.abc as cabc
import math

from mangosail.scheduler import (
    backlog,
    estimates,
    fleet,
    messages,
    ordering,
    progress,
)

#: Seconds for which a plan is used: planning takes milliseconds of a small instance,
#: and jobs take seconds.
PLAN_INTERVAL_S = 0.2
#: Minimum seconds for which it is used even if a job has arrived. Until then that job
#: goes last.
MIN_PLAN_INTERVAL_S = 0.05
#: Seconds for which the backlog of a plan may be published. A round pauses for a third
#: of a second at most; without plans nothing is known of the backlog.
MAX_BACKLOG_AGE_S = 1.0
#: Share of the idle cores that counts as room: tail latencies keep best-effort work off
#: the rest.
USABLE_CORES_SHARE = 0.5
#: Share of a step's duration that is left on average once none of its tasks waits.
RUNNING_REMAINDER = 0.5
#: Seconds without a new job after which deferred jobs are no longer held back for
#: others that may yet arrive.
QUIET_PERIOD_S = 5.0


class Planner:
    """Orders the steps that may be placed."""

    def __init__(
        self,
        workers: fleet.Fleet,
        estimator: estimates.DurationEstimator,
        queue_of: cabc.Callable[[str], messages.Queue | None],
    ) -> None:
        self.workers = workers
        self.estimator = estimator
        self.queue_of = queue_of
        self.plans: dict[int, ordering.Plan] = {}
        #: True if the backlog is to be measured with each plan.
        self.measures_backlog = False
        self.backlog = backlog.Backlog()
        #: Elapsed time of the last plan.
        self.planned_at = -math.inf
        #: Elapsed time from which plans are recomputed, and from which they are if a
        #: job has arrived meanwhile.
        self.replan_at = 0.0
        self.early_replan_at = 0.0
        #: Number of steps that waited for room at the last plan.
        self.blocked_steps = 0
        #: True if a job has arrived since the last plan.
        self.has_unplanned_job = False
        #: Names of the jobs as last seen, and elapsed time of the latest arrival.
        self.known_jobs: frozenset[str] = frozenset()
        self.last_new_job_at = 0.0

    def refresh(
        self, ready: cabc.Collection[progress.StepRun], now: float, wall: float
    ) -> None:
        """Recompute the plans if they are outdated.

        While there is room for all jobs no order is needed, and none is computed.
        """
        job_arrived = self._record_new_jobs(ready, now)
        if now < (self.early_replan_at if job_arrived else self.replan_at):
            return
        self.replan_at = now + PLAN_INTERVAL_S
        self.early_replan_at = now + MIN_PLAN_INTERVAL_S
        self.has_unplanned_job = False
        self.planned_at = now
        self.blocked_steps = sum(
            step_run.blocked_since is not None for step_run in ready
        )
        if not self.blocked_steps:
            self.plans = {}
            self.backlog = backlog.Backlog()
            return
        available, in_use = self._available_cores()
        plans: dict[int, ordering.Plan] = {}
        remaining = self._remaining_by_priority(ready, now)
        for priority, jobs in remaining.items():
            # Work of the same or lower urgency gives way.
            cores = available + sum(
                c for other, c in in_use.items() if other >= priority
            )
            plans[priority] = ordering.plan(jobs.values(), cores, wall)
        self.plans = plans
        if self.measures_backlog:
            used = sum(in_use.values())
            self.backlog = backlog.Backlog()
            # Beside more idle cores than are in use, work waits for something else than
            # room, and others need not wait for it.
            if available <= used:
                self.backlog = backlog.measure(remaining, plans, available + used)

    def current_backlog(self, now: float) -> backlog.Backlog | None:
        """Return the backlog as of the last plan; None if that is too old."""
        if now > self.planned_at + MAX_BACKLOG_AGE_S:
            return None
        return self.backlog

    def _record_new_jobs(
        self, ready: cabc.Iterable[progress.StepRun], now: float
    ) -> bool:
        """Return whether a job has arrived since the last plan."""
        names = frozenset(step_run.job.job.job_id for step_run in ready)
        if names - self.known_jobs:
            self.last_new_job_at = now
            self.has_unplanned_job = True
        self.known_jobs = names
        return self.has_unplanned_job

    def _remaining_by_priority(
        self, ready: cabc.Iterable[progress.StepRun], now: float
    ) -> dict[int, dict[str, ordering.RemainingWork]]:
        """Return the remaining work of jobs of short tasks, by priority and name."""
        by_priority: dict[int, dict[str, ordering.RemainingWork]] = {}
        for step_run in ready:
            if step_run.step.continuous:
                continue
            of_priority = by_priority.setdefault(step_run.job.job.priority, {})
            name = occurrence_name(step_run)
            if name not in of_priority:
                of_priority[name] = self._remaining_work(step_run, now)
        return by_priority

    def sort_key(self, step_run: progress.StepRun) -> tuple[int, bool, float, int]:
        """Return the sort key of a step in the order of placement."""
        job = step_run.job.job
        if step_run.step.continuous:
            # Continuous work takes all the room it finds, so short tasks go before it.
            return job.priority, True, job.due(step_run.occurrence), step_run.number
        plan = self.plans.get(job.priority)
        rank = plan.rank(occurrence_name(step_run)) if plan else 0
        return job.priority, False, rank, step_run.number

    def is_deferred(self, step_run: progress.StepRun, now: float) -> bool:
        """Return whether a step waits so that others can end in time."""
        plan = self.plans.get(step_run.job.job.priority)
        if (
            plan is None
            or step_run.step.continuous
            or now > self.last_new_job_at + QUIET_PERIOD_S
        ):
            return False
        return 0 < plan.in_time <= plan.rank(occurrence_name(step_run))

    def _remaining_work(
        self, step_run: progress.StepRun, now: float
    ) -> ordering.RemainingWork:
        """Return the remaining work of one occurrence of a job."""
        job, occurrence = step_run.job, step_run.occurrence
        core_seconds = total_core_seconds = 0.0
        full_paths: list[float] = []
        remaining_paths: list[float] = []
        for number, step in enumerate(job.job.steps):
            current = job.steps[occurrence, number]
            seconds, seconds_left, longest_left = self._step_durations(current, now)
            total_core_seconds += step.count * seconds * step.need.cpus
            core_seconds += seconds_left * step.need.cpus
            predecessors = step.after
            full_paths.append(
                seconds + max((full_paths[i] for i in predecessors), default=0.0)
            )
            remaining_paths.append(
                longest_left
                + max((remaining_paths[i] for i in predecessors), default=0.0)
            )
        queue = self.queue_of(job.job.queue)
        stretch, target = (queue.stretch, queue.target) if queue else (1.0, 0.0)
        due = job.job.due(occurrence) + stretch * max(full_paths) + target
        return ordering.RemainingWork(
            occurrence_name(step_run),
            due,
            total_core_seconds,
            core_seconds,
            max(remaining_paths),
        )

    def _step_durations(
        self, step_run: progress.StepRun, now: float
    ) -> tuple[float, float, float]:
        """Return the duration of a step's tasks, and the seconds that they have left.

        Of these the sum of the unfinished tasks, and the maximum.
        """
        if self.estimator.uses_progress:
            outlook = self.estimator.outlook(step_run, now)
            if step_run.all_done:
                return outlook.duration, 0.0, 0.0
            return outlook.duration, *outlook.left_at(now)
        seconds = self.estimator.estimate(step_run)
        unfinished = step_run.step.count - step_run.done_count
        share = 0.0
        if unfinished:
            share = 1.0 if step_run.any_waiting() else RUNNING_REMAINDER
        return seconds, unfinished * seconds, seconds * share

    def _available_cores(self) -> tuple[float, dict[int, float]]:
        """Return the cores available to short tasks, and those in use by priority.

        One pass counts all priorities, since a large fleet runs 20,000 tasks.
        """
        available = 0.0
        in_use: dict[int, float] = {}
        for worker in self.workers:
            available += USABLE_CORES_SHARE * max(worker.idle_cpus, 0.0)
            for task in worker.tasks.values():
                if not task.step.continuous:
                    priority = task.job.job.priority
                    in_use[priority] = in_use.get(priority, 0.0) + task.step.need.cpus
        return available, in_use


def occurrence_name(step_run: progress.StepRun) -> str:
    """Return the name of the job's occurrence to which a step belongs."""
    return f"{step_run.job.job.job_id}.{step_run.occurrence}"
