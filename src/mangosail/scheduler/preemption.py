"""Preemption of long-running tasks for short tasks that find no room.

Continuous tasks take all room there is, for minutes. A short task of no lower priority
would have to wait until one of them is cancelled. Stopping one costs its users a few
seconds of service; the short task ends within about the same time.
"""

import dataclasses

from mangosail import resources
from mangosail.scheduler import fleet, progress, remaining, scoring

#: Seconds that a short task waits for room before others are preempted: longer than
#: most tasks beside it have left to run.
MIN_WAIT_S = 0.15
#: Seconds before a preempted task is placed again; short tasks come in bursts, and it
#: would be preempted again.
PREEMPTED_BACKOFF_S = 2.0
#: Maximum number of tasks preempted for one step at a time; more may follow in the next
#: round.
MAX_VICTIMS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """A task to preempt, and its worker."""

    task: progress.Task
    worker: fleet.Worker


def find_victims(
    step_run: progress.StepRun,
    missing: int,
    service: str,
    workers: fleet.Fleet,
    now: float,
    by_lost_work: bool = False,
) -> list[Victim]:
    """Return tasks whose preemption makes room for `missing` tasks of the step.

    On each worker they are the smallest that suffice, or with `by_lost_work` those that
    lose the least work.
    """
    step = step_run.step
    if step.continuous or step.best_effort or step.gang:
        return []
    victims: list[Victim] = []
    candidates = [
        worker
        for worker in workers
        if scoring.is_eligible(step, worker, service, now)
        and step_run.allows(worker.name)
    ]
    candidates.sort(key=lambda worker: worker.free.cpus, reverse=True)
    for worker in candidates:
        free = worker.free + resources_being_freed(worker)
        while missing > 0 and len(victims) < MAX_VICTIMS:
            if step.need.fits_in(free):
                free -= step.need
                missing -= 1
                continue
            victim = smallest_victim(
                step_run, worker, free, victims, now if by_lost_work else None
            )
            if victim is None:
                break
            victims.append(Victim(victim, worker))
            free += fleet.reserved_resources(victim.step)
    return victims


def resources_being_freed(worker: fleet.Worker) -> resources.Resources:
    """Return the resources that tasks being stopped will release."""
    total = resources.Resources()
    for task in worker.tasks.values():
        if task.phase is progress.Phase.STOPPING:
            total += fleet.reserved_resources(task.step)
    return total


def smallest_victim(
    step_run: progress.StepRun,
    worker: fleet.Worker,
    free: resources.Resources,
    chosen: list[Victim],
    now: float | None = None,
) -> progress.Task | None:
    """Return the smallest task whose preemption lets one of the step's tasks fit.

    If `now` is given, the one that loses the least work, and among equals the smallest.
    """
    chosen_names = {victim.task.name for victim in chosen}
    candidates = [
        task
        for task in worker.tasks.values()
        if task.phase is progress.Phase.RUNNING
        and task.name not in chosen_names
        and is_preemptible(task, step_run)
        and step_run.step.need.fits_in(free + fleet.reserved_resources(task.step))
    ]
    return min(
        candidates,
        key=lambda task: (
            0.0 if now is None else remaining.lost_core_seconds(task, now),
            task.step.need.cpus,
        ),
        default=None,
    )


def is_preemptible(task: progress.Task, step_run: progress.StepRun) -> bool:
    """Return whether a task may be preempted for a step."""
    step = task.step
    priority = step_run.job.job.priority
    if step.may_miss or step.gang:
        # How many of these may be down at a time is the operator's decision.
        return False
    if step.continuous:
        return task.job.job.priority >= priority
    return task.job.job.priority > priority and step.checkpointing
