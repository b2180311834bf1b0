"""Following tasks of whose end this instance would not hear."""

import result

from mangosail import clock as clocks
from mangosail.jobs import attempts, held, records
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages

#: Rows read at a time.
READ_BATCH_SIZE = 500


class TaskPoller:
    """Reads the rows of tasks that run elsewhere, or were left by others."""

    def __init__(
        self,
        job_records: records.Records,
        attempt_handler: attempts.AttemptHandler,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.records = job_records
        self.attempt_handler = attempt_handler
        self.clock = clock
        self.counters = counters

    def poll(self, job: held.HeldJob) -> None:
        """Read the rows of tasks of whose end we would not hear."""
        now = self.clock.monotonic()
        indices = [idx for idx, each in job.polls.items() if each.poll_at <= now]
        for first in range(0, len(indices), READ_BATCH_SIZE):
            part = indices[first : first + READ_BATCH_SIZE]
            requests = {job.request(idx).request_id: idx for idx in part}
            keys = [work_messages.work_key(job.spec.team, rid) for rid in requests]
            found = self.records.find_work_rows(keys)
            if isinstance(found, result.Err):
                return
            for row in found.ok_value:
                request_id = row.request.request_id
                index = requests.pop(request_id)
                if index in job.polls:
                    job.polls[index] = job.polls[index].after_poll(now)
                self.attempt_handler.settle(job, index, request_id, row.state)
            for index in requests.values():
                self._requeue_unclaimed(job, index)

    def _requeue_unclaimed(self, job: held.HeldJob, index: int) -> None:
        """Queue a task again that was offered but not claimed in time."""
        if index not in job.polls:
            return
        self.counters.count("jobs.retry.offer_lost")
        self.attempt_handler.requeue(job, index, 0)
