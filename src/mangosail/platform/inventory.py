"""The platform's lagging list of live and leaving instances and workers."""

import dataclasses
import enum
import typing as t

import result

from mangosail import resources
from mangosail.platform import errors


class Standing(enum.StrEnum):
    """What the platform says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class EntryInstance:
    """An entry instance of mangosail: `peer_address` is IP number and port."""

    name: str
    data_centre: str
    peer_address: str
    standing: Standing = Standing.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A worker: where its target listens and how much it can carry."""

    name: str
    data_centre: str
    rack: str
    address: str
    capacity: resources.Resources
    standing: Standing = Standing.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All that the platform lists; it lags behind by seconds."""

    instances: tuple[EntryInstance, ...] = ()
    workers: tuple[Worker, ...] = ()


class Inventory(t.Protocol):
    """The platform's list."""

    def fetch(self) -> result.Result[Listing, errors.Unavailable]:
        """Return the present list."""
