"""How fast each worker works, from the progress that it lists.

The load this answers: some workers take several times as long for all that they run,
while they answer every call at once. A job ends with its last task, so one slow worker
in four makes nearly every job of a dozen tasks late. What a task should have achieved
since the last look is known from others of its step, on other workers.
"""

import math
import statistics

from mangosail.scheduler import estimates, fleet, messages, progress, throttling

#: Seconds between two looks from which progress is told from rounding: workers list it
#: in whole percents, and some bring it up to date five times a second.
MIN_SAMPLE_INTERVAL_S = 0.4
#: Share of a new sample in what is known of a worker; samples scatter by a factor of
#: 1.5, and by 2 where only the expected seconds say what is usual.
SAMPLE_WEIGHT = 0.3
ESTIMATE_SAMPLE_WEIGHT = 0.1
#: Bound on the logarithm of a sample, so that one odd task proves nothing.
MAX_LOG_SAMPLE = 2.0
#: Share of its cores that a task must have had for its progress to tell anything.
MIN_CPU_SHARE = 0.3
#: Samples of a step from which they tell more than its expected seconds.
MIN_SAMPLES = 4
#: Speed below which a worker gets no short tasks, as a share of the others'.
SLOW_SPEED_RATIO = 0.5
#: Seconds by which what was seen of a worker counts less by a factor of e: one that
#: gets nothing gives no samples, and is to be tried again.
DECAY_S = 5.0
#: Share of the workers that may count as slow. Where more are, what was expected is
#: wrong rather than they, and turning all away would leave the work undone.
MAX_SLOW_SHARE = 0.34
#: Seconds that a run is let go on before it is judged, and the share of its time by
#: which going on must be dearer than beginning anew.
MIN_AGE_S = 0.4
MIN_MOVE_GAIN = 1.3


class WorkerSpeeds:
    """Learns the workers' speeds."""

    def __init__(self, estimator: estimates.DurationEstimator) -> None:
        self.estimator = estimator

    def record(
        self,
        worker: fleet.Worker,
        task: progress.Task,
        row: messages.RunningTask,
        now: float,
    ) -> None:
        """Take in the progress of a run since the last look at it."""
        between = now - task.sample_at
        if task.sample_run != row.run or task.speed_limit != throttling.FULL_SPEED:
            task.sample_at, task.sample_percent, task.sample_run = (
                now,
                row.progress_percent,
                row.run,
            )
            return
        gained = row.progress_percent - task.sample_percent
        if between < MIN_SAMPLE_INTERVAL_S or gained <= 0 or task.step.continuous:
            # One that stands still is for `stragglers` to judge.
            return
        task.sample_at, task.sample_percent = now, row.progress_percent
        share = cpu_share(task, row)
        if share < MIN_CPU_SHARE:
            return
        rate = math.log(gained / 100 / between / share)
        self._learn(worker, task.step_run, rate, now)

    def _learn(
        self, worker: fleet.Worker, step_run: progress.StepRun, rate: float, now: float
    ) -> None:
        """Compare the rate of one task, as a logarithm, with what is usual."""
        usual = -math.log(self.estimator.estimate(step_run))
        weight = ESTIMATE_SAMPLE_WEIGHT
        if step_run.rate_samples >= MIN_SAMPLES:
            usual = step_run.log_rate_sum / step_run.rate_samples
            weight = SAMPLE_WEIGHT
        step_run.log_rate_sum += rate
        step_run.rate_samples += 1
        sample = min(max(rate - usual, -MAX_LOG_SAMPLE), MAX_LOG_SAMPLE)
        known = current_log_speed(worker, now)
        worker.log_speed = known + weight * (sample - known)
        worker.speed_updated_at = now

    def worth_moving(
        self, task: progress.Task, worker: fleet.Worker, now: float
    ) -> bool:
        """Tell whether a run on a slow worker would end sooner if begun elsewhere."""
        step = task.step
        if task.phase is not progress.Phase.RUNNING or step.continuous or step.gang:
            return False
        if (
            task.speed_limit < throttling.FULL_SPEED
            or now - task.started_at < MIN_AGE_S
        ):
            return False
        speed = math.exp(current_log_speed(worker, now))
        rest = 1 - task.progress_percent / 100
        anew = rest if step.checkpointing else 1.0
        return rest / speed > MIN_MOVE_GAIN * anew


def cpu_share(task: progress.Task, row: messages.RunningTask) -> float:
    """Return the share of its cores that a task had lately."""
    if row.measurement <= 0 or not task.step.best_effort:
        return 1.0
    return min(row.measurement / 1000 / max(task.step.need.cpus, 0.001), 1.0)


def current_log_speed(worker: fleet.Worker, now: float) -> float:
    """Return the logarithm of a worker's speed, as far as it still counts."""
    return worker.log_speed * math.exp((worker.speed_updated_at - now) / DECAY_S)


def slow_workers(workers: fleet.Fleet, now: float) -> frozenset[str]:
    """Return the workers that should get no short tasks now.

    They are compared with the one in the middle: slow workers have their tasks for
    longer, so what is usual in a step leans towards them.
    """
    known = {w.name: current_log_speed(w, now) for w in workers if w.usable(now)}
    if not known:
        return frozenset()
    bound = statistics.median(known.values()) + math.log(SLOW_SPEED_RATIO)
    found = [name for name, speed in known.items() if speed < bound]
    if len(found) > MAX_SLOW_SHARE * len(known):
        return frozenset()
    return frozenset(found)
