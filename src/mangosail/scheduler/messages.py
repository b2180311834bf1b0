"""What jobs, their tasks and the workers' answers look like to the scheduler.

A job consists of steps, a step of tasks. A scheduled job repeats its steps as
occurrences. All of it is frozen; what changes is kept in `progress` and `fleet`.
"""

import dataclasses
import enum

from mangosail import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind, and what they need of the workers that run them."""

    count: int
    need: resources.Resources
    #: Seconds that a task is thought to take; a rough figure.
    estimate: float = 0.0
    #: Earlier steps, by number, whose tasks must all be done first.
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    #: The tasks run at the same time or not at all.
    gang: bool = False
    same_rack: bool = False
    #: Label that the worker must have; empty if any will do.
    label: str = ""
    #: Rack where the data is; empty if it does not matter.
    data_rack: str = ""
    #: Most tasks of the step on one worker; 0 if it does not matter.
    most_per_worker: int = 0
    copies_allowed: bool = False
    #: The tasks run until the job is cancelled.
    continuous: bool = False
    image: str = ""
    #: Milliseconds that the tail of a latency-critical task's response times should
    #: stay under.
    latency_target: float = 0.0
    #: The tasks take only processor time that others leave, and reserve none.
    best_effort: bool = False
    #: Tasks of a continuous step that may be away at a time by our own doing.
    may_miss: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job as it was accepted."""

    job_id: str
    queue: str
    service: str
    spec: str
    steps: tuple[Step, ...]
    #: Wall time at which the job was accepted.
    accepted_at: float
    priority: int = 0
    #: Failed runs of a task after which the job has failed.
    attempts: int = 1
    #: How many times the steps run.
    occurrences: int = 1
    #: Wall time at which the first occurrence is due; 0 if at once.
    first_due: float = 0.0
    #: Seconds between the due times of occurrences.
    interval: float = 0.0

    @property
    def scheduled(self) -> bool:
        """Tell whether the occurrences have due times."""
        return self.first_due > 0

    def due(self, occurrence: int) -> float:
        """Return the wall time before which an occurrence must not start."""
        if not self.scheduled:
            return self.accepted_at
        return self.first_due + occurrence * self.interval


class State(enum.StrEnum):
    """What a job is shown as."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


#: States that a job never leaves.
FINAL = frozenset({State.COMPLETED, State.FAILED, State.CANCELLED})


class Outcome(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    #: The worker's lease ran out.
    LAPSED = "lapsed"
    #: Another member of the gang ended.
    BROKEN = "broken"
    #: The other members of the gang did not come in time.
    ALONE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a worker lists."""

    task: str
    run: int
    checkpoint: str
    progress_percent: int
    #: For a latency-critical task the tail of its response times in milliseconds, for
    #: another one the thousandths of a core that it used in the last half second.
    measurement: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run; `number` counts the ends of one life of the worker."""

    number: int
    task: str
    run: int
    outcome: Outcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker says about itself; `clock` is its own, in milliseconds."""

    clock: int
    running: tuple[RunningTask, ...]
    ended: tuple[RunEnd, ...]
    #: Which life of the worker answers, as in its entry; None if it doesn't say.
    incarnation: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Tells a worker to start a run; it is void after `deadline`."""

    task: str
    run: int
    spec: str
    checkpoint: str
    #: Milliseconds on the worker's clock.
    deadline: int
    token: int
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker as the platform lists it."""

    name: str
    service: str
    address: str
    data_centre: str
    capacity: resources.Resources
    labels: frozenset[str]
    draining: bool = False
    #: Seconds that a draining worker still serves at least.
    remaining: float | None = None
    #: Unix milliseconds at which this life of the worker began. A later life may have a
    #: lower number, as clocks jump. None if it doesn't say: its name tells its life.
    incarnation: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Where jobs of one kind are handed in, and how they are treated."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    #: Seconds that a caller of this queue may be kept waiting.
    timeout: float
    #: A job should end within this multiple of the time that it takes alone, and
    #: `target` seconds more.
    stretch: float = 1.0
    target: float = 0.0
    #: True if only workers that the advice service names may run its tasks.
    needs_advice: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers."""

    name: str
    #: True if its workers refuse what does not fit.
    checks_admission: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a caller sends."""

    body_bytes: int = 262144
    #: Seconds in which a request's headers must have come.
    headers_timeout: float = 3.0
    #: Seconds that a connection may idle between requests.
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the operator's configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()


def step_name(job_id: str, occurrence: int, step: int) -> str:
    """Return the name of a step in one occurrence of its job."""
    return f"{job_id}.{occurrence}.{step}"


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task, which is the same in every run.

    >>> task_name("5c0e7a21d94b36f8", 0, 1, 17)
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{step_name(job_id, occurrence, step)}.{index}"
