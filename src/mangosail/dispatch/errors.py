"""What can go wrong between an instance and a target."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The target answered that it did not start the task, and why."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The order certainly never reached the target."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The order was sent and no whole answer came: it may have run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The target ran the task and it failed."""

    reason: str


DispatchError = Refused | NotSent | Lost | Failed
