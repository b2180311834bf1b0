"""The status of an instance, as reported by ``/v1/status``."""

import dataclasses
import typing as t

from mangosail import clock as clocks
from mangosail.jobs import queue
from mangosail.membership import peers as membership
from mangosail.ownership import session
from mangosail.placement import workers
from mangosail.settings import state
from mangosail.telemetry import counters as telemetry
from mangosail.work import runner as work_runner


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Describer:
    """Assembles the status from the components of the instance."""

    jobs: queue.JobQueue
    runner: work_runner.Runner
    settings: state.Settings
    lease: session.Session
    owned_workers: workers.Workers
    peers: membership.Peers
    clock: clocks.Clock
    counters: telemetry.StatsdCounters

    def describe(self, *, ready: bool, draining: bool) -> dict[str, t.Any]:
        """Return the status of an instance that is `ready` or `draining`."""
        return {
            "instance": self.lease.row.instance,
            "data_centre": self.lease.row.data_centre,
            "ready": ready,
            "draining": draining,
            "waiting_tasks": self.jobs.waiting(),
            "running_work": len(list(self.runner.ctx.registry)),
            "settings_age": self.settings.age(),
            "lease_left": self.lease.deadline - self.clock.monotonic(),
            "lease_holds": self.lease.valid(),
            "workers": [worker_status(owned) for owned in self.owned_workers],
            "settings": self.settings.describe(),
            "peers": [peer.listed.name for peer in self.peers.reachable()],
            "counters": self.counters.snapshot(),
        }


def worker_status(owned: workers.OwnedWorker) -> dict[str, t.Any]:
    """Return the status entry of one worker."""
    return {
        "name": owned.name,
        "generation": owned.generation,
        "used": owned.ledger.used,
        "capacity": owned.ledger.capacity,
        "health": health_of(owned),
        "withheld": owned.ledger.withheld(),
        "kept": owned.ledger.kept,
    }


def health_of(owned: workers.OwnedWorker) -> str:
    """Return one word for whether a worker accepts new work, and why if it doesn't."""
    if owned.leaving:
        return "leaving"
    return "taking" if owned.ready else "rebuilding"
