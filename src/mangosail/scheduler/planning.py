"""Which jobs are to go first now, from how far each has come and how long it takes.

`Planner` gathers what `ordering` decides on: for each job of short tasks the work that
is left, the time it takes at least, and when it should end. It keeps the order for a
moment, since rounds of placing follow each other within milliseconds.
"""

import collections.abc as cabc

from mangosail.scheduler import estimates, fleet, messages, ordering, progress

#: Seconds for which a plan is used. With 100 jobs one takes 6 ms on a busy machine, and
#: more on an instance of half a core; jobs take seconds.
PLAN_INTERVAL_S = 0.2
#: Seconds for which it is used at least, though a job has come meanwhile. That one goes
#: last until then.
MIN_PLAN_INTERVAL_S = 0.05
#: Share of the unused cores that counts as room: tail latencies keep best-effort work
#: from the rest.
USABLE_CORES_SHARE = 0.5
#: Share of a step's time that is left on average once none of its tasks waits.
RUNNING_REMAINDER = 0.5
#: Seconds without a new job after which those that were left out are no longer kept
#: waiting for others that may yet come.
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
        #: Elapsed time from which the plans are made anew, and from which they are if a
        #: job has come meanwhile.
        self.replan_at = 0.0
        self.early_replan_at = 0.0
        #: True if a job has come since the last plan.
        self.has_unplanned_job = False
        #: Names of the jobs as last seen, and elapsed time of the latest new one.
        self.known_jobs: frozenset[str] = frozenset()
        self.last_new_job_at = 0.0

    def refresh(
        self, ready: cabc.Collection[progress.StepRun], now: float, wall: float
    ) -> None:
        """Make the plans anew if they have become old.

        While there is room for all no order is needed, and none is worked out.
        """
        came = self._record_new_jobs(ready, now)
        if now < (self.early_replan_at if came else self.replan_at):
            return
        self.replan_at = now + PLAN_INTERVAL_S
        self.early_replan_at = now + MIN_PLAN_INTERVAL_S
        self.has_unplanned_job = False
        if all(step_run.blocked_since is None for step_run in ready):
            self.plans = {}
            return
        room, taken = self._available_cores()
        plans: dict[int, ordering.Plan] = {}
        for priority, works in self._remaining_by_priority(ready).items():
            # What is less urgent gives way.
            cores = room + sum(c for other, c in taken.items() if other >= priority)
            plans[priority] = ordering.plan(works.values(), cores, wall)
        self.plans = plans

    def _record_new_jobs(
        self, ready: cabc.Iterable[progress.StepRun], now: float
    ) -> bool:
        """Tell whether a job has come since the last plan."""
        names = frozenset(step_run.job.job.job_id for step_run in ready)
        if names - self.known_jobs:
            self.last_new_job_at = now
            self.has_unplanned_job = True
        self.known_jobs = names
        return self.has_unplanned_job

    def _remaining_by_priority(
        self, ready: cabc.Iterable[progress.StepRun]
    ) -> dict[int, dict[str, ordering.RemainingWork]]:
        """Return what each job of short tasks still needs, by priority and name."""
        works: dict[int, dict[str, ordering.RemainingWork]] = {}
        for step_run in ready:
            if step_run.step.continuous:
                continue
            of_priority = works.setdefault(step_run.job.job.priority, {})
            name = occurrence_name(step_run)
            if name not in of_priority:
                of_priority[name] = self._remaining_work(step_run)
        return works

    def sort_key(self, step_run: progress.StepRun) -> tuple[int, bool, float, int]:
        """Return where a step stands in the order of placing: smaller first."""
        job = step_run.job.job
        if step_run.step.continuous:
            # Continuous work takes all room that it finds; what is short goes before
            # it.
            return job.priority, True, job.due(step_run.occurrence), step_run.number
        plan = self.plans.get(job.priority)
        rank = plan.rank(occurrence_name(step_run)) if plan else 0
        return job.priority, False, rank, step_run.number

    def is_deferred(self, step_run: progress.StepRun, now: float) -> bool:
        """Tell whether a step waits so that others can end in time."""
        plan = self.plans.get(step_run.job.job.priority)
        if (
            plan is None
            or step_run.step.continuous
            or now > self.last_new_job_at + QUIET_PERIOD_S
        ):
            return False
        return 0 < plan.in_time <= plan.rank(occurrence_name(step_run))

    def _remaining_work(self, step_run: progress.StepRun) -> ordering.RemainingWork:
        """Return what one occurrence of a job still needs."""
        job, occurrence = step_run.job, step_run.occurrence
        left = 0.0
        whole: list[float] = []
        rest: list[float] = []
        for number, step in enumerate(job.job.steps):
            each = job.steps[occurrence, number]
            seconds = self.estimator.estimate(each)
            unfinished = step.count - each.done_count
            left += unfinished * seconds * step.need.cpus
            share = 0.0
            if unfinished:
                share = 1.0 if each.any_waiting() else RUNNING_REMAINDER
            before = step.after
            whole.append(seconds + max((whole[i] for i in before), default=0.0))
            rest.append(seconds * share + max((rest[i] for i in before), default=0.0))
        queue = self.queue_of(job.job.queue)
        stretch, target = (queue.stretch, queue.target) if queue else (1.0, 0.0)
        due = job.job.due(occurrence) + stretch * max(whole) + target
        return ordering.RemainingWork(occurrence_name(step_run), due, left, max(rest))

    def _available_cores(self) -> tuple[float, dict[int, float]]:
        """Return the cores that short tasks could have, and those they have.

        The latter are told by priority. It is one pass for all of them: a large fleet
        runs 20,000 tasks.
        """
        room = 0.0
        taken: dict[int, float] = {}
        for worker in self.workers:
            room += USABLE_CORES_SHARE * max(worker.idle_cpus, 0.0)
            for task in worker.tasks.values():
                if not task.step.continuous:
                    priority = task.job.job.priority
                    taken[priority] = taken.get(priority, 0.0) + task.step.need.cpus
        return room, taken


def occurrence_name(step_run: progress.StepRun) -> str:
    """Return the name of a step's job in one occurrence."""
    return f"{step_run.job.job.job_id}.{step_run.occurrence}"
