"""Errors of requests from an instance to a target."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The target refused to start the task for the given reason."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The request is certain not to have reached the target."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent but no complete answer arrived: it may have run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The target ran the task, which failed."""

    reason: str


DispatchError = Refused | NotSent | Lost | Failed
