"""Jobs as teams declare them, their rows, and how far they have come."""

import dataclasses
import enum
import hashlib
import typing as t

from mangosail import codec, resources
from mangosail.work import messages as work_messages


class State(enum.StrEnum):
    """Where a job stands."""

    RUNNING = "running"
    #: Cancelled by its team; some tasks may still be on their way to the end.
    CANCELLING = "cancelling"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """`tasks` restartable tasks of one kind; each gets `body` and its index."""

    team: str
    job_id: str
    kind: str
    tasks: int
    needs: resources.Resources
    body: t.Any = None
    #: Starts before all other batch work, and in its place if need be.
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """How many of a job's tasks stand where; the rest waits."""

    running: int = 0
    completed: int = 0
    failed: int = 0
    cancelled: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class JobState:
    """What changes about a job: small, for it is written again and again."""

    team: str
    job_id: str
    #: Instance and run that see to the job.
    holder: str
    incarnation: str
    state: State = State.RUNNING
    counts: Counts = dataclasses.field(default_factory=Counts)
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class JobRow:
    """A job in the table: what was declared, and its end once it has ended.

    While it runs, its state is a row of its own under the data centre that
    took it on, so that only running jobs are scanned for lost holders.
    """

    job: Job
    digest: str
    data_centre: str
    final: JobState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What a team is told of its job."""

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
    """Some of a team's jobs by id; `after` asks for the next, None ends."""

    jobs: tuple[Progress, ...]
    after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A task that a job's holder has no room for."""

    holder: str
    request: work_messages.Request
    urgent: bool = False
    #: True to have batch tasks evicted for an urgent one that finds no room.
    clear: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OfferAnswer:
    """Whether the peer takes the task on, and why not."""

    accepted: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded:
    """What became of a task that a peer took on; an empty outcome is none."""

    team: str
    job_id: str
    request_id: str
    outcome: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The message was taken in."""


def job_key(team: str, job_id: str) -> str:
    """Return the key of a job."""
    return f"job/{team}/{job_id}"


def state_key(data_centre: str, team: str, job_id: str) -> str:
    """Return the key of a running job's state."""
    return f"job-state/{data_centre}/{team}/{job_id}"


def job_digest(job: Job) -> str:
    """Return what tells two jobs under one id apart."""
    return hashlib.sha256(codec.to_json(job).encode()).hexdigest()


def with_changes(state: JobState, /, **changes: t.Any) -> JobState:
    """Return `before` with some fields changed."""
    return dataclasses.replace(state, **changes)


def progress_of(job: Job, state: JobState) -> Progress:
    """Return what a team is told of `job`."""
    counts = state.counts
    begun = counts.running + counts.completed + counts.failed + counts.cancelled
    return Progress(
        job.job_id,
        state.state,
        job.tasks,
        job.tasks - begun,
        counts.running,
        counts.completed,
        counts.failed,
        counts.cancelled,
        state.reason,
    )
