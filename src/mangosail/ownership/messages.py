"""Table rows used for ownership."""

import dataclasses

from mangosail import resources


@dataclasses.dataclass(frozen=True, slots=True)
class SessionRow:
    """The lease of one run of an instance, on which all that it owns depends.

    `lease_deadline` is a wall time, for information only: other instances go by how
    long the row's version has not changed, which needs no common clock.
    """

    instance: str
    #: Random for each start, so that two runs of an instance are never confused.
    incarnation: str
    data_centre: str
    peer_address: str
    lease_deadline: float
    #: True once another instance found the lease expired, or the holder released it.
    ended: bool = False
    #: True once the holder itself has stopped using everything that it owned.
    released: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Retention:
    """Upper bound of what an earlier owner may still use of a worker, for quotes."""

    instance: str
    incarnation: str
    #: Generation under which it owned the worker, and still starts quotes.
    generation: int
    budget: resources.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerRow:
    """The owner of a worker; an empty `instance` means that it has none."""

    worker: str
    instance: str
    incarnation: str
    generation: int
    #: Earlier owners that have not released the worker and may still be running.
    retained: tuple[Retention, ...] = ()

    def promised(self) -> dict[int, resources.Resources]:
        """Return the budget retained by each earlier owner, by generation."""
        return {held.generation: held.budget for held in self.retained}


def session_key(data_centre: str, instance: str) -> str:
    """Return the key of an instance's session row."""
    return f"session/{data_centre}/{instance}"


def owner_key(data_centre: str, worker: str) -> str:
    """Return the key of a worker's owner row."""
    return f"owner/{data_centre}/{worker}"


def epoch_key(data_centre: str) -> str:
    """Return the key of the row that is rewritten with each change of an owner row."""
    return f"owner-epoch/{data_centre}"
