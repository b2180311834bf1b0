"""Simulated workers: tasks that progress with time, and disturb each other."""

import collections.abc as cabc
import dataclasses
import math
import random

import result

from mangosail import clock as clocks
from mangosail.scheduler import errors, messages, progress

#: Tail latency of an undisturbed task at rest, as a share of its target.
BASE_LATENCY_SHARE = 1 / 4.5
#: Mean share of time that a latency-critical task is busy, and how far and with which
#: period in seconds that swings.
MEAN_LOAD = 0.42
LOAD_SWING = 0.6
SWING_PERIOD_S = 10.0
#: Seconds from the start of a latency-critical task until demand reaches it.
DEMAND_DELAY_S = 1.0
#: Share of the pairs of images that disturb each other strongly, and by how much.
HEAVY_SHARE = 0.35
HEAVY_PRESSURE = 6.0
LIGHT_PRESSURE = 0.7
#: Maximum number of ends in one answer to a poll.
MAX_REPORTED_ENDS = 500
#: Highest utilization for which a latency is computed.
MAX_UTILIZATION = 0.98


@dataclasses.dataclass(slots=True)
class Run:
    """A run of a task on a worker, and the work that it has left."""

    task: progress.Task
    number: int
    total: float
    left: float
    started_at: float
    speed_limit: int = 100
    #: Phase of the load of a latency-critical task.
    phase: float = 0.0
    #: Progress as listed, and the time of its last update.
    listed_percent: int = 0
    updated_at: float = 0.0

    @property
    def step(self) -> messages.Step:
        """Return the step of the task."""
        return self.task.step

    @property
    def percent(self) -> int:
        """Return the progress in percent."""
        return int(100 * (1 - self.left / self.total)) if self.total else 0

    def update_listed(self, now: float, interval: float) -> None:
        """Update the progress that the worker lists, at each interval."""
        if now >= self.updated_at + interval:
            self.updated_at = now
            self.listed_percent = self.percent


def find_no_task(name: str) -> progress.Task | None:
    """Return None: there is no leader yet."""
    return None


class Worker:
    """A worker that runs tasks as fast as its cores and throttles allow."""

    def __init__(self, entry: messages.WorkerEntry) -> None:
        self.entry = entry
        self.speed = 1.0
        self.runs: dict[str, Run] = {}
        self.ended: list[messages.RunEnd] = []
        self.end_count = 0
        self.barred: dict[str, int] = {}
        #: True if something has ended since the last poll.
        self.has_news = True

    @property
    def lost(self) -> bool:
        """Return whether it is out of reach and runs nothing."""
        return self.speed == 0

    def end(self, name: str, outcome: messages.Outcome, checkpoint: str = "") -> None:
        """End a run, which the next poll lists."""
        run = self.runs.pop(name)
        self.end_count += 1
        end = messages.RunEnd(self.end_count, name, run.number, outcome, checkpoint)
        self.ended.append(end)
        self.barred[name] = run.number
        self.has_news = True

    def best_effort_speed(self) -> float:
        """Return the speed of best-effort tasks, which share the unused cores."""
        used = wanted = 0.0
        for run in self.runs.values():
            if run.step.best_effort:
                wanted += run.step.need.cpus * run.speed_limit / 100
            elif run.step.continuous:
                used += run.step.need.cpus * MEAN_LOAD
            else:
                used += run.step.need.cpus
        unused = max(self.entry.capacity.cpus - used, 0.0)
        return min(1.0, unused / wanted) if wanted else 1.0

    def advance(self, seconds: float) -> None:
        """Let all runs progress for some seconds, and end those that are done."""
        best_effort_speed = self.best_effort_speed()
        done = []
        for name, run in self.runs.items():
            if run.step.continuous:
                continue
            speed = self.speed * run.speed_limit / 100
            run.left -= (
                seconds * speed * (best_effort_speed if run.step.best_effort else 1)
            )
            if run.left <= 0:
                done.append(name)
        for name in done:
            self.end(name, messages.Outcome.DONE)


class Workers:
    """All simulated workers; implements `ports.WorkerClient`."""

    def __init__(
        self,
        clock: clocks.Clock,
        rand: random.Random,
        progress_interval: float = 0.0,
    ) -> None:
        self.clock = clock
        self.progress_interval = progress_interval
        self.rand = rand
        self.by_name: dict[str, Worker] = {}
        self.pressures: dict[tuple[str, str], float] = {}
        #: Phase of the demand that the tasks of a job serve, by job.
        self.phases: dict[str, float] = {}
        #: Seconds of work that each task has left, by name.
        self.work_left: dict[str, tuple[float, float]] = {}
        #: Finds a task by name.
        self.find_task: cabc.Callable[[str], progress.Task | None] = find_no_task
        #: Core-seconds of runs that were stopped and not kept.
        self.wasted = 0.0
        #: Seconds that latency-critical tasks ran, and were over their target.
        self.critical_seconds = 0.0
        self.harmed_seconds = 0.0
        #: Time since when each latency-critical task is over its target by the
        #: best-effort work beside it, and the longest such time in seconds.
        self.disturbed_since: dict[str, float] = {}
        self.longest_disturbance = 0.0

    def advance(self, seconds: float) -> None:
        """Let all workers run for some seconds."""
        for worker in self.by_name.values():
            if worker.lost:
                continue
            worker.advance(seconds)
            for run in worker.runs.values():
                run.update_listed(
                    self.clock.elapsed() + seconds, self.progress_interval
                )

    def record_harm(self, seconds: float) -> None:
        """Count how long latency-critical tasks were over their target."""
        disturbed = {}
        for worker in self.by_name.values():
            shares = self._shares(worker)
            for run in worker.runs.values():
                if not run.step.continuous:
                    continue
                self.critical_seconds += seconds
                if self._latency(run, shares) <= run.step.latency_target:
                    continue
                self.harmed_seconds += seconds
                if self._latency(run, {}) <= run.step.latency_target:
                    name = run.task.name
                    now = self.clock.elapsed()
                    disturbed[name] = self.disturbed_since.get(name, now)
        self._record_disturbances(disturbed, seconds)

    def _record_disturbances(self, disturbed: dict[str, float], seconds: float) -> None:
        """Record since when tasks are disturbed, and the longest time on end."""
        self.disturbed_since = disturbed
        now = self.clock.elapsed() + seconds
        longest = max((now - since for since in disturbed.values()), default=0.0)
        self.longest_disturbance = max(self.longest_disturbance, longest)

    def lose(self, worker: Worker) -> None:
        """Lose what runs on a worker, which does not answer while its speed is 0."""
        worker.speed = 0.0
        for run in worker.runs.values():
            self._keep(run, saved=False)
        worker.runs.clear()

    def start(
        self, entry: messages.WorkerEntry, order: messages.StartOrder
    ) -> result.Result[int, errors.OrderError]:
        """Start a run, and return the worker's clock."""
        worker = self.by_name[entry.name]
        if worker.lost:
            return result.Err(errors.Silent("lost"))
        if order.run <= worker.barred.get(order.task, 0):
            return result.Err(errors.Rejected(errors.Reason.SUPERSEDED))
        task = self.find_task(order.task)
        if task is None:
            return result.Err(errors.Rejected(errors.Reason.INVALID))
        total, left = self.work_left[order.task]
        phase = self.phases.setdefault(
            task.job.job.job_id, self.rand.uniform(0, 2 * math.pi)
        )
        now = self.clock.elapsed()
        run = Run(task, order.run, total, left, now, phase=phase, updated_at=now)
        run.listed_percent = run.percent
        worker.runs[order.task] = run
        worker.has_news = True
        return result.Ok(self._milliseconds())

    def stop(
        self, entry: messages.WorkerEntry, task: str, run: int, token: int
    ) -> result.Result[int, errors.OrderError]:
        """Stop a run, or prevent its start."""
        worker = self.by_name[entry.name]
        if worker.lost:
            return result.Err(errors.Silent("lost"))
        running = worker.runs.get(task)
        if running is not None and running.number == run:
            saved = running.step.checkpointing
            self._keep(running, saved)
            worker.end(task, messages.Outcome.STOPPED, "saved" if saved else "")
        worker.barred[task] = max(worker.barred.get(task, 0), run)
        return result.Ok(self._milliseconds())

    def throttle(
        self,
        worker: messages.WorkerEntry,
        task: str,
        run: int,
        percent: int,
        token: int,
    ) -> result.Result[int, errors.OrderError]:
        """Limit a run to `percent` of its speed."""
        running = self.by_name[worker.name].runs.get(task)
        if running is not None:
            running.speed_limit = percent
        return result.Ok(self._milliseconds())

    def poll(
        self,
        worker: messages.WorkerEntry,
        token: int,
        acknowledged: int,
        deadline: int | None,
        wait: float,
        out_of_band: bool = False,
    ) -> result.Result[messages.WorkerReport, errors.OrderError]:
        """Return running and ended runs at once."""
        polled = self.by_name[worker.name]
        if polled.lost:
            return result.Err(errors.Silent("lost"))
        polled.ended = [end for end in polled.ended if end.number > acknowledged]
        shares = self._shares(polled)
        running = tuple(
            messages.RunningTask(
                name, run.number, "", run.listed_percent, self._measure(run, shares)
            )
            for name, run in polled.runs.items()
        )
        ended = tuple(polled.ended[:MAX_REPORTED_ENDS])
        polled.has_news = len(ended) < len(polled.ended)
        report = messages.WorkerReport(
            self._milliseconds(),
            running,
            ended,
            worker.incarnation,
            complete=len(ended) < MAX_REPORTED_ENDS,
        )
        return result.Ok(report)

    def _milliseconds(self) -> int:
        return int(self.clock.elapsed() * 1000)

    def _keep(self, run: Run, saved: bool) -> None:
        """Keep the progress of a run that ends early, if it has a checkpoint."""
        done = self.work_left[run.task.name][1] - run.left
        if saved:
            self.work_left[run.task.name] = run.total, run.left
        else:
            self.wasted += done * run.step.need.cpus

    def _measure(self, run: Run, shares: dict[str, float]) -> float:
        if run.step.continuous:
            return self._latency(run, shares)
        return run.step.need.cpus * 1000 * run.speed_limit / 100

    def _shares(self, worker: Worker) -> dict[str, float]:
        """Return the share of a worker's cores that each best-effort image uses."""
        shares: dict[str, float] = {}
        speed = worker.best_effort_speed()
        cores = worker.entry.capacity.cpus
        for run in worker.runs.values():
            if run.step.best_effort:
                used = run.step.need.cpus * speed * run.speed_limit / 100 / cores
                shares[run.step.image] = shares.get(run.step.image, 0.0) + used
        return shares

    def _latency(self, run: Run, shares: dict[str, float]) -> float:
        """Return the tail latency of a latency-critical task in milliseconds."""
        angle = 2 * math.pi * self.clock.elapsed() / SWING_PERIOD_S + run.phase
        begun = self.clock.elapsed() >= run.started_at + DEMAND_DELAY_S
        load = MEAN_LOAD * (1 + LOAD_SWING * math.sin(angle)) * begun
        added = sum(
            self._pressure(run.step.image, image) * share
            for image, share in shares.items()
        )
        utilization = min(load * (1 + added), MAX_UTILIZATION)
        base = run.step.latency_target * BASE_LATENCY_SHARE
        return base / (1 - utilization)

    def _pressure(self, image: str, other: str) -> float:
        pair = image, other
        if pair not in self.pressures:
            heavy = self.rand.random() < HEAVY_SHARE
            self.pressures[pair] = HEAVY_PRESSURE if heavy else LIGHT_PRESSURE
        return self.pressures[pair]
