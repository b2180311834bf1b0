"""The types of operators' settings, validated by pydantic.

Names carry their unit: `_seconds`, `_gb`; `cpus` are cores. An unknown field is an
error, so that a misspelt one is not silently ignored.
"""

import enum
import typing as t

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
    """Base of all settings: immutable, unknown fields are rejected."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")


class Aim(enum.StrEnum):
    """What a team may want kept low or high when not all can be had."""

    #: The tail latency of its services.
    TAIL = "tail"
    #: How much of its work is evicted.
    EVICTIONS = "evictions"
    #: How much batch work gets done.
    THROUGHPUT = "throughput"


#: The name of a service, an operation or a token.
Name = t.Annotated[str, pydantic.StringConstraints(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]

#: Limits on services of a team, operations of a service, and tokens of a team.
MAX_SERVICES = 64
MAX_OPERATIONS = 64
MAX_TOKENS = 256


class Needs(Strict):
    """What a piece of work declares to need."""

    cpus: float = pydantic.Field(1.0, gt=0, le=1024, description="Cores.")
    memory_gb: float = pydantic.Field(
        1.0, ge=0, le=65536, description="Memory in gigabytes."
    )
    accelerators: int = pydantic.Field(
        0, ge=0, le=64, description="Whole accelerators."
    )

    def as_resources(self) -> resources.Resources:
        """Return the needs with the one slot that every task takes."""
        return resources.Resources(self.cpus, self.memory_gb, self.accelerators, 1, 1)


class Operation(Strict):
    """One operation of a service."""

    mode: Mode = pydantic.Field(
        description="quote: answered in the same exchange; task: runs at most "
        "once; watch: a stream of events."
    )
    needs: Needs = pydantic.Field(
        default_factory=lambda: Needs.model_validate({}),
        description="What one request takes of a worker.",
    )
    deadline_seconds: float = pydantic.Field(
        2.0,
        gt=0,
        le=3600,
        description="Seconds that callers wait when they don't say so themselves.",
    )
    target_p99_seconds: float | None = pydantic.Field(
        None,
        gt=0,
        le=3600,
        description="Seconds within which 99 of 100 answers are wanted; none "
        "leaves the operation out of the control loop.",
    )

    @pydantic.model_validator(mode="after")
    def _target_within_deadline(self) -> "Operation":
        target = self.target_p99_seconds
        if target is not None and target > self.deadline_seconds:
            raise ValueError("target_p99_seconds at most deadline_seconds")
        return self


class Quota(Strict):
    """What a team may have running at a time; unused shares are lent."""

    cpus: float = pydantic.Field(64.0, gt=0, le=1_000_000, description="Cores.")
    accelerators: int = pydantic.Field(
        0, ge=0, le=100_000, description="Whole accelerators."
    )


class Token(Strict):
    """A bearer token, by its SHA-256 in hexadecimal."""

    name: Name = pydantic.Field(description="Names the token in the history.")
    sha256: str = pydantic.Field(
        pattern="^[0-9a-f]{64}$", description="SHA-256 of the token, in hexadecimal."
    )
    operator: bool = pydantic.Field(
        False, description="Whether the token may read and change the settings."
    )


class TeamSettings(Strict):
    """A team's subtree."""

    services: dict[
        Name,
        t.Annotated[dict[Name, Operation], pydantic.Field(max_length=MAX_OPERATIONS)],
    ] = pydantic.Field(
        default_factory=dict,
        max_length=MAX_SERVICES,
        description="Operations by service and name.",
    )
    quota: Quota = pydantic.Field(
        default_factory=lambda: Quota.model_validate({}),
        description="What the team may have running at a time.",
    )
    weights: tuple[Aim, ...] = pydantic.Field(
        (Aim.TAIL, Aim.EVICTIONS, Aim.THROUGHPUT),
        description="The three aims, the weightiest first.",
    )
    urgent: bool = pydantic.Field(
        False, description="Whether the team may submit urgent work."
    )
    tokens: tuple[Token, ...] = pydantic.Field(
        (), max_length=MAX_TOKENS, description="Who may call, and who may operate."
    )

    @pydantic.field_validator("weights")
    @classmethod
    def _each_aim_once(cls, value: tuple[Aim, ...]) -> tuple[Aim, ...]:
        if sorted(value) != sorted(Aim):
            raise ValueError("each of tail, evictions, throughput once")
        return value

    @pydantic.field_validator("tokens")
    @classmethod
    def _names_once(cls, value: tuple[Token, ...]) -> tuple[Token, ...]:
        if len({token.name for token in value}) != len(value):
            raise ValueError("each token name once")
        return value
