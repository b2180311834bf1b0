"""The types of operators' settings, checked by pydantic.

Units are part of the names: `_seconds`, `_gb`, cores for `cpus`. An unknown
field is an error, so that a misspelt one is not silently ignored.
"""

import enum

import pydantic

from mangosail import resources


class Mode(enum.StrEnum):
    """How a service's operation is carried out."""

    #: Latency-critical and idempotent: answered in the same exchange.
    QUOTE = "quote"
    #: Runs at most once; its outcome can be asked for again.
    TASK = "task"
    #: A stream of events that resumes after a sequence number.
    WATCH = "watch"


class Strict(pydantic.BaseModel):
    """Base of all settings: immutable, with no unknown fields."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")


class Needs(Strict):
    """What a piece of work declares to need."""

    cpus: float = pydantic.Field(1.0, gt=0, le=1024)
    memory_gb: float = pydantic.Field(1.0, ge=0, le=65536)
    accelerators: int = pydantic.Field(0, ge=0, le=64)

    def as_resources(self) -> resources.Resources:
        """Return the needs with the one slot that every task takes."""
        return resources.Resources(self.cpus, self.memory_gb, self.accelerators, 1, 1)


class Operation(Strict):
    """One operation of a service."""

    mode: Mode
    needs: Needs = pydantic.Field(default_factory=lambda: Needs.model_validate({}))
    #: How long callers are ready to wait when they don't say so themselves.
    deadline_seconds: float = pydantic.Field(2.0, gt=0, le=3600)


class Quota(Strict):
    """What a team may have running at a time; unused shares are lent."""

    cpus: float = pydantic.Field(64.0, gt=0)
    accelerators: int = pydantic.Field(0, ge=0)


class Token(Strict):
    """A bearer token, by its SHA-256 in hexadecimal."""

    name: str
    sha256: str = pydantic.Field(pattern="^[0-9a-f]{64}$")
    #: Whether the token may change the team's settings.
    operator: bool = False


class TeamSettings(Strict):
    """A team's subtree."""

    services: dict[str, dict[str, Operation]] = {}
    quota: Quota = pydantic.Field(default_factory=lambda: Quota.model_validate({}))
    tokens: tuple[Token, ...] = ()
