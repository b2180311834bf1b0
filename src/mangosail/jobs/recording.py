"""Recording the states of held jobs, and learning what others wrote there."""

import result

from mangosail.jobs import cancellation, held, messages, polling, records
from mangosail.ownership import session
from mangosail.platform import errors as platform_errors
from mangosail.telemetry import counters as telemetry

#: Seconds between writings of jobs' states, and readings of what we follow.
RECORD_INTERVAL_S = 1.0


class JobRecorder:
    """Keeps the rows of the held `jobs` and what is known of them in step.

    A job that has ended, or that another instance holds by now, is dropped.
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
        """Write what changed of the held jobs, and read of what we follow."""
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
            self.counters.count(f"jobs.ended.{ended.ok_value.state.state}")
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
        """Find what others wrote to our jobs' states: cancelled, or taken over."""
        rows = [job.stored.row for job in self.jobs.values()]
        found = self.records.find_states(rows)
        if isinstance(found, result.Err):
            return
        for present in found.ok_value:
            key = records.keys_of(present.row)[0]
            job = self.jobs.get(key)
            if job is not None and present.version > job.stored.version:
                self._apply_stored(key, job, present)

    def _reread(self, key: str, job: held.HeldJob) -> None:
        found = self.records.find(job.spec.team, job.spec.job_id)
        if isinstance(found, result.Ok):
            self._apply_stored(key, job, found.ok_value)

    def _apply_stored(
        self, key: str, job: held.HeldJob, present: records.StoredJob
    ) -> None:
        """Take in a state that this instance did not write."""
        own = self.lease.row
        holder = (present.state.holder, present.state.incarnation)
        if present.row.final or holder != (own.instance, own.incarnation):
            # Another holder queues the tasks now. Those that run here go on;
            # their rows keep anybody from starting them a second time.
            self.jobs.pop(key, None)
            job.tracker.cancel_waiting()
            self.counters.count("jobs.lost")
            return
        job.stored = present
        if present.state.state is messages.State.CANCELLING:
            self.canceller.cancel(job)
