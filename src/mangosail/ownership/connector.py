"""Connections to workers over HTTP."""

import collections.abc as cabc

from mangosail import clock as clocks
from mangosail import resources
from mangosail.dispatch import http as dispatch_http
from mangosail.dispatch import messages as dispatch_messages
from mangosail.placement import workers
from mangosail.platform import inventory
from mangosail.telemetry import counters as telemetry


class HttpConnector:
    """Creates worker handles that may be used while `lease_holds` returns True."""

    def __init__(
        self,
        lease_holds: cabc.Callable[[], bool],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.lease_holds = lease_holds
        self.clock = clock
        self.counters = counters

    def connect(self, worker: inventory.Worker, generation: int) -> workers.OwnedWorker:
        """Return the handle of a worker that was acquired."""
        target = self._target(worker)
        owned = workers.OwnedWorker(worker, generation, target, self.lease_holds)
        # Control calls share the worker's connections with requests.
        owned.ledger.capacity -= resources.Resources(
            connections=dispatch_http.CONTROL_CONNECTIONS
        )
        return owned

    def fetch_snapshot(
        self, worker: inventory.Worker
    ) -> dispatch_messages.Snapshot | None:
        """Return the snapshot of a worker that is not owned, or None if unreachable."""
        return self._target(worker).snapshot(-1, 0.0).ok()

    def _target(self, worker: inventory.Worker) -> dispatch_http.HttpTarget:
        return dispatch_http.HttpTarget(
            worker.address, worker.capacity.connections, self.clock, self.counters
        )
