"""Placement of one step: its tasks get workers, or wait for room.

A round calls this for each step that is ready. Runs are recorded, and their starts
sent once the record is durable; a step that has waited long for room preempts others::

    tasks = step_placer.start_assigned_tasks(step_run, now)
    placed = step_placer.place(step_run, tasks, unplaced, now)
"""

import dataclasses

from mangosail import clock as clocks
from mangosail.scheduler import (
    advice,
    assigned_starts,
    assignment_updates,
    fleet,
    orders,
    placing,
    planning,
    preemption,
    progress,
    record_space,
    routing,
    start_sending,
)

#: Seconds after which one task of a job with nothing running is placed even if it may
#: disturb others; such a job may not wait for 3 s.
STARVATION_S = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class UnplacedStep:
    """A step for some of whose tasks a round has found no room, and its service."""

    service: str
    step_run: progress.StepRun


class StepPlacer:
    """Places the tasks of a step, as far as there is room."""

    def __init__(
        self,
        workers: fleet.Fleet,
        placer: placing.Placer,
        planner: planning.Planner,
        router: routing.Router,
        ticket_cache: advice.TicketCache,
        assignment_updater: assignment_updates.AssignmentUpdater,
        starts_ahead: assigned_starts.AssignedStarts,
        sender: start_sending.StartSender,
        worker_orders: orders.Orders,
        clock: clocks.Clock,
    ) -> None:
        self.workers = workers
        self.placer = placer
        self.planner = planner
        self.router = router
        self.ticket_cache = ticket_cache
        self.assignment_updater = assignment_updater
        self.assigned_starts = starts_ahead
        self.sender = sender
        self.orders = worker_orders
        self.clock = clock

    def place(
        self,
        step_run: progress.StepRun,
        tasks: list[progress.Task],
        unplaced: list[UnplacedStep],
        now: float,
    ) -> bool:
        """Place tasks of a step, and return whether any was placed."""
        if not self.has_advice(step_run, now):
            return False
        service = self.router.service_of(step_run.job.job)
        if self.is_overdue(step_run, now):
            placements = self.placer.place_one(step_run, tasks, service, now)
        elif any(cannot_fit(step_run, service, failed) for failed in unplaced):
            self._preempt_for(step_run, len(tasks), service, now)
            return False
        else:
            placements = self.placer.place(step_run, tasks, service, now)
        missing = len(tasks) - len(placements)
        if missing:
            self._preempt_for(step_run, missing, service, now)
            unplaced.append(UnplacedStep(service, step_run))
        else:
            step_run.end_block()
        placements = keep_recordable(step_run, placements)
        if placements:
            self._start_runs(step_run, placements)
        return bool(placements)

    def is_overdue(self, step_run: progress.StepRun, now: float) -> bool:
        """Return whether a job with nothing running must not wait any longer."""
        return is_starving(step_run, now) and not self.planner.is_deferred(
            step_run, now
        )

    def has_advice(self, step_run: progress.StepRun, now: float) -> bool:
        """Return whether a step may be placed, with advice if its queue needs any."""
        if not self.router.needs_advice(step_run.job):
            step_run.allowed_workers = None
            return True
        service = self.router.service_of(step_run.job.job)
        tickets = self.ticket_cache.usable_tickets(step_run, service, now)
        step_run.allowed_workers = frozenset(tickets)
        return bool(tickets)

    def start_assigned_tasks(
        self, step_run: progress.StepRun, now: float
    ) -> list[progress.Task]:
        """Start tasks on their assigned workers if the store is late.

        Returns the tasks of the step that are to be placed in the ordinary way.
        """
        tasks = startable_tasks(step_run, now)
        if not tasks or not self.assigned_starts.active():
            return tasks
        if self.router.needs_advice(step_run.job):
            # The queue may have needed none when the tasks were assigned.
            return tasks
        service = self.router.service_of(step_run.job.job)
        others = self.assigned_starts.start(step_run, tasks, service)
        if not any(task.phase is progress.Phase.WAITING for task in tasks):
            step_run.end_block()
        return others

    def mark_blocked(self, step_run: progress.StepRun, now: float) -> None:
        """Record that a step waits for room, without a search for any."""
        blocked_since(step_run, now)
        self.assignment_updater.update_if_blocked(step_run, now)

    def _start_runs(
        self, step_run: progress.StepRun, placements: list[placing.Placement]
    ) -> None:
        """Record new runs of the tasks, and then send their starts."""
        start_sending.begin_runs(step_run, placements)
        self.assignment_updater.update(step_run.job, self.clock.elapsed())
        self.sender.record_and_send(step_run.job, placements)

    def _preempt_for(
        self, step_run: progress.StepRun, missing: int, service: str, now: float
    ) -> None:
        """Preempt other tasks for a step that has waited long enough."""
        self.assignment_updater.update_if_blocked(step_run, now)
        if now < blocked_since(step_run, now) + preemption.MIN_WAIT_S:
            return
        victims = preemption.find_victims(
            step_run,
            missing,
            service,
            self.workers,
            now,
            by_lost_work=self.planner.estimator.uses_progress,
        )
        for victim in victims:
            victim.task.not_before = now + preemption.PREEMPTED_BACKOFF_S
            self.orders.stop(victim.task, victim.worker, "preempted")


def startable_tasks(step_run: progress.StepRun, now: float) -> list[progress.Task]:
    """Return the waiting tasks of a step that may start now."""
    if step_run.job.ended or step_run.job.cancelled:
        # It has ended since the round began.
        return []
    tasks = [task for task in step_run.waiting() if task.not_before <= now]
    return record_space.select_recordable(step_run, tasks)


def blocked_since(step_run: progress.StepRun, now: float) -> float:
    """Return since when a step has waited for room; record `now` if it has not."""
    if step_run.blocked_since is None:
        step_run.blocked_since = now
    return step_run.blocked_since


def is_starving(step_run: progress.StepRun, now: float) -> bool:
    """Return whether a job has waited long with nothing running.

    Runs that are known only from assignments may never have begun.
    """
    since = step_run.blocked_since
    if since is None or now < since + STARVATION_S:
        return False
    return not any(
        task.live and not task.from_assignment for task in step_run.job.tasks()
    )


def keep_recordable(
    step_run: progress.StepRun, placements: list[placing.Placement]
) -> list[placing.Placement]:
    """Return the placements that fit into the job's record, and undo the others."""
    pairs = [(placement.task, placement.worker.name) for placement in placements]
    count = record_space.count_recordable(step_run.job, pairs)
    if step_run.step.gang and count < len(placements):
        count = 0
    for placement in placements[count:]:
        placement.worker.release(placement.task)
    return placements[:count]


def cannot_fit(step_run: progress.StepRun, service: str, failed: UnplacedStep) -> bool:
    """Return whether a step can't fit since one that is no harder to place did not."""
    other_run = failed.step_run
    step, other = step_run.step, other_run.step
    if service != failed.service or step.best_effort != other.best_effort:
        return False
    if other.gang or other.most_per_worker or other_run.allowed_workers is not None:
        # It may have failed due to a constraint that this step does not have.
        return False
    if step.best_effort and step.image != other.image:
        # Which tail latencies it would raise depends on the image.
        return False
    if other.label and other.label != step.label:
        return False
    return other.need.fits_in(step.need)
