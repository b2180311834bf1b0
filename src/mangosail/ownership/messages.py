"""Rows of the table that ownership keeps."""

import dataclasses

from mangosail import resources


@dataclasses.dataclass(frozen=True, slots=True)
class SessionRow:
    """The lease of one run of an instance; everything it holds hangs on it.

    `lease_deadline` is wall time and for people: others judge by how long the
    row's version has not changed, which needs no common clock.
    """

    instance: str
    #: Drawn anew at each start, so that two runs are never taken for one.
    incarnation: str
    data_centre: str
    peer_address: str
    lease_deadline: float
    #: True once somebody found the lease lapsed, or the instance left.
    ended: bool = False
    #: True once the holder itself stopped using all that it held.
    released: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Retention:
    """The most that an earlier owner may still use of a worker, for quotes."""

    instance: str
    incarnation: str
    #: Generation under which it owned the worker, and still starts its quotes.
    generation: int
    budget: resources.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerRow:
    """Who owns a worker: an empty `instance` means nobody."""

    worker: str
    instance: str
    incarnation: str
    generation: int
    #: Earlier owners that have not released the worker and may still live.
    retained: tuple[Retention, ...] = ()

    def retained_budgets(self) -> dict[int, resources.Resources]:
        """Return the most that each earlier owner may still use, by generation."""
        return {held.generation: held.budget for held in self.retained}


def session_key(data_centre: str, instance: str) -> str:
    """Return the key of an instance's session."""
    return f"session/{data_centre}/{instance}"


def owner_key(data_centre: str, worker: str) -> str:
    """Return the key of a worker's owner."""
    return f"owner/{data_centre}/{worker}"


def epoch_key(data_centre: str) -> str:
    """Return the key of the row that each change of an owner row rewrites."""
    return f"owner-epoch/{data_centre}"
