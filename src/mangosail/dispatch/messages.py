"""What goes to a target and comes back from it."""

import dataclasses
import enum
import typing as t

from mangosail import resources


class TaskState(enum.StrEnum):
    """What a worker says of a task."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    #: The worker promises never to run this generation of the task.
    VOID = "void"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """An order to run a task.

    `owner_generation` is the generation of the worker's ownership: a worker
    refuses one lower than the highest it has seen. `lease_deadline` is the wall
    time at which the worker itself stops the task unless it is renewed.
    """

    task_id: str
    generation: int
    owner_generation: int
    lease_deadline: float
    team: str
    kind: str
    needs: resources.Resources
    body: t.Any = None
    #: Name of the object that holds the state to resume from.
    checkpoint: str = ""
    #: Whether it may run twice. A worker that knows fences by generation only
    #: what is not: an earlier owner may go on with quotes on what it kept.
    idempotent: bool = False
    #: Wall time after which a worker that knows must not begin it; 0 is never.
    start_deadline: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a worker says of one task: `seconds` is its run time so far."""

    task_id: str
    generation: int
    state: TaskState
    kind: str = ""
    team: str = ""
    needs: resources.Resources = dataclasses.field(default_factory=resources.Resources)
    seconds: float = 0.0
    #: Share of the work that is done, from 0 to 1.
    progress: float = 0.0
    answer: t.Any = None
    reason: str = ""
    #: From the task's start: who ordered it, and whether it may run twice.
    owner_generation: int = 0
    idempotent: bool = False
    #: The run of the worker that says so; told with `void` and `unknown`, which
    #: prove nothing about what an earlier run did.
    boot: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """A lagging measurement of a worker, taken at wall time `measured_at`."""

    measured_at: float = 0.0
    cpus: float = 0.0
    memory_gb: float = 0.0
    #: Measured need of each running task, by task id.
    tasks: dict[str, resources.Resources] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All tasks of a worker at `version`, and its last usage measurement."""

    version: int
    tasks: tuple[Report, ...] = ()
    usage: Usage = dataclasses.field(default_factory=Usage)
    #: True once the worker has said that it is leaving.
    leaving: bool = False
    #: Drawn anew each time that the worker starts without its memory; a worker
    #: that remembers its tasks and promises for good may leave it empty.
    boot: str = ""
