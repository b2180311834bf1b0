"""Durations and remaining work of steps, from the progress of their running tasks.

Run times have heavy tails, and declared durations are off by a factor of two. The
progress of a run tells its duration after half a second, while nothing else is known
until the first tasks of a step have ended. Ended tasks alone also bias the mean of a
step, as the short ones end first.
"""

from mangosail.scheduler import messages, pace, progress

#: Share of the expected duration that a run without measured progress has left at
#: least. For log-normal durations with a spread of a factor of 1.6, the mean time left
#: stays at half the duration from when this has passed.
MIN_REMAINDER = 0.5


def observe(
    task: progress.Task, row: messages.RunningTask, now: float
) -> pace.Fault | None:
    """Record listed progress of a run, unless it is invalid; return the fault."""
    found = task.pace
    if found is None or found.run != row.run:
        found = task.pace = pace.Pace(
            row.run, began_at(task), row.progress_percent, task.throttled_at, now
        )
    fault = found.fault(row.progress_percent)
    if fault is None:
        found.observe(row.progress_percent, task.speed_limit, task.throttled_at, now)
    found.record_checkpoint(row.checkpoint, now)
    return fault


def began_at(task: progress.Task) -> float | None:
    """Return when a run began without progress; None if this is not known.

    It is not if an earlier leader sent the start, or if its answer was lost.
    """
    sent_at = task.start_sent_at
    if not task.from_beginning or task.throttled_at or sent_at is None:
        return None
    known = task.started_at - sent_at <= pace.UPDATE_INTERVAL_S
    return task.started_at if known else None


def outlook(step_run: progress.StepRun, fitted: float, now: float) -> pace.Outlook:
    """Return what the tasks of a step still take, in seconds.

    `fitted` is the expected duration that follows from the declared one. Runs that are
    not measured yet count with the mean of the others, or else with `fitted`, but not
    with less than they have taken.
    """
    total, count = step_run.measured_seconds, step_run.measured_runs
    running = 0
    seconds_left = longest_left = 0.0
    unmeasured: list[progress.Task] = []
    # The parts of `pace.Pace` are inlined: this goes through all running tasks.
    done, waiting = progress.Phase.DONE, progress.Phase.WAITING
    for task in step_run.tasks:
        phase = task.phase
        if phase is done:
            continue
        found = task.pace
        if (
            found is None
            or found.duration is None
            or phase is waiting
            or found.run != task.run
        ):
            unmeasured.append(task)
            continue
        since = now - found.changed_at
        if since > pace.STALE_S:
            duration = found.expected_duration(task.speed_limit, now)
            left = found.seconds_left(duration, task.speed_limit, now)
        else:
            duration = found.duration
            left = found.left - since * task.speed_limit / 100
        total += duration
        count += 1
        running += 1
        if left > 0:
            seconds_left += left
            if left > longest_left:
                longest_left = left
    elapsed = [elapsed_seconds(task, now) for task in unmeasured]
    begun = [seconds for seconds in elapsed if seconds]
    running += len(begun)
    usual = usual_duration(total, count, begun, fitted)
    for task, seconds in zip(unmeasured, elapsed, strict=True):
        left = unmeasured_left(task, usual, seconds)
        seconds_left += left
        longest_left = max(longest_left, left)
    valid_until = now + pace.outlook_ttl(len(step_run.tasks))
    return pace.Outlook(now, valid_until, running, usual, seconds_left, longest_left)


def usual_duration(
    total: float, count: int, begun: list[float], fitted: float
) -> float:
    """Return the mean duration of `count` measured runs and of those not measured yet.

    `total` is the sum of the measured durations, and `begun` has the seconds that each
    of the other runs has taken.
    """
    usual = total / count if count else fitted
    if not begun:
        return usual
    total += sum(max(usual, seconds) for seconds in begun)
    return total / (count + len(begun))


def seconds_left(task: progress.Task, estimate: float, now: float) -> float:
    """Return the seconds that a live task has left, by its own progress if known.

    `estimate` is the expected duration of a task of its step.
    """
    found = task.pace
    if found is None or found.duration is None or found.run != task.run:
        return unmeasured_left(task, estimate, elapsed_seconds(task, now))
    duration = found.expected_duration(task.speed_limit, now)
    return found.seconds_left(duration, task.speed_limit, now)


def elapsed_seconds(task: progress.Task, now: float) -> float:
    """Return the seconds that a task has run, as far as this leader knows."""
    if task.phase is not progress.Phase.RUNNING:
        return 0.0
    return max(now - task.started_at, 0.0)


def unmeasured_left(task: progress.Task, duration: float, elapsed: float) -> float:
    """Return the seconds that a task without a measured duration has left."""
    if task.phase is progress.Phase.WAITING and not task.checkpoint:
        return duration
    found = task.pace
    if (
        found is not None
        and found.percent >= pace.MIN_PROGRESS_PERCENT
        and (found.run == task.run or task.checkpoint)
    ):
        # It went on from a checkpoint or was started by an earlier leader, or it waits
        # to go on.
        return duration * (pace.MAX_PERCENT - found.percent) / pace.MAX_PERCENT
    if task.phase is progress.Phase.DOUBTFUL:
        return MIN_REMAINDER * duration
    return max(duration - elapsed, MIN_REMAINDER * duration)


def lost_core_seconds(task: progress.Task, now: float) -> float:
    """Return the work that is lost if a task is stopped: since its last checkpoint.

    Continuous tasks lose none.
    """
    if task.step.continuous:
        return 0.0
    found = task.pace
    if found is None or found.run != task.run:
        seconds = elapsed_seconds(task, now)
    else:
        seconds = found.unsaved_seconds(now)
    return max(seconds, 0.0) * task.step.need.cpus
