"""How much best-effort work raises the tail latencies of the tasks beside it.

A latency-critical task behaves like a queue: with the share `y` of its time that it is
busy, its tail latency is about ``base / (1 - y)``. Best-effort work adds to that::

    y = load * (1 + sum of pressure[image, best-effort image] * cores / capacity)

The load of each latency-critical task and the pressure of each pair of images are
learned from the latencies in the workers' looks. What is known decides where a
best-effort task may start, and with `throttling` how fast those that run may work.
"""

import collections.abc as cabc
import dataclasses
import typing as t

from mangosail import codec
from mangosail.scheduler import fleet, messages, progress

EntryT = t.TypeVar("EntryT")

#: Bytes of pressures and of bases that are kept, half of a row together: beside a job's
#: record that fills a row, a transaction still takes a narrow link its usual time.
MAX_PRESSURES_BYTES = 18_000
MAX_BASES_BYTES = 6_000
#: Share of the target that a new task may bring a tail latency to.
PLACEMENT_TARGET_SHARE = 0.62
#: Pressure of two images that were not seen together, in shares of busy time for
#: all of a worker's cores.
DEFAULT_PRESSURE = 6.0
#: Share of an error by which the load and the pressures follow a latency. With these
#: the mean error on the looks of a recorded day was 0.10 of busy time, against 0.29
#: with loads alone.
LOAD_LEARNING_RATE = 0.25
PRESSURE_LEARNING_RATE = 0.075
#: Loads that a latency-critical task can have; keeps a wrong guess from running away.
MIN_LOAD = 0.05
MAX_LOAD = 0.95
#: Share of the target that a base is thought to be until latencies were seen.
DEFAULT_BASE_SHARE = 0.25


def is_latency_critical(step: messages.Step) -> bool:
    """Tell whether tasks of the step have a tail latency to hold."""
    return step.latency_target > 0 and not step.best_effort


def has_high_latency(worker: fleet.Worker) -> bool:
    """Tell whether a tail latency on the worker was too high at its last look."""
    return any(task.latency_high_since is not None for task in worker.tasks.values())


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSnapshot:
    """What is worth keeping of a model when another instance leads."""

    #: Latency-critical image, best-effort image, and the pressure.
    pressures: tuple[tuple[str, str, float], ...] = ()
    bases: tuple[tuple[str, float], ...] = ()


class Model:
    """What is known of loads and pressures, and the latencies that follow."""

    def __init__(self) -> None:
        #: Pressure by latency-critical image and best-effort image.
        self.pressure: dict[tuple[str, str], float] = {}
        #: Lowest tail latency seen of an image, in milliseconds.
        self.base: dict[str, float] = {}
        #: Load by name of the latency-critical task.
        self.load: dict[str, float] = {}

    def snapshot(self) -> ModelSnapshot:
        """Return what is to be kept: what was learned last, as far as there is room."""
        pressures = [(*pair, round(p, 2)) for pair, p in self.pressure.items()]
        return ModelSnapshot(
            newest_within(pressures, MAX_PRESSURES_BYTES),
            newest_within([*self.base.items()], MAX_BASES_BYTES),
        )

    def restore(self, learned: ModelSnapshot) -> None:
        """Go on with what an earlier leader has learned."""
        self.pressure = {(first, second): p for first, second, p in learned.pressures}
        self.base = dict(learned.bases)

    def utilization(self, step: messages.Step, latency: float) -> float:
        """Return the share of time that a task with this tail latency is busy."""
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
        """Take in the latencies on a worker, and what worked beside them."""
        shares = measured_shares(worker, running)
        settled = worker.best_effort_images == frozenset(shares)
        worker.best_effort_images = frozenset(shares)
        if not settled:
            return
        for row in running:
            task = worker.tasks.get(row.task)
            if (
                task is not None
                and is_latency_critical(task.step)
                and row.measurement > 0
            ):
                self._learn_latency(task, row.measurement, shares)

    def _learn_latency(
        self, task: progress.Task, latency: float, shares: dict[str, float]
    ) -> None:
        image = task.step.image
        # Taken out and put back, it stands last, as what was learned last.
        self.base[image] = min(self.base.pop(image, latency), latency)
        busy = self.utilization(task.step, latency)
        load = self.load.get(task.name)
        if load is None or not shares:
            load = busy / (1 + self.added_load_factor(image, shares))
            self.load[task.name] = min(max(load, MIN_LOAD), MAX_LOAD)
            return
        error = busy - min(load * (1 + self.added_load_factor(image, shares)), 1.0)
        total = sum(share * share for share in shares.values()) + 0.002
        for other, share in shares.items():
            known = self.pressure.pop((image, other), DEFAULT_PRESSURE)
            step = PRESSURE_LEARNING_RATE * error * share / total / max(load, 0.2)
            self.pressure[image, other] = max(known + step, 0.0)
        load += LOAD_LEARNING_RATE * error
        self.load[task.name] = min(max(load, MIN_LOAD), MAX_LOAD)

    def forget(self, task: progress.Task) -> None:
        """Drop the load of a latency-critical task that ended."""
        self.load.pop(task.name, None)

    def headroom(self, step: messages.Step, worker: fleet.Worker) -> float:
        """Return how much busy time the latencies would leave beside a new task.

        Negative if one would come too close to its target; 1 if no such task is there.
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
        """Return the load of a latency-critical task, or a guess."""
        return self.load.get(task.name, 0.5 if is_latency_critical(task.step) else 0.0)


def newest_within(rows: cabc.Sequence[EntryT], max_bytes: int) -> tuple[EntryT, ...]:
    """Return the last rows that take at most `most` bytes together.

    Images are never forgotten, and who hands jobs in may name a new one each time. When
    all were kept, their row became longer than the store takes, and no transaction
    with it took effect.
    """
    found = []
    for row in reversed(rows):
        size = len(codec.to_json(row).encode()) + 1
        if size <= max_bytes:
            max_bytes -= size
            found.append(row)
    return tuple(reversed(found))


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
    """Return the share of its cores that each best-effort image is to use."""
    cores = worker.entry.capacity.cpus
    shares: dict[str, float] = {}
    for task in worker.tasks.values():
        if task.step.best_effort:
            image = task.step.image
            used = task.step.need.cpus * task.speed_limit / 100 / cores
            shares[image] = shares.get(image, 0.0) + used
    return shares
