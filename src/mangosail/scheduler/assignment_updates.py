"""Updates of advance assignments: when workers are assigned to a job's waiting tasks.

`assignments.Assigner` decides on the workers. Assignments make records longer, and
choosing them takes time, so they are updated when a record is written anyway, and by a
write of their own only for jobs that have waited long and after a takeover::

    if updater.update(job, now):
        job_journal.record(job)
"""

import collections.abc as cabc

from mangosail import clock as clocks
from mangosail.scheduler import (
    assignments,
    journal,
    planning,
    progress,
    routing,
    yielding,
)

#: Seconds for which a job has waited for capacity when workers are assigned to it with
#: a write of its own. Most waits are shorter, and would double the writes.
BLOCKED_S = 0.3
#: Number of steps that wait for room beyond which no workers are assigned to jobs. The
#: cores that come free while the store is away are then too few to be worth the longer
#: records, which delay all starts.
MAX_BLOCKED_STEPS = 10
#: Pause after workers were assigned to a job, as a multiple of the time that it took.
#: Where hundreds of tasks wait, this would otherwise delay starts and the lease.
PAUSE_RATIO = 20


class AssignmentUpdater:
    """Assigns workers to jobs while the store confirms the records."""

    def __init__(
        self,
        enabled: bool,
        assigner: assignments.Assigner,
        router: routing.Router,
        planner: planning.Planner,
        job_journal: journal.Journal,
        clock: clocks.Clock,
    ) -> None:
        self.enabled = enabled
        self.assigner = assigner
        self.router = router
        self.planner = planner
        self.journal = job_journal
        self.clock = clock
        #: Elapsed time before which no workers are assigned.
        self.next_update_at = 0.0

    def update(self, job: progress.JobProgress, now: float) -> bool:
        """Assign workers to the waiting tasks of a job; return whether any changed.

        While the store is late the assignments stay as they are, as changed ones could
        not be used.
        """
        if self.router.needs_advice(job):
            # Tickets expire.
            return False
        if self.planner.blocked_steps > MAX_BLOCKED_STEPS or not self._may_update():
            return False
        service = self.router.service_of(job.job)
        began_at = self.clock.elapsed()
        changed = self.assigner.assign(job, service, now, self.clock.wall())
        ended_at = self.clock.elapsed()
        self.next_update_at = ended_at + PAUSE_RATIO * (ended_at - began_at)
        return changed

    def update_if_blocked(self, step_run: progress.StepRun, now: float) -> None:
        """Assign workers to a job that waits for room, with a write of its own.

        This is done once for each wait.
        """
        since = step_run.blocked_since
        if (
            since is None
            or now < since + BLOCKED_S
            or step_run.assigned_while_blocked
            or not self._may_update()
        ):
            return
        step_run.assigned_while_blocked = True
        if self.update(step_run.job, now):
            self.journal.record(step_run.job)

    def update_after_takeover(
        self,
        jobs: cabc.Iterable[progress.JobProgress],
        now: float,
        yielder: yielding.CooperativeYielder,
    ) -> None:
        """Assign workers to jobs whose earlier assignments are resolved."""
        for job in list(jobs):
            if not self._may_update():
                return
            if not job.assignments_restored:
                continue
            if any(task.from_assignment for task in job.tasks()):
                continue
            job.assignments_restored = False
            if self.update(job, now):
                self.journal.record(job)
            yielder.yield_if_due()

    def _may_update(self) -> bool:
        """Return whether workers may be assigned to a job now."""
        now = self.clock.elapsed()
        if not self.enabled or self.journal.is_late(now):
            return False
        return now >= self.next_update_at
