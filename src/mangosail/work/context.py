"""What the parts of durable work share."""

import collections.abc as cabc
import dataclasses
import typing as t

from mangosail import clock as clocks
from mangosail.ownership import session
from mangosail.placement import workers
from mangosail.platform import objects
from mangosail.telemetry import counters as telemetry
from mangosail.work import claims, messages, registry

#: Seconds that an order to a worker may take until it counts as lost.
ORDER_TIMEOUT_S = 2.0

#: Told of each piece of work that ended or was evicted here, with its row.
EndListener = cabc.Callable[[messages.Outcome, messages.WorkRow], None]


@dataclasses.dataclass
class Context:
    """One instance's durable work and what it runs on."""

    claims: claims.Claims
    owned: workers.Workers
    lease: session.Session
    clock: clocks.Clock
    counters: telemetry.Counters
    registry: registry.Registry
    #: Tells whether the platform calls a worker gone.
    is_worker_gone: cabc.Callable[[str], bool]
    #: Runs a function in a task of its own.
    spawn: t.Callable[..., t.Any]
    store: objects.Objects | None = None
    end_listeners: list[EndListener] = dataclasses.field(default_factory=list)

    def may_act(self, owned: workers.OwnedWorker) -> bool:
        """Tell whether orders may be sent to the worker now.

        A process that was paused past its lease wakes up with a stale view;
        the lease is what tells it so before it does anything.
        """
        return self.lease.valid() and self.owned.get(owned.name) is owned
