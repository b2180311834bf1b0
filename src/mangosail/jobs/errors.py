"""Why a job was not taken on, or not found."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class Misfit:
    """A field of the declaration, its value, and what was expected there."""

    field: str
    value: t.Any
    expected: str

    def __str__(self) -> str:
        return f"{self.field}: {self.value!r}: expected {self.expected}"


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed(Misfit):
    """A field is not what it should be."""


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge(Misfit):
    """One task needs more than the largest listed worker has; this is final."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotAllowed:
    """The team's settings don't allow it urgent jobs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The job id was used before for another job."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownJob:
    """The team has no job of this id."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The table does not answer; nothing was recorded."""

    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The job's write may stand; submit the same job again to find out."""

    retry_after: float


SubmitError = (
    Malformed | TooLarge | NotAllowed | Conflict | StoreUnavailable | Undecided
)
ReadError = UnknownJob | StoreUnavailable
CancelError = UnknownJob | StoreUnavailable | Undecided
