"""Estimates of task durations, learned from completed tasks.

Durations declared by callers are often off by a factor of two in either direction, and
for some queues they predict hardly better than the mean of all tasks. So for each queue
a line is fitted to the logarithms of declared and measured durations; its slope shows
how informative the declared ones are. Within a step, its own tasks are the best
predictor: the completed ones, and if the option is on, the running ones by progress.
"""

import collections.abc as cabc
import dataclasses
import math

from mangosail.scheduler import messages, pace, progress, remaining

#: Number of tasks from which the weight of a queue's older samples decays.
SAMPLE_WINDOW = 200.0
#: Weight of the prior, as a number of tasks whose declared durations were right.
PRIOR_WEIGHT = 4.0
#: Variance of log durations that the prior assumes: a factor of 1.6 either way.
PRIOR_VARIANCE = 0.25
#: Bounds on durations in seconds. Callers may declare any value: the exponential of an
#: extreme one overflowed, and nothing was placed any more.
MIN_DURATION_S = 0.02
MAX_DURATION_S = 86400.0
#: Seconds assumed for a task whose caller declares no duration.
DEFAULT_ESTIMATE_S = 1.0


@dataclasses.dataclass(slots=True)
class LogLinearFit:
    """Running fit of log measured durations to log declared ones, for one queue."""

    count: float = 0.0
    mean_declared: float = 0.0
    mean_measured: float = 0.0
    #: Sums of squares and of products of the deviations from the means.
    sum_squares: float = 0.0
    sum_products: float = 0.0

    def add(self, declared: float, measured: float) -> None:
        """Add the durations of one task."""
        if self.count >= SAMPLE_WINDOW:
            retained = 1 - 1 / SAMPLE_WINDOW
            self.count *= retained
            self.sum_squares *= retained
            self.sum_products *= retained
        self.count += 1
        deviation = declared - self.mean_declared
        self.mean_declared += deviation / self.count
        self.mean_measured += (measured - self.mean_measured) / self.count
        self.sum_squares += deviation * (declared - self.mean_declared)
        self.sum_products += deviation * (measured - self.mean_measured)

    def predict(self, declared: float) -> float:
        """Return the predicted logarithm of the duration."""
        if not self.count:
            return declared
        prior = PRIOR_WEIGHT * PRIOR_VARIANCE
        slope = (self.sum_products + prior) / (self.sum_squares + prior)
        # With few completed tasks the means say little about the next one.
        shift = (
            (self.mean_measured - self.mean_declared)
            * self.count
            / (self.count + PRIOR_WEIGHT)
        )
        return self.mean_declared + shift + slope * (declared - self.mean_declared)


class DurationEstimator:
    """Estimates the durations of tasks in seconds.

    `elapsed` returns the elapsed time if progress of running tasks is to be used.
    """

    def __init__(self, elapsed: cabc.Callable[[], float] | None = None) -> None:
        self.elapsed = elapsed
        self.fits: dict[str, LogLinearFit] = {}

    @property
    def uses_progress(self) -> bool:
        """Return whether the progress of running tasks is used."""
        return self.elapsed is not None

    def record(self, task: progress.Task, seconds: float) -> None:
        """Record the duration of a complete run of a task."""
        step_run = task.step_run
        step_run.measured_seconds += max(seconds, MIN_DURATION_S)
        step_run.measured_runs += 1
        fit = self.fits.setdefault(task.job.job.queue, LogLinearFit())
        fit.add(
            log_declared_duration(task.step), math.log(max(seconds, MIN_DURATION_S))
        )

    def estimate(self, step_run: progress.StepRun) -> float:
        """Return the expected duration of a task of the step that starts now."""
        if self.elapsed is not None:
            return self.outlook(step_run, self.elapsed()).duration
        if step_run.measured_runs:
            return step_run.measured_seconds / step_run.measured_runs
        return self._fitted(step_run)

    def outlook(self, step_run: progress.StepRun, now: float) -> pace.Outlook:
        """Return what the tasks of the step still take, by their progress.

        It is kept for a moment: each poll asks for the estimates of all steps that run
        on the worker, and each of them goes through the tasks of a step.
        """
        known = step_run.outlook
        if known is None or now >= known.valid_until:
            known = remaining.outlook(step_run, self._fitted(step_run), now)
            step_run.outlook = known
        return known

    def _fitted(self, step_run: progress.StepRun) -> float:
        """Return the duration that follows from the declared one."""
        fit = self.fits.get(step_run.job.job.queue)
        declared = log_declared_duration(step_run.step)
        return math.exp(fit.predict(declared) if fit else declared)


def log_declared_duration(step: messages.Step) -> float:
    """Return the logarithm of the duration declared for a step's tasks."""
    return math.log(
        min(max(step.estimate or DEFAULT_ESTIMATE_S, MIN_DURATION_S), MAX_DURATION_S)
    )
