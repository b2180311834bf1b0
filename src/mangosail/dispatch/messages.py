"""Messages between an instance and a target."""

import dataclasses
import enum
import typing as t

from mangosail import resources


class TaskState(enum.StrEnum):
    """State of a task as reported by a worker."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    #: The worker guarantees never to run this generation of the task.
    VOID = "void"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A request to run a task.

    `owner_generation` is the ownership generation of the worker; the worker refuses
    generations lower than the highest it has seen. `lease_deadline` is the wall time
    at which the worker stops the task unless the lease is renewed.
    """

    task_id: str
    generation: int
    owner_generation: int
    lease_deadline: float
    team: str
    kind: str
    needs: resources.Resources
    body: t.Any = None
    #: Name of the object with the state from which to resume.
    checkpoint: str = ""
    #: Whether the task may run twice. A worker that evaluates this applies fencing by
    #: generation only to other tasks, since a previous owner may continue to run quotes
    #: on the resources it kept.
    idempotent: bool = False
    #: Wall time after which a worker that evaluates this must not start it; 0 is never.
    start_deadline: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Report of a worker on one task; `seconds` is its run time so far."""

    task_id: str
    generation: int
    state: TaskState
    kind: str = ""
    team: str = ""
    needs: resources.Resources = dataclasses.field(default_factory=resources.Resources)
    seconds: float = 0.0
    #: Completed fraction of the task, from 0 to 1.
    progress: float = 0.0
    answer: t.Any = None
    reason: str = ""
    #: Copied from the start request: its owner, and whether the task may run twice.
    owner_generation: int = 0
    idempotent: bool = False
    #: Boot id of the worker process. It is sent with `void` and `unknown`, which do not
    #: prove anything about an earlier run of the worker.
    boot: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """A lagging usage measurement of a worker, taken at wall time `measured_at`."""

    measured_at: float = 0.0
    cpus: float = 0.0
    memory_gb: float = 0.0
    #: Measured usage of each running task, by task id.
    tasks: dict[str, resources.Resources] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All tasks of a worker at `version`, and its last usage measurement."""

    version: int
    tasks: tuple[Report, ...] = ()
    usage: Usage = dataclasses.field(default_factory=Usage)
    #: True once the worker has announced that it is leaving.
    leaving: bool = False
    #: Boot id, generated whenever the worker starts without its previous state. It may
    #: be empty for a worker that persists its tasks and guarantees.
    boot: str = ""
