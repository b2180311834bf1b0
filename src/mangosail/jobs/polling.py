"""Polling of the rows of tasks whose end might not be reported to this instance."""

import result

from mangosail import clock as clocks
from mangosail.jobs import attempts, held, messages, records
from mangosail.work import messages as work_messages

#: Rows per read of the table.
READ_BATCH_SIZE = 500


class TaskPoller:
    """Reads the rows of tasks that run on other instances or had another holder."""

    def __init__(
        self,
        job_records: records.Records,
        attempt_handler: attempts.AttemptHandler,
        clock: clocks.Clock,
    ) -> None:
        self.records = job_records
        self.attempt_handler = attempt_handler
        self.clock = clock

    def poll(self, job: held.HeldJob) -> None:
        """Read the rows of the tasks whose poll is due and apply their states."""
        now = self.clock.monotonic()
        indices = [idx for idx, each in job.polls.items() if each.poll_at <= now]
        for start in range(0, len(indices), READ_BATCH_SIZE):
            batch = indices[start : start + READ_BATCH_SIZE]
            requests = {job.request(idx).request_id: idx for idx in batch}
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
        """Requeue a task that was offered to a peer but not claimed in time.

        The peer may still claim it. That does no harm to a task that is placed again.
        Tasks of a cancelled job are left to the canceller, which writes their rows.
        """
        if index not in job.polls or job.state is messages.State.CANCELLING:
            return
        self.attempt_handler.requeue(job, index, "offer_lost")
