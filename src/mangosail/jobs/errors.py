"""Reasons for which a job is refused or not found."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class Misfit:
    """A field of the submitted job, its value, and what was expected there."""

    field: str
    value: t.Any
    expected: str

    def __str__(self) -> str:
        return f"{self.field}: {self.value!r}: expected {self.expected}"


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed(Misfit):
    """A field is missing, unknown or of the wrong type or range."""


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge(Misfit):
    """One task needs more than any listed worker has; retrying does not help."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotAllowed:
    """The team's settings don't allow it urgent jobs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The job id is in use for a different job."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownJob:
    """The team has no job with this id."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The table does not answer; nothing was written."""

    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The write may have taken effect; submit the same job again to find out."""

    retry_after: float


SubmitError = (
    Malformed | TooLarge | NotAllowed | Conflict | StoreUnavailable | Undecided
)
ReadError = UnknownJob | StoreUnavailable
CancelError = UnknownJob | StoreUnavailable | Undecided
