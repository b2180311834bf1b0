"""Takeover of jobs whose holder has gone."""

import collections.abc as cabc

import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.jobs import held, messages, queue, tracker
from mangosail.ownership import session, session_observer, shares
from mangosail.platform import table
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages

log = logbook.Logger("jobs")

#: Interval between scans of all running jobs while no session has ended.
SCAN_INTERVAL_S = 15.0


class Takeover:
    """Finds running jobs whose holder's session has ended, and takes over its share.

    All instances compute in the same way which of them takes over a job. If two
    come to different results, the compare-and-set on the job's state row lets one
    of them win.
    """

    def __init__(
        self,
        rows: table.Table,
        jobs: queue.JobQueue,
        sessions: session_observer.SessionObserver,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.rows = rows
        self.jobs = jobs
        self.sessions = sessions
        self.lease = lease
        self.clock = clock
        self.counters = counters
        self.next_scan_at = 0.0
        self.known_holders: set[str] = set()

    def refresh(self) -> None:
        """Scan the running jobs if the set of sessions changed or a scan is due."""
        # Not the live sessions: a session expires a little before it is marked as
        # ended, and its jobs may be taken over only after that.
        holders = self.sessions.active_incarnations()
        now = self.clock.monotonic()
        if holders == self.known_holders and now < self.next_scan_at:
            return
        if not self.lease.valid():
            return
        prefix = messages.state_key(self.lease.row.data_centre, "", "").rstrip("/")
        found = table.scan_all(self.rows, f"{prefix}/")
        if isinstance(found, result.Err):
            return
        self.known_holders = holders
        self.next_scan_at = now + SCAN_INTERVAL_S
        for row in found.ok_value:
            state = codec.from_json(row.value, messages.JobState)
            if self._should_take_over(state) and not self._take_over(state):
                # A takeover failed, so the next round scans again.
                self.next_scan_at = now

    def _should_take_over(self, state: messages.JobState) -> bool:
        own = self.lease.row
        key = messages.job_key(state.team, state.job_id)
        if self.jobs.is_held(key):
            return False
        if state.incarnation == own.incarnation:
            # Held by this instance through a write whose answer was lost.
            return True
        if self.sessions.may_hold_leases(state.holder, state.incarnation):
            return False
        live = [row.instance for row in self.sessions.live()]
        best = max(live, key=lambda name: shares.score(key, name), default="")
        return best == own.instance

    def _take_over(self, state: messages.JobState) -> bool:
        """Become the holder of a job; return False if that has to be retried."""
        found = self.jobs.records.find(state.team, state.job_id)
        if isinstance(found, result.Err):
            return False
        own = self.lease.row
        stored = found.ok_value
        if stored.row.final or stored.state.incarnation != state.incarnation:
            return True
        new_state = messages.with_changes(
            stored.state, holder=own.instance, incarnation=own.incarnation
        )
        written = self.jobs.records.write(stored, new_state)
        if isinstance(written, result.Err):
            self.counters.count("jobs.takeover_failed")
            return False
        job = held.HeldJob(written.ok_value)
        if not self._rebuild(job):
            return False
        self.jobs.hold(job)
        self.counters.count("jobs.taken_over")
        log.info("job taken over", job=state.job_id, before=state.holder)
        return True

    def _rebuild(self, job: held.HeldJob) -> bool:
        """Restore the status of each task of a job from the work rows."""
        prefix = work_messages.work_key(job.spec.team, f"{job.spec.job_id}.")
        found = table.scan_all(self.rows, prefix)
        if isinstance(found, result.Err):
            return False
        rows = [
            codec.from_json(row.value, work_messages.WorkRow) for row in found.ok_value
        ]
        for index, (attempt, row) in last_attempts(job, rows).items():
            job.tracker.attempts[index] = attempt
            self._restore_task(job, index, row.state)
        if job.state is not messages.State.RUNNING:
            job.tracker.cancel_waiting()
        return True

    def _restore_task(
        self, job: held.HeldJob, index: int, state: work_messages.State
    ) -> None:
        """Restore the status of a task whose last attempt is in `state`."""
        job.tracker.set_status(index, tracker.TaskStatus.RUNNING)
        if state is work_messages.State.COMPLETED:
            job.tracker.set_status(index, tracker.TaskStatus.COMPLETED)
            return
        # Failed, cancelled and evicted attempts are settled at the next poll.
        job.schedule_poll(index, self.clock.monotonic())
        if state is work_messages.State.FAILED:
            # It is counted again when it is settled.
            job.failed_attempts[index] -= 1


def last_attempts(
    job: held.HeldJob, rows: cabc.Iterable[work_messages.WorkRow]
) -> dict[int, tuple[int, work_messages.WorkRow]]:
    """Return each task's last attempt and its row, and count the failed attempts."""
    last: dict[int, tuple[int, work_messages.WorkRow]] = {}
    for row in rows:
        task = tracker.parse_request_id(job.spec, row.request.request_id)
        if task is None or row.request.job != job.spec.job_id:
            continue
        index, attempt = task
        if row.state is work_messages.State.FAILED:
            job.failed_attempts[index] += 1
        if index not in last or last[index][0] < attempt:
            last[index] = (attempt, row)
    return last
