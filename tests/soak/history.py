"""Records what the callers of a soak run observed, and when faults were active."""

import dataclasses
import threading
import time
import typing as t


@dataclasses.dataclass(frozen=True)
class Call:
    """A request and its answer; `status` is None without a complete answer."""

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
    """A fault that affected `target` from `began` until `ended`."""

    kind: str
    target: str
    began: float
    ended: float = float("inf")

    def overlaps(self, since, until):
        return self.began <= until and self.ended >= since


@dataclasses.dataclass(frozen=True)
class Change:
    """A settings change that was reported to an operator as accepted."""

    number: int
    accepted_at: float


@dataclasses.dataclass(frozen=True)
class Sighting:
    """An observation that `instance` had change `number` in force at time `at`."""

    instance: str
    number: int
    at: float


@dataclasses.dataclass
class Watch:
    """A watch as seen by its reader, across all resumes."""

    subject: str
    total: int
    events: list = dataclasses.field(default_factory=list)
    #: Each resume point received, with the last event received before it.
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
        self.unexpected_exits = []  # descriptions of processes that ended by themselves
        self.refused_changes = []  # numbers of changes reported as not_made

    def begin(self, kind, target):
        interval = Interval(kind, target, time.time())
        self.faults.append(interval)
        return interval

    def was_disturbed(self, instance, since, until, kinds):
        """Return whether a fault of `kinds` affected `instance` in that period."""
        return any(
            fault.overlaps(since, until)
            and fault.target in (instance, "platform")
            and fault.kind in kinds
            for fault in self.faults
        )
