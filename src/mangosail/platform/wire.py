"""Messages in the formats of the platform, workers and callers.

The names of the fields are theirs. Other modules of this folder convert these to the
messages of the other packages, whose names are those of the program.
"""

import dataclasses

#: Factors between these messages and the program, which counts cores and gigabytes.
MILLICORES_PER_CORE = 1000
MB_PER_GB = 1024


@dataclasses.dataclass(slots=True)
class Row:
    """A row of the store; `value` is base64."""

    key: str
    table: str = ""
    part: str = ""
    value: str = ""
    ver: int = 0
    #: True if the row was removed.
    tombstone: bool = False


@dataclasses.dataclass(slots=True)
class Page:
    """Rows, and the newest version in the store."""

    rows: list[Row] = dataclasses.field(default_factory=list)
    ver: int = 0
    more_pages: bool = False


@dataclasses.dataclass(slots=True)
class Parts:
    """The parts of a table, and the newest version in the store."""

    parts: list[str] = dataclasses.field(default_factory=list)
    ver: int = 0


@dataclasses.dataclass(slots=True)
class Committed:
    """The version that a transaction got."""

    ver: int


@dataclasses.dataclass(slots=True)
class Expected:
    """The version that a row must have; 0 if it must not exist."""

    table: str
    part: str
    key: str
    ver: int


@dataclasses.dataclass(slots=True)
class Put:
    """A new value of a row."""

    table: str
    part: str
    key: str
    value: str


@dataclasses.dataclass(slots=True)
class Removal:
    """A row to remove."""

    table: str
    part: str
    key: str


@dataclasses.dataclass(slots=True)
class Transaction:
    """Changes that apply together or not at all."""

    expected_revision: list[Expected] = dataclasses.field(default_factory=list)
    puts: list[Put] = dataclasses.field(default_factory=list)
    remove: list[Removal] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class JobStep:
    """A step of a job that a caller submits."""

    count: int = 0
    cpu: float = 0
    mem_mb: float = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: list[int] = dataclasses.field(default_factory=list)
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    constraints: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_miss: int = 0


@dataclasses.dataclass(slots=True)
class JobBody:
    """A job that a caller submits."""

    steps: list[JobStep]
    spec: str = ""
    repeat_count: int = 0
    first_run_ms: float = 0
    interval_ms: float = 0


@dataclasses.dataclass(slots=True)
class Route:
    """A queue in the operator's configuration."""

    name: str
    host: str = ""
    path_prefix: str = "/"
    service: str = ""
    timeout_ms: float = 3000
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_duration_ms: float = 0
    advice: dict | None = None


@dataclasses.dataclass(slots=True)
class Service:
    """A pool of workers in the operator's configuration."""

    name: str
    admission_check: bool = False


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits on requests in the operator's configuration."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


@dataclasses.dataclass(slots=True)
class Config:
    """The operator's configuration."""

    version: int
    routes: list[Route] = dataclasses.field(default_factory=list)
    services: list[Service] = dataclasses.field(default_factory=list)
    limits: Limits = dataclasses.field(default_factory=Limits)


@dataclasses.dataclass(slots=True)
class Capacity:
    """Capacity of a worker: millicores, megabytes, accelerators."""

    cpu: float
    mem_mb: float
    gpu: int


@dataclasses.dataclass(slots=True)
class Entry:
    """A worker's description of itself; fields without a default are required."""

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    #: Milliseconds for which it remains slow after its start.
    cold_remaining_ms: float
    #: Number of times that the worker has written its entry.
    sequence: int
    capacity: Capacity
    labels: list[str]
    #: Minimum time in milliseconds for which a draining worker still serves.
    remaining_ms: float | None = None
    #: Unix milliseconds at which this incarnation started; older workers omit it.
    born: int | None = None


@dataclasses.dataclass(slots=True)
class RunStop:
    """An order to stop a run."""

    task: str
    run: int
    fencing_token: int


@dataclasses.dataclass(slots=True)
class Pace:
    """An order to limit the speed of a run to a percentage."""

    task: str
    run: int
    percent: int
    fencing_token: int


@dataclasses.dataclass(slots=True)
class OrderAnswer:
    """A worker's answer to an order."""

    clock_ms: float | None = None
    reason: str = ""


@dataclasses.dataclass(slots=True)
class HeldRuns:
    """A worker's answer to a poll; rows are lists in the protocol's field order."""

    clock_ms: float
    born: int | None = None
    running: list[list] = dataclasses.field(default_factory=list)
    ended: list[list] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class AdviceRequest:
    """A request for the workers that may run a step."""

    step: str
    workers: list[str]


@dataclasses.dataclass(slots=True)
class AdviceAnswer:
    """Workers that may run a step, each with its ticket."""

    good: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    valid_ms: float = 0


@dataclasses.dataclass(slots=True)
class StatePage:
    """A job's state, as returned to its caller."""

    state: str


@dataclasses.dataclass(slots=True)
class PendingPage:
    """The number of waiting jobs of a queue."""

    pending: int
