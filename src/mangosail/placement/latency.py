"""Learned run times, and the slowdown between kinds of work that share a worker.

The run time of a task is predicted as the product of the baseline of its kind
(its run time on an otherwise idle worker), an interference factor (one plus the
slowdown that each neighbour adds) and a factor for the recent speed of the worker
itself. All three are updated by each task that ends::

    colocation = Colocation("w1", {"batch.scan": 2}, load=0.6)
    latencies.observe("fuel.quote", colocation, 0.031, now)
    latencies.predict("fuel.quote", colocation, now)

Slowdowns are stored by pair of kinds and by load band, because the same two kinds
interfere more with each other on a heavily loaded worker.
"""

import collections.abc as cabc
import dataclasses
import math

#: Number of load bands between an idle and a full worker.
LOAD_BANDS = 4
#: Slowdown assumed for an unknown neighbour, as a fraction of the baseline. With a
#: prior close to zero, a first wave of batch tasks fills the workers that quotes need
#: before its slowdown has been learned.
PRIOR_SLOWDOWN = 0.3
#: Weight of a new observation in an estimate.
LEARNING_RATE = 0.15
#: Limit of the error, in multiples of the baseline, that one observation applies.
MAX_ERROR = 2.0
#: Ratio of run time to baseline below which neighbours do not share the error.
MAX_SHORT_RATIO = 0.5
#: Rate per second at which a pair that is not observed decays to the prior.
PAIR_DECAY_RATE = 0.005
#: Half-life, in seconds, of the factor of a worker.
WORKER_HALF_LIFE_S = 3.0
#: Lower and upper bound of the factor of a worker.
WORKER_FACTOR_BOUNDS = (0.5, 20.0)
#: Run time, in seconds, assumed for a kind of which no task has ended yet.
PRIOR_RUN_TIME_S = 0.05


@dataclasses.dataclass(slots=True)
class Estimate:
    """A learned value and the monotonic time of its last update."""

    value: float
    updated_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Colocation:
    """Conditions on a worker: its name, its tasks by kind, and its load."""

    worker: str
    neighbours: cabc.Mapping[str, float]
    load: float


def load_band(load: float) -> int:
    """Return the band of `load`, which is between 0 and 1."""
    return min(max(int(load * LOAD_BANDS), 0), LOAD_BANDS - 1)


class Latencies:
    """Learned run times; all times are monotonic seconds passed by the caller."""

    def __init__(self) -> None:
        self.baselines: dict[str, float] = {}
        self.pair_slowdowns: dict[tuple[str, str, int], Estimate] = {}
        self.worker_factors: dict[str, Estimate] = {}

    def baseline(self, kind: str) -> float:
        """Return the run time, in seconds, of `kind` on an otherwise idle worker."""
        return self.baselines.get(kind, PRIOR_RUN_TIME_S)

    def pair_slowdown(
        self, kind: str, neighbour: str, load: float, now: float
    ) -> float:
        """Return the slowdown that one task of kind `neighbour` adds to `kind`."""
        band = load_band(load)
        # A band without an estimate uses that of the nearest band that has one.
        for distance in range(LOAD_BANDS):
            for near in (band - distance, band + distance):
                found = self.pair_slowdowns.get((kind, neighbour, near))
                if found is not None:
                    decay = math.exp(-PAIR_DECAY_RATE * (now - found.updated_at))
                    return PRIOR_SLOWDOWN + (found.value - PRIOR_SLOWDOWN) * decay
        return PRIOR_SLOWDOWN

    def interference_factor(
        self, kind: str, neighbours: cabc.Mapping[str, float], load: float, now: float
    ) -> float:
        """Return the factor by which `neighbours` slow down a task of `kind`."""
        return 1.0 + sum(
            count * self.pair_slowdown(kind, neighbour, load, now)
            for neighbour, count in neighbours.items()
        )

    def worker_factor(self, worker: str, now: float) -> float:
        """Return the recent slowness of `worker` itself; 1 is normal."""
        found = self.worker_factors.get(worker)
        if found is None:
            return 1.0
        decay: float = 0.5 ** ((now - found.updated_at) / WORKER_HALF_LIFE_S)
        return 1.0 + (found.value - 1.0) * decay

    def predict(
        self,
        kind: str,
        colocation: Colocation,
        now: float,
    ) -> float:
        """Return the predicted run time, in seconds, of a task of `kind`."""
        interference = self.interference_factor(
            kind, colocation.neighbours, colocation.load, now
        )
        return (
            self.baseline(kind)
            * interference
            * self.worker_factor(colocation.worker, now)
        )

    def observe(
        self,
        kind: str,
        colocation: Colocation,
        seconds: float,
        now: float,
    ) -> None:
        """Update the estimates from a task of `kind` that took `seconds`."""
        if kind not in self.baselines:
            self.baselines[kind] = seconds
            return
        predicted = self.predict(kind, colocation, now)
        self._update_worker_factor(
            colocation.worker, seconds / max(predicted, 1e-9), now
        )
        scale = self.baseline(kind) * self.worker_factor(colocation.worker, now)
        interference = self.interference_factor(
            kind, colocation.neighbours, colocation.load, now
        )
        error = seconds / max(scale, 1e-9) - interference
        step = LEARNING_RATE * min(max(error, -MAX_ERROR), MAX_ERROR)
        # One step of normalised least mean squares. The baseline is the constant
        # input of 1 and so takes its part of the error.
        norm = 1.0 + sum(count * count for count in colocation.neighbours.values())
        # Neighbours only prolong a task. A run time far below the baseline shows that
        # the baseline itself is wrong; shared with many neighbours, the step would take
        # hundreds of tasks to correct it.
        is_too_long = seconds < self.baselines[kind] * MAX_SHORT_RATIO
        share = 1.0 if is_too_long else 1.0 / norm
        self.baselines[kind] *= max(1.0 + step * share, 0.5)
        for neighbour, count in colocation.neighbours.items():
            value = (
                self.pair_slowdown(kind, neighbour, colocation.load, now)
                + step * count / norm
            )
            key = (kind, neighbour, load_band(colocation.load))
            self.pair_slowdowns[key] = Estimate(max(value, 0.0), now)

    def observe_loss(
        self,
        kind: str,
        colocation: Colocation,
        seconds: float,
        now: float,
    ) -> None:
        """Update the worker factor from a task that had not ended after `seconds`.

        The true run time is unknown, so the estimates of kinds are not updated. If
        the task took longer than predicted, the factor of the worker is raised.
        """
        predicted = self.predict(kind, colocation, now)
        if seconds > predicted:
            self._update_worker_factor(
                colocation.worker, seconds / max(predicted, 1e-9), now
            )

    def _update_worker_factor(self, worker: str, ratio: float, now: float) -> None:
        # Only a large deviation from the prediction is attributed to the worker; a
        # small one is attributed to the neighbours and learned by pair.
        value = self.worker_factor(worker, now)
        new_factor = value * ratio
        if 0.5 < ratio < 2.0 and value < 1.5:
            new_factor = 1.0
        low, high = WORKER_FACTOR_BOUNDS
        value += LEARNING_RATE * (min(max(new_factor, low), high) - value)
        self.worker_factors[worker] = Estimate(value, now)
