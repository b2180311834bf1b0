"""Which task crashed a worker, told from those that ran beside it.

A worker that crashes lists nothing of what ran there, and one task may crash each
worker that starts it. Without a count such a task is started for ever, and each time
ends all that runs beside it. So the end of a worker's life counts against the tasks
whose starts were among the last there, or, if there are none, against all that had
begun lately. Such a task goes on alone: where nothing else has just begun, and nothing
else begins for a moment. If its worker crashes then, and no others with it, as racks
and data centres do, that clearly was its doing. A task is given up after two clear
crashes, or four in all::

    suspects = Judge(workers).over(worker, crashed=True)
    given_up = [suspect.task for suspect in suspects if guilty(suspect.task)]

A worker that is silent may be cut off and run on. That counts once its life is over.
"""

import collections
import dataclasses

from mangosail.scheduler import fleet, messages, progress

#: Clear crashes after which a task is given up, and crashes in all.
MOST_CLEAR = 2
MOST_CRASHES = 4
#: Seconds after which a run has shown that it does not crash its worker.
PROOF_TERM = 5.0
#: Workers that were last heard within so many seconds of each other, and how many of
#: them, fell silent together. A look may wait for 1.2 s.
TOGETHER_TERM = 1.5
TOGETHER = 3
#: Milliseconds of a worker's life within which an earlier life may be the one in which
#: an earlier leader's runs began: a takeover, and a worker's absence, take seconds.
YOUNG_LIFE = 15_000.0
#: Lost workers that are remembered.
MOST_LOSSES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A task that may have crashed a worker."""

    task: progress.Task
    #: True if its start was among the last that the worker was sent.
    late: bool
    #: True if the worker had answered the start, or listed the run.
    began: bool


class Judge:
    """Judges the tasks of workers whose lives are over."""

    def __init__(self, workers: fleet.Fleet) -> None:
        self.workers = workers
        #: When the latest workers that crashed were last heard.
        self.losses: collections.deque[float] = collections.deque(maxlen=MOST_LOSSES)
        #: Suspects of workers that have crashed or are only cut off.
        self.open: dict[fleet.Worker, tuple[Suspect, ...]] = {}

    def silent(self, worker: fleet.Worker) -> None:
        """Remember what may have crashed a worker, or runs on behind a cut."""
        self.open[worker] = (*self.open.get(worker, ()), *suspects_on(worker))

    def heard(self, worker: fleet.Worker) -> None:
        """Take note that a worker lives, and nothing there has crashed it."""
        self.open.pop(worker, None)

    def over(self, worker: fleet.Worker, crashed: bool) -> tuple[Suspect, ...]:
        """Count the end of a worker's life against its tasks, and return them.

        `crashed` tells that another life has followed; else it may also have left.
        """
        suspects = (*self.open.pop(worker, ()), *suspects_on(worker))
        if worker.entry.draining:
            return ()
        late = tuple(suspect for suspect in suspects if suspect.late)
        if crashed:
            if len(late) == 1 and late[0].began and not self._together(worker):
                late[0].task.clear_crashes += 1
            self.losses.append(worker.heard_at)
        for suspect in late or suspects:
            suspect.task.crashes += 1
            suspect.task.suspect |= suspect.late
        return late or suspects

    def missing(self, worker: fleet.Worker, task: progress.Task) -> tuple[Suspect, ...]:
        """Count a run of an earlier leader that its worker does not list.

        The record names the worker, not its life. If that has only begun, the run may
        have crashed the one before, under a leader that never learned of it.
        """
        if worker.clock > YOUNG_LIFE:
            return ()
        task.crashes += 1
        task.suspect = True
        return (Suspect(task, late=True, began=False),)

    def _together(self, worker: fleet.Worker) -> bool:
        """Tell whether other workers fell silent at about the same time."""
        silent = [
            other.heard_at
            for other in self.workers
            if other is not worker and other.known and not other.reachable
        ]
        near = [
            heard_at
            for heard_at in (*silent, *self.losses)
            if abs(heard_at - worker.heard_at) <= TOGETHER_TERM
        ]
        return len(near) + 1 >= TOGETHER


def suspects_on(worker: fleet.Worker) -> tuple[Suspect, ...]:
    """Return the tasks that may just have begun on a worker."""
    return tuple(
        Suspect(task, is_late(worker, task), task.began)
        for task in worker.tasks.values()
        if may_have_begun(task) and not has_proved(worker, task)
    )


def may_have_begun(task: progress.Task) -> bool:
    """Tell whether the task's present run may exist or have existed."""
    return task.phase is not progress.Phase.STARTING or task.ordered_at is not None


def has_proved(worker: fleet.Worker, task: progress.Task) -> bool:
    """Tell whether a run had gone on for long when its worker was last heard."""
    return task.began and proves(task, worker.heard_at)


def is_late(worker: fleet.Worker, task: progress.Task) -> bool:
    """Tell whether a run's start was among the last that the worker was sent.

    One that an earlier leader sent, and that was never listed, may have been.
    """
    if task.ordered_at is None:
        return not task.began
    return worker.heard_at - task.ordered_at <= fleet.ALONE_TERM


def proves(task: progress.Task, now: float) -> bool:
    """Tell whether a run that is listed has gone on long enough to clear its task."""
    return now - task.started_at >= PROOF_TERM


def clears(outcome: messages.Outcome) -> bool:
    """Tell whether a run that ended so had come to an end of its own."""
    return outcome in (messages.Outcome.DONE, messages.Outcome.FAILED)


def clear(task: progress.Task) -> None:
    """Forget what counted against a task."""
    task.crashes = task.clear_crashes = 0
    task.suspect = False


def guilty(task: progress.Task) -> bool:
    """Tell whether a task is to be given up."""
    return task.clear_crashes >= MOST_CLEAR or task.crashes >= MOST_CRASHES
