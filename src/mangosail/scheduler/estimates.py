"""How long tasks take, learned from those that ended.

What callers declare is often off by a factor of two either way, and for some queues
hardly tells more than the mean of all their tasks. So for each queue a line is fitted
through the logarithms of declared and measured seconds, and what the declared ones are
worth shows in its slope. Within a step, tasks that ended tell most.
"""

import dataclasses
import math

from mangosail.scheduler import messages, progress

#: Tasks by which a queue's line follows what ends: older ones count less and less.
SAMPLE_WINDOW = 200.0
#: Tasks that a queue is thought to have seen, whose declared seconds were right.
PRIOR_WEIGHT = 4.0
#: Square of the logarithms' spread that the prior assumes: a factor of 1.6 either way.
PRIOR_VARIANCE = 0.25
#: Shortest and longest time in seconds that is told apart. Callers declare anything:
#: the exponential of an absurd time overflowed, and nothing was placed any more.
MIN_DURATION_S = 0.02
MAX_DURATION_S = 86400.0
#: Seconds that a task is thought to take whose caller declares nothing.
DEFAULT_ESTIMATE_S = 1.0


@dataclasses.dataclass(slots=True)
class LogLinearFit:
    """Sums over the logarithms of declared and measured seconds of a queue's tasks."""

    count: float = 0.0
    mean_declared: float = 0.0
    mean_measured: float = 0.0
    #: Sums of products, of deviations from the means.
    sum_squares: float = 0.0
    sum_products: float = 0.0

    def add(self, declared: float, measured: float) -> None:
        """Take in one task."""
        if self.count >= SAMPLE_WINDOW:
            kept = 1 - 1 / SAMPLE_WINDOW
            self.count *= kept
            self.sum_squares *= kept
            self.sum_products *= kept
        self.count += 1
        before = declared - self.mean_declared
        self.mean_declared += before / self.count
        self.mean_measured += (measured - self.mean_measured) / self.count
        self.sum_squares += before * (declared - self.mean_declared)
        self.sum_products += before * (measured - self.mean_measured)

    def predict(self, declared: float) -> float:
        """Return the logarithm of the seconds to expect."""
        if not self.count:
            return declared
        prior = PRIOR_WEIGHT * PRIOR_VARIANCE
        slope = (self.sum_products + prior) / (self.sum_squares + prior)
        # Until some tasks have ended the means say little about the next one.
        shift = (
            (self.mean_measured - self.mean_declared)
            * self.count
            / (self.count + PRIOR_WEIGHT)
        )
        return self.mean_declared + shift + slope * (declared - self.mean_declared)


class DurationEstimator:
    """Expected seconds of tasks."""

    def __init__(self) -> None:
        self.fits: dict[str, LogLinearFit] = {}

    def record(self, task: progress.Task, seconds: float) -> None:
        """Take in that a whole run of a task took so long."""
        step_run = task.step_run
        step_run.measured_seconds += max(seconds, MIN_DURATION_S)
        step_run.measured_runs += 1
        line = self.fits.setdefault(task.job.job.queue, LogLinearFit())
        line.add(
            log_declared_duration(task.step), math.log(max(seconds, MIN_DURATION_S))
        )

    def estimate(self, step_run: progress.StepRun) -> float:
        """Return the seconds to expect of a task of the step that begins now."""
        if step_run.measured_runs:
            return step_run.measured_seconds / step_run.measured_runs
        line = self.fits.get(step_run.job.job.queue)
        declared = log_declared_duration(step_run.step)
        return math.exp(line.predict(declared) if line else declared)


def log_declared_duration(step: messages.Step) -> float:
    """Return the logarithm of the seconds that a step's tasks are declared to take."""
    return math.log(
        min(max(step.estimate or DEFAULT_ESTIMATE_S, MIN_DURATION_S), MAX_DURATION_S)
    )
