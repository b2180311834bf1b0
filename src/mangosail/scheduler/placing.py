"""Choice of the worker for each task, among those that `scoring.py` finds suitable."""

import collections.abc as cabc
import dataclasses

from mangosail.scheduler import (
    failure_domains,
    fleet,
    interference,
    messages,
    progress,
    ranking,
    scoring,
)

#: Seconds after which a best-effort step is tried on all workers again, not only on
#: changed ones: what the model learned from other workers may have made room.
FULL_SEARCH_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A task and the worker chosen for it."""

    task: progress.Task
    worker: fleet.Worker


class Placer:
    """Chooses workers by their scores, all or none for the members of a gang."""

    def __init__(
        self,
        workers: fleet.Fleet,
        model: interference.Model,
        homes: failure_domains.JobHomes | None = None,
    ) -> None:
        self.workers = workers
        self.scorer = scoring.Scorer(model)
        #: Homes of the jobs; None if their tasks don't gather.
        self.homes = homes
        #: Names of workers that are too slow for short tasks.
        self.slow_workers: frozenset[str] = frozenset()

    def place(
        self,
        step_run: progress.StepRun,
        tasks: list[progress.Task],
        service: str,
        now: float,
    ) -> list[Placement]:
        """Choose workers for as many tasks as fit, and reserve their resources."""
        step = step_run.step
        change_number = next(self.workers.change_numbers)
        if step.gang:
            candidates = self._candidates(step, service, self.workers, now)
            placements = self._place_gang(step_run, tasks, candidates, service, now)
            self._record_for_homes(placements)
            return placements
        full_search = needs_full_search(step_run, now)
        searched: cabc.Iterable[fleet.Worker] = self.workers
        if not full_search:
            # The others had no room for it before, and nothing has changed there.
            searched = [
                worker
                for worker in self.workers
                if worker.last_change > step_run.searched_change
            ]
        candidates = self._candidates(step, service, searched, now)
        placements = self._place_tasks(step_run, tasks, candidates, service, now)
        self._record_for_homes(placements)
        if len(placements) < len(tasks):
            step_run.searched_change = change_number
            if full_search:
                step_run.full_search_at = now + FULL_SEARCH_INTERVAL_S
        return placements

    def has_room(self, step_run: progress.StepRun, service: str, now: float) -> bool:
        """Return whether one more task of the step could be placed now."""
        return any(
            self.has_room_on(worker, step_run, service, now) for worker in self.workers
        )

    def has_room_on(
        self,
        worker: fleet.Worker,
        step_run: progress.StepRun,
        service: str,
        now: float,
    ) -> bool:
        """Return whether one more task of the step could be placed on a worker now."""
        return (
            self._is_candidate(step_run.step, worker, service, now)
            and self.scorer.score(step_run, worker) is not None
        )

    def place_one(
        self,
        step_run: progress.StepRun,
        tasks: list[progress.Task],
        service: str,
        now: float,
    ) -> list[Placement]:
        """Choose a worker for one task, even if it may disturb those beside it."""
        placements = self.place(step_run, tasks, service, now)
        if placements or not step_run.step.best_effort:
            return placements
        candidates = [
            worker
            for worker in self.workers
            if scoring.is_eligible(step_run.step, worker, service, now)
            and fleet.reserved_resources(step_run.step).fits_in(worker.free)
            and step_run.allows(worker.name)
        ]
        if not candidates:
            return []
        best = max(
            candidates,
            key=lambda worker: self.scorer.low_impact_key(step_run.step, worker),
        )
        best.reserve(tasks[0])
        return [Placement(tasks[0], best)]

    def place_copy(
        self,
        task: progress.Task,
        copy: progress.Task,
        service: str,
        now: float,
        avoided_data_centre: str = "",
    ) -> Placement | None:
        """Choose a worker for a copy of a task, and reserve its resources.

        It is another one than that of the task, and outside of a data centre that is to
        be avoided, if possible.
        """
        candidates = [
            worker
            for worker in self._candidates(task.step, service, self.workers, now)
            if worker.name != task.worker and task.name not in worker.tasks
        ]
        elsewhere = [
            worker
            for worker in candidates
            if worker.entry.data_centre != avoided_data_centre
        ]
        for group in (elsewhere, candidates):
            placements = self._place_tasks(task.step_run, [copy], group, service, now)
            if placements:
                return placements[0]
        return None

    def _candidates(
        self,
        step: messages.Step,
        service: str,
        searched: cabc.Iterable[fleet.Worker],
        now: float,
    ) -> list[fleet.Worker]:
        return [
            worker
            for worker in searched
            if self._is_candidate(step, worker, service, now)
        ]

    def _is_candidate(
        self, step: messages.Step, worker: fleet.Worker, service: str, now: float
    ) -> bool:
        """Return whether a worker may run tasks of the step, and has room for one."""
        return (
            scoring.is_eligible(step, worker, service, now)
            and scoring.fits(step, worker)
            and (step.continuous or worker.name not in self.slow_workers)
        )

    def _place_tasks(
        self,
        step_run: progress.StepRun,
        tasks: list[progress.Task],
        candidates: list[fleet.Worker],
        service: str,
        now: float,
    ) -> list[Placement]:
        """Place one task after the other on the worker that is best by then.

        Only the chosen worker is scored again, so that a round stays short.
        """
        preference = self._preference(step_run, service, now)
        ranked = ranking.Ranking(
            {
                worker: self.scorer.score(step_run, worker, preference)
                for worker in candidates
            }
        )
        placements = []
        for task in tasks:
            if task.suspect:
                best = safest_worker(ranked.scores, now)
            else:
                best = ranked.best(task.avoided_worker)
            if best is None:
                break
            best.reserve(task)
            placements.append(Placement(task, best))
            if preference is not None:
                preference.record(best)
            ranked.rank(best, self.scorer.score(step_run, best, preference))
            if task.suspect:
                # Nothing else is placed there until it has started, but for other
                # members of its gang.
                best.isolated_suspect = task
                if not task.step.gang:
                    ranked.rank(best, None)
        return placements

    def _preference(
        self, step_run: progress.StepRun, service: str, now: float
    ) -> failure_domains.Preference | None:
        if self.homes is None:
            return None
        return self.homes.preference(step_run, service, now)

    def _record_for_homes(self, placements: cabc.Iterable[Placement]) -> None:
        """Count the cores that were taken, for the choice of further homes."""
        if self.homes is not None:
            for placement in placements:
                self.homes.record(placement.task, placement.worker)

    def _place_gang(
        self,
        step_run: progress.StepRun,
        tasks: list[progress.Task],
        candidates: list[fleet.Worker],
        service: str,
        now: float,
    ) -> list[Placement]:
        """Place all members or none: a single one would only block its resources."""
        if len(tasks) < len(step_run.tasks):
            return []
        groups = [candidates]
        if step_run.step.same_rack:
            racks = by_rack(candidates)
            preference = self._preference(step_run, service, now)
            if preference is not None:
                racks.sort(key=preference.is_home, reverse=True)
            groups = [*racks, candidates]
        for group in groups:
            placements = self._place_tasks(step_run, tasks, group, service, now)
            if len(placements) == len(tasks):
                return placements
            for placement in placements:
                placement.worker.release(placement.task)
        return []


def needs_full_search(step_run: progress.StepRun, now: float) -> bool:
    """Return whether a step is tried on all workers, or only on those that changed."""
    if not step_run.step.best_effort or step_run.allowed_workers is not None:
        return True
    return now >= step_run.full_search_at


def safest_worker(
    scores: cabc.Mapping[fleet.Worker, float | None], now: float
) -> fleet.Worker | None:
    """Return the worker for a suspect: where a crash would do the least harm.

    If possible it is one where nothing has just started, so that a crash can be
    attributed.
    """
    scored = {worker: score for worker, score in scores.items() if score is not None}

    def risk(worker: fleet.Worker) -> tuple[bool, int, float]:
        return not worker.no_recent_start(now), len(worker.tasks), -scored[worker]

    return min(scored, key=risk, default=None)


def by_rack(workers: list[fleet.Worker]) -> list[list[fleet.Worker]]:
    """Return the workers that share each label, largest groups first."""
    groups: dict[str, list[fleet.Worker]] = {}
    for worker in workers:
        for label in worker.entry.labels:
            groups.setdefault(label, []).append(worker)
    return sorted(groups.values(), key=len, reverse=True)
