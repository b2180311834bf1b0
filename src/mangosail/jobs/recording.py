"""Writing the states of held jobs, and reading what other instances wrote there."""

import logbook
import result

from mangosail.jobs import cancellation, held, messages, polling, records
from mangosail.ownership import session
from mangosail.platform import errors as platform_errors
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("jobs")

#: Interval at which job states are written and due polls are made.
RECORD_INTERVAL_S = 1.0


class JobRecorder:
    """Synchronises the held `jobs` with their rows in the table.

    A job that has ended, or that another instance has taken over, is dropped.
    """

    def __init__(
        self,
        jobs: dict[str, held.HeldJob],
        job_records: records.Records,
        task_poller: polling.TaskPoller,
        job_canceller: cancellation.JobCanceller,
        lease: session.Session,
        counters: telemetry.Counters,
    ) -> None:
        self.jobs = jobs
        self.records = job_records
        self.poller = task_poller
        self.canceller = job_canceller
        self.lease = lease
        self.counters = counters

    def record(self) -> None:
        """Write the changed states of held jobs, and poll the tasks that are due."""
        for key, job in list(self.jobs.items()):
            self.poller.poll(job)
            if not self.lease.valid():
                return
            if job.tracker.all_ended():
                self._record_end(key, job)
            elif job.next_state() != job.stored.state:
                self._record_change(key, job)
        self._read_foreign_changes()

    def _record_end(self, key: str, job: held.HeldJob) -> None:
        ended = self.records.write_end(job.stored, job.next_state())
        if isinstance(ended, result.Ok):
            del self.jobs[key]
            state = ended.ok_value.state
            self.counters.count(f"jobs.ended.{state.state}")
            log.info(
                "job ended",
                team=state.team,
                job=state.job_id,
                state=state.state.value,
                reason=state.reason,
                completed=state.counts.completed,
                failed=state.counts.failed,
                cancelled=state.counts.cancelled,
            )
            return
        self._handle_write_error(key, job, ended.err_value)

    def _record_change(self, key: str, job: held.HeldJob) -> None:
        written = self.records.write(job.stored, job.next_state())
        if isinstance(written, result.Ok):
            job.stored = written.ok_value
            return
        self._handle_write_error(key, job, written.err_value)

    def _handle_write_error(
        self, key: str, job: held.HeldJob, error: platform_errors.CommitError
    ) -> None:
        self.counters.count(f"jobs.record_failed.{type(error).__name__.lower()}")
        if isinstance(error, platform_errors.Conflict | platform_errors.Uncertain):
            self._reread(key, job)

    def _read_foreign_changes(self) -> None:
        """Find cancellations and takeovers that other instances wrote to our jobs."""
        rows = [job.stored.row for job in self.jobs.values()]
        found = self.records.find_states(rows)
        if isinstance(found, result.Err):
            return
        for stored in found.ok_value:
            key = records.keys_of(stored.row)[0]
            job = self.jobs.get(key)
            if job is not None and stored.version > job.stored.version:
                self._apply_stored(key, job, stored)

    def _reread(self, key: str, job: held.HeldJob) -> None:
        found = self.records.find(job.spec.team, job.spec.job_id)
        if isinstance(found, result.Ok):
            self._apply_stored(key, job, found.ok_value)

    def _apply_stored(
        self, key: str, job: held.HeldJob, stored: records.StoredJob
    ) -> None:
        """Apply a stored state that this instance may not have written."""
        own = self.lease.row
        holder = (stored.state.holder, stored.state.incarnation)
        if stored.row.final or holder != (own.instance, own.incarnation):
            # Another holder queues the tasks from now on. Tasks that run here continue;
            # their rows keep any instance from starting them a second time.
            self.jobs.pop(key, None)
            job.tracker.cancel_waiting()
            self.counters.count("jobs.lost")
            return
        job.stored = stored
        if stored.state.state is messages.State.CANCELLING:
            self.canceller.cancel(job)
