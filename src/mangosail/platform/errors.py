"""What can go wrong when the platform is asked."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A checked row had another version, so nothing of the transaction holds."""

    #: Key of a row whose version differed.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not take the request; it certainly had no effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Uncertain:
    """No answer came; the write may or may not have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TooLong(Uncertain):
    """The answer says that it is longer than its receiver will read."""


#: Everything that a commit can fail with.
CommitError = Conflict | Unavailable | Uncertain
