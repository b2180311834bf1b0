"""Starts under advance assignments, while the store is late.

Begins once a transaction of the journal is late, and ends with its confirmation, or
when leases are no longer extended::

    if assigned_starts.active():
        tasks = assigned_starts.start(step_run, tasks, service)
"""

import collections
import collections.abc as cabc
import typing as t

import logbook

from mangosail import clock as clocks
from mangosail.scheduler import assignments, journal, placing, polling, progress
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("assigned-starts")

#: Outcome of a task that is started.
STARTED = "started"

#: Starts runs of a step, whose orders are sent until the given elapsed time.
StartRuns = cabc.Callable[
    [progress.StepRun, list[placing.Placement], float],
    None,
]


class AssignedStarts:
    """Starts tasks on their assigned workers while the store is late."""

    def __init__(
        self,
        enabled: bool,
        assigner: assignments.Assigner,
        job_journal: journal.Journal,
        start_runs: StartRuns,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.enabled = enabled
        self.assigner = assigner
        self.journal = job_journal
        self.start_runs = start_runs
        self.clock = clock
        self.counters = counters
        #: Elapsed time since when tasks start under assignments; None if they do not.
        self.active_since: float | None = None
        #: Latest outcome for each task since then.
        self.outcomes: dict[progress.Task, str] = {}

    def active(self) -> bool:
        """Return whether assigned tasks start now, and log when that changes."""
        self.refresh()
        return self.active_since is not None

    def refresh(self) -> None:
        """Begin or end the starts under assignments, depending on the journal."""
        if not self.enabled:
            return
        now = self.clock.elapsed()
        late = self.journal.is_late(now)
        # Later runs could not be kept alive: leases are not extended any more.
        due = late and now <= self._until()
        if due and self.active_since is None:
            self.active_since = now
            log.warning(
                "store late; starting assigned tasks",
                unconfirmed=round(now - self.journal.confirmed_at, 3),
                token=self.journal.token,
            )
        elif not due and self.active_since is not None:
            self._end(now, "unconfirmed" if late else "confirmed")

    def _until(self) -> float:
        """Return the elapsed time after which nothing starts without a record."""
        return self.journal.confirmed_at + polling.MAX_UNCONFIRMED_S

    def _end(self, now: float, reason: str) -> None:
        counts = collections.Counter(self.outcomes.values())
        names = [STARTED, *(refusal.value for refusal in assignments.Refusal)]
        outcomes: dict[str, t.Any] = {name: counts[name] for name in names}
        log.info(
            "no more starts of assigned tasks",
            reason=reason,
            seconds=round(now - (self.active_since or now), 3),
            **outcomes,
        )
        self.active_since = None
        self.outcomes = {}

    def start(
        self, step_run: progress.StepRun, tasks: list[progress.Task], service: str
    ) -> list[progress.Task]:
        """Start tasks on their assigned workers; return those that are to be placed.

        `service` names the worker pool of the job.
        A task whose assigned worker has no room is not placed elsewhere: its start
        would wait for the store, and keep the room from those that need not wait.
        """
        now = self.clock.elapsed()
        placements = []
        others = []
        for task in tasks:
            refusal = self.assigner.refusal(
                task, service, now, self.journal.confirmed_at
            )
            self._record_outcome(task, refusal.value if refusal else STARTED)
            if refusal is None:
                worker = self.assigner.workers.workers[task.assigned_worker]
                worker.reserve(task)
                placements.append(placing.Placement(task, worker))
                log.info(
                    "starting without a record", task=task.name, run=task.run + 1,
                    worker=worker.name,
                    unconfirmed=round(now - self.journal.confirmed_at, 3),
                )  # fmt: skip
            elif refusal is not assignments.Refusal.NO_ROOM:
                others.append(task)
        if placements:
            self.start_runs(step_run, placements, self._until())
        return others

    def _record_outcome(self, task: progress.Task, outcome: str) -> None:
        """Count an outcome, unless it is the same as in the round before."""
        if self.outcomes.get(task) != outcome:
            self.outcomes[task] = outcome
            self.counters.count(f"assignments.{outcome}")
