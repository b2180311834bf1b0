"""Recording the states of held jobs, and learning what others wrote there."""

import result

from mangosail.jobs import cancellation, held, messages, polling, records
from mangosail.ownership import session
from mangosail.platform import errors as platform_errors
from mangosail.telemetry import counters as telemetry

#: Seconds between writings of jobs' states, and readings of what we follow.
RECORD_INTERVAL = 1.0


class Recording:
    """Keeps the rows of the held `jobs` and what is known of them in step.

    A job that has ended, or that another instance holds by now, is dropped.
    """

    def __init__(
        self,
        jobs: dict[str, held.HeldJob],
        rows: records.Records,
        followed: polling.Following,
        cancels: cancellation.Cancelling,
        lease: session.Session,
        counters: telemetry.Counters,
    ) -> None:
        self.jobs = jobs
        self.records = rows
        self.following = followed
        self.cancelling = cancels
        self.lease = lease
        self.counters = counters

    def record(self) -> None:
        """Write what changed of the held jobs, and read of what we follow."""
        for key, job in list(self.jobs.items()):
            self.following.follow(job)
            if not self.lease.valid():
                return
            if job.tally.over():
                self._record_end(key, job)
            elif job.next_state() != job.found.state:
                self._record_change(key, job)
        self._learn_cancellations()

    def _record_end(self, key: str, job: held.HeldJob) -> None:
        ended = self.records.end(job.found, job.next_state())
        if isinstance(ended, result.Ok):
            del self.jobs[key]
            self.counters.count(f"jobs.ended.{ended.ok_value.state.state}")
            return
        self._unrecorded(key, job, ended.err_value)

    def _record_change(self, key: str, job: held.HeldJob) -> None:
        written = self.records.write(job.found, job.next_state())
        if isinstance(written, result.Ok):
            job.found = written.ok_value
            return
        self._unrecorded(key, job, written.err_value)

    def _unrecorded(
        self, key: str, job: held.HeldJob, error: platform_errors.CommitError
    ) -> None:
        self.counters.count(f"jobs.record_failed.{type(error).__name__.lower()}")
        if isinstance(error, platform_errors.Conflict | platform_errors.Uncertain):
            self._reread(key, job)

    def _learn_cancellations(self) -> None:
        """Find what others wrote to our jobs' states: cancelled, or taken over."""
        rows = [job.found.row for job in self.jobs.values()]
        found = self.records.states(rows)
        if isinstance(found, result.Err):
            return
        for present in found.ok_value:
            key = records.keys_of(present.row)[0]
            job = self.jobs.get(key)
            if job is not None and present.version > job.found.version:
                self._accept(key, job, present)

    def _reread(self, key: str, job: held.HeldJob) -> None:
        found = self.records.find(job.job.team, job.job.job_id)
        if isinstance(found, result.Ok):
            self._accept(key, job, found.ok_value)

    def _accept(self, key: str, job: held.HeldJob, present: records.Found) -> None:
        """Take in a state that this instance did not write."""
        own = self.lease.row
        holder = (present.state.holder, present.state.incarnation)
        if present.row.final or holder != (own.instance, own.incarnation):
            # Another holder queues the tasks now. Those that run here go on;
            # their rows keep anybody from starting them a second time.
            self.jobs.pop(key, None)
            job.tally.cancel_waiting()
            self.counters.count("jobs.lost")
            return
        job.found = present
        if present.state.state is messages.State.CANCELLING:
            self.cancelling.stop(job)
