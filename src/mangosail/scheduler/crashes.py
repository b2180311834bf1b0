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
MAX_CERTAIN_CRASHES = 2
MAX_CRASHES = 4
#: Seconds after which a run has shown that it does not crash its worker.
STABLE_RUN_S = 5.0
#: Workers that were last heard within so many seconds of each other, and how many of
#: them, fell silent together. A look may wait for 1.2 s.
CORRELATION_WINDOW_S = 1.5
MIN_CORRELATED_WORKERS = 3
#: Milliseconds of a worker's life within which an earlier life may be the one in which
#: an earlier leader's runs began: a takeover, and a worker's absence, take seconds.
RECENT_RESTART_MS = 15_000.0
#: Lost workers that are remembered.
MAX_REMEMBERED_CRASHES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A task that may have crashed a worker."""

    task: progress.Task
    #: True if its start was among the last that the worker was sent.
    started_recently: bool
    #: True if the worker had answered the start, or listed the run.
    start_confirmed: bool


class CrashTracker:
    """Judges the tasks of workers whose lives are over."""

    def __init__(self, workers: fleet.Fleet) -> None:
        self.workers = workers
        #: When the latest workers that crashed were last heard.
        self.crash_times: collections.deque[float] = collections.deque(
            maxlen=MAX_REMEMBERED_CRASHES
        )
        #: Suspects of workers that have crashed or are only cut off.
        self.pending_suspects: dict[fleet.Worker, tuple[Suspect, ...]] = {}

    def record_unreachable(self, worker: fleet.Worker) -> None:
        """Remember what may have crashed a worker, or runs on behind a cut."""
        self.pending_suspects[worker] = (
            *self.pending_suspects.get(worker, ()),
            *find_suspects(worker),
        )

    def record_reachable(self, worker: fleet.Worker) -> None:
        """Take note that a worker lives, and nothing there has crashed it."""
        self.pending_suspects.pop(worker, None)

    def record_incarnation_end(
        self, worker: fleet.Worker, crashed: bool
    ) -> tuple[Suspect, ...]:
        """Count the end of a worker's life against its tasks, and return them.

        `crashed` tells that another life has followed; else it may also have left.
        """
        suspects = (*self.pending_suspects.pop(worker, ()), *find_suspects(worker))
        if worker.entry.draining:
            return ()
        late = tuple(suspect for suspect in suspects if suspect.started_recently)
        if crashed:
            if (
                len(late) == 1
                and late[0].start_confirmed
                and not self._is_correlated(worker)
            ):
                late[0].task.certain_crashes += 1
            self.crash_times.append(worker.last_contact_at)
        for suspect in late or suspects:
            suspect.task.crashes += 1
            suspect.task.suspect |= suspect.started_recently
        return late or suspects

    def record_missing_run(
        self, worker: fleet.Worker, task: progress.Task
    ) -> tuple[Suspect, ...]:
        """Count a run of an earlier leader that its worker does not list.

        The record names the worker, not its life. If that has only begun, the run may
        have crashed the one before, under a leader that never learned of it.
        """
        if worker.clock > RECENT_RESTART_MS:
            return ()
        task.crashes += 1
        task.suspect = True
        return (Suspect(task, started_recently=True, start_confirmed=False),)

    def _is_correlated(self, worker: fleet.Worker) -> bool:
        """Tell whether other workers fell silent at about the same time."""
        silent = [
            other.last_contact_at
            for other in self.workers
            if other is not worker and other.contacted and not other.reachable
        ]
        near = [
            heard_at
            for heard_at in (*silent, *self.crash_times)
            if abs(heard_at - worker.last_contact_at) <= CORRELATION_WINDOW_S
        ]
        return len(near) + 1 >= MIN_CORRELATED_WORKERS


def find_suspects(worker: fleet.Worker) -> tuple[Suspect, ...]:
    """Return the tasks that may just have begun on a worker."""
    return tuple(
        Suspect(task, is_recent_start(worker, task), task.start_confirmed)
        for task in worker.tasks.values()
        if may_have_started(task) and not was_stable(worker, task)
    )


def may_have_started(task: progress.Task) -> bool:
    """Tell whether the task's present run may exist or have existed."""
    return task.phase is not progress.Phase.STARTING or task.start_sent_at is not None


def was_stable(worker: fleet.Worker, task: progress.Task) -> bool:
    """Tell whether a run had gone on for long when its worker was last heard."""
    return task.start_confirmed and is_stable(task, worker.last_contact_at)


def is_recent_start(worker: fleet.Worker, task: progress.Task) -> bool:
    """Tell whether a run's start was among the last that the worker was sent.

    One that an earlier leader sent, and that was never listed, may have been.
    """
    if task.start_sent_at is None:
        return not task.start_confirmed
    return worker.last_contact_at - task.start_sent_at <= fleet.ISOLATED_START_S


def is_stable(task: progress.Task, now: float) -> bool:
    """Tell whether a run that is listed has gone on long enough to clear its task."""
    return now - task.started_at >= STABLE_RUN_S


def ended_by_itself(outcome: messages.Outcome) -> bool:
    """Tell whether a run that ended so had come to an end of its own."""
    return outcome in (messages.Outcome.DONE, messages.Outcome.FAILED)


def reset_crash_counts(task: progress.Task) -> None:
    """Forget what counted against a task."""
    task.crashes = task.certain_crashes = 0
    task.suspect = False


def exceeds_crash_limit(task: progress.Task) -> bool:
    """Tell whether a task is to be given up."""
    return task.certain_crashes >= MAX_CERTAIN_CRASHES or task.crashes >= MAX_CRASHES
