"""Making room for short tasks that find none, at the cost of continuous work.

Continuous tasks take all room there is, for minutes. A short task of no lower
priority would then wait for one of them to be cancelled. Stopping one costs its
users a few seconds of service; the short task ends within about as long.
"""

import dataclasses

from mangosail import resources
from mangosail.scheduler import fleet, placing, progress

#: Seconds that a short task waits for room until others are stopped for it: longer
#: than most tasks beside it have left to run.
MIN_WAIT_S = 0.15
#: Seconds for which a task that was stopped stays away; short tasks come in
#: bursts, and it would be stopped again.
PREEMPTED_BACKOFF_S = 2.0
#: Victims stopped for one step at a time; others follow with the next placing.
MAX_VICTIMS = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """A task to stop, and where it runs."""

    task: progress.Task
    worker: fleet.Worker


def find_victims(
    step_run: progress.StepRun,
    missing: int,
    service: str,
    workers: fleet.Fleet,
    now: float,
) -> list[Victim]:
    """Return tasks whose stop makes room for `missing` tasks of the step."""
    step = step_run.step
    if step.continuous or step.best_effort or step.gang:
        return []
    found: list[Victim] = []
    candidates = [
        worker for worker in workers if placing.is_eligible(step, worker, service, now)
    ]
    candidates.sort(key=lambda worker: worker.free.cpus, reverse=True)
    for worker in candidates:
        free = worker.free + resources_being_freed(worker)
        while missing > 0 and len(found) < MAX_VICTIMS:
            if step.need.fits_in(free):
                free -= step.need
                missing -= 1
                continue
            victim = smallest_victim(step_run, worker, free, found)
            if victim is None:
                break
            found.append(Victim(victim, worker))
            free += fleet.reserved_resources(victim.step)
    return found


def resources_being_freed(worker: fleet.Worker) -> resources.Resources:
    """Return the room that tasks which are being stopped will leave."""
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
) -> progress.Task | None:
    """Return the smallest task whose stop lets one of the step's fit, or None."""
    taken = {victim.task.name for victim in chosen}
    able = [
        task
        for task in worker.tasks.values()
        if task.phase is progress.Phase.RUNNING
        and task.name not in taken
        and is_preemptible(task, step_run)
        and step_run.step.need.fits_in(free + fleet.reserved_resources(task.step))
    ]
    return min(able, key=lambda task: task.step.need.cpus, default=None)


def is_preemptible(task: progress.Task, step_run: progress.StepRun) -> bool:
    """Tell whether a task may be stopped for the sake of a step."""
    step = task.step
    priority = step_run.job.job.priority
    if step.may_miss or step.gang:
        # How many of them may be away is for the operator to say.
        return False
    if step.continuous:
        return task.job.job.priority >= priority
    return task.job.job.priority > priority and step.checkpointing
