"""Errors of calls to the platform."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A checked row had another version, so the transaction had no effect."""

    #: Key of a row whose version differed.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not accept the request, which certainly had no effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Uncertain:
    """No answer came; the write may or may not have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TooLong(Uncertain):
    """The declared length of the answer exceeds the limit of its receiver."""


#: All errors of a commit.
CommitError = Conflict | Unavailable | Uncertain
