"""What the callers of a soak run saw, and which faults were on when."""

import dataclasses
import threading
import time
import typing as t


@dataclasses.dataclass(frozen=True)
class Call:
    """One exchange of a caller; `status` is None when no whole answer came."""

    role: str  # quote, order, ask, cancel, job
    task_id: str
    instance: str  # or "balancer"
    body: t.Any
    sent_at: float
    ended_at: float
    status: int | None
    answer: t.Any
    headers: dict


@dataclasses.dataclass
class Interval:
    """A fault on `target` from `began` until `ended`."""

    kind: str
    target: str
    began: float
    ended: float = float("inf")

    def overlaps(self, since, until):
        return self.began <= until and self.ended >= since


@dataclasses.dataclass(frozen=True)
class Change:
    """A settings change that an operator was told is accepted."""

    number: int
    accepted_at: float


@dataclasses.dataclass(frozen=True)
class Sighting:
    """Whether `instance` had change `number` in force at `at`."""

    instance: str
    number: int
    at: float


@dataclasses.dataclass
class Watch:
    """A watch over all its resumes, as its reader saw it."""

    subject: str
    total: int
    events: list = dataclasses.field(default_factory=list)
    #: Each point named for resuming, with the last event seen by then.
    points: list = dataclasses.field(default_factory=list)
    resumes: int = 0
    finished: bool = False


class History:
    def __init__(self):
        self.lock = threading.Lock()
        self.calls = []
        self.faults = []
        self.changes = []
        self.sightings = []
        self.watches = []
        self.kills = []  # (worker, wall time)
        self.unexpected_exits = []  # processes that ended by themselves: text
        self.refused_changes = []  # numbers of changes told not_made

    def begin(self, kind, target):
        interval = Interval(kind, target, time.time())
        self.faults.append(interval)
        return interval

    def was_disturbed(self, instance, since, until, kinds):
        """Tell whether a fault bore on `instance` in that time."""
        return any(
            fault.overlaps(since, until)
            and fault.target in (instance, "platform")
            and fault.kind in kinds
            for fault in self.faults
        )
