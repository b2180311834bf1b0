"""How far a job has come: its tasks, their runs, and the record that is kept.

The record is rewritten whole with each change of a job, many jobs to one
transaction. A row for each task cost a commit and several rows a start.
"""

import collections.abc as cabc
import dataclasses
import enum
import re

from mangosail import codec
from mangosail.platform import table
from mangosail.scheduler import messages, sizes


class Phase(enum.IntEnum):
    """Where a task stands."""

    WAITING = 0
    #: A run is planned, or its start was sent and not yet answered.
    STARTING = 1
    RUNNING = 2
    #: The start's answer was lost: the run may be there, or come later.
    DOUBTFUL = 3
    #: The run is to end; it holds its room until its end is listed.
    STOPPING = 4
    DONE = 5


#: Base and form of the number whose bits say which tasks of a step are done.
DONE_BASE = 16
DONE_TASKS = re.compile("[0-9a-f]+")
#: Phases in which a run may exist on a worker.
LIVE = frozenset({Phase.STARTING, Phase.RUNNING, Phase.DOUBTFUL, Phase.STOPPING})


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRecord:
    """What is kept of a task that is neither as new nor done."""

    occurrence: int
    step: int
    index: int
    run: int
    failures: int
    #: Position in the record's workers of the one that may run it; -1 if none.
    worker: int
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class DoneRecord:
    """Which tasks of a step are done, one bit each, as a hexadecimal number."""

    occurrence: int
    step: int
    tasks: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """How many workers may have crashed under a task, and how many clearly did."""

    occurrence: int
    step: int
    index: int
    crashes: int
    certain_crashes: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobRecord:
    """What is kept of a job's progress.

    It is written again with each change, so what is known of most tasks takes a bit
    each, and the rows are those of `TaskRecord` and `DoneRecord` without names.
    """

    state: messages.State = messages.State.QUEUED
    workers: tuple[str, ...] = ()
    tasks: tuple[tuple[int, int, int, int, int, int, str], ...] = ()
    done: tuple[tuple[int, int, str], ...] = ()
    #: Rows of `CrashRecord`; not in `tasks`, whose rows earlier builds read too.
    crashes: tuple[tuple[int, int, int, int, int], ...] = ()
    #: Wall time from which the record may be dropped; 0 while the job is not over.
    drop_at: float = 0.0


class Task:
    """A task of a job; at most one run of it exists at a time."""

    __slots__ = (
        "avoided_worker",
        "certain_crashes",
        "checkpoint",
        "crashes",
        "failures",
        "from_beginning",
        "index",
        "job",
        "latency_high_since",
        "listed",
        "name",
        "not_before",
        "phase",
        "progress_percent",
        "progressed_at",
        "relocations",
        "run",
        "sample_at",
        "sample_percent",
        "sample_run",
        "speed_limit",
        "start_confirmed",
        "start_sent_at",
        "started_at",
        "step_run",
        "stop_confirmed_at",
        "suspect",
        "throttled_at",
        "worker",
    )

    def __init__(self, step_run: "StepRun", index: int) -> None:
        self.step_run = step_run
        self.job = step_run.job
        self.index = index
        self.name = messages.task_name(
            step_run.job.job.job_id, step_run.occurrence, step_run.number, index
        )
        self.phase = Phase.WAITING
        #: Number of the latest run; 0 before the first.
        self.run = 0
        self.failures = 0
        #: Workers that may have crashed under it, and those that clearly did.
        self.crashes = 0
        self.certain_crashes = 0
        #: True while it may have crashed a worker right after its start.
        self.suspect = False
        #: Name of the worker that may run it; empty if none does.
        self.worker = ""
        self.checkpoint = ""
        #: Progress of the present run as last listed, and since when it stands.
        self.progress_percent = 0
        self.progressed_at = 0.0
        self.started_at = 0.0
        #: Elapsed time at which this leader sent the present run's start; None if it
        #: has not.
        self.start_sent_at: float | None = None
        #: True once its worker has answered the present run's start, or listed the run.
        self.start_confirmed = False
        #: True once a look at the present life of its worker has listed the run.
        self.listed = False
        #: True if the present run began without a checkpoint.
        self.from_beginning = False
        #: Elapsed time, progress and run at the look from which speed is judged.
        self.sample_at = 0.0
        self.sample_percent = 0
        self.sample_run = 0
        #: How often it was moved for standing still.
        self.relocations = 0
        #: Share of its speed in percent that the run was last allowed.
        self.speed_limit = 100
        #: Elapsed time at which its speed was last changed.
        self.throttled_at = 0.0
        #: Elapsed time before which no further run starts.
        self.not_before = 0.0
        #: Elapsed time since when the tail of a latency-critical task is too high.
        self.latency_high_since: float | None = None
        #: Elapsed time at which the worker answered the run's stop, if it has.
        self.stop_confirmed_at: float | None = None
        #: Worker on which a run failed; another one is tried next.
        self.avoided_worker = ""

    @property
    def step(self) -> messages.Step:
        """Return what the task needs."""
        return self.step_run.step

    @property
    def live(self) -> bool:
        """Tell whether a run may exist on a worker."""
        return self.phase in LIVE

    @property
    def has_record(self) -> bool:
        """Tell whether it is neither as new nor done, and so has a row."""
        if self.phase is Phase.DONE:
            return False
        return self.run > 0 or self.phase is not Phase.WAITING


class StepRun:
    """The tasks of a step in one occurrence of its job."""

    __slots__ = (
        "advice_pending",
        "allowed_workers",
        "approved_workers",
        "blocked_since",
        "done_count",
        "full_search_at",
        "job",
        "log_rate_sum",
        "measured_runs",
        "measured_seconds",
        "next_advice_at",
        "number",
        "occurrence",
        "rate_samples",
        "refused_workers",
        "searched_change",
        "step",
        "tasks",
        "tickets",
        "tickets_valid_until",
    )

    def __init__(self, job: "JobProgress", occurrence: int, number: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.step = job.job.steps[number]
        self.tasks = [Task(self, index) for index in range(self.step.count)]
        #: How many of the tasks are done.
        self.done_count = 0
        #: Seconds that whole runs of its tasks took together, and their count.
        self.measured_seconds = 0.0
        self.measured_runs = 0
        #: Sum of the logarithms of its tasks' progress in a second, and their count.
        self.log_rate_sum = 0.0
        self.rate_samples = 0
        #: Elapsed time since when some of the tasks have found no room.
        self.blocked_since: float | None = None
        #: Number of the latest change of a worker at its last search that left tasks
        #: over, and elapsed time from which all workers are searched again.
        self.searched_change = 0
        self.full_search_at = 0.0
        #: Tickets by worker, where the queue needs them, and until when they hold.
        self.tickets: dict[str, str] = {}
        self.tickets_valid_until = 0.0
        #: Workers that may run it now; None if any may.
        self.allowed_workers: frozenset[str] | None = None
        #: Workers that may, and may not, run the step; this does not change.
        self.approved_workers: set[str] = set()
        self.refused_workers: set[str] = set()
        #: True while a call for advice is on its way; elapsed time of the next one.
        self.advice_pending = False
        self.next_advice_at = 0.0

    @property
    def name(self) -> str:
        """Return the step's name."""
        return messages.step_name(self.job.job.job_id, self.occurrence, self.number)

    @property
    def failures(self) -> int:
        """Return the most failed runs that count against one task, or the gang."""
        failures = [task.failures for task in self.tasks]
        return sum(failures) if self.step.gang else max(failures)

    @property
    def all_done(self) -> bool:
        """Tell whether all tasks are done."""
        return self.done_count == len(self.tasks)

    def any_waiting(self) -> bool:
        """Tell whether a task waits to be started."""
        return any(task.phase is Phase.WAITING for task in self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks that wait to be started."""
        return [task for task in self.tasks if task.phase is Phase.WAITING]


class JobProgress:
    """A job that is not over, or whose last runs have yet to end."""

    def __init__(self, job: messages.Job, key: str = "") -> None:
        self.job = job
        #: Key of the row that holds the job.
        self.key = key
        self.state = messages.State.QUEUED
        self.cancelled = False
        #: True once a worker has said that a task of it runs or has ended. It comes
        #: later than `RUNNING`, which is recorded before the first start is sent.
        self.started = False
        self.steps = {
            (occurrence, number): StepRun(self, occurrence, number)
            for occurrence in range(job.occurrences)
            for number in range(len(job.steps))
        }
        #: Bytes that the record has for tasks that are not done, and whether some of
        #: these may have to wait until others make room.
        self.spare_bytes = sizes.spare_bytes(job)
        count = sum(len(step_run.tasks) for step_run in self.steps.values())
        self.tight = (
            count * (sizes.TASK_BYTES + sizes.MAX_NAME_BYTES) > self.spare_bytes
        )
        #: Wall time from which the record may be dropped, once the job is over.
        self.drop_at = 0.0
        #: True once its row was given to be cleared.
        self.cleanup_requested = False

    @property
    def ended(self) -> bool:
        """Tell whether the job has reached a state that it never leaves."""
        return self.state in messages.FINAL

    def tasks(self) -> cabc.Iterator[Task]:
        """Go through all tasks."""
        for step_run in self.steps.values():
            yield from step_run.tasks

    def find_task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return a task by its numbers, or None if the job has no such task."""
        step_run = self.steps.get((occurrence, step))
        if step_run is None or not 0 <= index < len(step_run.tasks):
            return None
        return step_run.tasks[index]

    def ready_steps(self, wall: float) -> list[StepRun]:
        """Return the steps whose turn has come at wall time `wall`."""
        if self.ended or self.cancelled:
            return []
        return [
            step_run
            for step_run in self.steps.values()
            if self._may_run(step_run, wall)
        ]

    def _may_run(self, step_run: StepRun, wall: float) -> bool:
        if step_run.all_done:
            return False
        job = self.job
        if job.scheduled and wall < job.due(step_run.occurrence):
            return False
        return all(
            self.steps[step_run.occurrence, earlier].all_done
            for earlier in step_run.step.after
        )

    def all_done(self) -> bool:
        """Tell whether every task is done."""
        return all(step_run.all_done for step_run in self.steps.values())

    def mark_done(self, task: Task) -> None:
        """Note that a run of the task ended done."""
        if task.phase is not Phase.DONE:
            task.phase = Phase.DONE
            task.step_run.done_count += 1
        task.worker = ""
        task.checkpoint = ""

    def select_recordable(self, step_run: StepRun, tasks: list[Task]) -> list[Task]:
        """Return those of a step's waiting tasks that the record may have room for.

        Those that have a row already come first. When all began, the record of a job
        of thousands was longer than a row may be, and the leader sent it for ever.
        """
        if not self.tight:
            return tasks
        again = [task for task in tasks if task.run]
        room = max(self._room() - sizes.MAX_NAME_BYTES, 0) // sizes.TASK_BYTES
        found = again + [task for task in tasks if not task.run][:room]
        if step_run.step.gang and len(found) < len(tasks):
            return []
        return found

    def count_recordable(self, chosen: cabc.Sequence[tuple[Task, str]]) -> int:
        """Return how many of these tasks, in order, may begin on these workers.

        A new one leaves room for the longest name, so that when all wait again one of
        them can go on.
        """
        if not self.tight:
            return len(chosen)
        room = self._room()
        names = {task.worker for task in self.tasks()}
        for count, (task, name) in enumerate(chosen):
            if not task.has_record:
                room -= sizes.TASK_BYTES
            if name not in names:
                room -= len(name) + sizes.NAME_OVERHEAD_BYTES
            names.add(name)
            if room < (0 if task.has_record else sizes.MAX_NAME_BYTES):
                return count
        return len(chosen)

    def _room(self) -> int:
        """Return how many bytes more the record may take."""
        # `Task.begun` written out: each round asks this of large jobs, and calling it
        # took 2.1 ms in place of 0.3 ms for 5,000 tasks.
        new, done = Phase.WAITING, Phase.DONE
        begun = [
            task
            for step_run in self.steps.values()
            for task in step_run.tasks
            if task.phase is not done and (task.run or task.phase is not new)
        ]
        names = {task.worker for task in begun if task.worker}
        taken = sum(len(name) + sizes.NAME_OVERHEAD_BYTES for name in names)
        return self.spare_bytes - taken - len(begun) * sizes.TASK_BYTES

    def record(self, checkpoints: bool = True) -> JobRecord:
        """Return what is to be kept of the present progress."""
        if self.ended:
            return JobRecord(state=self.state, drop_at=self.drop_at)
        workers: dict[str, int] = {}
        rows = []
        for task in self.tasks():
            if not task.has_record:
                continue
            position = -1
            if task.worker:
                position = workers.setdefault(task.worker, len(workers))
            rows.append(
                (
                    task.step_run.occurrence,
                    task.step_run.number,
                    task.index,
                    task.run,
                    task.failures,
                    position,
                    task.checkpoint if checkpoints else "",
                )
            )
        done = tuple(done_row(each) for each in self.steps.values() if each.done_count)
        return JobRecord(self.state, tuple(workers), tuple(rows), done, self._crashes())

    def _crashes(self) -> tuple[tuple[int, int, int, int, int], ...]:
        return tuple(
            (
                task.step_run.occurrence,
                task.step_run.number,
                task.index,
                task.crashes,
                task.certain_crashes,
            )
            for task in self.tasks()
            if task.crashes and task.has_record
        )

    def restore(self, record: JobRecord) -> None:
        """Take over the progress that an earlier leader kept.

        A task that may run somewhere comes back as doubtful: its worker has to be
        asked before anything else happens to it.
        """
        self.state = record.state
        self.drop_at = record.drop_at
        for done in record.done:
            self._restore_done(DoneRecord(*done))
        for row in record.tasks:
            kept = TaskRecord(*row)
            task = self.find_task(kept.occurrence, kept.step, kept.index)
            if task is None:
                continue
            task.run = kept.run
            task.failures = kept.failures
            task.checkpoint = kept.checkpoint
            self.started |= kept.failures > 0 or bool(kept.checkpoint)
            if kept.worker >= 0:
                task.worker = record.workers[kept.worker]
                task.phase = Phase.DOUBTFUL

        for crashed in record.crashes:
            self._restore_crashes(CrashRecord(*crashed))

    def _restore_crashes(self, kept: CrashRecord) -> None:
        task = self.find_task(kept.occurrence, kept.step, kept.index)
        if task is not None:
            task.crashes = kept.crashes
            task.certain_crashes = kept.certain_crashes
            task.suspect = True

    def _restore_done(self, kept: DoneRecord) -> None:
        step_run = self.steps.get((kept.occurrence, kept.step))
        if step_run is None:
            return
        bits = int(kept.tasks, DONE_BASE)
        for task in step_run.tasks:
            if bits >> task.index & 1:
                self.started = True
                self.mark_done(task)


def done_row(step_run: StepRun) -> tuple[int, int, str]:
    """Return the row of `DoneRecord` for a step."""
    bits = sum(1 << task.index for task in step_run.tasks if task.phase is Phase.DONE)
    return step_run.occurrence, step_run.number, f"{bits:x}"


def encode_record(record: JobRecord) -> str:
    """Return the text of a record."""
    return codec.to_json(record)


def encode_job(job: JobProgress) -> str:
    """Return the text of a job's record, which fits a row.

    Without checkpoints it always does, also with crashes of each task, and the next
    leader can do without them: it starts what has ended meanwhile from the beginning.
    """
    text = encode_record(job.record())
    if len(text.encode()) <= table.MOST_VALUE:
        return text
    return encode_record(job.record(checkpoints=False))


def decode_record(text: str) -> JobRecord:
    """Return the record in a text, or raise `codec.DecodeError`.

    A row that `restore` could not follow raises too: it would end the takeover of all
    jobs for the sake of one.
    """
    record = codec.from_json(text, JobRecord)
    for row in record.tasks:
        if TaskRecord(*row).worker >= len(record.workers):
            raise codec.DecodeError(f"no such worker: {row}")
    for done in record.done:
        if not DONE_TASKS.fullmatch(DoneRecord(*done).tasks):
            raise codec.DecodeError(f"not hexadecimal: {done}")
    return record
