"""Reasons why a change of settings failed or its outcome is unknown."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One invalid setting: its path, its value and what was expected."""

    path: str
    value: t.Any
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value!r}: expected {self.expected}"


@dataclasses.dataclass(frozen=True, slots=True)
class BadSettings:
    """The settings are invalid and refused as a whole."""

    faults: tuple[Fault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """The change was based on a revision that is no longer the current one."""

    revision: int
    author: str
    changed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeIdConflict:
    """The change id was already used for a different change."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownRevision:
    """The history holds no such revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """It is unknown whether the change was made; a retry with its id will tell.

    This holds even if no write took effect this time: a write of an earlier attempt
    at the same change may still be in progress.
    """

    change_id: str
    #: ``undecided`` if an answer was lost this time, else what prevented the change.
    reason: str


#: All errors of a change.
ChangeError = BadSettings | Superseded | ChangeIdConflict | UnknownRevision | Undecided
