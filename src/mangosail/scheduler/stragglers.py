"""Tasks that stand still, which go on elsewhere.

A worker can let its tasks stand still while it answers every call. What tells is the
progress that it lists. A single task may only be waiting for processor time; when
nothing on a worker moves, the worker is at fault.
"""

import dataclasses

from mangosail.scheduler import fleet, progress, throttling

#: Seconds without any progress after which a task counts as stalled. Half-second
#: figures and looks are over by then.
STALL_TIMEOUT_S = 1.3
#: Percents of an estimate that a task may take for one percent of progress.
STALL_ESTIMATE_SHARE = 0.05
#: Seconds that a task must have run until its speed is judged.
MIN_AGE_S = 0.5
#: Seconds for which nothing is placed on a worker that tasks were moved from.
QUARANTINE_S = 2.5
#: Moves of one task at most; then it stays wherever it is.
MAX_MOVES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Straggler:
    """A task to be moved, and its worker."""

    task: progress.Task
    worker: fleet.Worker


def find_stragglers(worker: fleet.Worker, now: float) -> list[Straggler]:
    """Return the tasks on a worker that should go on elsewhere."""
    judged = [task for task in worker.tasks.values() if is_movable(task, now)]
    stalled = [task for task in judged if is_stalled(task, now)]
    if len(stalled) < len(judged):
        return []
    return [Straggler(task, worker) for task in stalled]


def is_movable(task: progress.Task, now: float) -> bool:
    """Tell whether the speed of a task can be judged, and the task be moved."""
    step = task.step
    return (
        task.phase is progress.Phase.RUNNING
        and not step.continuous
        and not step.gang
        and task.speed_limit == throttling.FULL_SPEED
        and task.relocations < MAX_MOVES
        and now - max(task.started_at, task.throttled_at) >= MIN_AGE_S
    )


def is_stalled(task: progress.Task, now: float) -> bool:
    """Tell whether a task has not moved for long."""
    term = max(STALL_TIMEOUT_S, task.step.estimate * STALL_ESTIMATE_SHARE)
    since = max(task.progressed_at, task.throttled_at)
    return now - since >= term
