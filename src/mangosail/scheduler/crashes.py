"""Attribution of worker crashes to tasks.

A crashed worker reports nothing about the tasks that ran there, and a faulty task may
crash every worker that starts it. Without a limit such a task is restarted forever, and
each crash ends everything that runs beside it. A job that is given up for it can't be
completed any more, so only what is known of this very task counts:

- A task whose worker fell silent right after its start becomes a suspect. That costs it
  nothing but a start in isolation: on a worker where nothing else has just started, and
  where nothing else starts for a moment.
- A crash right after an isolated start counts if the run is known to have begun, and
  another incarnation of the worker has proved the crash before the run's lease could
  end. It is certainly the task's if no other workers failed with it, as in a rack or
  data centre failure.
- If nobody learned what became of an isolated start before a crash, the next one is
  delayed, longer each time. Such a task can't be told from one whose starts were lost
  on their way, or whose run had ended with its lease.

A task is given up after two certain crashes, or four that count::

    for finding in CrashTracker(workers).record_incarnation_end(worker, True, now):
        if exceeds_crash_limit(finding.suspect.task):
            fail(finding.suspect.task.job)

An unreachable worker may be partitioned and still run its tasks. Crashes are counted
only once its incarnation has ended.
"""

import collections
import dataclasses
import enum

from mangosail.scheduler import fleet, messages, progress

#: Certain crashes after which a task is given up, and crashes that count in total.
MAX_CERTAIN_CRASHES = 2
MAX_CRASHES = 4
#: Seconds after which a run counts as stable: it does not crash its worker.
STABLE_RUN_S = 5.0
#: Workers failed together if the others' last contacts are at most this many seconds
#: earlier, and there are at least this many of them. A poll may wait for 1.2 s.
CORRELATION_WINDOW_S = 1.5
MIN_CORRELATED_WORKERS = 3
#: Uptime of a worker in milliseconds below which an earlier leader may have started
#: runs on its previous incarnation: a takeover and a worker's restart each take
#: seconds.
RECENT_RESTART_MS = 15_000.0
#: Maximum number of crashes that are remembered.
MAX_REMEMBERED_CRASHES = 64
#: Seconds before the next start of a task of whose run nobody knows whether it was
#: there when the worker crashed, and how often that doubles with further ones. A
#: lasting task may not be away for long.
INITIAL_BACKOFF_S = 3.0
MAX_DOUBLINGS = 2
MAX_LASTING_BACKOFF_S = 2.0


class Verdict(enum.StrEnum):
    """What the end of a worker says about a task that had started there."""

    #: The run had begun, its lease was not over, and no other worker crashed.
    CERTAIN = "certain"
    #: The same, but other workers failed at the same time, or may have: that is not
    #: known of the time before this leader.
    CORRELATED = "correlated"
    #: The run had begun, but its lease may have ended before the crash.
    LEASE_OVER = "lease_over"
    #: The worker may have been partitioned, or have left.
    NO_CRASH = "no_crash"
    #: It was not started in isolation, so any of several tasks may be the cause.
    NOT_ISOLATED = "not_isolated"
    #: Neither the answer to its start nor a report tells whether it had begun.
    UNCONFIRMED = "unconfirmed"
    #: An earlier leader recorded the isolated start, and the run may have lasted since.
    NOT_RECENT = "not_recent"
    #: A later run of the task has been stable, or has ended by itself.
    CLEARED = "cleared"


#: Verdicts that count against a task.
COUNTED = frozenset({Verdict.CERTAIN, Verdict.CORRELATED})
#: Verdicts on an isolated start whose run may or may not have been there at the crash.
UNKNOWN = frozenset({Verdict.LEASE_OVER, Verdict.UNCONFIRMED, Verdict.NOT_RECENT})


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A run that had just started when its worker fell silent.

    It may be that of a copy; the task is blamed for both.
    """

    task: progress.Task
    run: int
    #: True if nothing else had just started on the worker, on purpose.
    isolated: bool
    #: True if the worker is known to have had the run.
    confirmed: bool
    #: True if an earlier leader started it.
    inherited: bool
    #: Elapsed time until which the worker has certainly held the run's lease.
    lease_held_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A suspect, and what the end of its worker says about it."""

    suspect: Suspect
    verdict: Verdict
    #: True if other workers are known to have failed at the same time.
    correlated: bool = False

    @property
    def delays_next_start(self) -> bool:
        """Return whether the task has to wait before it starts again.

        Not after a rack or data centre failure: its tasks would all stand still. The
        members of a gang start together, and so seldom in isolation.
        """
        if self.correlated:
            return False
        if self.suspect.task.step.gang and self.verdict is Verdict.NOT_ISOLATED:
            return True
        return self.verdict in UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerCrash:
    """A crash that no isolated start explains."""

    #: Elapsed times of the last contact with the worker, and of the proof.
    last_contact_at: float
    found_at: float


class CrashTracker:
    """Counts crashes against tasks when the incarnation of their worker ends."""

    def __init__(self, workers: fleet.Fleet) -> None:
        self.workers = workers
        #: The most recent crashes, but for those that an isolated start explains.
        self.recent_crashes: collections.deque[WorkerCrash] = collections.deque(
            maxlen=MAX_REMEMBERED_CRASHES
        )
        #: Suspects of workers that have crashed or are only partitioned.
        self.pending_suspects: dict[fleet.Worker, tuple[Suspect, ...]] = {}

    def record_unreachable(self, worker: fleet.Worker) -> tuple[Finding, ...]:
        """Record that all leases on an unreachable worker are over.

        If it has crashed, that is known only when its next incarnation starts, and by
        then the tasks run elsewhere. Returns what is found about each suspect by now:
        nothing if many workers are unreachable, as in a partition, whose tasks must not
        wait for starts in isolation.
        """
        suspects = find_suspects(worker)
        self.pending_suspects[worker] = (*self._pending(worker), *suspects)
        if self._is_correlated(worker):
            return ()
        findings = tuple(
            Finding(suspect, judge(suspect, False, False, 0.0)) for suspect in suspects
        )
        for finding in findings:
            count(finding)
        return findings

    def record_reachable(self, worker: fleet.Worker) -> None:
        """Drop the suspects of a worker that has proved to be alive."""
        self.pending_suspects.pop(worker, None)

    def record_incarnation_end(
        self, worker: fleet.Worker, crashed: bool, now: float
    ) -> tuple[Finding, ...]:
        """Count the end of a worker's incarnation against its tasks.

        `crashed` tells that another incarnation has followed; otherwise the worker may
        also have left, or be partitioned. Returns what was found about each suspect.
        """
        suspects = (*self._pending(worker), *find_suspects(worker))
        correlated = self._is_correlated(worker)
        self.pending_suspects.pop(worker, None)
        if worker.entry.draining:
            return ()
        if crashed and not is_explained(suspects):
            self.recent_crashes.append(WorkerCrash(worker.last_contact_at, now))
        findings = tuple(
            Finding(suspect, judge(suspect, crashed, correlated, now), correlated)
            for suspect in suspects
        )
        for finding in findings:
            count(finding)
        return findings

    def record_missing_run(
        self, worker: fleet.Worker, task: progress.Task, now: float
    ) -> tuple[Finding, ...]:
        """Count a run of an earlier leader that its worker does not list.

        The record names the worker, not its incarnation. If the current one has only
        just begun, the run may have crashed the previous one, under a leader that never
        learned of it.
        """
        if worker.clock > RECENT_RESTART_MS:
            return ()
        suspect = dataclasses.replace(
            as_suspect(worker, task, alone=True),
            # That of the worker is a lease of its present incarnation.
            lease_held_until=task.lease_recorded_until,
        )
        finding = Finding(suspect, judge(suspect, True, True, now))
        count(finding)
        return (finding,)

    def _pending(self, worker: fleet.Worker) -> tuple[Suspect, ...]:
        return self.pending_suspects.get(worker, ())

    def _is_correlated(self, worker: fleet.Worker) -> bool:
        """Return whether other workers became unreachable at about the same time.

        One that an isolated start explains does not count: otherwise several faulty
        tasks that crash their workers in step would protect each other. Nor does one
        that was known before the last contact with this worker, or a worker that was
        heard when this one, polled often while a suspect starts, had fallen silent.
        """
        unreachable = [
            other.last_contact_at
            for other in self.workers
            if other is not worker
            and other.contacted
            and not other.reachable
            and not is_explained((*self._pending(other), *find_suspects(other)))
        ]
        crashed = [
            crash.last_contact_at
            for crash in self.recent_crashes
            if crash.found_at > worker.last_contact_at
        ]
        silent_at = worker.last_contact_at + fleet.ISOLATED_START_S
        if worker.silent_since is not None:
            silent_at = min(silent_at, worker.silent_since)
        nearby = [
            contact_at
            for contact_at in (*unreachable, *crashed)
            if worker.last_contact_at - CORRELATION_WINDOW_S <= contact_at <= silent_at
        ]
        return len(nearby) + 1 >= MIN_CORRELATED_WORKERS


def judge(suspect: Suspect, crashed: bool, correlated: bool, now: float) -> Verdict:
    """Return what the end of its worker, found out at `now`, says about a suspect.

    `crashed` and `correlated` are what is known of the worker.
    """
    if suspect.run <= suspect.task.original.cleared_run:
        return Verdict.CLEARED
    if not crashed:
        return Verdict.NO_CRASH
    if not suspect.isolated:
        return Verdict.NOT_ISOLATED
    if not suspect.confirmed:
        return Verdict.UNCONFIRMED
    if now > suspect.lease_held_until:
        return Verdict.NOT_RECENT if suspect.inherited else Verdict.LEASE_OVER
    if correlated or suspect.inherited:
        return Verdict.CORRELATED
    return Verdict.CERTAIN


def count(finding: Finding) -> None:
    """Count a finding against its task."""
    if finding.verdict is Verdict.CLEARED:
        return
    task = finding.suspect.task.original
    task.suspect = True
    task.crashes += finding.verdict in COUNTED
    task.certain_crashes += finding.verdict is Verdict.CERTAIN
    if finding.suspect.task.run == finding.suspect.run:
        # The record may show the run as live for longer, and the next leader must not
        # count the same crash again.
        finding.suspect.task.isolated = False


def find_suspects(worker: fleet.Worker) -> tuple[Suspect, ...]:
    """Return the runs that had just started on a worker at its last contact."""
    recent = [
        task
        for task in worker.tasks.values()
        if may_have_started(task)
        and not task.from_assignment
        and is_recent_start(worker, task)
    ]
    return tuple(as_suspect(worker, task, alone=len(recent) == 1) for task in recent)


def as_suspect(worker: fleet.Worker, task: progress.Task, alone: bool) -> Suspect:
    """Return the current run of a task on a worker as a suspect.

    `alone` tells that nothing else had just started there.
    """
    inherited = task.start_sent_at is None
    # Suspects are started in isolation; of an earlier leader's runs, only those that
    # are known to have begun are recorded, and one of them at most crashed the worker.
    isolated = task.original.suspect if inherited else task.isolated and alone
    shared = inherited and any(
        other.lease_recorded_until > 0
        for other in worker.tasks.values()
        if other is not task
    )
    return Suspect(
        task,
        task.run,
        isolated,
        confirmed=task.start_confirmed and not shared,
        inherited=inherited,
        lease_held_until=max(worker.lease_held_until, task.lease_recorded_until),
    )


def is_explained(suspects: tuple[Suspect, ...]) -> bool:
    """Return whether an isolated start alone explains the silence of its worker."""
    return any(suspect.isolated and suspect.confirmed for suspect in suspects)


def may_have_started(task: progress.Task) -> bool:
    """Return whether the task's current run may exist or have existed."""
    return task.phase is not progress.Phase.STARTING or task.start_sent_at is not None


def is_recent_start(worker: fleet.Worker, task: progress.Task) -> bool:
    """Return whether a run's start was among the last sent to the worker.

    A start that an earlier leader sent, and that this one never saw listed, may have
    been.
    """
    if task.start_sent_at is None:
        return not task.listed
    return worker.last_contact_at - task.start_sent_at <= fleet.ISOLATED_START_S


def is_stable(task: progress.Task, now: float) -> bool:
    """Return whether a listed run has lasted long enough to clear its task."""
    return now - task.started_at >= STABLE_RUN_S


def ended_by_itself(outcome: messages.Outcome) -> bool:
    """Return whether a run with this outcome ended by itself."""
    return outcome in (messages.Outcome.DONE, messages.Outcome.FAILED)


def clear(task: progress.Task) -> None:
    """Clear a task whose current run was stable or ended; one of a copy clears it too.

    Its earlier runs don't count any more, also where the end of their worker is found
    out later.
    """
    original = task.original
    original.cleared_run = max(original.cleared_run, task.run)
    original.crashes = original.certain_crashes = original.lost_starts = 0
    original.suspect = False


def back_off(task: progress.Task, now: float) -> float:
    """Delay the next start of a task after an unknown loss; return the seconds.

    If the task is the cause, nothing may ever prove it, and each start costs a worker.
    """
    doublings = min(task.lost_starts, MAX_DOUBLINGS)
    task.lost_starts += 1
    seconds = INITIAL_BACKOFF_S * 2**doublings
    if task.step.continuous:
        seconds = min(seconds, MAX_LASTING_BACKOFF_S)
    task.not_before = max(task.not_before, now + seconds)
    return seconds


def exceeds_crash_limit(task: progress.Task) -> bool:
    """Return whether a task is to be given up."""
    task = task.original
    return task.certain_crashes >= MAX_CERTAIN_CRASHES or task.crashes >= MAX_CRASHES
