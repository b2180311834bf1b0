"""Immutable data of the scheduler: jobs, worker reports, worker entries, configuration.

A job consists of steps, a step of tasks. A scheduled job repeats its steps as
occurrences. Mutable state is in `progress` and `fleet`.
"""

import dataclasses
import enum

from mangosail import limits as request_limits
from mangosail import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A number of equal tasks and their requirements on workers."""

    count: int
    need: resources.Resources
    #: Rough estimate of the seconds that a task takes.
    estimate: float = 0.0
    #: Numbers of earlier steps whose tasks must all be done first.
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    #: All tasks run at the same time or not at all.
    gang: bool = False
    same_rack: bool = False
    #: Label that the worker must have; empty for any worker.
    label: str = ""
    #: Rack that holds the input data; empty for no preference.
    data_rack: str = ""
    #: Maximum number of the step's tasks on one worker; 0 for no limit.
    most_per_worker: int = 0
    copies_allowed: bool = False
    #: The tasks run until the job is cancelled.
    continuous: bool = False
    image: str = ""
    #: Target for the tail latency of a latency-critical task, in milliseconds.
    latency_target: float = 0.0
    #: The tasks use only idle processor time and reserve none.
    best_effort: bool = False
    #: Tasks of a continuous step that the scheduler may have stopped at a time.
    may_miss: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """An accepted job."""

    job_id: str
    queue: str
    service: str
    spec: str
    steps: tuple[Step, ...]
    #: Wall time at which the job was accepted.
    accepted_at: float
    priority: int = 0
    #: Number of failed runs of a task after which the job fails.
    attempts: int = 1
    #: Number of times that the steps run.
    occurrences: int = 1
    #: Wall time at which the first occurrence is due; 0 for immediately.
    first_due: float = 0.0
    #: Seconds between the due times of occurrences.
    interval: float = 0.0
    #: Whether its queue needed advice at the hand-in.
    needs_advice: bool = False
    #: Version of the configuration at the hand-in; 0 in rows of earlier builds.
    catalog_version: int = 0

    @property
    def scheduled(self) -> bool:
        """Return whether the occurrences have due times."""
        return self.first_due > 0

    def due(self, occurrence: int) -> float:
        """Return the wall time before which an occurrence must not start."""
        if not self.scheduled:
            return self.accepted_at
        return self.first_due + occurrence * self.interval


class State(enum.StrEnum):
    """State of a job, as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


#: Terminal states of a job.
FINAL = frozenset({State.COMPLETED, State.FAILED, State.CANCELLED})


class Outcome(enum.StrEnum):
    """Outcome of a run."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    #: The worker's lease expired.
    LEASE_EXPIRED = "lapsed"
    #: Another member of the gang ended.
    GANG_BROKEN = "broken"
    #: Other members of the gang did not start in time.
    GANG_INCOMPLETE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a worker reports as running."""

    task: str
    run: int
    checkpoint: str
    progress_percent: int
    #: Tail latency in milliseconds for a latency-critical task; for any other task, the
    #: processor use of the last half second in thousandths of a core.
    measurement: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run; `number` counts the ends of one incarnation of the worker."""

    number: int
    task: str
    run: int
    outcome: Outcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer of a worker to a poll; `clock` is the worker's own, in milliseconds."""

    clock: int
    running: tuple[RunningTask, ...]
    ended: tuple[RunEnd, ...]
    #: Incarnation that answers, as in the worker's entry; None if not reported.
    incarnation: int | None = None
    #: False if the worker may have further ends, which one answer had no room for. A
    #: run that is not listed may have ended then.
    complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to a worker to start a run, invalid after `deadline`."""

    task: str
    run: int
    spec: str
    checkpoint: str
    #: On the worker's clock, in milliseconds.
    deadline: int
    token: int
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker in the platform's list."""

    name: str
    service: str
    address: str
    data_centre: str
    capacity: resources.Resources
    labels: frozenset[str]
    draining: bool = False
    #: Minimum seconds for which a draining worker goes on working.
    remaining: float | None = None
    #: Unix milliseconds at which this incarnation of the worker started. Not monotonic,
    #: as the wall clock may jump. None if not reported: then each incarnation has a
    #: name of its own.
    incarnation: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A route for job submissions, and the scheduling policy of its jobs."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    #: Seconds within which a caller of this queue must be answered.
    timeout: float
    #: A job should end within this multiple of the time that it takes on its own, plus
    #: `target` seconds.
    stretch: float = 1.0
    target: float = 0.0
    #: True if its tasks may only run on workers that the advice service approves.
    needs_advice: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers."""

    name: str
    #: True if its workers refuse tasks that do not fit.
    checks_admission: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the operator's configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: request_limits.Limits = request_limits.DEFAULT


def step_name(job_id: str, occurrence: int, step: int) -> str:
    """Return the name of a step in one occurrence of its job."""
    return f"{job_id}.{occurrence}.{step}"


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task, which is the same for all of its runs.

    >>> task_name("5c0e7a21d94b36f8", 0, 1, 17)
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{step_name(job_id, occurrence, step)}.{index}"
