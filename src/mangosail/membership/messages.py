"""What instances tell each other of their state."""

import dataclasses

from mangosail import resources
from mangosail.platform import inventory


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """An instance's state, sent to each peer once a second."""

    instance: str
    incarnation: str
    data_centre: str
    free: resources.Resources
    #: True while the instance stops: it takes no new work.
    draining: bool = False
    #: All changes of settings up to this one are in force there.
    settings_sequence: int = 0
    #: Seconds since the table last answered there; None if it never did.
    settings_age: float | None = None
    #: Where the sender listens for peers: one that has no list answers there.
    peer_address: str = ""
    #: True while the sender has never seen the platform's list.
    asks_for_peers: bool = False
    #: All instances that the sender knows, for one that asked.
    known: tuple[inventory.EntryInstance, ...] = ()
