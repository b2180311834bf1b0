"""Model of how best-effort work raises the tail latencies of tasks beside it.

A latency-critical task behaves like a queue: at a utilization `y`, the share of time
that it is busy, its tail latency is about ``base / (1 - y)``. Best-effort work adds to
that::

    y = load * (1 + sum of pressure[image, best-effort image] * cores / capacity)

The load of each latency-critical task and the pressure of each pair of images are
learned from the latencies that workers report. The model decides where a best-effort
task may start and, with `throttling`, how fast running ones may work.
"""

import collections.abc as cabc
import dataclasses
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
#: Pressure assumed for two images that were never observed together: the relative
#: increase of the load if the best-effort image used all cores of a worker.
DEFAULT_PRESSURE = 6.0
#: Learning rates of loads and pressures, as shares of the error. With these the mean
#: error over the polls of a recorded day was 0.10 of busy time, against 0.29 with loads
#: alone.
LOAD_LEARNING_RATE = 0.25
PRESSURE_LEARNING_RATE = 0.075
#: Bounds on the load of a latency-critical task; they keep a wrong estimate from
#: diverging.
MIN_LOAD = 0.05
MAX_LOAD = 0.95
#: Base latency assumed until latencies were observed, as a share of the target.
DEFAULT_BASE_SHARE = 0.25


def is_latency_critical(step: messages.Step) -> bool:
    """Return whether tasks of the step have a tail latency target."""
    return step.latency_target > 0 and not step.best_effort


def has_high_latency(worker: fleet.Worker) -> bool:
    """Return whether a tail latency on the worker was too high at its last poll."""
    return any(task.latency_high_since is not None for task in worker.tasks.values())


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
        #: Load by name of the latency-critical task.
        self.load: dict[str, float] = {}

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
        self.base = dict(stored.bases)

    def utilization(self, step: messages.Step, latency: float) -> float:
        """Return the utilization of a task with this tail latency."""
        base = self.base.get(step.image, step.latency_target * DEFAULT_BASE_SHARE)
        return 1 - base / max(latency, base * 1.02)

    def added_load_factor(self, image: str, shares: cabc.Mapping[str, float]) -> float:
        """Return what best-effort images add to the load of `image`, as a factor."""
        return sum(
            self.pressure.get((image, other), DEFAULT_PRESSURE) * share
            for other, share in shares.items()
        )

    def learn(
        self, worker: fleet.Worker, running: tuple[messages.RunningTask, ...]
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
                self._learn_latency(task, report.measurement, shares)

    def _learn_latency(
        self, task: progress.Task, latency: float, shares: dict[str, float]
    ) -> None:
        image = task.step.image
        # Removing and reinserting the image moves it to the end, as the one learned
        # last.
        self.base[image] = min(self.base.pop(image, latency), latency)
        utilization = self.utilization(task.step, latency)
        load = self.load.get(task.name)
        if load is None or not shares:
            load = utilization / (1 + self.added_load_factor(image, shares))
            self.load[task.name] = min(max(load, MIN_LOAD), MAX_LOAD)
            return
        error = utilization - min(
            load * (1 + self.added_load_factor(image, shares)), 1.0
        )
        total = sum(share * share for share in shares.values()) + 0.002
        for other, share in shares.items():
            pressure = self.pressure.pop((image, other), DEFAULT_PRESSURE)
            change = PRESSURE_LEARNING_RATE * error * share / total / max(load, 0.2)
            self.pressure[image, other] = max(pressure + change, 0.0)
        load += LOAD_LEARNING_RATE * error
        self.load[task.name] = min(max(load, MIN_LOAD), MAX_LOAD)

    def forget(self, task: progress.Task) -> None:
        """Drop the load of a latency-critical task that ended."""
        self.load.pop(task.name, None)

    def headroom(self, step: messages.Step, worker: fleet.Worker) -> float:
        """Return the utilization headroom that would remain beside a new task.

        Negative if a latency would come too close to its target; 1 if no
        latency-critical task is there.
        """
        if not worker.latency_critical_count:
            return 1.0
        shares = planned_shares(worker)
        added = step.need.cpus / worker.entry.capacity.cpus
        shares[step.image] = shares.get(step.image, 0.0) + added
        return min(
            self.utilization(
                task.step, task.step.latency_target * PLACEMENT_TARGET_SHARE
            )
            - self.load_of(task) * (1 + self.added_load_factor(task.step.image, shares))
            for task in worker.tasks.values()
            if task.step.continuous and not task.step.best_effort
        )

    def load_of(self, task: progress.Task) -> float:
        """Return the load of a latency-critical task, or a default."""
        return self.load.get(task.name, 0.5 if is_latency_critical(task.step) else 0.0)


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
