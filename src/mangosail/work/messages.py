"""Rows, requests and outcomes of durable work."""

import dataclasses
import enum
import typing as t

from mangosail import resources


class State(enum.StrEnum):
    """Where a piece of durable work stands."""

    #: Claimed by an instance for a worker; it may or may not have started.
    CLAIMED = "claimed"
    #: Taken off its worker with a checkpoint; waits to be resumed.
    EVICTED = "evicted"
    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    #: It may have run, and its worker is gone: nobody will ever know.
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


#: States that never change again.
FINAL_STATES = frozenset(
    {
        State.COMPLETED,
        State.FAILED,
        State.NOT_RUN,
        State.UNKNOWN,
        State.CANCELLED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A piece of durable work as a caller asks for it."""

    team: str
    request_id: str
    kind: str
    needs: resources.Resources
    body: t.Any
    #: Whether it may be started again after it may have run.
    restartable: bool = False
    #: The job that the work is a task of, or empty.
    job: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkRow:
    """The one record of a piece of work, in the table."""

    request: Request
    digest: str
    state: State
    #: Instance and run that hold the claim.
    holder: str
    incarnation: str
    #: Drawn anew at each attempt to write a claim, to recognise our own.
    attempt: str
    #: Moves on by one with each start; a worker runs each at most once.
    generation: int
    worker: str
    #: Wall time at which the holder's claim ends.
    lease_deadline: float
    answer: t.Any = None
    reason: str = ""
    checkpoint: str = ""
    #: Whether any generation of it may have run.
    started: bool = False
    #: The run of the worker that was known before the claim. A start reaches
    #: that run or a later one; only the same run can promise that none did.
    boot: str = ""


class OutcomeKind(enum.StrEnum):
    """The three outcomes of durable work."""

    #: It was started and has come to a known end, whole answer or failure.
    COMPLETED = "completed"
    #: A promise: no worker has run it and none will.
    NOT_RUN = "not_run"
    #: It may be running, or run later; ask again under the same request id.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller is told.

    Work that ran and failed, or was cancelled after it had started, is
    `completed` with `failed` set; `state` tells which of them it was.
    """

    request_id: str
    outcome: str
    answer: t.Any = None
    reason: str = ""
    state: str = ""
    failed: bool = False
    started: bool = False
    #: Seconds after which it is worth asking again; None if this is final.
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """Until when the tasks of one worker may run, as wall time.

    One row for each worker, so that a renewal costs one write however many
    tasks run there.
    """

    worker: str
    lease_deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedWork:
    """Durable work passed on, once; the peer answers within `timeout`."""

    request: Request
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWork:
    """A cancellation passed on to the instance that holds the work."""

    team: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkAnswer:
    """Whether the peer refused to claim; all else is in the work's row."""

    refused: bool


def task_id_of(request: Request) -> str:
    """Return the task id under which workers know the request."""
    return f"{request.team}/{request.request_id}"


def lease_key(worker: str) -> str:
    """Return the key of the lease of a worker's tasks."""
    return f"tasklease/{worker}"


def work_key(team: str, request_id: str) -> str:
    """Return the key of a piece of work."""
    return f"work/{team}/{request_id}"


def placed_key(worker: str, team: str, request_id: str) -> str:
    """Return the key that lists a piece of work under its worker."""
    return f"placed/{worker}/{team}/{request_id}"
