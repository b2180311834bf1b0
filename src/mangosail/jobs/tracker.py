"""Where each task of one held job stands, in a byte a task."""

import collections.abc as cabc
import enum
import heapq

from mangosail.jobs import messages
from mangosail.work import messages as work_messages

#: Starts that one task may take in all before it counts as failed.
MOST_ATTEMPTS = 3


class Standing(enum.IntEnum):
    """Where a task stands; the order is of no meaning."""

    WAITING = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4


class Tally:
    """The tasks of a job by index, and which of them is next.

    A task that failed is tried again under a new attempt number. Its work is
    then another row, which can't exist before the failure is final, so no two
    attempts run at once.
    """

    def __init__(self, tasks: int) -> None:
        self.standings = bytearray(tasks)
        self.attempts = bytearray(tasks)
        self.counts = [tasks] + [0] * (len(Standing) - 1)
        #: Tasks from here on have never been started.
        self.cursor = 0
        #: Tasks that wait to be tried again, by the monotonic time of that.
        self.later: list[tuple[float, int]] = []

    def next(self, now: float) -> int | None:
        """Return the index of the next task to start, which stays waiting."""
        if self.later and self.later[0][0] <= now:
            return self.later[0][1]
        while self.cursor < len(self.standings):
            if self.standings[self.cursor] == Standing.WAITING:
                return self.cursor
            self.cursor += 1
        return None

    def begin(self, index: int) -> None:
        """Note that the task `index`, which was the next, is on its way."""
        if self.later and self.later[0][1] == index:
            heapq.heappop(self.later)
        else:
            self.cursor = max(self.cursor, index + 1)
        self.move(index, Standing.RUNNING)

    def put_back(self, index: int, not_before: float) -> None:
        """Let a task wait again until the monotonic time `not_before`."""
        self.move(index, Standing.WAITING)
        heapq.heappush(self.later, (not_before, index))

    def move(self, index: int, standing: Standing) -> None:
        """Note where a task stands now."""
        self.counts[self.standings[index]] -= 1
        self.counts[standing] += 1
        self.standings[index] = standing

    def indices(self, standing: Standing) -> cabc.Iterator[int]:
        """Yield the tasks that stand there."""
        return (idx for idx, at in enumerate(self.standings) if at == standing)

    def cancel_waiting(self) -> None:
        """Let no waiting task start any more."""
        for index in self.indices(Standing.WAITING):
            self.move(index, Standing.CANCELLED)
        self.later.clear()
        self.cursor = len(self.standings)

    def over(self) -> bool:
        """Tell whether every task has reached its end."""
        return not (self.counts[Standing.WAITING] or self.counts[Standing.RUNNING])

    def as_counts(self) -> messages.Counts:
        """Return the counts as they go into the job's row."""
        return messages.Counts(
            self.counts[Standing.RUNNING],
            self.counts[Standing.COMPLETED],
            self.counts[Standing.FAILED],
            self.counts[Standing.CANCELLED],
        )


def request_of(
    job: messages.Job, index: int, attempt: int = 0
) -> work_messages.Request:
    """Return the piece of durable work that is task `index` of `job`."""
    suffix = f".{attempt}" if attempt else ""
    return work_messages.Request(
        team=job.team,
        request_id=f"{job.job_id}.{index}{suffix}",
        kind=job.kind,
        needs=job.needs,
        body={"index": index, "body": job.body},
        restartable=True,
        job=job.job_id,
    )


def task_of(job: messages.Job, request_id: str) -> tuple[int, int] | None:
    """Return the index and attempt that a request id stands for, if it does."""
    parts = request_id.removeprefix(f"{job.job_id}.").split(".")
    if len(parts) > 2 or not all(part.isdecimal() for part in parts):
        return None
    index = int(parts[0])
    if index >= job.tasks:
        return None
    return index, int(parts[1]) if len(parts) == 2 else 0
