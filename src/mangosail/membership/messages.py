"""Messages in which instances report their state to each other."""

import dataclasses

from mangosail import resources
from mangosail.platform import inventory


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """An instance's state, sent to each peer periodically."""

    instance: str
    incarnation: str
    data_centre: str
    free: resources.Resources
    #: True while the instance shuts down and accepts no new work.
    draining: bool = False
    #: All settings changes up to this one are in force on the sender.
    settings_sequence: int = 0
    #: Seconds since the sender last read the table; None if it never has.
    settings_age: float | None = None
    #: Address on which the sender listens for peers, for receivers that don't have it.
    peer_address: str = ""
    #: True while the sender has never received the platform's list.
    asks_for_peers: bool = False
    #: All instances known to the sender, for a peer that asked for them.
    known: tuple[inventory.EntryInstance, ...] = ()
