"""Requests of callers, as handled here and as forwarded to peers, and their answers."""

import dataclasses
import typing as t

import result

from mangosail.settings import schema

#: Outcomes of a refused request: no attempt was sent, or one may have run.
NOT_RUN = "not_run"
UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request for a service's operation; `deadline` is a monotonic time."""

    request_id: str
    team: str
    service: str
    operation: str
    declared: schema.Operation
    body: t.Any
    deadline: float

    @property
    def kind(self) -> str:
        """Return the key under which latencies are recorded."""
        return f"{self.service}.{self.operation}"


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """A successful answer, with the worker and data centre that produced it."""

    answer: t.Any
    worker: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A final refusal: HTTP status, reason, and when to retry, if at all."""

    status: int
    reason: str
    retry_after: float | None = None
    outcome: str = NOT_RUN


#: The answer to a request.
Answer = result.Result[Served, Refusal]


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """A request forwarded to a peer, which does not forward it again.

    `timeout` is the caller's remaining time when it was sent.
    """

    request_id: str
    team: str
    service: str
    operation: str
    body: t.Any
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """The peer's answer: an HTTP status, and a JSON text or the reason of a refusal."""

    request_id: str
    status: int
    body: str
    retry_after: float | None = None
    worker: str = ""
    data_centre: str = ""
    #: For a refusal; `not_run` only if no attempt was sent.
    outcome: str = UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class DescribeRequest:
    """Requests an instance's status on behalf of an operator."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """An instance's status as JSON text."""

    instance: str
    text: str
