"""Holding the tails of serving tasks: what fills beside them is slowed down."""

import dataclasses

from mangosail.scheduler import fleet, messages, progress

#: Share of its target above which a tail counts as too high, and below which the
#: tasks beside it may speed up again.
HIGH = 0.9
LOW = 0.6
#: Percent of their speed that tasks which fill are left at first and at last.
FIRST_CUT = 30
#: Percent by which they speed up again at each look with low tails.
STEP_UP = 35


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """The speed in percent that a task is to have from now on."""

    task: progress.Task
    percent: int


def paces(worker: fleet.Worker, running: tuple[messages.Running, ...]) -> list[Pace]:
    """Return the changes of speed that the tails on a worker ask for."""
    level = worst_level(worker, running)
    if level is None:
        return []
    wanted = []
    for task in worker.tasks.values():
        if not task.step.fills or task.phase is not progress.Phase.RUNNING:
            continue
        percent = next_pace(task.pace, level)
        if percent != task.pace:
            wanted.append(Pace(task, percent))
    return wanted


def worst_level(
    worker: fleet.Worker, running: tuple[messages.Running, ...]
) -> float | None:
    """Return the highest tail as a share of its target; None if none serves."""
    worst = None
    for row in running:
        task = worker.tasks.get(row.task)
        if task is None or not task.step.tail_target or task.step.fills:
            continue
        level = row.figure / task.step.tail_target
        worst = level if worst is None else max(worst, level)
    return worst


def next_pace(present: int, level: float) -> int:
    """Return the speed that follows `present` at a tail of `level`.

    >>> next_pace(100, 1.2), next_pace(30, 1.2), next_pace(0, 0.3)
    (30, 0, 35)
    """
    if level >= HIGH:
        return FIRST_CUT if present > FIRST_CUT else 0
    if level <= LOW:
        return min(present + STEP_UP, 100)
    return present
