"""Reasons for which a request about a job was not carried out."""

import dataclasses

#: Refusal reasons that are local to an instance and may not apply to its peers.
LOCAL_REASONS = frozenset({"store_away", "catalog_stale", "no_catalog"})


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The job was not stored and will never run; `retry_after` is in seconds."""

    reason: str
    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """It is unknown whether the request took effect; it may be repeated."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownJob:
    """There is no job with this id."""


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The request is malformed; `fault` describes the error and its location."""

    fault: str
