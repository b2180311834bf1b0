"""Detection of stalled tasks, which are moved to other workers.

The tasks on a worker can stall while it answers every call; only the progress that it
lists shows this. A single task may just be waiting for processor time; if no task on a
worker makes progress, the worker is at fault.
"""

import dataclasses

from mangosail.scheduler import fleet, progress

#: Seconds without progress after which a task counts as stalled: longer than the
#: half-second interval of progress figures and a poll.
STALL_TIMEOUT_S = 1.3
#: Share of its estimated duration that a task may take for one percent of progress.
STALL_ESTIMATE_SHARE = 0.05
#: Seconds that a task must have run before its speed is assessed.
MIN_AGE_S = 0.5
#: Seconds for which a worker gets no tasks after tasks were moved off it.
QUARANTINE_S = 2.5
#: Maximum number of moves of a task; then it stays where it is.
MAX_MOVES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Straggler:
    """A task to be moved, and its worker."""

    task: progress.Task
    worker: fleet.Worker


def find_stragglers(worker: fleet.Worker, now: float) -> list[Straggler]:
    """Return the tasks on a worker that should be moved to another one."""
    movable = [task for task in worker.tasks.values() if is_movable(task, now)]
    stalled = [task for task in movable if is_stalled(task, now)]
    if len(stalled) < len(movable):
        return []
    return [Straggler(task, worker) for task in stalled]


def is_movable(task: progress.Task, now: float) -> bool:
    """Return whether the speed of a task can be assessed, and the task be moved."""
    step = task.step
    return (
        task.phase is progress.Phase.RUNNING
        and not step.continuous
        and not step.gang
        and task.copy is None
        and task.speed_limit == progress.FULL_SPEED
        and task.relocations < MAX_MOVES
        and now - max(task.started_at, task.throttled_at) >= MIN_AGE_S
    )


def is_stalled(task: progress.Task, now: float) -> bool:
    """Return whether a task has made no progress for too long."""
    timeout = max(STALL_TIMEOUT_S, task.step.estimate * STALL_ESTIMATE_SHARE)
    since = max(task.progressed_at, task.throttled_at)
    return now - since >= timeout
