"""Why work could not be placed; each reason is a counter."""

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Reasons of a refusal, as callers and counters see them."""

    NO_CAPACITY = "no_capacity"
    TOO_LARGE = "too_large"
    DEADLINE = "deadline"
    QUOTA = "quota"
    #: The work's job has failed on every worker it was tried on.
    POISONED = "poisoned"
    NO_WORKERS = "no_workers"


@dataclasses.dataclass(frozen=True, slots=True)
class NotPlaced:
    """Nothing was started; `retry_after` is in seconds, None if it is final."""

    reason: Reason
    retry_after: float | None = None
