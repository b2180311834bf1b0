"""Throttling of best-effort tasks beside latency-critical ones.

When a tail latency has been too high for a moment, the tasks that raise it most are
paused. They resume once the model predicts that the latency allows it, or are moved to
another worker.
"""

import dataclasses

import logbook

from mangosail.scheduler import fleet, interference, messages, progress

log = logbook.Logger("throttling")

#: Share of the target from which a tail latency counts as too high. Latencies fluctuate
#: by half within seconds, and reports are half a second old.
HIGH_TARGET_SHARE = 0.8
#: Share of the target below which best-effort work may speed up again.
LOW_TARGET_SHARE = 0.5
#: Seconds for which a latency must be high before best-effort work is throttled. Users
#: tolerate a high latency for 4 s.
HIGH_LATENCY_S = 0.3
#: Seconds after a change of speed during which latencies still reflect the earlier
#: speed.
SETTLE_S = 0.55
#: Seconds of a high latency after which all best-effort work beside it is paused if it
#: is over its target: two decisions by the model have not been enough.
THROTTLE_ALL_S = 1.4
#: Seconds for which a task is paused before it is moved to another worker.
STUCK_S = 1.2
#: Utilization that a task may add without being paused after others were.
NEGLIGIBLE_ADDED = interference.NEGLIGIBLE_UTILIZATION / 4


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedLimit:
    """The speed in percent that a task should have from now on."""

    task: progress.Task
    percent: int


class Throttler:
    """Chooses speed limits from the loads and pressures of the model."""

    def __init__(self, model: interference.Model) -> None:
        self.model = model

    def limits(
        self,
        worker: fleet.Worker,
        running: tuple[messages.RunningTask, ...],
        now: float,
    ) -> list[SpeedLimit]:
        """Return the changes of speed that the latencies on a worker require."""
        record_latencies(worker, running, now)
        best_effort = running_best_effort(worker)
        if not best_effort or now < worker.throttled_at + SETTLE_S:
            return []
        high = [
            task
            for task in worker.tasks.values()
            if task.latency_high_since is not None
            and now - task.latency_high_since >= HIGH_LATENCY_S
        ]
        if high:
            slow_downs = self._slow_downs(worker, best_effort, high, now)
            log_slow_downs(worker, running, high, slow_downs, now)
            return slow_downs
        if worker.target_share < LOW_TARGET_SHARE:
            return self._speed_ups(worker, best_effort)
        return []

    def _slow_downs(
        self,
        worker: fleet.Worker,
        best_effort: list[progress.Task],
        high: list[progress.Task],
        now: float,
    ) -> list[SpeedLimit]:
        """Pause the tasks that press most until latencies should be low again."""
        longest = max(now - (task.latency_high_since or now) for task in high)
        if longest >= THROTTLE_ALL_S and is_over_target(worker):
            # The model may be wrong about which tasks raise the latency.
            return [SpeedLimit(task, 0) for task in best_effort if task.speed_limit]
        limits: list[SpeedLimit] = []
        worst = min(high, key=lambda task: self._headroom(worker, task))
        headroom = self._headroom(worker, worst)
        active = [task for task in best_effort if task.speed_limit]
        added = {task: self._added_utilization(worker, task, worst) for task in active}
        for task in sorted(active, key=lambda task: added[task], reverse=True):
            if limits and (headroom >= 0 or added[task] <= NEGLIGIBLE_ADDED):
                break
            limits.append(SpeedLimit(task, 0))
            headroom += added[task]
        return limits

    def _headroom(self, worker: fleet.Worker, task: progress.Task) -> float:
        """Return the utilization a latency-critical task has left to its target."""
        step = task.step
        shares = interference.planned_shares(worker)
        utilization = self.model.load_of(task) * (
            1 + self.model.added_load_factor(step.image, shares)
        )
        return (
            self.model.utilization(
                step, step.latency_target * interference.PLACEMENT_TARGET_SHARE
            )
            - utilization
        )

    def _speed_ups(
        self, worker: fleet.Worker, best_effort: list[progress.Task]
    ) -> list[SpeedLimit]:
        """Resume throttled tasks, as far as latencies allow."""
        throttled = [
            task for task in best_effort if task.speed_limit < progress.FULL_SPEED
        ]
        critical = [
            task
            for task in worker.tasks.values()
            if interference.is_latency_critical(task.step)
        ]
        headroom = {task: self._headroom(worker, task) for task in critical}
        limits: list[SpeedLimit] = []
        for task in sorted(throttled, key=lambda task: task.step.need.cpus):
            added = {
                each: self._added_utilization(worker, task, each) for each in critical
            }
            if all(added[each] <= headroom[each] for each in critical):
                limits.append(SpeedLimit(task, progress.FULL_SPEED))
                headroom = {each: headroom[each] - added[each] for each in critical}
        if limits or not throttled:
            return limits
        # The model may be wrong: resuming the smallest task shows whether it is.
        return [
            SpeedLimit(
                min(throttled, key=lambda task: task.step.need.cpus),
                progress.FULL_SPEED,
            )
        ]

    def _added_utilization(
        self, worker: fleet.Worker, best_effort: progress.Task, critical: progress.Task
    ) -> float:
        """Return the utilization that one best-effort task adds at full speed."""
        share = best_effort.step.need.cpus / worker.entry.capacity.cpus
        load_factor = self.model.added_load_factor(
            critical.step.image, {best_effort.step.image: share}
        )
        return load_factor * self.model.load_of(critical)


def running_best_effort(worker: fleet.Worker) -> list[progress.Task]:
    """Return the best-effort tasks that run on a worker, paused or not."""
    return [
        task
        for task in worker.tasks.values()
        if task.step.best_effort and task.phase is progress.Phase.RUNNING
    ]


def record_latencies(
    worker: fleet.Worker, running: tuple[messages.RunningTask, ...], now: float
) -> None:
    """Record since when tail latencies on a worker are high, and the worst one."""
    worker.target_share = 0.0
    for report in running:
        task = worker.tasks.get(report.task)
        if task is None or not interference.is_latency_critical(task.step):
            continue
        target_share = report.measurement / task.step.latency_target
        worker.target_share = max(worker.target_share, target_share)
        if target_share < HIGH_TARGET_SHARE:
            task.latency_high_since = None
        elif task.latency_high_since is None:
            task.latency_high_since = now


def is_over_target(worker: fleet.Worker) -> bool:
    """Return whether a tail latency was over its target at the last report."""
    return worker.target_share >= 1


def next_slow_down_at(worker: fleet.Worker) -> float | None:
    """Return the elapsed time from which work may be throttled; None if not urgent.

    It is urgent beside a latency over its target. Reports that came for other reasons
    made decisions up to 1.2 s apart, and the last one came when the latency had been
    high for 3 s.
    """
    if not is_over_target(worker):
        return None
    if not any(task.speed_limit for task in running_best_effort(worker)):
        return None
    high_since = [
        task.latency_high_since
        for task in worker.tasks.values()
        if task.latency_high_since is not None
    ]
    if not high_since:
        return None
    return max(min(high_since) + HIGH_LATENCY_S, worker.throttled_at + SETTLE_S)


def log_slow_downs(
    worker: fleet.Worker,
    running: tuple[messages.RunningTask, ...],
    high: list[progress.Task],
    slow_downs: list[SpeedLimit],
    now: float,
) -> None:
    """Log what was decided beside a high tail latency, and from what.

    `planned` are the cores that the best-effort tasks should use by their speed limits,
    `used` those that the worker reports for them.
    """
    longest = max(high, key=lambda task: now - (task.latency_high_since or now))
    rows = {row.task: row for row in running}
    row = rows.get(longest.name)
    best_effort = [task for task in worker.tasks.values() if task.step.best_effort]
    cores = worker.entry.capacity.cpus
    planned = sum(interference.planned_shares(worker).values()) * cores
    used = sum(interference.measured_shares(worker, running).values()) * cores
    log.info(
        "tail latency high", task=longest.name, worker=worker.name,
        latency=row.measurement if row else None, target=longest.step.latency_target,
        high_for=round(now - (longest.latency_high_since or now), 3),
        best_effort=len(best_effort), planned=round(planned, 1), used=round(used, 1),
        not_running=sum(t.phase is not progress.Phase.RUNNING for t in best_effort),
        paused=sum(task.speed_limit == 0 for task in best_effort),
        throttled=[limit.task.name for limit in slow_downs],
    )  # fmt: skip


def is_stuck(task: progress.Task, now: float) -> bool:
    """Return whether a best-effort task should move elsewhere from its checkpoint.

    A paused task would wait seconds for the load beside it to fall, while other workers
    have room.
    """
    return (
        task.step.best_effort
        and task.step.checkpointing
        and task.phase is progress.Phase.RUNNING
        and task.speed_limit == 0
        and now - task.throttled_at >= STUCK_S
    )
