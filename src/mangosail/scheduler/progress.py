"""Progress of jobs: their steps, tasks and runs, as the leader knows them."""

import collections.abc as cabc
import enum

from mangosail.scheduler import messages, pace, records, sizes


class Phase(enum.IntEnum):
    """Phase of a task."""

    WAITING = 0
    #: A run is planned, or its start was sent and has not been answered.
    STARTING = 1
    RUNNING = 2
    #: The answer to the start was lost: the run may exist, or begin later.
    DOUBTFUL = 3
    #: The run is being stopped; its resources stay reserved until its end is reported.
    STOPPING = 4
    DONE = 5


#: Longest rest of a lease, in seconds, that a new leader takes from a record.
MAX_RECORDED_LEASE_S = 4.3
#: Speed in percent of a run that is not throttled, as each one is at its start.
FULL_SPEED = 100
#: Phases in which a run may exist on a worker.
LIVE = frozenset({Phase.STARTING, Phase.RUNNING, Phase.DOUBTFUL, Phase.STOPPING})


#: Attributes of a task that its runs and copies share.
SHARED_ATTRIBUTES = (
    "avoided_worker",
    "certain_crashes",
    "cleared_run",
    "copies_made",
    "crashes",
    "failures",
    "lost_starts",
    "not_before",
    "relocations",
    "suspect",
)


class Task:
    """A task of a job, with at most one run at a time.

    A second run at the same time, in a step that allows copies, is a `Task` of its own
    in `StepRun.copies`.
    """

    __slots__ = (
        "assigned_worker",
        "assignment_durable",
        "avoided_worker",
        "certain_crashes",
        "checkpoint",
        "cleared_run",
        "copied_run",
        "copies_made",
        "copy_of",
        "copy_refusal",
        "crashes",
        "failures",
        "from_assignment",
        "from_beginning",
        "index",
        "isolated",
        "job",
        "latency_high_since",
        "lease_recorded_until",
        "lease_until_wall",
        "listed",
        "lost_starts",
        "name",
        "not_before",
        "pace",
        "phase",
        "progress_percent",
        "progressed_at",
        "relocations",
        "run",
        "sample_at",
        "sample_percent",
        "sample_run",
        "speed_limit",
        "speed_unknown",
        "start_confirmed",
        "start_sent_at",
        "started_at",
        "step_run",
        "stop_confirmed_at",
        "stray_throttles_until",
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
        #: Number of crashes of workers that are evidence against it, and of those that
        #: are certain.
        self.crashes = 0
        self.certain_crashes = 0
        #: Number of its isolated starts of which nobody learned what became of them.
        self.lost_starts = 0
        #: True while it is suspected of having crashed a worker right after its start.
        self.suspect = False
        #: Highest run that was stable or ended by itself: earlier ones crashed nothing.
        self.cleared_run = 0
        #: Name of the worker that may run it; empty for none.
        self.worker = ""
        self.checkpoint = ""
        #: Progress of the current run as last reported, and the elapsed time at which
        #: it last changed.
        self.progress_percent = 0
        self.progressed_at = 0.0
        self.started_at = 0.0
        #: Elapsed time at which this leader sent the start of the current run; None if
        #: it has not.
        self.start_sent_at: float | None = None
        #: True once its worker has answered the start of the current run, or has
        #: reported the run.
        self.start_confirmed = False
        #: True if nothing else had just been started on the worker of the current run.
        self.isolated = False
        #: Wall time until which its worker certainly holds the lease of the current
        #: run, if that is to be recorded, and the elapsed time of that as an earlier
        #: leader recorded it; 0 if not.
        self.lease_until_wall = 0.0
        self.lease_recorded_until = 0.0
        #: True once the current incarnation of its worker has reported the run.
        self.listed = False
        #: True if the current run began without a checkpoint.
        self.from_beginning = False
        #: Elapsed time, progress and run at the poll from which speed is measured.
        self.sample_at = 0.0
        self.sample_percent = 0
        self.sample_run = 0
        #: Progress of the current run, if durations are estimated from it.
        self.pace: pace.Pace | None = None
        #: How often it was moved to another worker for lack of progress.
        self.relocations = 0
        #: Highest speed at which the run may work, in percent of its full speed.
        self.speed_limit = FULL_SPEED
        #: True while an earlier leader may have throttled the run to a lower speed.
        self.speed_unknown = False
        #: Elapsed time at which an order to change its speed was last sent or answered.
        self.throttled_at = 0.0
        #: Elapsed time until which an order without an answer may still change it.
        self.stray_throttles_until = 0.0
        #: Elapsed time before which no further run starts.
        self.not_before = 0.0
        #: Elapsed time since when the tail latency exceeds the target; None if not.
        self.latency_high_since: float | None = None
        #: Elapsed time at which the worker answered the stop of the run; None if it
        #: has not.
        self.stop_confirmed_at: float | None = None
        #: Worker on which the last run failed; the next one is tried elsewhere.
        self.avoided_worker = ""
        #: Name of the worker that each record from now on assigns to the next run;
        #: empty for none.
        self.assigned_worker = ""
        #: True if the latest confirmed record of the job contains this assignment, and
        #: so does each record that was sent since.
        self.assignment_durable = False
        #: True if an assignment of an earlier leader is all that is known of the run.
        self.from_assignment = False
        #: The task of which this is or was a copy; None for the task itself.
        self.copy_of: Task | None = None
        #: Highest run number of its copies and how many it had, as far as known.
        self.copied_run = 0
        self.copies_made = 0
        #: Why it was last refused a copy; empty if it was not.
        self.copy_refusal = ""

    def assign(self, worker: str) -> None:
        """Assign a worker to the next run; an empty name withdraws the assignment."""
        if worker != self.assigned_worker:
            self.assigned_worker = worker
            self.assignment_durable = False
            self.job.may_have_assignments |= bool(worker)

    def confirm_assignment(self, run: int, worker: str) -> None:
        """Record that the latest record, now confirmed, assigns a worker to a run."""
        if self.assignment == (run, worker):
            self.assignment_durable = True

    @property
    def assignment(self) -> tuple[int, str] | None:
        """Return the next run and the worker that the record assigns to it, if any."""
        if self.phase is not Phase.WAITING or not self.assigned_worker:
            return None
        return self.run + 1, self.assigned_worker

    @property
    def original(self) -> "Task":
        """Return the task itself, of which this may be or have been a copy."""
        task = self
        while task.copy_of is not None:
            task = task.copy_of
        return task

    @property
    def copy(self) -> "Task | None":
        """Return the copy of the task, if there is one; of a copy, the copy itself."""
        return self.step_run.copies.get(self.index)

    @property
    def highest_run(self) -> int:
        """Return the highest number of its runs and those of its copies."""
        return max(self.run, self.copied_run)

    def plan_run(self, run: int, worker: str, checkpoint: str) -> None:
        """Plan a run that starts once its record is durable."""
        self.phase = Phase.STARTING
        self.run = run
        self.checkpoint = checkpoint
        self.from_beginning = not checkpoint
        self.worker = worker
        self.start_sent_at = None
        self.start_confirmed = False
        self.isolated = False
        self.lease_until_wall = 0.0
        self.lease_recorded_until = 0.0
        self.listed = False
        self.stop_confirmed_at = None

    def wait_again(self) -> None:
        """Record that the run has ended, or never began, and forget what it was like.

        With the limit of a run that was paused, the next one counted as no pressure
        where it began, and was not paused there.
        """
        self.phase = Phase.WAITING
        self.worker = ""
        self.from_assignment = False
        self.stop_confirmed_at = None
        self.speed_limit = FULL_SPEED
        self.speed_unknown = False
        self.throttled_at = 0.0
        self.stray_throttles_until = 0.0
        self.latency_high_since = None

    @property
    def step(self) -> messages.Step:
        """Return the step of the task."""
        return self.step_run.step

    @property
    def live(self) -> bool:
        """Return whether a run may exist on a worker."""
        return self.phase in LIVE

    def count_failure(self) -> bool:
        """Count the failure of the current run; return False if it is none more.

        Several members of a gang may fail in one run, which is one failure of the gang.
        A task that is done must not make its job fail by its other run.
        """
        task, step_run = self.original, self.step_run
        if task.phase is Phase.DONE:
            return False
        if self.step.gang:
            if self.run <= step_run.failed_run:
                return False
            step_run.failed_run = self.run
        task.failures += 1
        return True

    @property
    def has_record(self) -> bool:
        """Return whether it has begun and is not done, and so has a row."""
        if self.phase is Phase.DONE:
            return False
        return self.run > 0 or self.phase is not Phase.WAITING


class StepRun:
    """The tasks of a step in one occurrence of its job."""

    __slots__ = (
        "advice_pending",
        "advice_stalled",
        "allowed_workers",
        "approved_workers",
        "assigned_while_blocked",
        "blocked_since",
        "copies",
        "done_count",
        "failed_run",
        "full_search_at",
        "job",
        "log_rate_sum",
        "measured_runs",
        "measured_seconds",
        "next_advice_at",
        "number",
        "occurrence",
        "outlook",
        "rate_samples",
        "refused_workers",
        "rejected_calls",
        "searched_change",
        "step",
        "tasks",
        "ticket_rejected",
        "tickets",
        "tickets_valid_until",
    )

    def __init__(self, job: "JobProgress", occurrence: int, number: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.step = job.job.steps[number]
        self.tasks = [Task(self, index) for index in range(self.step.count)]
        #: Second runs of tasks, by index. One whose task is done is being stopped.
        self.copies: dict[int, Task] = {}
        #: How many of the tasks are done.
        self.done_count = 0
        #: Number of the latest run of a gang that was counted as failed; 0 for none.
        self.failed_run = 0
        #: Total seconds of its tasks' runs without a checkpoint, and their count.
        self.measured_seconds = 0.0
        self.measured_runs = 0
        #: Sum of the logarithms of its tasks' progress per second, and their count.
        self.log_rate_sum = 0.0
        self.rate_samples = 0
        #: What its tasks still take, as last estimated from their progress.
        self.outlook: pace.Outlook | None = None
        #: Elapsed time since when some of the tasks could not be placed.
        self.blocked_since: float | None = None
        #: True once workers were assigned to its tasks for this wait.
        self.assigned_while_blocked = False
        #: Number of the latest worker change at the last search that left tasks
        #: unplaced, and elapsed time from which all workers are searched again.
        self.searched_change = 0
        self.full_search_at = 0.0
        #: Tickets by worker, if the queue needs them, and the end of their validity.
        self.tickets: dict[str, str] = {}
        self.tickets_valid_until = 0.0
        #: Workers that may run it now; None for any.
        self.allowed_workers: frozenset[str] | None = None
        #: Workers that the advice service has approved and refused for the step; its
        #: answers are final.
        self.approved_workers: set[str] = set()
        self.refused_workers: set[str] = set()
        #: True while a call for advice is pending; elapsed time of the next call.
        self.advice_pending = False
        self.next_advice_at = 0.0
        #: True while there is no worker that could be asked about.
        self.advice_stalled = False
        #: True once a ticket was rejected since the last call, and the number of calls
        #: in a row whose tickets were.
        self.ticket_rejected = False
        self.rejected_calls = 0

    @property
    def name(self) -> str:
        """Return the step's name."""
        return messages.step_name(self.job.job.job_id, self.occurrence, self.number)

    @property
    def failures(self) -> int:
        """Return the failed runs of the whole gang, or the maximum of any one task.

        Each failed run of a gang is counted for one of its members.
        """
        failures = [task.failures for task in self.tasks]
        return sum(failures) if self.step.gang else max(failures)

    @property
    def all_done(self) -> bool:
        """Return whether all tasks are done."""
        return self.done_count == len(self.tasks)

    def add_copy(self, task: Task) -> Task:
        """Add a copy of a task, whose run is planned next."""
        copy = Task(self, task.index)
        copy.copy_of = task
        self.copies[task.index] = copy
        self.job.may_have_copies = True
        return copy

    def swap_with_copy(self, task: Task) -> Task:
        """Let a task and its copy change places, and return the new task.

        The objects keep their runs, to which pending orders refer. What is counted for
        the task goes to the new one.
        """
        copy = self.copies[task.index]
        self.tasks[task.index], self.copies[task.index] = copy, task
        copy.copied_run = max(task.highest_run, copy.run)
        for counted in SHARED_ATTRIBUTES:
            setattr(copy, counted, getattr(task, counted))
        copy.copy_of, task.copy_of = None, copy
        return copy

    def allows(self, worker: str) -> bool:
        """Return whether a worker may run the step's tasks, as far as advice goes."""
        return self.allowed_workers is None or worker in self.allowed_workers

    def end_block(self) -> None:
        """Record that there was room for all tasks that could start."""
        self.blocked_since = None
        self.assigned_while_blocked = False

    def any_waiting(self) -> bool:
        """Return whether any task waits to be started."""
        return any(task.phase is Phase.WAITING for task in self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks that wait to be started."""
        return [task for task in self.tasks if task.phase is Phase.WAITING]


class JobProgress:
    """A job that has not ended, or whose last runs have not ended yet."""

    def __init__(self, job: messages.Job, key: str = "") -> None:
        self.job = job
        #: Key of the row that holds the job.
        self.key = key
        self.state = messages.State.QUEUED
        self.cancelled = False
        #: True once a worker has reported that a task of it runs or has ended. That is
        #: later than `RUNNING`, which is recorded before the first start is sent.
        self.started = False
        self.steps = {
            (occurrence, number): StepRun(self, occurrence, number)
            for occurrence in range(job.occurrences)
            for number in range(len(job.steps))
        }
        #: Whether any step has tasks that reserve their room and end on their own.
        self.has_urgent_steps = any(
            not step.best_effort and not step.continuous for step in job.steps
        )
        #: Whether copies of its tasks were planned or restored.
        self.may_have_copies = False
        #: The same of assignments.
        self.may_have_assignments = False
        #: Bytes in the record for tasks that are not done, and whether they may not
        #: suffice for all of them at the same time.
        self.spare_bytes = sizes.spare_bytes(job)
        count = sum(len(step_run.tasks) for step_run in self.steps.values())
        self.record_limited = (
            count * (sizes.TASK_BYTES + sizes.MAX_NAME_BYTES) > self.spare_bytes
        )
        #: True once an earlier leader's assignments were restored, until workers are
        #: assigned anew.
        self.assignments_restored = False
        #: Wall time from which the record may be dropped, once the job has ended.
        self.drop_at = 0.0
        #: True once a start without a ticket was rejected for want of one, until the
        #: configuration changes.
        self.ticket_demanded = False
        #: Why it failed; None unless it has.
        self.failure: records.FailureRecord | None = None
        #: True once the removal of its row was requested.
        self.cleanup_requested = False

    def begin(self) -> None:
        """Record that the first run of the job starts, or has started."""
        if self.state is messages.State.QUEUED:
            self.state = messages.State.RUNNING

    @property
    def ended(self) -> bool:
        """Return whether the job is in a terminal state."""
        return self.state in messages.FINAL

    def tasks(self) -> cabc.Iterator[Task]:
        """Iterate over all tasks."""
        for step_run in self.steps.values():
            yield from step_run.tasks

    def runs(self) -> cabc.Iterator[Task]:
        """Iterate over all tasks and their copies."""
        for step_run in self.steps.values():
            yield from step_run.tasks
            yield from step_run.copies.values()

    def find(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return a task by its numbers, or None if the job has no such task."""
        step_run = self.steps.get((occurrence, step))
        if step_run is None or not 0 <= index < len(step_run.tasks):
            return None
        return step_run.tasks[index]

    def ready_steps(self, wall: float) -> list[StepRun]:
        """Return the steps that are due and whose predecessors are done."""
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
        """Return whether every task is done."""
        return all(step_run.all_done for step_run in self.steps.values())

    def mark_done(self, task: Task) -> None:
        """Mark a task as done."""
        if task.phase is not Phase.DONE:
            task.phase = Phase.DONE
            task.step_run.done_count += 1
        task.worker = ""
        task.checkpoint = ""
        task.from_assignment = False

    def recorded_assignments(self) -> list[tuple[Task, int, str]]:
        """Return the waiting tasks that the record assigns, with run and worker."""
        if self.ended or not self.may_have_assignments:
            return []
        return [
            (task, *assignment)
            for task in self.tasks()
            if (assignment := task.assignment) is not None
        ]

    def withdraw_assignments(self) -> bool:
        """Withdraw all assignments, and return whether a record contained any."""
        found = False
        for task in self.tasks():
            found |= task.from_assignment or bool(task.assigned_worker)
            task.assign("")
        return found

    def restore(
        self, record: records.JobRecord, elapsed: float = 0.0, wall: float = 0.0
    ) -> None:
        """Restore the progress that an earlier leader recorded.

        A task that may be running becomes `DOUBTFUL`: its worker must be polled before
        anything else is done with it. `elapsed` and `wall` are the present times.
        """
        self.state = record.state
        self.drop_at = record.drop_at
        self.failure = record.failure
        for done in record.done:
            self._restore_done(records.DoneRecord(*done))
        for row in record.tasks:
            stored = records.TaskRecord(*row)
            task = self.find(stored.occurrence, stored.step, stored.index)
            if task is None:
                continue
            task.run = stored.run
            task.failures = stored.failures
            task.checkpoint = stored.checkpoint
            self.started |= stored.failures > 0 or bool(stored.checkpoint)
            if stored.worker >= 0:
                task.worker = record.workers[stored.worker]
                task.phase = Phase.DOUBTFUL
                task.speed_unknown = task.step.best_effort

        for crashed in record.crashes:
            self._restore_crashes(records.CrashRecord(*crashed), record.crashes_proved)
        for suspect in record.suspects:
            self._restore_suspect(records.SuspectRecord(*suspect), elapsed, wall)
        for copied in record.copies:
            self._restore_copy(records.CopyRecord(*copied))
        for failed in record.failed_runs:
            self._restore_failed_run(records.FailedRunRecord(*failed))
        self.assignments_restored = bool(record.assignments)
        for assigned in record.assignments:
            self._restore_assignments(
                records.AssignmentRecord(*assigned), record.workers
            )

    def _restore_copy(self, stored: records.CopyRecord) -> None:
        task = self.find(stored.occurrence, stored.step, stored.index)
        if task is None:
            return
        self.may_have_copies = True
        task.copied_run = stored.run
        # How many it had is not recorded. The numbers since its own run show it, unless
        # a copy has taken its place.
        task.copies_made = max(stored.run - task.run, 1)
        if not stored.worker:
            return
        copy = task.step_run.add_copy(task)
        copy.run = stored.run
        copy.worker = stored.worker
        copy.phase = Phase.DOUBTFUL
        copy.checkpoint = task.checkpoint
        if not task.live and task.phase is not Phase.DONE:
            task.step_run.swap_with_copy(task)
            del task.step_run.copies[task.index]

    def _restore_assignments(
        self, stored: records.AssignmentRecord, workers: tuple[str, ...]
    ) -> None:
        """Treat the assigned runs as runs that may exist.

        The earlier leader may have started them without a further record.
        """
        for index, position in enumerate(stored.workers):
            task = self.find(stored.occurrence, stored.step, index)
            if position < 0 or task is None or task.phase is not Phase.WAITING:
                continue
            task.run += 1
            task.worker = workers[position]
            task.phase = Phase.DOUBTFUL
            task.from_assignment = True
            self.may_have_assignments = True
            task.speed_unknown = task.step.best_effort

    def _restore_crashes(self, stored: records.CrashRecord, proved: bool) -> None:
        task = self.find(stored.occurrence, stored.step, stored.index)
        if task is None:
            return
        task.suspect = True
        if proved:
            task.crashes = stored.crashes
            task.certain_crashes = stored.certain_crashes

    def _restore_suspect(
        self, stored: records.SuspectRecord, elapsed: float, wall: float
    ) -> None:
        task = self.find(stored.occurrence, stored.step, stored.index)
        if task is None:
            return
        task.lost_starts = stored.lost_starts
        if task.run != stored.isolated_run or not task.live:
            return
        task.isolated = task.start_confirmed = True
        task.lease_until_wall = stored.lease_until
        # Wall clocks of instances may differ.
        left = min(stored.lease_until - wall, MAX_RECORDED_LEASE_S)
        task.lease_recorded_until = elapsed + left

    def _restore_failed_run(self, stored: records.FailedRunRecord) -> None:
        step_run = self.steps.get((stored.occurrence, stored.step))
        if step_run is not None:
            step_run.failed_run = stored.run

    def _restore_done(self, stored: records.DoneRecord) -> None:
        step_run = self.steps.get((stored.occurrence, stored.step))
        if step_run is None:
            return
        bits = int(stored.tasks, records.DONE_BASE)
        for task in step_run.tasks:
            if bits >> task.index & 1:
                self.started = True
                self.mark_done(task)
