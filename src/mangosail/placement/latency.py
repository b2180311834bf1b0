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
ERROR_LIMIT = 2.0
#: Share by which an unused pair falls back to the prior each second.
FORGETTING = 0.005
#: Seconds in which half of a worker's own slowness is forgotten.
WORKER_HALF_LIFE = 3.0
#: Bounds of a worker's own factor.
WORKER_FACTORS = (0.5, 20.0)
#: Seconds that a kind is taken to run before one of it has ended.
PRIOR_SECONDS = 0.05


@dataclasses.dataclass(slots=True)
class Estimate:
    """A learned value and the monotonic time at which it was last taught."""

    value: float
    taught_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What a task meets: the worker, how many of each kind run, and its load."""

    worker: str
    others: cabc.Mapping[str, float]
    load: float


def band_of(load: float) -> int:
    """Return the band in which `load`, from 0 to 1, lies."""
    return min(max(int(load * LOAD_BANDS), 0), LOAD_BANDS - 1)


class Latencies:
    """Learned run times; times are monotonic seconds that the caller gives."""

    def __init__(self) -> None:
        self.alone: dict[str, float] = {}
        self.pairs: dict[tuple[str, str, int], Estimate] = {}
        self.factors: dict[str, Estimate] = {}

    def run_time(self, kind: str) -> float:
        """Return the seconds that a task of `kind` takes alone."""
        return self.alone.get(kind, PRIOR_SECONDS)

    def slowdown(self, kind: str, other: str, load: float, now: float) -> float:
        """Return what one neighbour of kind `other` adds to one of `kind`."""
        band = band_of(load)
        # The nearest band that was taught speaks for one that was not.
        for distance in range(LOAD_BANDS):
            for near in (band - distance, band + distance):
                found = self.pairs.get((kind, other, near))
                if found is not None:
                    kept = math.exp(-FORGETTING * (now - found.taught_at))
                    return PRIOR_SLOWDOWN + (found.value - PRIOR_SLOWDOWN) * kept
        return PRIOR_SLOWDOWN

    def shared(
        self, kind: str, others: cabc.Mapping[str, float], load: float, now: float
    ) -> float:
        """Return by what factor `others` stretch a task of `kind`."""
        return 1.0 + sum(
            count * self.slowdown(kind, other, load, now)
            for other, count in others.items()
        )

    def factor(self, worker: str, now: float) -> float:
        """Return how slow `worker` itself has lately been; 1 is as others."""
        found = self.factors.get(worker)
        if found is None:
            return 1.0
        kept: float = 0.5 ** ((now - found.taught_at) / WORKER_HALF_LIFE)
        return 1.0 + (found.value - 1.0) * kept

    def predict(
        self,
        kind: str,
        around: Surroundings,
        now: float,
    ) -> float:
        """Return the seconds that a task of `kind` would take there."""
        stretch = self.shared(kind, around.others, around.load, now)
        return self.run_time(kind) * stretch * self.factor(around.worker, now)

    def observe(
        self,
        kind: str,
        around: Surroundings,
        seconds: float,
        now: float,
    ) -> None:
        """Learn from a task of `kind` that took `seconds` beside `others`."""
        if kind not in self.alone:
            self.alone[kind] = seconds
            return
        predicted = self.predict(kind, around, now)
        self._teach_worker(around.worker, seconds / max(predicted, 1e-9), now)
        scale = self.run_time(kind) * self.factor(around.worker, now)
        stretch = self.shared(kind, around.others, around.load, now)
        error = seconds / max(scale, 1e-9) - stretch
        step = LEARNING_RATE * min(max(error, -ERROR_LIMIT), ERROR_LIMIT)
        # One step of normalised least mean squares; the time alone is the
        # input that is always one, so it takes its share of the error.
        norm = 1.0 + sum(count * count for count in around.others.values())
        self.alone[kind] *= max(1.0 + step / norm, 0.5)
        for other, count in around.others.items():
            value = self.slowdown(kind, other, around.load, now) + step * count / norm
            key = (kind, other, band_of(around.load))
            self.pairs[key] = Estimate(max(value, 0.0), now)

    def observe_loss(
        self,
        kind: str,
        around: Surroundings,
        seconds: float,
        now: float,
    ) -> None:
        """Learn from a task of `kind` that had not ended after `seconds`.

        Its true time is unknown, so it teaches nothing of the kinds; that it
        took longer than predicted is held against the worker.
        """
        predicted = self.predict(kind, around, now)
        if seconds > predicted:
            self._teach_worker(around.worker, seconds / max(predicted, 1e-9), now)

    def _teach_worker(self, worker: str, ratio: float, now: float) -> None:
        # Only what exceeds the prediction by far is the worker's own doing;
        # the rest is the neighbours', and is learned with the pair.
        value = self.factor(worker, now)
        wanted = value * ratio
        if 0.5 < ratio < 2.0 and value < 1.5:
            wanted = 1.0
        low, high = WORKER_FACTORS
        value += LEARNING_RATE * (min(max(wanted, low), high) - value)
        self.factors[worker] = Estimate(value, now)
