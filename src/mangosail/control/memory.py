"""Keeps the measured memory of a worker below its capacity."""

import result

from mangosail import clock as clocks
from mangosail.dispatch import messages as dispatch_messages
from mangosail.jobs import work
from mangosail.placement import workers
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages

#: Fraction of the memory above which a batch task is evicted. Measurements lag, so a
#: margin is left for allocations until the next one.
EVICTION_THRESHOLD = 0.92


class MemoryGuard:
    """Evicts the task that exceeds its declared memory the most.

    Evictions are not limited by a budget, because all tasks on a worker that runs out
    of memory fail.
    """

    def __init__(
        self, runner: work.WorkRunner, clock: clocks.Clock, counters: telemetry.Counters
    ) -> None:
        self.runner = runner
        self.clock = clock
        self.counters = counters
        #: Wall time of the last eviction by worker; older measurements still include
        #: the evicted task.
        self.evicted_at: dict[str, float] = {}

    def evict_if_short(
        self, owned: workers.OwnedWorker, tasks: list[work_messages.Request]
    ) -> bool:
        """Evict a task if memory is short; return whether it is short."""
        usage = owned.usage
        if usage.memory_gb <= EVICTION_THRESHOLD * owned.worker.capacity.memory_gb:
            return False
        settled = self.evicted_at.get(owned.name, 0.0) + clocks.CLOCK_SKEW_MARGIN_S
        if usage.measured_at <= settled or not tasks:
            return True
        worst = max(tasks, key=lambda request: overshoot(usage, request))
        evicted = self.runner.evict(work_messages.task_id_of(worst), "memory")
        if isinstance(evicted, result.Err):
            self.counters.count("control.not_evicted.failed")
            return True
        self.evicted_at[owned.name] = self.clock.wall()
        self.counters.count("control.evicted.memory")
        return True


def overshoot(usage: dispatch_messages.Usage, request: work_messages.Request) -> float:
    """Return by how many gigabytes a task exceeds its declared memory."""
    measured = usage.tasks.get(work_messages.task_id_of(request))
    if measured is None:
        return 0.0
    return measured.memory_gb - request.needs.memory_gb
