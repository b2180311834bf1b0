"""Why a caller's request about a job was not done."""

import dataclasses

#: Reasons of refusals that another instance may not have.
LOCAL_REASONS = frozenset({"store_away", "catalog_stale", "no_catalog"})


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The job was not stored and never runs; `retry_after` is in seconds."""

    reason: str
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """Whether the request took effect is not known; it may be sent again."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownJob:
    """No such job is kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The request can't be read; `fault` says what is wrong, and where."""

    fault: str
