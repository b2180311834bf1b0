"""Decisions on advance assignments: on which worker the next run of a task may start.

A job's record names a worker for each task that waits. While the store is away, a start
on that worker needs no further write, because the next leader takes the assignment for
a run that may exist. A task is assigned to a worker that runs tasks of its job, whose
room is free once they end, or else to one with idle cores::

    assigner = Assigner(workers, placer)
    changed = assigner.assign(job, "pool", now, wall)
    ...
    refusal = assigner.refusal(task, "pool", now, confirmed_at)
"""

import collections
import collections.abc as cabc
import enum
import heapq

from mangosail import resources
from mangosail.scheduler import fleet, messages, placing, progress, scoring

#: Seconds after which half of the idle cores that were assigned count as idle again: by
#: then, many of the tasks run, on whatever worker. Otherwise the tasks of all jobs are
#: assigned to the same few workers.
ASSIGNED_HALF_LIFE_S = 2.0
#: Room on a worker before any task is counted.
NOTHING = resources.Resources()


class Refusal(enum.Enum):
    """Why a task does not start on its assigned worker."""

    #: Not every record that a next leader may find contains the assignment.
    NOT_DURABLE = "not_durable"
    #: The worker must not get the task, whatever its free resources.
    NOT_USABLE = "not_usable"
    #: The task does not fit into what is free there.
    NO_ROOM = "no_room"


class Assigner:
    """Assigns workers to waiting tasks, and decides whether these may be used."""

    def __init__(self, workers: fleet.Fleet, placer: placing.Placer) -> None:
        self.workers = workers
        self.placer = placer
        #: Idle cores that were recently assigned, by worker, and as of when.
        self.assigned_cpus: collections.defaultdict[str, float]
        self.assigned_cpus = collections.defaultdict(float)
        self.counted_at = 0.0

    def assign(
        self, job: progress.JobProgress, service: str, now: float, wall: float
    ) -> bool:
        """Assign workers to the waiting tasks of a job; return whether any changed.

        Jobs that may not start all their tasks at once get none: the record of a
        takeover, with an entry for each assigned task, would exceed a row.
        """
        if job.record_limited or job.ended or job.cancelled:
            return False
        rotations: dict[tuple[int, tuple[int, ...]], Rotation] = {}
        changed = False
        for step_run in job.steps.values():
            if not may_assign(step_run, wall):
                continue
            # Steps with the same predecessors run at the same time.
            stage = step_run.occurrence, step_run.step.after
            if stage not in rotations:
                rotations[stage] = Rotation(job)
            changed |= self._assign_step(step_run, rotations[stage], service, now)
        return changed

    def refusal(
        self, task: progress.Task, service: str, now: float, confirmed_at: float
    ) -> Refusal | None:
        """Return why a task must not start on its assigned worker; None if it may.

        `confirmed_at` is the time at which the latest confirmed transaction was sent.
        A later leader polls the worker after that. An incarnation that this leader has
        been in contact with since before then will thus refuse this leader's starts; a
        later incarnation may not.
        """
        if not task.assignment_durable:
            return Refusal.NOT_DURABLE
        worker = self.workers.get(task.assigned_worker)
        if (
            worker is None
            or worker.first_contact_at > confirmed_at
            or not self.may_run(task, worker, service, now)
        ):
            return Refusal.NOT_USABLE
        if not self.placer.has_room_on(worker, task.step_run, service, now):
            return Refusal.NO_ROOM
        return None

    def _assign_step(
        self,
        step_run: progress.StepRun,
        rotation: "Rotation",
        service: str,
        now: float,
    ) -> bool:
        """Assign workers to the tasks of a step that have none, or one without room.

        The others stay as they are: a changed assignment is of no use until the record
        that contains it is confirmed.
        """
        counts: collections.Counter[str] = collections.Counter()
        unassigned = []
        for task in step_run.waiting():
            worker = self.workers.get(task.assigned_worker)
            if (
                worker is not None
                and self.may_run(task, worker, service, now)
                and (
                    rotation.take(worker.name, step_run.step.need)
                    or self.placer.has_room_on(worker, step_run, service, now)
                )
            ):
                counts[worker.name] += 1
            elif not task.suspect and task.run == task.highest_run:
                # If a copy had a higher number, the assigned run would get it again:
                # the record counts from the task's own latest run.
                unassigned.append(task)
        if not unassigned:
            return False
        choice = Choice(self, step_run, rotation, counts, service, now)
        changed = False
        for task in unassigned:
            before = task.assigned_worker
            task.assign(choice.worker_for(task))
            changed |= task.assigned_worker != before
        return changed

    def decay_assigned_cpus(self, now: float) -> None:
        """Let the idle cores that were assigned count less with time."""
        factor = 0.5 ** ((now - self.counted_at) / ASSIGNED_HALF_LIFE_S)
        self.counted_at = now
        for name in self.assigned_cpus:
            self.assigned_cpus[name] *= factor

    def may_run(
        self, task: progress.Task, worker: fleet.Worker, service: str, now: float
    ) -> bool:
        """Return whether a worker may run a task at all."""
        return (
            not task.suspect
            and worker.name != task.avoided_worker
            and worker.name not in self.placer.slow_workers
            and scoring.is_eligible(task.step, worker, service, now)
        )


class Rotation:
    """Takes turns among the workers on which a job's own tasks run now."""

    def __init__(self, job: progress.JobProgress) -> None:
        #: What the job's tasks will free on each worker.
        self.room: dict[str, resources.Resources] = {}
        for task in job.tasks():
            if task.live and not task.step.continuous:
                need = task.step.need
                self.room[task.worker] = self.room.get(task.worker, NOTHING) + need
        self.turns = collections.deque(self.room)

    def take(self, name: str, need: resources.Resources) -> bool:
        """Take what a task needs from what is freed on a worker, if that suffices."""
        if not need.fits_in(self.room.get(name, NOTHING)):
            return False
        self.room[name] = self.room.get(name, NOTHING) - need
        return True

    def next(
        self, need: resources.Resources, accepts: cabc.Callable[[str], bool]
    ) -> str:
        """Return the next worker with room that is accepted; empty if there is none."""
        for _ in range(len(self.turns)):
            name = self.turns[0]
            self.turns.rotate(-1)
            if accepts(name) and self.take(name, need):
                return name
        return ""


class Choice:
    """Chooses workers for the tasks of one step."""

    def __init__(
        self,
        assigner: Assigner,
        step_run: progress.StepRun,
        rotation: Rotation,
        counts: collections.Counter[str],
        service: str,
        now: float,
    ) -> None:
        self.assigner = assigner
        self.step_run = step_run
        self.rotation = rotation
        #: Tasks of the step that are assigned to each worker.
        self.counts = counts
        self.service = service
        self.now = now
        #: Heap of the eligible workers by rank, the best one first.
        self.ranked: list[tuple[Rank, str]] | None = None

    def worker_for(self, task: progress.Task) -> str:
        """Return the name of the worker to assign to a task; empty if there is none.

        The workers of the job are passed over where they are away from the step's data:
        a task takes several times as long there.
        """

        def accepts(name: str) -> bool:
            worker = self.assigner.workers.get(name)
            return worker is not None and self._accepts(task, worker)

        def accepts_near_data(name: str) -> bool:
            worker = self.assigner.workers.get(name)
            near = worker is not None and is_near_data(task.step, worker)
            return near and accepts(name)

        name = self.rotation.next(task.step.need, accepts_near_data)
        name = name or self._best(accepts)
        if name:
            self.counts[name] += 1
        return name

    def _accepts(self, task: progress.Task, worker: fleet.Worker) -> bool:
        limit = task.step.most_per_worker
        if limit:
            count = worker.count_of_step(self.step_run) + self.counts[worker.name]
            if count >= limit:
                return False
        return self.assigner.may_run(task, worker, self.service, self.now)

    def _best(self, accepts: cabc.Callable[[str], bool]) -> str:
        """Return the accepted worker that suits the step best, and rank it lower."""
        workers = self.assigner.workers
        if self.ranked is None:
            self.ranked = self._rank_all()
        passed_over = []
        chosen = ""
        while self.ranked:
            rank, name = heapq.heappop(self.ranked)
            if accepts(name):
                chosen = name
                self.assigner.assigned_cpus[name] += self.step_run.step.need.cpus
                new_rank = self._rank(workers.workers[name])
                if new_rank is not None:
                    passed_over.append((new_rank, name))
                break
            passed_over.append((rank, name))
        for each in passed_over:
            heapq.heappush(self.ranked, each)
        return chosen

    def _rank_all(self) -> "list[tuple[Rank, str]]":
        """Return the heap of the suitable workers by rank."""
        self.assigner.decay_assigned_cpus(self.now)
        ranks = {worker.name: self._rank(worker) for worker in self.assigner.workers}
        ranked = [(rank, name) for name, rank in ranks.items() if rank is not None]
        heapq.heapify(ranked)
        return ranked

    def _rank(self, worker: fleet.Worker) -> "Rank | None":
        """Return the rank of a worker, lower is better; None if it is not suitable.

        Workers with room now come before those that have it once other tasks end.
        """
        step = self.step_run.step
        if not scoring.is_eligible(step, worker, self.service, self.now):
            return None
        assigned = self.assigner.assigned_cpus[worker.name]
        idle = worker.idle_cpus if step.best_effort else worker.free.cpus
        has_room = idle - assigned >= step.need.cpus and (
            self.assigner.placer.has_room_on(
                worker, self.step_run, self.service, self.now
            )
        )
        if not has_room and not fleet.reserved_resources(step).fits_in(
            room_without_finite_tasks(worker)
        ):
            return None
        return not has_room, assigned - scoring.score_of(step, worker)


#: Whether a worker has no room now, and the negative of its score.
Rank = tuple[bool, float]


def room_without_finite_tasks(worker: fleet.Worker) -> resources.Resources:
    """Return what is free on a worker once all tasks that end on their own have."""
    room = worker.free
    for task in worker.tasks.values():
        if not task.step.continuous:
            room = room + fleet.reserved_resources(task.step)
    return room


def may_assign(step_run: progress.StepRun, wall: float) -> bool:
    """Return whether the tasks of a step may have assignments.

    Continuous steps and gangs are placed as a whole, and an occurrence that is not due
    would reserve its workers at each takeover.
    """
    step, job = step_run.step, step_run.job.job
    if step.continuous or step.gang or step_run.all_done:
        return False
    return not job.scheduled or wall >= job.due(step_run.occurrence)


def is_near_data(step: messages.Step, worker: fleet.Worker) -> bool:
    """Return whether a worker is in the rack of the step's data, if it has any."""
    return not step.data_rack or step.data_rack in worker.entry.labels
