"""Why a change of settings was not made, or is not known to be."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One thing wrong with settings: where, what is there, what was expected."""

    path: str
    value: t.Any
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value!r}: expected {self.expected}"


@dataclasses.dataclass(frozen=True, slots=True)
class BadSettings:
    """The settings are refused whole, for all of `faults`."""

    faults: tuple[Fault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """The change was based on a revision that is not the present one."""

    revision: int
    author: str
    changed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeIdConflict:
    """The change id was used before, for another change."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownRevision:
    """The history holds no such revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The change may or may not stand; asking again with its id clears it up.

    That holds also where the table took nothing this time: the same change may
    have been asked for before, and that write may still be on its way.
    """

    change_id: str
    #: ``undecided`` if an answer was lost this time, else what stood in the way.
    reason: str


#: Everything that a change can fail with.
ChangeError = BadSettings | Superseded | ChangeIdConflict | UnknownRevision | Undecided
