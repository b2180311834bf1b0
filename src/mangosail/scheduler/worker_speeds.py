"""Speeds of the workers, learned from the progress that they list.

This handles slow workers: some take several times as long for everything they run,
while they answer every call at once. A job ends with its last task, so one slow worker
in four makes nearly every job of a dozen tasks late. The progress to expect of a task
since the last poll is known from other tasks of its step, on other workers.
"""

import math
import statistics

from mangosail.scheduler import estimates, fleet, messages, progress

#: Minimum seconds between two polls for progress to be told from rounding: workers list
#: whole percents, and some update them five times a second.
MIN_SAMPLE_INTERVAL_S = 0.4
#: Weight of a new sample in the speed of a worker; samples scatter by a factor of 1.5,
#: and by 2 where only the estimated duration tells what is usual.
SAMPLE_WEIGHT = 0.3
ESTIMATE_SAMPLE_WEIGHT = 0.1
#: Bound on the logarithm of a sample, so that a single outlier has little effect.
MAX_LOG_SAMPLE = 2.0
#: Share of its cores that a task must have had for its progress to be meaningful.
MIN_CPU_SHARE = 0.3
#: Number of samples from which a step's rates replace its estimated duration.
MIN_SAMPLES = 4
#: Speed relative to the other workers below which a worker gets no short tasks.
SLOW_SPEED_RATIO = 0.5
#: Seconds in which the weight of earlier samples falls by a factor of e: a worker
#: without tasks gives no samples, and has to be tried again.
DECAY_S = 5.0
#: Maximum share of the workers that count as slow. If there are more, the expectation
#: is wrong rather than the workers, and excluding all of them would leave the work
#: undone.
MAX_SLOW_SHARE = 0.34
#: Seconds that a run must have lasted before it is assessed, and the factor by which
#: continuing must take longer than starting anew.
MIN_AGE_S = 0.4
MIN_MOVE_GAIN = 1.3


class WorkerSpeeds:
    """Learns the speeds of the workers."""

    def __init__(self, estimator: estimates.DurationEstimator) -> None:
        self.estimator = estimator

    def record(
        self,
        worker: fleet.Worker,
        task: progress.Task,
        row: messages.RunningTask,
        now: float,
    ) -> None:
        """Record the progress of a run since the last poll."""
        interval = now - task.sample_at
        if task.sample_run != row.run or task.speed_limit != progress.FULL_SPEED:
            task.sample_at, task.sample_percent, task.sample_run = (
                now,
                row.progress_percent,
                row.run,
            )
            return
        percent_gained = row.progress_percent - task.sample_percent
        if (
            interval < MIN_SAMPLE_INTERVAL_S
            or percent_gained <= 0
            or task.step.continuous
        ):
            # Stalled tasks are left to `stragglers`.
            return
        task.sample_at, task.sample_percent = now, row.progress_percent
        share = cpu_share(task, row)
        if share < MIN_CPU_SHARE:
            return
        rate = math.log(percent_gained / 100 / interval / share)
        self._learn(worker, task.step_run, rate, now)

    def _learn(
        self, worker: fleet.Worker, step_run: progress.StepRun, rate: float, now: float
    ) -> None:
        """Update a worker's speed from one task's rate, as a logarithm."""
        reference = -math.log(self.estimator.estimate(step_run))
        weight = ESTIMATE_SAMPLE_WEIGHT
        if step_run.rate_samples >= MIN_SAMPLES:
            reference = step_run.log_rate_sum / step_run.rate_samples
            weight = SAMPLE_WEIGHT
        step_run.log_rate_sum += rate
        step_run.rate_samples += 1
        sample = min(max(rate - reference, -MAX_LOG_SAMPLE), MAX_LOG_SAMPLE)
        current = current_log_speed(worker, now)
        worker.log_speed = current + weight * (sample - current)
        worker.speed_updated_at = now

    def worth_moving(
        self, task: progress.Task, worker: fleet.Worker, now: float
    ) -> bool:
        """Return whether a run would end sooner if restarted on another worker."""
        step = task.step
        if task.phase is not progress.Phase.RUNNING or step.continuous or step.gang:
            return False
        if task.speed_limit < progress.FULL_SPEED or now - task.started_at < MIN_AGE_S:
            return False
        speed = math.exp(current_log_speed(worker, now))
        remaining = 1 - task.progress_percent / 100
        restarted = remaining if step.checkpointing else 1.0
        return remaining / speed > MIN_MOVE_GAIN * restarted


def cpu_share(task: progress.Task, row: messages.RunningTask) -> float:
    """Return the share of its cores that a task had lately."""
    if row.measurement <= 0 or not task.step.best_effort:
        return 1.0
    return min(row.measurement / 1000 / max(task.step.need.cpus, 0.001), 1.0)


def current_log_speed(worker: fleet.Worker, now: float) -> float:
    """Return the logarithm of a worker's speed, decayed to `now`."""
    return worker.log_speed * math.exp((worker.speed_updated_at - now) / DECAY_S)


def slow_workers(workers: fleet.Fleet, now: float) -> frozenset[str]:
    """Return the workers that should get no short tasks now.

    They are compared with the median worker: slow workers hold their tasks for longer,
    which biases the usual rate of a step towards them.
    """
    speeds = {w.name: current_log_speed(w, now) for w in workers if w.usable(now)}
    if not speeds:
        return frozenset()
    bound = statistics.median(speeds.values()) + math.log(SLOW_SPEED_RATIO)
    slow = [name for name, speed in speeds.items() if speed < bound]
    if len(slow) > MAX_SLOW_SHARE * len(speeds):
        return frozenset()
    return frozenset(slow)
