"""The platform's list as it was last read."""

import result

from mangosail import resources
from mangosail.platform import inventory


class Listed:
    """The newest list, which is kept while the platform can't be reached."""

    def __init__(self, source: inventory.Inventory) -> None:
        self.source = source
        self.listing = inventory.Listing()

    def refresh(self) -> bool:
        """Read the list and tell whether it could be read."""
        found = self.source.fetch()
        if isinstance(found, result.Err):
            return False
        self.listing = found.ok_value
        return True

    def capacities(self) -> list[resources.Resources]:
        """Return what each listed worker can carry, of all data centres."""
        return [worker.capacity for worker in self.listing.workers]

    def live(self, data_centre: str) -> list[inventory.Worker]:
        """Return the workers of a data centre that are there to stay."""
        return [
            worker
            for worker in self.listing.workers
            if worker.data_centre == data_centre
            and worker.standing is inventory.Standing.LIVE
        ]

    def leaving(self) -> list[inventory.Worker]:
        """Return the workers that leave or have left."""
        live = inventory.Standing.LIVE
        return [w for w in self.listing.workers if w.standing is not live]

    def present(self) -> list[str]:
        """Return the names of the instances that are not gone."""
        gone = inventory.Standing.GONE
        return [e.name for e in self.listing.instances if e.standing is not gone]

    def gone(self, worker: str) -> bool:
        """Tell whether the platform lists `worker` as gone."""
        return any(
            listed.name == worker and listed.standing is inventory.Standing.GONE
            for listed in self.listing.workers
        )
