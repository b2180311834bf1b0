"""Following tasks of whose end this instance would not hear."""

import result

from mangosail import clock as clocks
from mangosail.jobs import attempts, held, records
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages

#: Rows read at a time.
READ_ROWS = 500


class Following:
    """Reads the rows of tasks that run elsewhere, or were left by others."""

    def __init__(
        self,
        rows: records.Records,
        attempts: attempts.Ends,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.records = rows
        self.ends = attempts
        self.clock = clock
        self.counters = counters

    def follow(self, job: held.HeldJob) -> None:
        """Read the rows of tasks of whose end we would not hear."""
        now = self.clock.monotonic()
        indices = [idx for idx, each in job.followed.items() if each.read_at <= now]
        for first in range(0, len(indices), READ_ROWS):
            part = indices[first : first + READ_ROWS]
            requests = {job.request(idx).request_id: idx for idx in part}
            keys = [work_messages.work_key(job.job.team, rid) for rid in requests]
            found = self.records.work(keys)
            if isinstance(found, result.Err):
                return
            for row in found.ok_value:
                request_id = row.request.request_id
                index = requests.pop(request_id)
                if index in job.followed:
                    job.followed[index] = job.followed[index].again(now)
                self.ends.settle(job, index, request_id, row.state)
            for index in requests.values():
                self._missing(job, index)

    def _missing(self, job: held.HeldJob, index: int) -> None:
        """Queue a task again that was offered but not claimed in time."""
        if index not in job.followed:
            return
        self.counters.count("jobs.retry.offer_lost")
        self.ends.put_back(job, index, 0)
