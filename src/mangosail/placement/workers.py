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
        self, worker: inventory.Worker, generation: int, target: targets.Target
    ) -> None:
        self.worker = worker
        self.generation = generation
        self.target = target
        self.ledger = ledger.Ledger(worker.capacity)
        #: False until the ledger was rebuilt from the worker's own list.
        self.ready = False
        #: True once the worker leaves: what runs goes on, nothing is added.
        self.leaving = worker.standing is not inventory.Standing.LIVE
        #: False while the worker's reports don't come.
        self.reachable = True
        #: The last usage measurement, which lags.
        self.usage = dispatch_messages.Usage()

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.worker.name

    def accepts(self) -> bool:
        """Tell whether new work may be started here."""
        return self.ready and self.reachable and not self.leaving


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

    def fitting(self, needs: resources.Resources) -> list[OwnedWorker]:
        """Return the workers on which `needs` can be started now."""
        return [
            owned
            for owned in self
            if owned.accepts() and needs.fits_in(owned.ledger.free())
        ]

    def free(self) -> resources.Resources:
        """Return what is free on all workers that take new work."""
        free = [owned.ledger.free() for owned in self if owned.accepts()]
        return sum(free, resources.Resources())
