"""Rows, requests and outcomes of durable work."""

import dataclasses
import enum
import typing as t

from mangosail import resources

#: The reason of work of which it is not known whether it was claimed.
UNDECIDED = "undecided"
#: The reason of work whose worker is gone or has lost its state.
WORKER_LOST = "worker_lost"


class State(enum.StrEnum):
    """The state of a piece of durable work."""

    #: Claimed by an instance for a worker, whether or not it has started.
    CLAIMED = "claimed"
    #: Not running, and waiting to be started or to be resumed from a checkpoint.
    EVICTED = "evicted"
    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    #: It may have run, and its worker is gone: the outcome can never be known.
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


#: Final states, which never change.
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
    """A piece of durable work as submitted by a caller."""

    team: str
    request_id: str
    kind: str
    needs: resources.Resources
    body: t.Any
    #: Whether it may be restarted although it may have run already.
    restartable: bool = False
    #: Id of the job to which the work belongs as a task, or empty.
    job: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkRow:
    """The row of a piece of work in the table, its only record."""

    request: Request
    digest: str
    state: State
    #: Name and incarnation of the instance that holds the claim.
    holder: str
    incarnation: str
    #: Random token of each attempt to write, by which an own write is recognised.
    attempt: str
    #: Incremented with each start; a worker runs each generation at most once.
    generation: int
    worker: str
    #: Wall time at which the holder's claim expires.
    lease_deadline: float
    answer: t.Any = None
    reason: str = ""
    checkpoint: str = ""
    #: Whether any generation may have run.
    started: bool = False
    #: Boot id of the worker that was known before the claim. The start order reaches
    #: that boot or a later one; only the same boot can confirm that it never did.
    boot: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """One start of a piece of work; a worker runs it at most once."""

    team: str
    request_id: str
    number: int

    @property
    def task_id(self) -> str:
        """Return the task id under which workers know the work."""
        return f"{self.team}/{self.request_id}"


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """How one generation of a piece of work ended, which holds whoever holds the work.

    It comes from its worker, or from an instance that never sent the start.
    """

    work: Generation
    state: State
    answer: t.Any = None
    reason: str = ""
    checkpoint: str = ""
    started: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FoundEnd:
    """The end of the generation that a peer asked about, if it is known."""

    end: End | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndKept:
    """Whether a peer keeps the end that it was told."""

    kept: bool


class Told(enum.StrEnum):
    """The three outcomes of durable work that callers see."""

    #: It was started and has a known end, with a complete answer or a failure.
    COMPLETED = "completed"
    #: Guaranteed: no worker has run it and none will.
    NOT_RUN = "not_run"
    #: It may be running or run later; ask again under the same request id.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of durable work as reported to callers.

    Work that ran and failed, or was cancelled after it had started, is
    `completed` with `failed` set; `state` distinguishes the two.
    """

    request_id: str
    outcome: str
    answer: t.Any = None
    reason: str = ""
    state: str = ""
    failed: bool = False
    started: bool = False
    #: Seconds after which to ask again; None if the outcome is final.
    retry_after: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """The wall time until which the tasks of one worker may run.

    There is one row per worker, so that a renewal costs one write however many
    tasks run there.
    """

    worker: str
    lease_deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedWork:
    """Durable work forwarded to a peer, one hop; the peer answers within `timeout`."""

    request: Request
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWork:
    """A cancellation forwarded to the holder of the work."""

    team: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkAnswer:
    """Whether the peer refused to claim; everything else is in the work's row."""

    #: True unless the peer has found or written a row of the work.
    refused: bool
    #: Why it can't tell whether there is a row; empty if it has no capacity. Older
    #: builds leave it out, and refuse for want of capacity alone.
    reason: str = ""


def generation_of(row: WorkRow) -> Generation:
    """Return the generation that `row` is about."""
    return Generation(row.request.team, row.request.request_id, row.generation)


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
