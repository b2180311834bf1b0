"""Periodic tasks of a running instance."""

import collections.abc as cabc

import gevent
import logbook
import result

from mangosail import clock as clocks
from mangosail import resources
from mangosail.front import context
from mangosail.membership import peers as membership
from mangosail.ownership import owners
from mangosail.placement import workers
from mangosail.platform import errors, inventory_cache
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("upkeep")

#: Free capacity that a peer must report for an instance without workers to be ready.
MIN_PEER_CAPACITY = resources.Resources(slots=1)


class PeriodicTasks:
    """Greenlets that each repeat a step for as long as the process runs."""

    def __init__(self, clock: clocks.Clock, counters: telemetry.Counters) -> None:
        self.clock = clock
        self.counters = counters

    def start(self, step: cabc.Callable[[], object], interval: float) -> None:
        """Run `step` now, and again `interval` seconds after each time it has ended."""
        gevent.spawn(self._forever, step, interval)

    def _forever(self, step: cabc.Callable[[], object], interval: float) -> None:
        while True:
            try:
                step()
            except Exception:
                # An exception in one step must not end the greenlet that renews the
                # lease or reads the table; it is counted, and the step is repeated.
                self.counters.count("instance.step_failed")
                log.exception("step failed")
            self.clock.sleep(interval)


class Upkeep:
    """Keeps ownership, peers and readiness in sync with the table and the list."""

    def __init__(
        self,
        listing: inventory_cache.InventoryCache,
        ownership: owners.Owners,
        owned_workers: workers.Workers,
        peers: membership.Peers,
        front: context.Front,
    ) -> None:
        self.inventory = listing
        self.owners = ownership
        self.owned_workers = owned_workers
        self.peers = peers
        self.front = front

    def renew(self) -> None:
        """Renew the lease; give up all workers if the session was lost."""
        renewed = self.owners.lease.renew()
        if isinstance(renewed, result.Err) and isinstance(
            renewed.err_value, errors.Conflict
        ):
            self.owners.handle_session_loss()

    def refresh(self) -> None:
        """Read the platform's list, then acquire and give up workers accordingly."""
        if self.inventory.refresh():
            self.peers.update(self.inventory.listing.instances)
            self.owners.absences.update(self.inventory.instance_names())
            self._mark_leaving()
        if self.front.draining:
            return
        self.owners.refresh(self.inventory.live_workers(self.peers.data_centre))
        self.front.ready = bool(self.front.settings.by_team) and self._can_serve()

    def _can_serve(self) -> bool:
        """Return whether own workers, or else a peer, accept new work.

        If there are more instances than workers, some own none and forward their
        requests.
        """
        if any(owned.accepts() for owned in self.owned_workers):
            return True
        return bool(self.peers.with_capacity(MIN_PEER_CAPACITY, self.peers.data_centre))

    def _mark_leaving(self) -> None:
        """Stop sending new work to workers that the platform lists as leaving."""
        for worker in self.inventory.leaving_workers():
            owned = self.owned_workers.get(worker.name)
            if owned is not None:
                owned.leaving = True
