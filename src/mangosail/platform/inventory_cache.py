"""Cache of the platform's list."""

import result

from mangosail import resources
from mangosail.platform import inventory


class InventoryCache:
    """The newest list, which is kept while the platform is unreachable."""

    def __init__(self, source: inventory.Inventory) -> None:
        self.source = source
        self.listing = inventory.Listing()

    def refresh(self) -> bool:
        """Read the list, and tell whether that succeeded."""
        found = self.source.fetch()
        if isinstance(found, result.Err):
            return False
        self.listing = found.ok_value
        return True

    def capacities(self) -> list[resources.Resources]:
        """Return the capacities of the listed workers of all data centres."""
        return [worker.capacity for worker in self.listing.workers]

    def live_workers(self, data_centre: str) -> list[inventory.Worker]:
        """Return the live workers of a data centre."""
        return [
            worker
            for worker in self.listing.workers
            if worker.data_centre == data_centre
            and worker.standing is inventory.Standing.LIVE
        ]

    def leaving_workers(self) -> list[inventory.Worker]:
        """Return the workers that are leaving or gone."""
        live = inventory.Standing.LIVE
        return [w for w in self.listing.workers if w.standing is not live]

    def instance_names(self) -> list[str]:
        """Return the names of the instances that are not gone."""
        gone = inventory.Standing.GONE
        return [e.name for e in self.listing.instances if e.standing is not gone]

    def is_worker_gone(self, worker: str) -> bool:
        """Tell whether the platform lists `worker` as gone."""
        return any(
            listed.name == worker and listed.standing is inventory.Standing.GONE
            for listed in self.listing.workers
        )
