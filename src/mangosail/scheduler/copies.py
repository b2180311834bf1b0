"""Copies of tasks: second runs of tasks that are stuck (speculative execution).

A worker becomes unresponsive, stalls or drains, and a short job waits for its one task
there until the lease expires, for 4.3 s and more, while its callers want a response in
2.5 s. A step may permit that its tasks run twice at the same time. A copy of such a
task is started on another worker, and the first of the two runs that ends done counts.

`stuck_tasks.py` tells which tasks are stuck, and `Bounds` limits their copies. Each
placement round calls `Copier` once it has placed everything else. `end_run` and
`choose_run` settle what the end of one of the runs means for the other.
"""

import collections.abc as cabc
import dataclasses
import enum

import logbook

from mangosail.scheduler import (
    crashes,
    estimates,
    fleet,
    messages,
    placing,
    progress,
    record_space,
    scoring,
    stuck_tasks,
)
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("copies")

#: Maximum share of the usable cores that all copies need.
MAX_COPIED_SHARE = 0.05
#: Maximum number of copies of a task.
MAX_COPIES = 2
#: Runs of a task that may fail while it has a copy: each of the two.
FAILURES_WITH_COPY = 2
#: Seconds between searches for stuck tasks.
SEARCH_INTERVAL_S = 0.1
#: Phases in which a run is confirmed or in doubt.
COPYABLE = frozenset({progress.Phase.RUNNING, progress.Phase.DOUBTFUL})

#: Records planned runs of a job, and then sends their starts.
RecordAndSend = cabc.Callable[[progress.JobProgress, list[placing.Placement]], None]


class Refusal(enum.StrEnum):
    """Why a task that is stuck gets no copy now."""

    #: The copies would need too large a share of the cores.
    BOUND = "bound"
    #: Tasks of the same or a higher priority wait for capacity.
    WAITING = "waiting"
    #: No other worker has room.
    ROOM = "room"
    #: The job's record has no room for the copy.
    RECORD = "record"
    #: It may have crashed its worker, and would crash another one.
    SUSPECT = "suspect"


@dataclasses.dataclass(slots=True)
class Bounds:
    """What limits further copies."""

    usable_cores: float
    copied_cores: float
    max_share: float = MAX_COPIED_SHARE
    #: Highest priority (the lowest number) of the tasks that wait for capacity; None if
    #: none wait.
    waiting_priority: int | None = None

    def refusal(self, task: progress.Task) -> Refusal | None:
        """Return why a task may get no copy now; None if it may."""
        waiting = self.waiting_priority
        if waiting is not None and waiting <= task.job.job.priority:
            return Refusal.WAITING
        needed = self.copied_cores + task.step.need.cpus
        if needed > self.max_share * self.usable_cores:
            return Refusal.BOUND
        if not record_space.has_room_for_copy(task.job):
            return Refusal.RECORD
        return None


def supports_copies(step: messages.Step) -> bool:
    """Return whether tasks of a step may get copies.

    The members of a gang start and end together, continuous tasks never end done, and
    best-effort ones use only what others leave.
    """
    return step.copies_allowed and not (
        step.gang or step.continuous or step.best_effort
    )


def may_be_copied(task: progress.Task) -> bool:
    """Return whether a task may get a copy if it is stuck.

    Both runs may fail, and at most `attempts` runs of a task may. One that is known
    only from an assignment may never have begun, and its step's turn may not have come.
    """
    return (
        task.phase in COPYABLE
        and not task.from_assignment
        and task.copy is None
        and task.copies_made < MAX_COPIES
        and not task.suspect
        and task.failures + FAILURES_WITH_COPY <= task.job.job.attempts
    )


def could_hold(step_run: progress.StepRun, worker: fleet.Worker) -> bool:
    """Return whether a worker could hold one more task of a step if it had room."""
    step = step_run.step
    if not fleet.reserved_resources(step).fits_in(worker.entry.capacity):
        return False
    if not step_run.allows(worker.name):
        return False
    most = step.most_per_worker
    return not most or worker.count_of_step(step_run) < most


def may_have_crashed_worker(stuck: stuck_tasks.StuckTask, workers: fleet.Fleet) -> bool:
    """Return whether a worker may not respond because of a task that it just started.

    Such a task is a suspect once the worker's incarnation has ended, and its copy would
    have crashed a second worker by then. If several workers became silent together, as
    in a partition, no task is to blame.
    """
    since = stuck.worker.silent_since
    if stuck.cause is not stuck_tasks.Cause.UNREACHABLE or since is None:
        return False
    if not crashes.is_recent_start(stuck.worker, stuck.task):
        return False
    together = [
        worker
        for worker in workers
        if worker.silent_since is not None
        and abs(worker.silent_since - since) <= crashes.CORRELATION_WINDOW_S
    ]
    return len(together) < crashes.MIN_CORRELATED_WORKERS


class Copier:
    """Starts copies of stuck tasks."""

    def __init__(
        self,
        jobs: cabc.Mapping[str, progress.JobProgress],
        workers: fleet.Fleet,
        placer: placing.Placer,
        estimator: estimates.DurationEstimator,
        record_and_send: RecordAndSend,
        has_advice: cabc.Callable[[progress.StepRun, float], bool],
        service_of: cabc.Callable[[messages.Job], str],
        enabled: bool,
        counters: telemetry.Counters,
    ) -> None:
        self.jobs = jobs
        self.workers = workers
        self.placer = placer
        self.estimator = estimator
        self.record_and_send = record_and_send
        self.has_advice = has_advice
        self.service_of = service_of
        self.enabled = enabled
        self.counters = counters
        self.max_share = MAX_COPIED_SHARE
        #: Elapsed time of the next search.
        self.next_search_at = 0.0
        #: Entries of draining workers by name, and until when these work.
        self.departures: dict[str, tuple[messages.WorkerEntry, float]] = {}

    def report_unsupported(self, job: messages.Job) -> None:
        """Tell that a job allows copies in steps whose tasks never get any."""
        if not self.enabled:
            return
        steps = [
            number
            for number, step in enumerate(job.steps)
            if step.copies_allowed and not supports_copies(step)
        ]
        if steps:
            self.counters.count("copies.unsupported")
            log.info("steps get no copies", job=job.job_id, steps=steps)

    def start_some(self, ready: cabc.Sequence[progress.StepRun], now: float) -> None:
        """Start copies of stuck tasks, as far as they are permitted.

        `ready` are the steps that the round has placed. Those that expect to take the
        longest come first.
        """
        if not self.enabled or now < self.next_search_at:
            return
        self.next_search_at = now + SEARCH_INTERVAL_S
        stuck = self._find_all_stuck(now)
        if not stuck:
            return
        stuck.sort(key=lambda each: (each.task.job.job.priority, -each.remaining))
        bounds = self._bounds(ready, now)
        for each in stuck:
            refusal = bounds.refusal(each.task)
            if may_have_crashed_worker(each, self.workers):
                refusal = Refusal.SUSPECT
            if refusal is None and self.has_advice(each.task.step_run, now):
                if self._start_copy(each, now):
                    bounds.copied_cores += each.task.step.need.cpus
                    continue
                refusal = Refusal.ROOM
            if refusal is not None:
                self._refuse(each, refusal)

    def _find_all_stuck(self, now: float) -> list[stuck_tasks.StuckTask]:
        self._update_departures(now)
        stuck: list[stuck_tasks.StuckTask] = []
        for job in self.jobs.values():
            if job.ended or job.cancelled:
                continue
            for step_run in job.steps.values():
                if supports_copies(step_run.step) and not step_run.all_done:
                    stuck += self._find_stuck_of(step_run, now)
        return stuck

    def _find_stuck_of(
        self, step_run: progress.StepRun, now: float
    ) -> cabc.Iterator[stuck_tasks.StuckTask]:
        estimate = self.estimator.estimate(step_run)
        for task in step_run.tasks:
            if not may_be_copied(task):
                continue
            worker = self.workers.get(task.worker)
            if worker is None:
                continue
            _, leaves_at = self.departures.get(worker.name, (None, None))
            stuck = stuck_tasks.find_stuck(task, worker, estimate, leaves_at, now)
            if stuck is not None:
                yield stuck

    def _update_departures(self, now: float) -> None:
        """Record until when draining workers work; their entries tell it once."""
        departures = {}
        for worker in self.workers:
            entry = worker.entry
            if entry.draining:
                known = self.departures.get(worker.name)
                if known is None or known[0] != entry:
                    known = entry, now + (entry.remaining or 0.0)
                departures[worker.name] = known
        self.departures = departures

    def _bounds(self, ready: cabc.Sequence[progress.StepRun], now: float) -> Bounds:
        usable = [worker for worker in self.workers if worker.usable(now)]
        copied = sum(
            copy.step.need.cpus
            for job in self.jobs.values()
            if job.may_have_copies
            for step_run in job.steps.values()
            for copy in step_run.copies.values()
        )
        waiting = [
            step_run.job.job.priority
            for step_run in ready
            if self._waits_for_capacity(step_run, usable, now)
        ]
        return Bounds(
            sum(worker.entry.capacity.cpus for worker in usable),
            copied,
            self.max_share,
            min(waiting, default=None),
        )

    def _waits_for_capacity(
        self, step_run: progress.StepRun, usable: list[fleet.Worker], now: float
    ) -> bool:
        """Return whether a step has found no room on workers that could have some.

        One that no worker can ever run, or that has as many tasks on each as it may,
        would otherwise prevent all copies.
        """
        job = step_run.job
        if step_run.blocked_since is None or job.ended or job.cancelled:
            return False
        if not step_run.any_waiting():
            return False
        service = self.service_of(job.job)
        return any(
            scoring.is_eligible(step_run.step, worker, service, now)
            and could_hold(step_run, worker)
            for worker in usable
        )

    def _start_copy(self, stuck: stuck_tasks.StuckTask, now: float) -> bool:
        """Place and start a copy, and return whether there was room for it."""
        task, worker = stuck.task, stuck.worker
        step_run = task.step_run
        avoided = ""
        if stuck.cause is stuck_tasks.Cause.UNREACHABLE:
            avoided = worker.entry.data_centre
        copy = step_run.add_copy(task)
        copy.avoided_worker = task.avoided_worker
        placement = self.placer.place_copy(
            task, copy, self.service_of(task.job.job), now, avoided
        )
        if placement is None:
            del step_run.copies[task.index]
            return False
        task.copied_run = task.highest_run + 1
        task.copies_made += 1
        task.copy_refusal = ""
        copy.plan_run(task.copied_run, placement.worker.name, task.checkpoint)
        self.counters.count(f"copies.started.{stuck.cause.value}")
        log.info(
            "copying", task=task.name, reason=stuck.cause.value, run=task.run,
            worker=worker.name, copy_run=copy.run, copy_worker=copy.worker,
            remaining=round(stuck.remaining, 3), estimate=round(stuck.estimate, 3),
            progress=task.progress_percent, copies=task.copies_made,
        )  # fmt: skip
        self.record_and_send(task.job, [placement])
        return True

    def _refuse(self, stuck: stuck_tasks.StuckTask, refusal: Refusal) -> None:
        """Count a refusal once, until the task is refused for another reason."""
        task = stuck.task
        if task.copy_refusal == refusal:
            return
        task.copy_refusal = refusal
        self.counters.count(f"copies.refused.{refusal.value}")
        log.info(
            "copy refused", task=task.name, run=task.run, worker=stuck.worker.name,
            reason=refusal.value, cause=stuck.cause.value,
        )  # fmt: skip


def end_run(ended: progress.Task, reason: str, counters: telemetry.Counters) -> None:
    """Record that a run has ended and is not done, or never began.

    A copy is dropped. If the task's own run has ended, its copy takes its place.
    """
    ended.wait_again()
    step_run = ended.step_run
    task, copy = step_run.tasks[ended.index], ended.copy
    if copy is None or ended not in (task, copy):
        return
    outcome = "dropped"
    if ended is task:
        step_run.swap_with_copy(task)
        if copy.phase is not progress.Phase.STARTING:
            copy.checkpoint = copy.checkpoint or ended.checkpoint
        if not task.job.ended:
            outcome = "continued"
    del step_run.copies[ended.index]
    if task.phase is not progress.Phase.DONE:
        log_end(outcome, ended, copy if ended is task else task, reason, counters)


def choose_run(
    done: progress.Task, counters: telemetry.Counters
) -> progress.Task | None:
    """Let a run that has ended done count, and return the other one of the pair.

    The other one becomes the copy, which keeps its room until its end is known.
    """
    copy = done.copy
    if copy is None:
        return None
    other = done.original if done is copy else copy
    if done is copy:
        done.step_run.swap_with_copy(other)
    log_end("won" if done is copy else "lost", other, done, "done", counters)
    return other


def log_end(
    outcome: str,
    other: progress.Task,
    counted: progress.Task,
    reason: str,
    counters: telemetry.Counters,
) -> None:
    """Log which of the two runs of a task counts from now on, and which does not."""
    counters.count(f"copies.ended.{outcome}")
    log.info(
        "copy ended", task=counted.name, outcome=outcome, reason=reason,
        run=counted.run, worker=counted.worker, other_run=other.run,
        other_phase=other.phase.name.lower(),
    )  # fmt: skip
