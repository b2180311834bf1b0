"""A placer over in-memory workers, with a clock that tests control."""

import itertools

from mangosail import resources
from mangosail.placement import choice, messages, placer, workers
from mangosail.platform import inventory
from mangosail.telemetry import counters
from tests.support import memory

CAPACITY = resources.Resources(32, 125, 2, 8, 64)
NEEDS = resources.Resources(2, 2, 0, 1, 1)


class Placing:
    """A placer and its workers; `listed` are the capacities of all listed workers."""

    def __init__(self, *names, policy=choice.Policy.LEARNED, listed=None):
        self.clock = memory.Clock()
        self.workers = workers.Workers()
        self.counters = counters.StatsdCounters(None, 0)
        self.numbers = itertools.count()
        for name in names:
            worker = inventory.Worker(name, "here", "rack-0", "127.0.0.1:1", CAPACITY)
            owned = workers.OwnedWorker(worker, 1, None)
            owned.ready = True
            self.workers.add(owned)
        self.quotas = {}
        self.placer = placer.Placer(
            self.workers,
            policy,
            1,
            self.clock,
            self.counters,
            self.quotas.get,
            lambda: listed or [owned.worker.capacity for owned in self.workers],
        )

    def work(self, kind, work_class=messages.WorkClass.QUOTE, **options):
        task_id = f"team/{next(self.numbers)}"
        return messages.Work(
            task_id,
            options.pop("team", "team"),
            kind,
            options.pop("needs", NEEDS),
            work_class,
            **options,
        )

    def put(self, worker, kind):
        """Add a running batch task to `worker`, bypassing the placer."""
        work = self.work(kind, messages.WorkClass.BATCH)
        self.workers.get(worker).ledger.add(work.task_id, work.needs)
        self.placer.residents.add(work)
