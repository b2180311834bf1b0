"""Model of how best-effort work raises the tail latencies of tasks beside it.

A latency-critical task behaves like a queue: at a utilization `y`, the share of time
that it is busy, its tail latency is about ``base / (1 - y)``. Best-effort work adds to
that::

    y = load * (1 + sum of pressure[image, best-effort image] * cores / capacity)

The load of each latency-critical task and the pressure of each pair of images are
learned from the latencies that workers report, with an extended Kalman filter: what is
known least about is corrected most. Alone, a latency can't tell a high load from a high
pressure. But the tasks of a step serve the same demand, so those without best-effort
work beside them show the load of the others. The model decides where a best-effort task
may start and, with `throttling`, how fast running ones may work.
"""

import collections.abc as cabc
import dataclasses
import math
import typing as t

from mangosail import codec
from mangosail.scheduler import fleet, messages, progress

EntryT = t.TypeVar("EntryT")

#: Bytes of pressures and of bases that are stored, half of a row together: a
#: transaction with them and a job record that fills a row takes no longer than usual on
#: a narrow link.
MAX_PRESSURES_BYTES = 18_000
MAX_BASES_BYTES = 6_000
#: Share of the target up to which a new task may raise a tail latency.
PLACEMENT_TARGET_SHARE = 0.62
#: Pressure assumed for two images as long as none were observed together: the relative
#: increase of the load if the best-effort image used all cores of a worker.
DEFAULT_PRESSURE = 6.0
#: Number of pairs for which this counts in the mean that is assumed for further pairs.
PRIOR_PAIRS = 10
#: Variance of the pressures of different pairs, and of one that was learned before.
PRIOR_PRESSURE_VARIANCE = 16.0
RESTORED_PRESSURE_VARIANCE = 1.0
#: Highest pressure that is learned.
MAX_PRESSURE = 30.0
#: Variance of a reported utilization around that of the model.
REPORT_VARIANCE = 0.0064
#: Variance that a load gains in a second, as demand changes.
LOAD_DRIFT_VARIANCE_PER_S = 0.02
#: Variance assumed between the loads of a step's tasks, and the share of a new
#: observation in it.
INITIAL_SPREAD_VARIANCE = 0.004
SPREAD_LEARNING_RATE = 0.01
#: Variance of the load of a task of which only the sum with its pressures is known.
UNKNOWN_LOAD_VARIANCE = 0.05
#: Seconds over which the present load of a step is averaged, and its earlier load that
#: shows the trend. Their difference is the change expected within about a second, in
#: which a best-effort task begins and the next reports come.
LOAD_TERM_S = 0.3
EARLIER_LOAD_TERM_S = 1.3
#: Utilization that best-effort tasks may add where a load alone leaves no headroom: a
#: tenth of the distance between a load at rest and its target.
NEGLIGIBLE_UTILIZATION = 0.04
#: Bounds on the load of a latency-critical task; they keep a wrong estimate from
#: diverging.
MIN_LOAD = 0.05
MAX_LOAD = 0.95
#: Load assumed until a latency was reported.
DEFAULT_LOAD = 0.5
#: Base latency assumed until latencies were observed, as a share of the target.
DEFAULT_BASE_SHARE = 0.25


def is_latency_critical(step: messages.Step) -> bool:
    """Return whether tasks of the step have a tail latency target."""
    return step.latency_target > 0 and not step.best_effort


def has_high_latency(worker: fleet.Worker) -> bool:
    """Return whether a tail latency on the worker was too high at its last poll."""
    return any(task.latency_high_since is not None for task in worker.tasks.values())


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEstimate:
    """A load, the variance of its error, and the elapsed time of its observation."""

    load: float
    variance: float
    at: float

    def variance_at(self, now: float) -> float:
        """Return the variance by now, with the changes of demand since."""
        return self.variance + LOAD_DRIFT_VARIANCE_PER_S * max(now - self.at, 0.0)

    def combined(self, other: "LoadEstimate", now: float) -> "LoadEstimate":
        """Return the best estimate by now from this and an independent one."""
        own, others = self.variance_at(now), other.variance_at(now)
        weight = own / (own + others)
        load = self.load + weight * (other.load - self.load)
        return LoadEstimate(load, own * (1 - weight), now)


@dataclasses.dataclass(frozen=True, slots=True)
class StepLoad:
    """The load of a step's tasks, and a longer average that lags behind it."""

    load: float
    earlier: float
    at: float

    def updated(self, observed: float, now: float) -> "StepLoad":
        """Return the loads after one more observation."""
        passed = max(now - self.at, 0.0)
        present = 1 - math.exp(-passed / LOAD_TERM_S)
        lagging = 1 - math.exp(-passed / EARLIER_LOAD_TERM_S)
        return StepLoad(
            self.load + present * (observed - self.load),
            self.earlier + lagging * (observed - self.earlier),
            now,
        )

    @property
    def trend(self) -> float:
        """Return how much the load will rise within a second; negative if it falls."""
        return self.load - self.earlier


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSnapshot:
    """The part of a model that is stored for the next leader."""

    #: Latency-critical image, best-effort image, and the pressure.
    pressures: tuple[tuple[str, str, float], ...] = ()
    bases: tuple[tuple[str, float], ...] = ()


class Model:
    """Learned loads and pressures, and the latencies predicted from them."""

    def __init__(self) -> None:
        #: Pressure by latency-critical image and best-effort image.
        self.pressure: dict[tuple[str, str], float] = {}
        #: Lowest tail latency observed for an image, in milliseconds.
        self.base: dict[str, float] = {}
        #: Variances of the pressures that were learned here, and the sum of all means.
        self.pressure_variance: dict[tuple[str, str], float] = {}
        self.pressure_sum = 0.0
        #: Load by name of the latency-critical task.
        self.load: dict[str, LoadEstimate] = {}
        #: Load of each step, from its tasks that had no best-effort work beside them.
        self.step_load: dict[progress.StepRun, StepLoad] = {}
        #: Variance between the loads of the tasks of a step.
        self.spread = INITIAL_SPREAD_VARIANCE

    def snapshot(self) -> ModelSnapshot:
        """Return what is to be stored: the values learned last, as far as they fit."""
        pressures = [(*pair, round(p, 2)) for pair, p in self.pressure.items()]
        return ModelSnapshot(
            newest_within(pressures, MAX_PRESSURES_BYTES),
            newest_within([*self.base.items()], MAX_BASES_BYTES),
        )

    def restore(self, stored: ModelSnapshot) -> None:
        """Restore what an earlier leader has learned."""
        self.pressure = {(first, second): p for first, second, p in stored.pressures}
        self.pressure_sum = sum(self.pressure.values())
        self.base = dict(stored.bases)

    def utilization(self, step: messages.Step, latency: float) -> float:
        """Return the utilization of a task with this tail latency."""
        base = self.base.get(step.image, step.latency_target * DEFAULT_BASE_SHARE)
        return 1 - base / max(latency, base * 1.02)

    def added_load_factor(self, image: str, shares: cabc.Mapping[str, float]) -> float:
        """Return what best-effort images add to the load of `image`, as a factor."""
        unknown = self.typical_pressure
        return sum(
            self.pressure.get((image, other), unknown) * share
            for other, share in shares.items()
        )

    @property
    def typical_pressure(self) -> float:
        """Return the pressure assumed for a pair that was never observed."""
        count = len(self.pressure) + PRIOR_PAIRS
        return (DEFAULT_PRESSURE * PRIOR_PAIRS + self.pressure_sum) / count

    def learn(
        self,
        worker: fleet.Worker,
        running: tuple[messages.RunningTask, ...],
        now: float,
    ) -> None:
        """Learn from the latencies on a worker and the best-effort work beside them."""
        shares = measured_shares(worker, running)
        unchanged = worker.best_effort_images == frozenset(shares)
        worker.best_effort_images = frozenset(shares)
        if not unchanged:
            return
        for report in running:
            task = worker.tasks.get(report.task)
            if (
                task is not None
                and is_latency_critical(task.step)
                and report.measurement > 0
            ):
                self._learn_latency(task, report.measurement, shares, now)

    def _learn_latency(
        self,
        task: progress.Task,
        latency: float,
        shares: dict[str, float],
        now: float,
    ) -> None:
        image = task.step.image
        # Removing and reinserting the image moves it to the end, as the one learned
        # last.
        self.base[image] = min(self.base.pop(image, latency), latency)
        utilization = self.utilization(task.step, latency)
        if not shares:
            self.load[task.name] = LoadEstimate(
                bounded_load(utilization), REPORT_VARIANCE, now
            )
            self._learn_step_load(task.step_run, utilization, now)
            return
        expected = self._expected_load(task, utilization, shares, now)
        self._correct(task, expected, shares, utilization)

    def _learn_step_load(
        self, step_run: progress.StepRun, load: float, now: float
    ) -> None:
        """Learn the load of a step, and how far its tasks differ, from one of them."""
        known = self.step_load.get(step_run)
        if known is None:
            self.step_load[step_run] = StepLoad(load, load, now)
            return
        deviation = load - known.load
        self.spread += SPREAD_LEARNING_RATE * (deviation**2 - self.spread)
        self.step_load[step_run] = known.updated(load, now)

    def _expected_load(
        self,
        task: progress.Task,
        utilization: float,
        shares: dict[str, float],
        now: float,
    ) -> LoadEstimate:
        """Return what the load of a task should be, without its present latency."""
        factor = 1 + self.added_load_factor(task.step.image, shares)
        unknown = LoadEstimate(utilization / factor, UNKNOWN_LOAD_VARIANCE, now)
        own = self.load.get(task.name, unknown)
        of_step = self.step_load.get(task.step_run)
        if of_step is None:
            return LoadEstimate(own.load, own.variance_at(now), now)
        others = LoadEstimate(of_step.load, self.spread, of_step.at)
        return own.combined(others, now)

    def _correct(
        self,
        task: progress.Task,
        expected: LoadEstimate,
        shares: dict[str, float],
        utilization: float,
    ) -> None:
        """Correct a load and the pressures on it by the error of the prediction."""
        load, variance = expected.load, expected.variance
        image = task.step.image
        factor = 1 + self.added_load_factor(image, shares)
        pairs = {(image, other): share for other, share in shares.items()}
        variances = {pair: self._pressure_variance(pair) for pair in pairs}
        total = (
            REPORT_VARIANCE
            + factor**2 * variance
            + sum(
                (load * share) ** 2 * variances[pair] for pair, share in pairs.items()
            )
        )
        error = utilization - min(load * factor, 1.0)
        for pair, share in pairs.items():
            gain = variances[pair] * load * share / total
            self._change_pressure(pair, gain * error)
            self.pressure_variance[pair] = variances[pair] * (1 - gain * load * share)
        gain = variance * factor / total
        self.load[task.name] = LoadEstimate(
            bounded_load(load + gain * error),
            variance * (1 - gain * factor),
            expected.at,
        )

    def _pressure_variance(self, pair: tuple[str, str]) -> float:
        if pair not in self.pressure:
            return PRIOR_PRESSURE_VARIANCE
        return self.pressure_variance.get(pair, RESTORED_PRESSURE_VARIANCE)

    def _change_pressure(self, pair: tuple[str, str], change: float) -> None:
        """Change a pressure, and move the pair to the end, as the one learned last."""
        before = self.pressure.pop(pair, None)
        start = self.typical_pressure if before is None else before
        after = min(max(start + change, 0.0), MAX_PRESSURE)
        self.pressure[pair] = after
        self.pressure_sum += after - (before or 0.0)

    def forget(self, task: progress.Task) -> None:
        """Drop the load of a latency-critical task that ended."""
        self.load.pop(task.name, None)
        self.step_load.pop(task.step_run, None)

    def headroom(self, step: messages.Step, worker: fleet.Worker) -> float:
        """Return the utilization headroom that would remain beside a new task.

        Negative if a latency would come too close to its target, unless best-effort
        work has no part in that; 1 if no task there has a target.
        """
        if not worker.latency_critical_count:
            return 1.0
        critical = [
            task for task in worker.tasks.values() if is_latency_critical(task.step)
        ]
        shares = planned_shares(worker)
        added = step.need.cpus / worker.entry.capacity.cpus
        shares[step.image] = shares.get(step.image, 0.0) + added
        return min((self._headroom_of(task, shares) for task in critical), default=1.0)

    def _headroom_of(
        self, task: progress.Task, shares: cabc.Mapping[str, float]
    ) -> float:
        """Return the headroom of one latency-critical task beside best-effort work."""
        step = task.step
        load = self.load_of(task)
        added = load * self.added_load_factor(step.image, shares)
        limit = self.utilization(step, step.latency_target * PLACEMENT_TARGET_SHARE)
        if added <= NEGLIGIBLE_UTILIZATION:
            return max(limit - load - added, 0.0)
        return limit - load - added

    def load_of(self, task: progress.Task) -> float:
        """Return the load of a latency-critical task in a moment, or a default.

        While demand rises, that is more than it is now: work that is placed by the
        present load presses hardest when the load has risen.
        """
        known = self.load.get(task.name)
        of_step = self.step_load.get(task.step_run)
        if known is not None:
            load = known.load
        elif of_step is not None:
            load = of_step.load
        else:
            return DEFAULT_LOAD if is_latency_critical(task.step) else 0.0
        rise = max(of_step.trend, 0.0) if of_step is not None else 0.0
        return min(load + rise, MAX_LOAD)


def bounded_load(load: float) -> float:
    """Return the load, within the bounds of a plausible one."""
    return min(max(load, MIN_LOAD), MAX_LOAD)


def newest_within(rows: cabc.Sequence[EntryT], max_bytes: int) -> tuple[EntryT, ...]:
    """Return the last entries that take at most `max_bytes` together.

    Images are never forgotten, and callers may name a new one with each job. When all
    were stored, the row exceeded the size limit of the store, and no transaction with
    it was committed.
    """
    kept = []
    for row in reversed(rows):
        size = len(codec.to_json(row).encode()) + 1
        if size <= max_bytes:
            max_bytes -= size
            kept.append(row)
    return tuple(reversed(kept))


def measured_shares(
    worker: fleet.Worker, running: tuple[messages.RunningTask, ...]
) -> dict[str, float]:
    """Return the share of the worker's cores that each best-effort image used."""
    cores = worker.entry.capacity.cpus
    shares: dict[str, float] = {}
    for row in running:
        task = worker.tasks.get(row.task)
        if task is not None and task.step.best_effort and row.measurement > 0:
            image = task.step.image
            shares[image] = shares.get(image, 0.0) + row.measurement / 1000 / cores
    return shares


def planned_shares(worker: fleet.Worker) -> dict[str, float]:
    """Return the share of the worker's cores planned for each best-effort image."""
    cores = worker.entry.capacity.cpus
    shares: dict[str, float] = {}
    for task in worker.tasks.values():
        if task.step.best_effort:
            image = task.step.image
            used = task.step.need.cpus * task.speed_limit / 100 / cores
            shares[image] = shares.get(image, 0.0) + used
    return shares
