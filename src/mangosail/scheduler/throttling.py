"""How fast best-effort tasks may work beside latency-critical ones.

When a tail latency has been too high for a moment, what raises it most is stopped where
it is, and goes on once the model says that the latency allows it, or elsewhere.
"""

import dataclasses

from mangosail.scheduler import fleet, interference, messages, progress

#: Share of the target at which a tail latency counts as too high. They swing by a half
#: within seconds, and looks are half a second old.
HIGH_TARGET_SHARE = 0.8
#: Share of the target below which best-effort work may speed up again.
LOW_TARGET_SHARE = 0.5
#: Seconds for which a latency must be high until best-effort work is slowed down.
#: Its users bear a high one for 4 s.
HIGH_LATENCY_S = 0.3
#: Seconds after a change of speed in which the latencies still show the earlier one.
SETTLE_S = 0.55
#: Seconds of a high latency after which all best-effort work beside it is slowed down.
THROTTLE_ALL_S = 2.4
#: Seconds for which a task stands still until it is moved to another worker.
STUCK_S = 1.2
#: Speed in percent of a task that is not slowed down.
FULL_SPEED = 100


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedLimit:
    """The speed in percent that a task is to have from now on."""

    task: progress.Task
    percent: int


class Throttler:
    """Chooses speeds from what the model knows of loads and pressures."""

    def __init__(self, model: interference.Model) -> None:
        self.model = model

    def limits(
        self,
        worker: fleet.Worker,
        running: tuple[messages.RunningTask, ...],
        now: float,
    ) -> list[SpeedLimit]:
        """Return the changes of speed that the latencies on a worker ask for."""
        level = self._worst_target_share(worker, running, now)
        best_effort = [
            task
            for task in worker.tasks.values()
            if task.step.best_effort and task.phase is progress.Phase.RUNNING
        ]
        if not best_effort or now < worker.throttled_at + SETTLE_S:
            return []
        suffering = [
            task
            for task in worker.tasks.values()
            if task.latency_high_since is not None
            and now - task.latency_high_since >= HIGH_LATENCY_S
        ]
        if suffering:
            return self._slow_downs(worker, best_effort, suffering, now)
        if level < LOW_TARGET_SHARE:
            return self._speed_ups(worker, best_effort)
        return []

    def _worst_target_share(
        self,
        worker: fleet.Worker,
        running: tuple[messages.RunningTask, ...],
        now: float,
    ) -> float:
        """Note since when each latency is high; return the worst share of a target."""
        worst = 0.0
        for row in running:
            task = worker.tasks.get(row.task)
            if task is None or not interference.is_latency_critical(task.step):
                continue
            level = row.measurement / task.step.latency_target
            worst = max(worst, level)
            if level < HIGH_TARGET_SHARE:
                task.latency_high_since = None
            elif task.latency_high_since is None:
                task.latency_high_since = now
        return worst

    def _slow_downs(
        self,
        worker: fleet.Worker,
        best_effort: list[progress.Task],
        suffering: list[progress.Task],
        now: float,
    ) -> list[SpeedLimit]:
        """Stop what presses most until the latencies should be low again."""
        longest = max(now - (task.latency_high_since or now) for task in suffering)
        if longest >= THROTTLE_ALL_S:
            # What the model spares may be at fault after all.
            return [SpeedLimit(task, 0) for task in best_effort if task.speed_limit]
        cuts: list[SpeedLimit] = []
        worst = min(suffering, key=lambda task: self._headroom(worker, task))
        slack = self._headroom(worker, worst)
        working = [task for task in best_effort if task.speed_limit]
        added = {task: self._added_utilization(worker, task, worst) for task in working}
        for task in sorted(working, key=lambda task: added[task], reverse=True):
            if cuts and slack >= 0:
                break
            cuts.append(SpeedLimit(task, 0))
            slack += added[task]
        return cuts

    def _headroom(self, worker: fleet.Worker, task: progress.Task) -> float:
        """Return how much busy time a latency-critical task has left to its target."""
        step = task.step
        shares = interference.planned_shares(worker)
        busy = self.model.load_of(task) * (
            1 + self.model.added_load_factor(step.image, shares)
        )
        return (
            self.model.utilization(
                step, step.latency_target * interference.PLACEMENT_TARGET_SHARE
            )
            - busy
        )

    def _speed_ups(
        self, worker: fleet.Worker, best_effort: list[progress.Task]
    ) -> list[SpeedLimit]:
        """Let tasks that were slowed down work again, as far as latencies allow."""
        slow = [task for task in best_effort if task.speed_limit < FULL_SPEED]
        critical = [
            task
            for task in worker.tasks.values()
            if interference.is_latency_critical(task.step)
        ]
        slack = {task: self._headroom(worker, task) for task in critical}
        rising: list[SpeedLimit] = []
        for task in sorted(slow, key=lambda task: task.step.need.cpus):
            added = {
                each: self._added_utilization(worker, task, each) for each in critical
            }
            if all(added[each] <= slack[each] for each in critical):
                rising.append(SpeedLimit(task, FULL_SPEED))
                slack = {each: slack[each] - added[each] for each in critical}
        if rising or not slow:
            return rising
        # The model may be wrong: the lightest one shows whether it is.
        return [SpeedLimit(min(slow, key=lambda task: task.step.need.cpus), FULL_SPEED)]

    def _added_utilization(
        self, worker: fleet.Worker, best_effort: progress.Task, critical: progress.Task
    ) -> float:
        """Return the busy time that one best-effort task adds at full speed."""
        share = best_effort.step.need.cpus / worker.entry.capacity.cpus
        pressed = self.model.added_load_factor(
            critical.step.image, {best_effort.step.image: share}
        )
        return pressed * self.model.load_of(critical)


def is_stuck(task: progress.Task, now: float) -> bool:
    """Tell whether a best-effort task should go on elsewhere, from its checkpoint.

    One that is stopped where it is would wait for the load beside it to fall,
    for seconds, while other workers have room.
    """
    return (
        task.step.best_effort
        and task.step.checkpointing
        and task.phase is progress.Phase.RUNNING
        and task.speed_limit == 0
        and now - task.throttled_at >= STUCK_S
    )
