"""Why durable work was not taken on."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BodyConflict:
    """The request id was used before with another body."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The table does not answer, so nothing was claimed or started."""

    retry_after: float


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The claim's write may stand; ask again for the same request id."""

    retry_after: float
