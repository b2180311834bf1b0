"""Durable records of the progress of jobs.

The whole record is rewritten with each change of a job, and many records share one
transaction. One row per task would take a commit and several rows per start.
"""

import dataclasses
import re

from mangosail import codec
from mangosail.scheduler import messages

#: Base and format of the number that is the bit set of a step's done tasks.
DONE_BASE = 16
HEX_DIGITS = re.compile("[0-9a-f]+")


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRecord:
    """Record of a task that has begun and is not done."""

    occurrence: int
    step: int
    index: int
    run: int
    failures: int
    #: Index into the record's workers of the one that may run it; -1 for none.
    worker: int
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class DoneRecord:
    """Bit set of the done tasks of a step, as a hexadecimal number."""

    occurrence: int
    step: int
    tasks: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """Numbers of crashes that are evidence against a suspect, and of certain ones."""

    occurrence: int
    step: int
    index: int
    crashes: int
    certain_crashes: int


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRecord:
    """What else is known of a suspect, so that the next leader can judge a crash."""

    occurrence: int
    step: int
    index: int
    #: Number of its isolated starts of which nobody learned what became of them.
    lost_starts: int
    #: Number of the run that began in isolation, and the wall time until which its
    #: worker certainly holds its lease; 0 if there is none.
    isolated_run: int
    lease_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class AssignmentRecord:
    """Workers on which the next runs of a step's tasks may start without a record."""

    occurrence: int
    step: int
    #: For each task, the index into the record's workers of the one that is assigned to
    #: it; -1 for none. Trailing -1 are left out.
    workers: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRecord:
    """Record of a second run of a task at the same time.

    An empty worker stands for a copy that has ended, whose number is used up.
    """

    occurrence: int
    step: int
    index: int
    run: int
    worker: str


@dataclasses.dataclass(frozen=True, slots=True)
class FailureRecord:
    """Why a job failed, for instances whose logs lack the leader's decision."""

    #: An `endings.Cause`, or that of a later build.
    cause: str
    #: Fencing token of the leader that decided it.
    token: int
    task: str
    run: int
    #: Worker of the last failure or crash; empty if an earlier leader saw it.
    worker: str
    #: Failed runs or crashes of the task.
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class FailedRunRecord:
    """Run of a gang that is counted as failed, and of which members may still end.

    Without it, the next leader would count their failures as further ones.
    """

    occurrence: int
    step: int
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobRecord:
    """Durable record of a job's progress.

    It is rewritten with each change, so it is compact: a done task takes one bit, and
    the rows are `TaskRecord` and `DoneRecord` without field names.
    """

    state: messages.State = messages.State.QUEUED
    workers: tuple[str, ...] = ()
    tasks: tuple[tuple[int, int, int, int, int, int, str], ...] = ()
    done: tuple[tuple[int, int, str], ...] = ()
    #: Rows of `CrashRecord`. Not part of `tasks`, as earlier builds also read its rows.
    crashes: tuple[tuple[int, int, int, int, int], ...] = ()
    #: True if these rows count evidence alone. Earlier builds counted any suspicion.
    crashes_proved: bool = False
    #: Wall time from which the record may be dropped; 0 until the job has ended.
    drop_at: float = 0.0
    #: Rows of `AssignmentRecord`.
    assignments: tuple[tuple[int, int, tuple[int, ...]], ...] = ()
    #: Rows of `CopyRecord`. Not part of `tasks`, as earlier builds also read its rows.
    copies: tuple[tuple[int, int, int, int, str], ...] = ()
    #: Rows of `SuspectRecord`.
    suspects: tuple[tuple[int, int, int, int, int, float], ...] = ()
    #: None unless the job has failed, or if an earlier build recorded it.
    failure: FailureRecord | None = None
    #: Rows of `FailedRunRecord`.
    failed_runs: tuple[tuple[int, int, int], ...] = ()


#: Fields that are left out of the text if they are empty, as earlier builds do not know
#: them.
OPTIONAL_FIELDS = frozenset(
    {
        "assignments", "copies", "crashes_proved", "failed_runs", "failure", "suspects",
    }
)  # fmt: skip


def encode(record: JobRecord) -> str:
    """Encode a record."""
    return codec.to_json_without_empty(record, OPTIONAL_FIELDS)


def decode(text: str) -> JobRecord:
    """Decode a record, or raise `codec.DecodeError`.

    Also raises for rows on which `progress.JobProgress.restore` would fail: one such
    job would make the takeover of all jobs fail.
    """
    record = codec.from_json(text, JobRecord)
    for row in record.tasks:
        if TaskRecord(*row).worker >= len(record.workers):
            raise codec.DecodeError(f"task row with an unknown worker index: {row}")
    for assigned in record.assignments:
        positions = AssignmentRecord(*assigned).workers
        if max(positions, default=-1) >= len(record.workers):
            raise codec.DecodeError(f"assignment to an unknown worker: {assigned}")
    for done in record.done:
        if not HEX_DIGITS.fullmatch(DoneRecord(*done).tasks):
            raise codec.DecodeError(f"done tasks are not a hexadecimal number: {done}")
    check_copies(record)
    return record


def check_copies(record: JobRecord) -> None:
    """Raise `codec.DecodeError` for copies that could not be told from their tasks.

    Runs are told apart by worker, so two of a task on one worker would never be
    settled.
    """
    if not record.copies:
        return
    places = set()
    for row in record.tasks:
        task = TaskRecord(*row)
        if task.worker >= 0:
            name = record.workers[task.worker]
            places.add((task.occurrence, task.step, task.index, name))
    copied = set()
    for each in record.copies:
        copy = CopyRecord(*each)
        numbers = copy.occurrence, copy.step, copy.index
        if copy.run < 1:
            raise codec.DecodeError(f"copy without a run: {each}")
        if numbers in copied or (*numbers, copy.worker) in places:
            raise codec.DecodeError(f"two copies, or one beside its task: {each}")
        copied.add(numbers)
