"""Attribution of worker crashes to tasks.

A crashed worker reports nothing about the tasks that ran there, and a faulty task may
crash every worker that starts it. Without a limit such a task is restarted forever, and
each crash ends everything that runs beside it. So when the incarnation of a worker
ends, a crash is counted against the tasks that were started there last or, if there are
none, against all that had started recently. A suspect is then started in isolation: on
a worker where nothing else has just started, and where nothing else starts for a
moment. If that worker crashes, and no others crash with it as in a rack or data centre
failure, the task is certainly the cause. A task is given up after two certain crashes,
or four in total::

    suspects = CrashTracker(workers).record_incarnation_end(worker, crashed=True)
    tasks = [suspect.task for suspect in suspects]
    given_up = [task for task in tasks if exceeds_crash_limit(task)]

An unreachable worker may be partitioned and still run its tasks. Crashes are counted
only once its incarnation has ended.
"""

import collections
import dataclasses

from mangosail.scheduler import fleet, messages, progress

#: Certain crashes after which a task is given up, and crashes in total.
MAX_CERTAIN_CRASHES = 2
MAX_CRASHES = 4
#: Seconds after which a run counts as stable: it does not crash its worker.
STABLE_RUN_S = 5.0
#: Workers failed together if their last contacts are at most this many seconds apart,
#: and there are at least this many of them. A poll may wait for 1.2 s.
CORRELATION_WINDOW_S = 1.5
MIN_CORRELATED_WORKERS = 3
#: Uptime of a worker in milliseconds below which an earlier leader may have started
#: runs on its previous incarnation: a takeover and a worker's restart each take
#: seconds.
RECENT_RESTART_MS = 15_000.0
#: Maximum number of crashes that are remembered.
MAX_REMEMBERED_CRASHES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A task that may have crashed a worker, or a copy; the task is blamed for both."""

    task: progress.Task
    #: True if its start was among the last sent to the worker.
    started_recently: bool
    #: True if the worker had answered the start or listed the run.
    start_confirmed: bool


class CrashTracker:
    """Counts crashes against tasks when the incarnation of their worker ends."""

    def __init__(self, workers: fleet.Fleet) -> None:
        self.workers = workers
        #: Times of the last contact with the workers that crashed most recently.
        self.crash_times: collections.deque[float] = collections.deque(
            maxlen=MAX_REMEMBERED_CRASHES
        )
        #: Suspects of workers that have crashed or are only partitioned.
        self.pending_suspects: dict[fleet.Worker, tuple[Suspect, ...]] = {}

    def record_unreachable(self, worker: fleet.Worker) -> None:
        """Remember the suspects on a worker that has become unreachable."""
        self.pending_suspects[worker] = (
            *self.pending_suspects.get(worker, ()),
            *find_suspects(worker),
        )

    def record_reachable(self, worker: fleet.Worker) -> None:
        """Drop the suspects of a worker that has proved to be alive."""
        self.pending_suspects.pop(worker, None)

    def record_incarnation_end(
        self, worker: fleet.Worker, crashed: bool
    ) -> tuple[Suspect, ...]:
        """Count the end of a worker's incarnation against its tasks, and return these.

        `crashed` tells that another incarnation has followed; otherwise the worker may
        also have left.
        """
        suspects = (*self.pending_suspects.pop(worker, ()), *find_suspects(worker))
        if worker.entry.draining:
            return ()
        recent = tuple(suspect for suspect in suspects if suspect.started_recently)
        if crashed:
            if (
                len(recent) == 1
                and recent[0].start_confirmed
                and not self._is_correlated(worker)
            ):
                recent[0].task.original.certain_crashes += 1
            self.crash_times.append(worker.last_contact_at)
        for suspect in recent or suspects:
            task = suspect.task.original
            task.crashes += 1
            task.suspect |= suspect.started_recently
        return recent or suspects

    def record_missing_run(
        self, worker: fleet.Worker, task: progress.Task
    ) -> tuple[Suspect, ...]:
        """Count a run of an earlier leader that its worker does not list.

        The record names the worker, not its incarnation. If the current one has only
        just begun, the run may have crashed the previous one, under a leader that never
        learned of it.
        """
        if worker.clock > RECENT_RESTART_MS:
            return ()
        task.original.crashes += 1
        task.original.suspect = True
        return (Suspect(task, started_recently=True, start_confirmed=False),)

    def _is_correlated(self, worker: fleet.Worker) -> bool:
        """Return whether other workers became unreachable at about the same time."""
        unreachable = [
            other.last_contact_at
            for other in self.workers
            if other is not worker and other.contacted and not other.reachable
        ]
        nearby = [
            contact_at
            for contact_at in (*unreachable, *self.crash_times)
            if abs(contact_at - worker.last_contact_at) <= CORRELATION_WINDOW_S
        ]
        return len(nearby) + 1 >= MIN_CORRELATED_WORKERS


def find_suspects(worker: fleet.Worker) -> tuple[Suspect, ...]:
    """Return the tasks that may just have started on a worker."""
    return tuple(
        Suspect(task, is_recent_start(worker, task), task.start_confirmed)
        for task in worker.tasks.values()
        if may_have_started(task)
        and not task.from_assignment
        and not was_stable(worker, task)
    )


def may_have_started(task: progress.Task) -> bool:
    """Return whether the task's current run may exist or have existed."""
    return task.phase is not progress.Phase.STARTING or task.start_sent_at is not None


def was_stable(worker: fleet.Worker, task: progress.Task) -> bool:
    """Return whether a run was stable at the last contact with its worker."""
    return task.start_confirmed and is_stable(task, worker.last_contact_at)


def is_recent_start(worker: fleet.Worker, task: progress.Task) -> bool:
    """Return whether a run's start was among the last sent to the worker.

    A start that an earlier leader sent, and that was never listed, may have been.
    """
    if task.start_sent_at is None:
        return not task.start_confirmed
    return worker.last_contact_at - task.start_sent_at <= fleet.ISOLATED_START_S


def is_stable(task: progress.Task, now: float) -> bool:
    """Return whether a listed run has lasted long enough to clear its task."""
    return now - task.started_at >= STABLE_RUN_S


def ended_by_itself(outcome: messages.Outcome) -> bool:
    """Return whether a run with this outcome ended by itself."""
    return outcome in (messages.Outcome.DONE, messages.Outcome.FAILED)


def reset_crash_counts(task: progress.Task) -> None:
    """Reset the crash counts of a task; a run of a copy clears it too."""
    task = task.original
    task.crashes = task.certain_crashes = 0
    task.suspect = False


def exceeds_crash_limit(task: progress.Task) -> bool:
    """Return whether a task is to be given up."""
    return task.certain_crashes >= MAX_CERTAIN_CRASHES or task.crashes >= MAX_CRASHES
