"""What can go wrong between the scheduler and workers, and for its leadership."""

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Why a worker rejected an order."""

    #: It has seen a higher fencing token.
    FENCED = "fenced"
    #: The run is not higher than one that was stopped or ended there.
    SUPERSEDED = "superseded"
    #: The order came after its deadline.
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    #: The ticket of the advice service is missing or no longer valid.
    TICKET = "ticket"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The worker did nothing; `clock` is its own in ms, or None if it gave none."""

    reason: Reason
    clock: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unwell:
    """The worker says that it is not healthy; it did nothing."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Replaced:
    """Another life of the worker answers at the address: the earlier one is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """No answer came; the order may have been carried out, now or later."""

    reason: str


#: Everything that an order to a worker can fail with.
OrderError = Rejected | Unwell | Replaced | Silent


class DeposedError(Exception):
    """Another instance leads: this one must not decide anything any more."""
