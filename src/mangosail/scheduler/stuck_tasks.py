"""Stuck tasks: those whose run is expected to end too late where it is, and why.

The worker does not respond, drains, or makes less progress than others. `copies.py`
starts second runs of such tasks::

    stuck = find_stuck(task, worker, estimate, leaves_at=None, now=now)
    if stuck is not None:
        print(stuck.cause, stuck.remaining)
"""

import dataclasses
import enum

from mangosail.scheduler import fleet, progress, stragglers

#: Seconds without an answer after which a worker counts as unresponsive: a fifth of the
#: time in which callers want a response, and longer than a lost packet takes.
MAX_SILENCE_S = 0.4
#: A run is slow if the rest of it is expected to take this many times as long as a
#: fresh run.
SLOW_RATIO = 1.5
#: Maximum age in seconds of the progress that is known of a run: workers update it each
#: half second, and a poll waits for 0.6 s.
PROGRESS_AGE_S = 1.1


class Cause(enum.StrEnum):
    """Why a task is stuck."""

    UNREACHABLE = "unreachable"
    DRAINING = "draining"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True, slots=True)
class StuckTask:
    """A task whose run is stuck, and why."""

    task: progress.Task
    worker: fleet.Worker
    cause: Cause
    #: Expected seconds until its run ends, and those that a fresh run takes.
    remaining: float
    estimate: float


def expected_remaining(task: progress.Task, estimate: float, now: float) -> float:
    """Return the seconds that a run is expected to take from now on.

    It is assumed to be as fast as others, unless its progress shows that it is slower
    even if as much as possible was made since the last report.
    """
    if task.phase is not progress.Phase.RUNNING:
        return estimate
    percent = min(max(task.progress_percent, 0), 99)
    seen = now - task.started_at - PROGRESS_AGE_S
    slowest = max(seen, 0.0) * (99 - percent) / (percent + 1)
    if stragglers.is_stalled(task, now):
        unchanged = now - task.progressed_at - PROGRESS_AGE_S
        slowest = max(slowest, unchanged * (99 - percent))
    return max(estimate * (100 - percent) / 100, slowest)


def find_stuck(
    task: progress.Task,
    worker: fleet.Worker,
    estimate: float,
    leaves_at: float | None,
    now: float,
) -> StuckTask | None:
    """Return a task with the cause if its run is stuck, else None.

    `leaves_at` is the time until which a draining worker works; None for others.
    """
    remaining = expected_remaining(task, estimate, now)
    silent_since = worker.silent_since
    if silent_since is not None and now - silent_since >= MAX_SILENCE_S:
        cause = Cause.UNREACHABLE
    elif leaves_at is not None and now + remaining > leaves_at:
        cause = Cause.DRAINING
    elif remaining > SLOW_RATIO * estimate:
        cause = Cause.SLOW
    else:
        return None
    return StuckTask(task, worker, cause, remaining, estimate)
