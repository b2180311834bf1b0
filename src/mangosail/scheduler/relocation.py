"""Moving of tasks that would end sooner on another worker.

These are best-effort tasks that are paused beside latency-critical ones, tasks on slow
workers, and tasks on workers where nothing makes progress. A task is only stopped if
another worker has room for it; the next placement round starts it there.
"""

import collections.abc as cabc

import logbook

from mangosail import clock as clocks
from mangosail.scheduler import (
    fleet,
    messages,
    orders,
    placing,
    progress,
    stragglers,
    throttling,
    worker_speeds,
)
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("relocation")

#: Seconds between searches for tasks that should move.
MOVE_INTERVAL_S = 0.25
#: Maximum seconds that a round spends on this search; no lease is renewed meanwhile.
MOVE_BUDGET_S = 0.02


class Relocator:
    """Stops tasks that should move, a few workers in each round."""

    def __init__(
        self,
        workers: fleet.Fleet,
        placer: placing.Placer,
        speeds: worker_speeds.WorkerSpeeds,
        worker_orders: orders.Orders,
        service_of: cabc.Callable[[messages.Job], str],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.workers = workers
        self.placer = placer
        self.speeds = speeds
        self.orders = worker_orders
        self.service_of = service_of
        self.clock = clock
        self.counters = counters
        #: Elapsed time of the next search, and the workers that are still to be
        #: searched before.
        self.next_move_at = 0.0
        self.workers_to_search: list[fleet.Worker] = []

    def move_some(self, now: float) -> None:
        """Stop tasks on some workers for which others have room.

        Searching all workers in one round would keep the processor for so long after a
        change of leader that the new one loses its lease.
        """
        if not self.workers_to_search:
            if now < self.next_move_at:
                return
            self.next_move_at = now + MOVE_INTERVAL_S
            self.workers_to_search = list(self.workers)
        deadline = self.clock.elapsed() + MOVE_BUDGET_S
        while self.workers_to_search:
            self._move_from(self.workers_to_search.pop(), now)
            if self.clock.elapsed() >= deadline:
                return

    def _move_from(self, worker: fleet.Worker, now: float) -> None:
        if not worker.reachable or worker.removed:
            return
        for task in list(worker.tasks.values()):
            if throttling.is_stuck(task, now) and self._fits_elsewhere(task, now):
                self.orders.stop(task, worker, "moved")
        for straggler in stragglers.find_stragglers(worker, now):
            self._move_straggler(straggler, now)
        if worker.name in self.placer.slow_workers:
            self._move_off_slow_worker(worker, now)

    def update_slow_workers(self, now: float) -> None:
        """Let the placer know which workers are too slow for short tasks."""
        slow = worker_speeds.slow_workers(self.workers, now)
        if slow != self.placer.slow_workers:
            log.info(
                "slow workers changed",
                workers=sorted(slow),
                before=len(self.placer.slow_workers),
            )
            self.counters.count("rounds.slow_workers_changed")
        self.placer.slow_workers = slow

    def _move_off_slow_worker(self, worker: fleet.Worker, now: float) -> None:
        """Stop tasks that would end sooner if they continued on another worker."""
        for task in list(worker.tasks.values()):
            if task.relocations >= stragglers.MAX_MOVES or task.copy is not None:
                continue
            if not self.speeds.worth_moving(task, worker, now):
                continue
            if self._fits_elsewhere(task, now):
                task.relocations += 1
                self.orders.stop(task, worker, "slow")

    def _fits_elsewhere(self, task: progress.Task, now: float) -> bool:
        service = self.service_of(task.job.job)
        return self.placer.has_room(task.step_run, service, now)

    def _move_straggler(self, straggler: stragglers.Straggler, now: float) -> None:
        task, worker = straggler.task, straggler.worker
        before = worker.avoid_until
        worker.avoid_until = now + stragglers.QUARANTINE_S
        if not self._fits_elsewhere(task, now):
            worker.avoid_until = before
            return
        task.relocations += 1
        task.avoided_worker = worker.name
        self.orders.stop(task, worker, "stalled")
