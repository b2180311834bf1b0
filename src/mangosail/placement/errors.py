"""Reasons for which work could not be placed; each has a counter."""

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Refusal reasons, as reported to callers and in counters."""

    NO_CAPACITY = "no_capacity"
    TOO_LARGE = "too_large"
    DEADLINE = "deadline"
    QUOTA = "quota"
    #: The job of this work is poisoned: it failed on several healthy workers.
    POISONED = "poisoned"
    NO_WORKERS = "no_workers"


@dataclasses.dataclass(frozen=True, slots=True)
class NotPlaced:
    """Work was not started; `retry_after` is in seconds, None if permanent."""

    reason: Reason
    retry_after: float | None = None
