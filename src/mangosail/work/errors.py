"""Reasons for which durable work is refused, not evicted or not cancelled."""

import dataclasses

from mangosail.work import messages


@dataclasses.dataclass(frozen=True, slots=True)
class BodyConflict:
    """The request id is in use with a different body."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The table does not answer, so the state of the request is not known."""

    retry_after: float
    reason: str = "store_unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """A write or an order may have taken effect; retry with the same request id."""

    retry_after: float
    reason: str = messages.UNDECIDED


@dataclasses.dataclass(frozen=True, slots=True)
class PeersSilent:
    """Peers that may know how lost work ended have not answered yet."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotEvicted:
    """The task keeps running or has ended; `reason` says why it was not evicted."""

    reason: str
