"""Which worker a task goes to."""

import collections.abc as cabc
import dataclasses

from mangosail.scheduler import fleet, interference, messages, progress, ranking

#: Cores that it is worth to a latency-critical task to be with others: they gather on
#: few workers, and best-effort tasks, which disturb them, have the rest to themselves.
#: More than any worker has, so that it decides before the room does.
COLOCATION_WEIGHT = 1000.0
#: Cores that it is worth to a best-effort task to leave busy time to
#: latency-critical ones: all of it counts as much as 40 cores.
HEADROOM_WEIGHT = 40.0
#: Busy time that a best-effort task must leave to the latency-critical ones beside it.
MIN_HEADROOM = 0.0
#: Cores that it costs a latency-critical task to go where a best-effort one runs.
BEST_EFFORT_PENALTY = 20.0
#: Cores that it is worth to other tasks to go beside latency-critical ones, where
#: best-effort tasks can't use the room.
LATENCY_CRITICAL_WEIGHT = 8.0
#: Cores that it is worth to be near the data; far from it a task takes a multiple
#: of its time.
DATA_LOCALITY_WEIGHT = 2000.0
#: Seconds for which a suspect waits for a worker where nothing has just begun.
ISOLATION_TIMEOUT_S = 1.0
#: Seconds after which a best-effort step is tried on all workers again, not only on
#: those that have changed: what was learned elsewhere may have made room.
FULL_SEARCH_INTERVAL_S = 1.0
#: Share of its cores that must be unused for a best-effort task to start. A
#: latency-critical task uses less than is set aside for it; at 0.75 up to 100 of 448
#: cores were unused while 300 tasks waited.
MIN_IDLE_CPU_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A task and the worker that was chosen for it."""

    task: progress.Task
    worker: fleet.Worker


class Placer:
    """Chooses workers by room, constraints and colocation."""

    def __init__(self, workers: fleet.Fleet, model: interference.Model) -> None:
        self.workers = workers
        self.model = model
        #: Names of workers on which short tasks would take too long.
        self.slow_workers: frozenset[str] = frozenset()

    def place(
        self,
        step_run: progress.StepRun,
        tasks: list[progress.Task],
        service: str,
        now: float,
    ) -> list[Placement]:
        """Choose workers for as many of the tasks as fit, and reserve their room."""
        step = step_run.step
        seen = next(self.workers.change_numbers)
        candidates = self._candidates(step, service, now)
        if step.gang:
            return self._place_gang(step_run, tasks, candidates, now)
        whole = needs_full_search(step_run, now)
        if not whole:
            # The others had no room for it before, and nothing there has changed.
            candidates = [
                c for c in candidates if c.last_change > step_run.searched_change
            ]
        chosen = self._place_tasks(step_run, tasks, candidates, now)
        if len(chosen) < len(tasks):
            step_run.searched_change = seen
            if whole:
                step_run.full_search_at = now + FULL_SEARCH_INTERVAL_S
        return chosen

    def has_room(self, step_run: progress.StepRun, service: str, now: float) -> bool:
        """Tell whether one more task of the step could be placed now."""
        return any(
            self._is_candidate(step_run.step, worker, service, now)
            and self._score(step_run, worker) is not None
            for worker in self.workers
        )

    def place_one(
        self,
        step_run: progress.StepRun,
        tasks: list[progress.Task],
        service: str,
        now: float,
    ) -> list[Placement]:
        """Choose a worker for one task, even if it may disturb those beside it."""
        chosen = self.place(step_run, tasks, service, now)
        if chosen or not step_run.step.best_effort:
            return chosen
        able = [
            worker
            for worker in self.workers
            if is_eligible(step_run.step, worker, service, now)
            and fleet.reserved_resources(step_run.step).fits_in(worker.free)
            and (
                step_run.allowed_workers is None
                or worker.name in step_run.allowed_workers
            )
        ]
        if not able:
            return []
        best = max(able, key=lambda worker: self._low_impact_key(step_run.step, worker))
        best.reserve(tasks[0])
        return [Placement(tasks[0], best)]

    def _low_impact_key(
        self, step: messages.Step, worker: fleet.Worker
    ) -> tuple[bool, float, float]:
        """Return how little a best-effort task would harm there; more is better.

        All workers without latency-critical tasks leave the same busy time. When that
        alone decided, such jobs all went to one of them, 30 tasks to 64 cores.
        """
        room = self.model.headroom(step, worker)
        return not interference.has_high_latency(worker), room, worker.idle_cpus

    def _candidates(
        self, step: messages.Step, service: str, now: float
    ) -> list[fleet.Worker]:
        return [
            worker
            for worker in self.workers
            if self._is_candidate(step, worker, service, now)
        ]

    def _is_candidate(
        self, step: messages.Step, worker: fleet.Worker, service: str, now: float
    ) -> bool:
        """Tell whether a worker may run tasks of the step, and has room for one."""
        return (
            is_eligible(step, worker, service, now)
            and fits(step, worker)
            and (step.continuous or worker.name not in self.slow_workers)
        )

    def _place_tasks(
        self,
        step_run: progress.StepRun,
        tasks: list[progress.Task],
        candidates: list[fleet.Worker],
        now: float,
    ) -> list[Placement]:
        """Give one task after the other to the worker that is best by then.

        Only the worker that was chosen is scored again. Scoring all of them for
        each task took 200 ms a pass with 150 tasks waiting and 24 workers.
        """
        ranked = ranking.Ranking(
            {worker: self._score(step_run, worker) for worker in candidates}
        )
        chosen = []
        for task in tasks:
            if task.suspect:
                best = safest_worker(ranked.scores, now)
            else:
                best = ranked.best(task.avoided_worker)
            if best is None:
                break
            if defers_suspect(task, best, now):
                # Until then nothing begins there, so that it can begin alone.
                ranked.rank(best, None)
                best.avoid_until = task.not_before = now + fleet.ISOLATED_START_S
                continue
            best.reserve(task)
            chosen.append(Placement(task, best))
            ranked.rank(best, self._score(step_run, best))
            if task.suspect and not task.step.gang:
                best.isolated_suspect = task
                ranked.rank(best, None)
        return chosen

    def _score(self, step_run: progress.StepRun, worker: fleet.Worker) -> float | None:
        """Return how well the step goes to a worker; None if it does not fit."""
        step = step_run.step
        if not fits(step, worker):
            return None
        if (
            step_run.allowed_workers is not None
            and worker.name not in step_run.allowed_workers
        ):
            return None
        most = step.most_per_worker
        if most and worker.count_of_step(step_run) >= most:
            return None
        score = score_of(step, worker)
        if step.best_effort and worker.latency_critical_count:
            if interference.has_high_latency(worker):
                # What is stopped there counts as no pressure. To the model there was
                # room again after each stop, and a new one kept the latency high.
                return None
            room = self.model.headroom(step, worker)
            if room < MIN_HEADROOM:
                return None
            score += HEADROOM_WEIGHT * room
        return score

    def _place_gang(
        self,
        step_run: progress.StepRun,
        tasks: list[progress.Task],
        candidates: list[fleet.Worker],
        now: float,
    ) -> list[Placement]:
        """Place all members or none: one alone would only hold its room."""
        if len(tasks) < len(step_run.tasks):
            return []
        groups = [candidates]
        if step_run.step.same_rack:
            groups = [*by_rack(candidates), candidates]
        for group in groups:
            chosen = self._place_tasks(step_run, tasks, group, now)
            if len(chosen) == len(tasks):
                return chosen
            for choice in chosen:
                choice.worker.release(choice.task)
        return []


def needs_full_search(step_run: progress.StepRun, now: float) -> bool:
    """Tell whether all workers are looked at for a step, or those that changed."""
    if not step_run.step.best_effort or step_run.allowed_workers is not None:
        return True
    return now >= step_run.full_search_at


def safest_worker(
    scores: cabc.Mapping[fleet.Worker, float | None], now: float
) -> fleet.Worker | None:
    """Return the worker for a task that may crash it: where the least would be lost.

    If it can, it goes where nothing has just begun, so that a crash tells them apart.
    """
    able = {worker: score for worker, score in scores.items() if score is not None}

    def order(worker: fleet.Worker) -> tuple[bool, int, float]:
        return not worker.no_recent_start(now), len(worker.tasks), -able[worker]

    return min(able, key=order, default=None)


def defers_suspect(task: progress.Task, worker: fleet.Worker, now: float) -> bool:
    """Tell whether a suspect waits until nothing has just begun on a worker."""
    if not task.suspect or task.step.gang or worker.no_recent_start(now):
        return False
    since = task.step_run.blocked_since
    return since is None or now < since + ISOLATION_TIMEOUT_S


def is_eligible(
    step: messages.Step, worker: fleet.Worker, service: str, now: float
) -> bool:
    """Tell whether tasks of the step may run on the worker at all."""
    if worker.entry.service != service or not worker.usable(now):
        return False
    return not step.label or step.label in worker.entry.labels


def fits(step: messages.Step, worker: fleet.Worker) -> bool:
    """Tell whether a task of the step fits into what the worker has free."""
    if not fleet.reserved_resources(step).fits_in(worker.free):
        return False
    if step.best_effort:
        return worker.idle_cpus >= step.need.cpus * MIN_IDLE_CPU_SHARE
    return True


def score_of(step: messages.Step, worker: fleet.Worker) -> float:
    """Return how well a task of the step goes to the worker; more is better."""
    near = DATA_LOCALITY_WEIGHT * bool(
        step.data_rack and step.data_rack in worker.entry.labels
    )
    critical = bool(worker.latency_critical_count)
    if step.best_effort:
        return near + worker.idle_cpus - COLOCATION_WEIGHT * critical
    if step.continuous:
        # The fullest of those that have such tasks already, so that few workers do.
        disturbed = BEST_EFFORT_PENALTY * worker.best_effort_count
        return near + COLOCATION_WEIGHT * critical - worker.free.cpus - disturbed
    return near + worker.idle_cpus + LATENCY_CRITICAL_WEIGHT * critical


def by_rack(workers: list[fleet.Worker]) -> list[list[fleet.Worker]]:
    """Return the workers that share each label, largest groups first."""
    groups: dict[str, list[fleet.Worker]] = {}
    for worker in workers:
        for label in worker.entry.labels:
            groups.setdefault(label, []).append(worker)
    return sorted(groups.values(), key=len, reverse=True)
