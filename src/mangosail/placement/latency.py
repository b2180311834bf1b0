"""Run times of kinds, and how much kinds that share a worker slow each other.

The time of a task is predicted as the time that its kind takes alone, times one
plus the sum of what each neighbour adds, times how slow the worker itself has
lately been. All three are learned from each task that ends::

    around = Surroundings("w1", {"batch.scan": 2}, load=0.6)
    latencies.observe("fuel.quote", around, 0.031, now)
    latencies.predict("fuel.quote", around, now)

What a neighbour adds is kept for each pair of kinds and each of a few bands of
load, because the same two kinds disturb each other more on a full worker.
"""

import collections.abc as cabc
import dataclasses
import math

#: Bands of load, from an idle worker to a full one.
LOAD_BANDS = 4
#: What an unknown neighbour is taken to add, as a share of the time alone. Taken
#: for nearly harmless, a first wave fills the workers that quotes need before
#: anything is learned of it.
PRIOR_SLOWDOWN = 0.3
#: How far one observation moves an estimate towards itself.
LEARNING_RATE = 0.15
#: Largest error, in times alone, that one observation may teach.
MAX_ERROR = 2.0
#: Share by which an unused pair falls back to the prior each second.
PAIR_DECAY_RATE = 0.005
#: Seconds in which half of a worker's own slowness is forgotten.
WORKER_HALF_LIFE_S = 3.0
#: Bounds of a worker's own factor.
WORKER_FACTOR_BOUNDS = (0.5, 20.0)
#: Seconds that a kind is taken to run before one of it has ended.
PRIOR_RUN_TIME_S = 0.05


@dataclasses.dataclass(slots=True)
class Estimate:
    """A learned value and the monotonic time at which it was last taught."""

    value: float
    updated_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Colocation:
    """What a task meets: the worker, how many of each kind run, and its load."""

    worker: str
    neighbours: cabc.Mapping[str, float]
    load: float


def load_band(load: float) -> int:
    """Return the band in which `load`, from 0 to 1, lies."""
    return min(max(int(load * LOAD_BANDS), 0), LOAD_BANDS - 1)


class Latencies:
    """Learned run times; times are monotonic seconds that the caller gives."""

    def __init__(self) -> None:
        self.baselines: dict[str, float] = {}
        self.pair_slowdowns: dict[tuple[str, str, int], Estimate] = {}
        self.worker_factors: dict[str, Estimate] = {}

    def baseline(self, kind: str) -> float:
        """Return the seconds that a task of `kind` takes alone."""
        return self.baselines.get(kind, PRIOR_RUN_TIME_S)

    def pair_slowdown(
        self, kind: str, neighbour: str, load: float, now: float
    ) -> float:
        """Return what one neighbour of kind `other` adds to one of `kind`."""
        band = load_band(load)
        # The nearest band that was taught speaks for one that was not.
        for distance in range(LOAD_BANDS):
            for near in (band - distance, band + distance):
                found = self.pair_slowdowns.get((kind, neighbour, near))
                if found is not None:
                    kept = math.exp(-PAIR_DECAY_RATE * (now - found.updated_at))
                    return PRIOR_SLOWDOWN + (found.value - PRIOR_SLOWDOWN) * kept
        return PRIOR_SLOWDOWN

    def interference_factor(
        self, kind: str, neighbours: cabc.Mapping[str, float], load: float, now: float
    ) -> float:
        """Return by what factor `others` stretch a task of `kind`."""
        return 1.0 + sum(
            count * self.pair_slowdown(kind, other, load, now)
            for other, count in neighbours.items()
        )

    def worker_factor(self, worker: str, now: float) -> float:
        """Return how slow `worker` itself has lately been; 1 is as others."""
        found = self.worker_factors.get(worker)
        if found is None:
            return 1.0
        kept: float = 0.5 ** ((now - found.updated_at) / WORKER_HALF_LIFE_S)
        return 1.0 + (found.value - 1.0) * kept

    def predict(
        self,
        kind: str,
        colocation: Colocation,
        now: float,
    ) -> float:
        """Return the seconds that a task of `kind` would take there."""
        stretch = self.interference_factor(
            kind, colocation.neighbours, colocation.load, now
        )
        return (
            self.baseline(kind) * stretch * self.worker_factor(colocation.worker, now)
        )

    def observe(
        self,
        kind: str,
        colocation: Colocation,
        seconds: float,
        now: float,
    ) -> None:
        """Learn from a task of `kind` that took `seconds` beside `others`."""
        if kind not in self.baselines:
            self.baselines[kind] = seconds
            return
        predicted = self.predict(kind, colocation, now)
        self._update_worker_factor(
            colocation.worker, seconds / max(predicted, 1e-9), now
        )
        scale = self.baseline(kind) * self.worker_factor(colocation.worker, now)
        stretch = self.interference_factor(
            kind, colocation.neighbours, colocation.load, now
        )
        error = seconds / max(scale, 1e-9) - stretch
        step = LEARNING_RATE * min(max(error, -MAX_ERROR), MAX_ERROR)
        # One step of normalised least mean squares; the time alone is the
        # input that is always one, so it takes its share of the error.
        norm = 1.0 + sum(count * count for count in colocation.neighbours.values())
        self.baselines[kind] *= max(1.0 + step / norm, 0.5)
        for other, count in colocation.neighbours.items():
            value = (
                self.pair_slowdown(kind, other, colocation.load, now)
                + step * count / norm
            )
            key = (kind, other, load_band(colocation.load))
            self.pair_slowdowns[key] = Estimate(max(value, 0.0), now)

    def observe_loss(
        self,
        kind: str,
        colocation: Colocation,
        seconds: float,
        now: float,
    ) -> None:
        """Learn from a task of `kind` that had not ended after `seconds`.

        Its true time is unknown, so it teaches nothing of the kinds; that it
        took longer than predicted is held against the worker.
        """
        predicted = self.predict(kind, colocation, now)
        if seconds > predicted:
            self._update_worker_factor(
                colocation.worker, seconds / max(predicted, 1e-9), now
            )

    def _update_worker_factor(self, worker: str, ratio: float, now: float) -> None:
        # Only what exceeds the prediction by far is the worker's own doing;
        # the rest is the neighbours', and is learned with the pair.
        value = self.worker_factor(worker, now)
        wanted = value * ratio
        if 0.5 < ratio < 2.0 and value < 1.5:
            wanted = 1.0
        low, high = WORKER_FACTOR_BOUNDS
        value += LEARNING_RATE * (min(max(wanted, low), high) - value)
        self.worker_factors[worker] = Estimate(value, now)
