"""Workers owned by this instance, each with its ledger and its target."""

import collections.abc as cabc

from mangosail import resources
from mangosail.dispatch import messages as dispatch_messages
from mangosail.dispatch import target as targets
from mangosail.placement import ledger
from mangosail.platform import inventory


class OwnedWorker:
    """A worker owned by this instance."""

    def __init__(
        self,
        worker: inventory.Worker,
        generation: int,
        target: targets.Target,
        lease_holds: cabc.Callable[[], bool] = lambda: True,
    ) -> None:
        self.worker = worker
        self.generation = generation
        self.target = target
        self.ledger = ledger.Ledger(worker.capacity, lease_holds)
        #: False until the ledger has been rebuilt from the tasks the worker reports.
        self.ready = False
        #: True once the worker is leaving: running tasks continue, none are added.
        self.leaving = worker.standing is not inventory.Standing.LIVE
        #: Monotonic time at which the worker is handed over even if tasks are still
        #: running, or None if no handover is planned.
        self.handover_deadline: float | None = None
        #: True while batch work is rejected to keep the tail latency of quotes low.
        self.closed_to_batch = False
        #: Kinds of batch task accepted even then, because they do not slow down quotes.
        self.harmless_kinds: cabc.Collection[str] = ()
        #: Id of the only batch task that may start here, or empty for any.
        self.reserved_for = ""
        #: False while polling the worker for reports fails.
        self.reachable = True
        #: The last usage measurement, which lags behind.
        self.usage = dispatch_messages.Usage()
        #: Boot id of the worker process that sent the last report.
        self.boot = ""

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.worker.name

    def accepts(self) -> bool:
        """Return whether new work may be started here."""
        if not self.ready or not self.reachable or self.leaving:
            return False
        return self.handover_deadline is None

    def summary(self) -> dict[str, object]:
        """Return log fields that describe the free capacity for quotes."""
        free = self.ledger.free(durable=False)
        return {
            "worker": self.name,
            "accepts": self.accepts(),
            "reachable": self.reachable,
            "free_slots": free.slots,
            "free_cpus": round(free.cpus, 1),
            "durable": len(self.ledger.reserved) - len(self.ledger.idempotent),
            "quotes": len(self.ledger.idempotent),
        }

    def free_cpus(self) -> float:
        """Return the number of processors that are not reserved."""
        return self.ledger.free().cpus

    def accepts_batch(self, task_id: str, kind: str) -> bool:
        """Return whether the batch task `task_id` of `kind` may be started here."""
        if self.reserved_for:
            return self.reserved_for == task_id
        return not self.closed_to_batch or kind in self.harmless_kinds


class Workers:
    """The workers owned by this instance, by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, OwnedWorker] = {}

    def __iter__(self) -> cabc.Iterator[OwnedWorker]:
        return iter(list(self.by_name.values()))

    def get(self, name: str) -> OwnedWorker | None:
        """Return the worker `name` if this instance owns it."""
        return self.by_name.get(name)

    def add(self, owned: OwnedWorker) -> None:
        """Add a worker of which this instance took ownership."""
        self.by_name[owned.name] = owned

    def remove(self, name: str) -> None:
        """Remove a worker that is no longer owned."""
        self.by_name.pop(name, None)

    def fitting(
        self,
        needs: resources.Resources,
        durable: bool = True,
        batch_task_id: str = "",
        kind: str = "",
    ) -> list[OwnedWorker]:
        """Return the workers with enough free capacity for `needs`.

        `batch_task_id` is the id of a batch task of `kind`; empty for other work.
        """
        return [
            owned
            for owned in self
            if owned.accepts()
            and needs.fits_in(owned.ledger.free(durable))
            and (not batch_task_id or owned.accepts_batch(batch_task_id, kind))
        ]

    def free(self) -> resources.Resources:
        """Return the total capacity free for quotes on workers that accept work."""
        free = [owned.ledger.free(durable=False) for owned in self if owned.accepts()]
        return sum(free, resources.Resources())
