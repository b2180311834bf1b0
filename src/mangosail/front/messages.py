"""A caller's request inside the program and at peers, and what it is answered."""

import dataclasses
import typing as t

import result

from mangosail.settings import schema

#: Outcomes of a refused request: no attempt at it was sent, or one may have run.
NOT_RUN = "not_run"
UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request for a service's operation; `deadline` is monotonic seconds."""

    request_id: str
    team: str
    service: str
    operation: str
    declared: schema.Operation
    body: t.Any
    deadline: float

    @property
    def kind(self) -> str:
        """Return the kind under which latency is learned."""
        return f"{self.service}.{self.operation}"


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """A whole answer and where it came from."""

    answer: t.Any
    worker: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A final refusal: HTTP status, reason, and when to come back if ever."""

    status: int
    reason: str
    retry_after: float | None = None
    outcome: str = NOT_RUN


#: What a request is answered.
Answer = result.Result[Served, Refusal]


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """A request passed on, once, to a peer that has room.

    `timeout` is what was left of the caller's time when it was sent.
    """

    request_id: str
    team: str
    service: str
    operation: str
    body: t.Any
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """What the peer answered: an HTTP status, and the answer as JSON text."""

    request_id: str
    status: int
    body: str
    retry_after: float | None = None
    worker: str = ""
    data_centre: str = ""
    #: Of a refusal: `not_run` only if no attempt at it was sent.
    outcome: str = UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class DescribeRequest:
    """Asks an instance for its status; sent only when an operator asks."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """An instance's status as JSON text."""

    instance: str
    text: str
