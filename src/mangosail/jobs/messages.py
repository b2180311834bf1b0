"""Jobs as teams submit them, their rows in the table, and their progress."""

import dataclasses
import enum
import hashlib
import typing as t

from mangosail import codec, resources
from mangosail.work import messages as work_messages


class State(enum.StrEnum):
    """The state of a job."""

    RUNNING = "running"
    #: Cancelled by its team; some of its tasks may not have stopped yet.
    CANCELLING = "cancelling"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """`tasks` restartable tasks of one kind; each receives `body` and its index."""

    team: str
    job_id: str
    kind: str
    tasks: int
    needs: resources.Resources
    body: t.Any = None
    #: Starts before all other batch work, which may be evicted for it.
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """The number of a job's tasks in each state; the rest is waiting."""

    running: int = 0
    completed: int = 0
    failed: int = 0
    cancelled: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class JobState:
    """The mutable part of a job; kept small because it is written repeatedly."""

    team: str
    job_id: str
    #: Name and incarnation of the instance that holds the job.
    holder: str
    incarnation: str
    state: State = State.RUNNING
    counts: Counts = dataclasses.field(default_factory=Counts)
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class JobRow:
    """A job in the table: its specification, and its final state once it has ended.

    While the job runs, its state is a separate row under the data centre that
    accepted it, so that a scan for lost holders reads running jobs only.
    """

    job: Job
    digest: str
    data_centre: str
    final: JobState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The progress of a job as reported to its team."""

    job_id: str
    state: State
    tasks: int
    waiting: int
    running: int
    completed: int
    failed: int
    cancelled: int
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A page of a team's jobs by id; `after` is the next cursor, None on the last."""

    jobs: tuple[Progress, ...]
    after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A task that a job's holder has no capacity for."""

    holder: str
    request: work_messages.Request
    urgent: bool = False
    #: Whether the peer may evict batch tasks to make room for an urgent one.
    clear: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OfferAnswer:
    """Whether the peer accepts the task, and the reason if it does not."""

    accepted: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded:
    """The end of a task that a peer accepted; `outcome` is empty if there is none."""

    team: str
    job_id: str
    request_id: str
    outcome: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The message was received."""


def job_key(team: str, job_id: str) -> str:
    """Return the key of a job."""
    return f"job/{team}/{job_id}"


def state_key(data_centre: str, team: str, job_id: str) -> str:
    """Return the key of a running job's state."""
    return f"job-state/{data_centre}/{team}/{job_id}"


def job_digest(job: Job) -> str:
    """Return a digest that differs between different jobs of one id."""
    return hashlib.sha256(codec.to_json(job).encode()).hexdigest()


def with_changes(state: JobState, /, **changes: t.Any) -> JobState:
    """Return a copy of `state` with some fields replaced."""
    return dataclasses.replace(state, **changes)


def progress_of(job: Job, state: JobState) -> Progress:
    """Return the progress of `job` as reported to its team."""
    counts = state.counts
    started = counts.running + counts.completed + counts.failed + counts.cancelled
    return Progress(
        job.job_id,
        state.state,
        job.tasks,
        job.tasks - started,
        counts.running,
        counts.completed,
        counts.failed,
        counts.cancelled,
        state.reason,
    )
