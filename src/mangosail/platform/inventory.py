"""The platform's list of instances and workers, which lags behind."""

import dataclasses
import enum
import typing as t

import result

from mangosail import resources
from mangosail.platform import errors


class Standing(enum.StrEnum):
    """State of a machine in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class EntryInstance:
    """An entry instance of mangosail; `peer_address` is IP address and port."""

    name: str
    data_centre: str
    peer_address: str
    standing: Standing = Standing.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A worker: the address of its target, and its capacity."""

    name: str
    data_centre: str
    rack: str
    address: str
    capacity: resources.Resources
    standing: Standing = Standing.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All instances and workers that the platform lists; lags behind by seconds."""

    instances: tuple[EntryInstance, ...] = ()
    workers: tuple[Worker, ...] = ()


class Inventory(t.Protocol):
    """Access to the platform's list."""

    def fetch(self) -> result.Result[Listing, errors.Unavailable]:
        """Return the current list."""
