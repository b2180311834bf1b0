"""Errors of orders to workers, of worker entries and of the leadership."""

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Reason for which a worker rejected an order."""

    #: It has seen a higher fencing token.
    FENCED = "fenced"
    #: The run number is not higher than that of a run that was stopped or ended there.
    SUPERSEDED = "superseded"
    #: The order arrived after its deadline.
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    #: The ticket of the advice service is missing or no longer valid.
    TICKET = "ticket"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The worker did not carry out the order.

    `clock` is the worker's clock in ms, or None if the answer had none.
    """

    reason: Reason
    clock: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unwell:
    """The worker reported itself unhealthy and did not carry out the order."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replaced:
    """Another incarnation answers at the address: the earlier one has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """No answer came; the order may have been carried out, or may still be."""

    reason: str


#: All failures of an order to a worker.
OrderError = Rejected | Unwell | Replaced | Silent


class Fault(enum.StrEnum):
    """Defect of a worker's entry."""

    #: Not decodable: another format, or fields that are missing or of a wrong type.
    UNREADABLE = "unreadable"
    NAME = "name"
    ADDRESS = "address"
    CAPACITY = "capacity"
    STATE = "state"
    #: The current configuration has no pool of that name.
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class BadEntry:
    """An entry that does not describe a usable worker."""

    fault: Fault


class ClaimRefusal(enum.StrEnum):
    """Reason for which an instance that was asked to take the lease did not."""

    #: Another leader holds the lease.
    SUPERSEDED = "superseded"
    STOPPING = "stopping"
    #: It leads by an earlier token than that of the request.
    LEADING = "leading"
    #: It handles another such request, or did so a moment ago.
    BUSY = "busy"
    SLOW = "slow"
    BACKING_OFF = "backing_off"
    #: It has much less processor time than the holder.
    SMALL = "small"
    #: It did not get the row of the lease in time.
    STORE_AWAY = "store_away"
    #: The row is missing, unreadable, or has a lower token than the request.
    ROW_UNUSABLE = "row_unusable"
    CLAIM_FAILED = "claim_failed"
    #: A reason of another build.
    OTHER = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class NotClaimed:
    """The lease was not claimed, or it is unknown whether the claim took effect."""

    reason: ClaimRefusal
    #: Highest token that was seen; 0 if none was.
    token: int = 0


class DeposedError(Exception):
    """Another instance leads, so this one must not make any more decisions."""
