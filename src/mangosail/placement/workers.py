"""The workers that this instance owns, each with its ledger and its target."""

import collections.abc as cabc

from mangosail import resources
from mangosail.dispatch import messages as dispatch_messages
from mangosail.dispatch import target as targets
from mangosail.placement import ledger
from mangosail.platform import inventory


class OwnedWorker:
    """A worker under this instance's ownership."""

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
        #: False until the ledger was rebuilt from the worker's own list.
        self.ready = False
        #: True once the worker leaves: what runs goes on, nothing is added.
        self.leaving = worker.standing is not inventory.Standing.LIVE
        #: Monotonic time at which the worker is handed over whatever still runs,
        #: or None while it is kept.
        self.handover_deadline: float | None = None
        #: True while batch work is kept off to hold the tail of quotes.
        self.closed_to_batch = False
        #: Kinds of batch task that may come all the same: they slow no quotes.
        self.harmless_kinds: cabc.Collection[str] = ()
        #: Id of the one batch task that may start here, or empty for any.
        self.reserved_for = ""
        #: False while the worker's reports don't come.
        self.reachable = True
        #: The last usage measurement, which lags.
        self.usage = dispatch_messages.Usage()
        #: The run of the worker that its last report came from.
        self.boot = ""

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.worker.name

    def accepts(self) -> bool:
        """Tell whether new work may be started here."""
        if not self.ready or not self.reachable or self.leaving:
            return False
        return self.handover_deadline is None

    def summary(self) -> dict[str, object]:
        """Return what a log line tells of the worker's room for quotes."""
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
        """Return the cores that nothing has reserved."""
        return self.ledger.free().cpus

    def accepts_batch(self, task_id: str, kind: str) -> bool:
        """Tell whether the batch task `batch` of `kind` may be started here."""
        if self.reserved_for:
            return self.reserved_for == task_id
        return not self.closed_to_batch or kind in self.harmless_kinds


class Workers:
    """All workers that this instance owns, by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, OwnedWorker] = {}

    def __iter__(self) -> cabc.Iterator[OwnedWorker]:
        return iter(list(self.by_name.values()))

    def get(self, name: str) -> OwnedWorker | None:
        """Return the worker `name` if this instance owns it."""
        return self.by_name.get(name)

    def add(self, owned: OwnedWorker) -> None:
        """Enter a worker that was taken."""
        self.by_name[owned.name] = owned

    def remove(self, name: str) -> None:
        """Forget a worker that is no longer owned."""
        self.by_name.pop(name, None)

    def fitting(
        self,
        needs: resources.Resources,
        durable: bool = True,
        batch_task_id: str = "",
        kind: str = "",
    ) -> list[OwnedWorker]:
        """Return the workers on which `needs` can be started now.

        `batch` is the id of a batch task of `kind`; empty for other work.
        """
        return [
            owned
            for owned in self
            if owned.accepts()
            and needs.fits_in(owned.ledger.free(durable))
            and (not batch_task_id or owned.accepts_batch(batch_task_id, kind))
        ]

    def free(self) -> resources.Resources:
        """Return what is free for quotes on all workers that take new work."""
        free = [owned.ledger.free(durable=False) for owned in self if owned.accepts()]
        return sum(free, resources.Resources())
