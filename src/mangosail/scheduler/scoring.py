"""Scores of workers: which ones may run a task of a step, and which suit it best.

A score is in cores of free room, with bonuses and penalties for the data and the tasks
that are near::

    if is_eligible(step, worker, "pool", now) and fits(step, worker):
        score = scorer.score(step_run, worker)
"""

from mangosail.scheduler import (
    failure_domains,
    fleet,
    interference,
    messages,
    progress,
)

#: Bonus in cores for placing a latency-critical task beside others: they gather on few
#: workers, and best-effort tasks, which raise their latencies, get the rest to
#: themselves. More than any worker has, so that it outweighs free room.
COLOCATION_WEIGHT = 1000.0
#: Bonus in cores for a best-effort task that leaves headroom to latency-critical ones,
#: for the whole utilization.
HEADROOM_WEIGHT = 40.0
#: Utilization headroom that a best-effort task must leave to the latency-critical ones
#: beside it.
MIN_HEADROOM = 0.0
#: Penalty in cores for placing a latency-critical task beside a best-effort one.
BEST_EFFORT_PENALTY = 20.0
#: Bonus in cores for placing other tasks beside latency-critical ones, where
#: best-effort tasks can't use the room.
LATENCY_CRITICAL_WEIGHT = 8.0
#: Bonus in cores for being near the data; far from it a task takes several times as
#: long.
DATA_LOCALITY_WEIGHT = 2000.0
#: Share of its cores that must be idle for a best-effort task to start: what is
#: reserved beside it is not all used.
MIN_IDLE_CPU_SHARE = 0.4


class Scorer:
    """Scores workers for the tasks of a step, by what runs there already."""

    def __init__(self, model: interference.Model) -> None:
        self.model = model

    def score(
        self,
        step_run: progress.StepRun,
        worker: fleet.Worker,
        preference: failure_domains.Preference | None = None,
    ) -> float | None:
        """Return the score of the step on a worker; None if it does not fit."""
        step = step_run.step
        if not fits(step, worker) or not step_run.allows(worker.name):
            return None
        limit = step.most_per_worker
        if limit and worker.count_of_step(step_run) >= limit:
            return None
        score = score_of(step, worker)
        if step.best_effort and worker.latency_critical_count:
            if interference.has_high_latency(worker):
                # Paused tasks count as no pressure, so the model saw room again after
                # each pause, and each new task kept the latency high.
                return None
            room = self.model.headroom(step, worker)
            if room < MIN_HEADROOM:
                return None
            score += HEADROOM_WEIGHT * room
        if (
            preference is not None
            and worker.entry.data_centre == preference.data_centre
        ):
            score += preference.bonus(worker)
        return score

    def low_impact_key(
        self, step: messages.Step, worker: fleet.Worker
    ) -> tuple[bool, float, float]:
        """Return a sort key of the harm a best-effort task would do; higher is less.

        All workers without latency-critical tasks have the same headroom. When that
        alone decided, such jobs all went to one of them, 30 tasks to 64 cores.
        """
        room = self.model.headroom(step, worker)
        return not interference.has_high_latency(worker), room, worker.idle_cpus


def is_eligible(
    step: messages.Step, worker: fleet.Worker, service: str, now: float
) -> bool:
    """Return whether tasks of the step may run on the worker at all."""
    if worker.entry.service != service or not worker.usable(now):
        return False
    return not step.label or step.label in worker.entry.labels


def fits(step: messages.Step, worker: fleet.Worker) -> bool:
    """Return whether a task of the step fits into the worker's free resources."""
    if not fleet.reserved_resources(step).fits_in(worker.free):
        return False
    if step.best_effort:
        return worker.idle_cpus >= step.need.cpus * MIN_IDLE_CPU_SHARE
    return True


def score_of(step: messages.Step, worker: fleet.Worker) -> float:
    """Return how well the worker suits a task of the step; higher is better."""
    locality = DATA_LOCALITY_WEIGHT * bool(
        step.data_rack and step.data_rack in worker.entry.labels
    )
    has_critical = bool(worker.latency_critical_count)
    if step.best_effort:
        return locality + worker.idle_cpus - COLOCATION_WEIGHT * has_critical
    if step.continuous:
        # Prefers the fullest worker among those with such tasks, to keep them on few
        # workers.
        penalty = BEST_EFFORT_PENALTY * worker.best_effort_count
        return locality + COLOCATION_WEIGHT * has_critical - worker.free.cpus - penalty
    return locality + worker.idle_cpus + LATENCY_CRITICAL_WEIGHT * has_critical
