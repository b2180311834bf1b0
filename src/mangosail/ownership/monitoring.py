"""Monitoring of the workers that this instance owns, while it owns them."""

import collections.abc as cabc

import gevent
import logbook

from mangosail import clock as clocks
from mangosail import invariants
from mangosail.dispatch import messages as dispatch_messages
from mangosail.dispatch import monitor
from mangosail.ownership import takeover
from mangosail.placement import workers
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("ownership")


class WorkerMonitors:
    """Runs one monitor per owned worker, and keeps the workers' ledgers up to date.

    Snapshots are processed here first, then by the `listeners`.
    """

    def __init__(
        self,
        owned_workers: workers.Workers,
        listeners: cabc.Sequence[monitor.Listener],
        checks: invariants.Invariants,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.owned_workers = owned_workers
        self.listeners = listeners
        self.invariants = checks
        self.clock = clock
        self.counters = counters
        self.monitors: dict[str, monitor.Monitor] = {}

    def on_taken(self, owned: workers.OwnedWorker) -> None:
        """Start monitoring an acquired worker once earlier owners are fenced off."""
        follower = monitor.Monitor(
            owned.name,
            owned.target,
            (self, *self.listeners),
            self.clock,
            self.counters,
        )
        self.monitors[owned.name] = follower
        gevent.spawn(self._follow, owned, follower)

    def on_lost(self, owned: workers.OwnedWorker) -> None:
        """Stop monitoring a worker that was lost or given up."""
        follower = self.monitors.pop(owned.name, None)
        if follower is not None:
            follower.stopped = True

    def on_snapshot(self, worker: str, snapshot: dispatch_messages.Snapshot) -> None:
        """Update a worker's ledger and state from its snapshot."""
        owned = self.owned_workers.get(worker)
        if owned is None:
            return
        owned.reachable = True
        owned.usage = snapshot.usage
        owned.boot = snapshot.boot
        owned.leaving = owned.leaving or snapshot.leaving
        reports = takeover.running_reports(snapshot)
        if not owned.ready:
            owned.ledger.rebuild(reports, owned.generation)
            owned.ready = True
        owned.ledger.follow(reports, owned.generation)
        self.invariants.check(
            owned.ledger.within_capacity(), "ledger_within_capacity", worker=worker
        )

    def on_unreachable(self, worker: str) -> None:
        """Stop sending new work to a worker that is unreachable."""
        owned = self.owned_workers.get(worker)
        if owned is not None and owned.reachable:
            owned.reachable = False
            self.counters.count("dispatch.worker_unreachable")
            log.warning("worker unreachable", worker=worker)

    def _follow(self, owned: workers.OwnedWorker, follower: monitor.Monitor) -> None:
        if takeover.fence(owned, self.clock, self.counters):
            follower.follow()
