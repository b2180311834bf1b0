"""State shared by the modules of durable work."""

import collections.abc as cabc
import dataclasses
import typing as t

from mangosail import clock as clocks
from mangosail.ownership import session
from mangosail.placement import workers
from mangosail.platform import objects
from mangosail.telemetry import counters as telemetry
from mangosail.work import claims, messages, registry

#: Time after which an unanswered order to a worker counts as lost.
ORDER_TIMEOUT_S = 2.0

#: Called with the outcome and row of each piece of work that ends or is evicted here.
EndListener = cabc.Callable[[messages.Outcome, messages.WorkRow], None]


@dataclasses.dataclass
class Context:
    """The durable work of one instance and its dependencies."""

    claims: claims.Claims
    owned: workers.Workers
    lease: session.Session
    clock: clocks.Clock
    counters: telemetry.Counters
    registry: registry.Registry
    #: Returns whether the platform lists a worker as gone.
    is_worker_gone: cabc.Callable[[str], bool]
    #: Runs a function in a new greenlet.
    spawn: t.Callable[..., t.Any]
    store: objects.Objects | None = None
    end_listeners: list[EndListener] = dataclasses.field(default_factory=list)

    def may_act(self, owned: workers.OwnedWorker) -> bool:
        """Return whether orders may be sent to the worker now.

        A process that was paused past its lease resumes with a stale view; checking
        the lease before each action detects that.
        """
        return self.lease.valid() and self.owned.get(owned.name) is owned
