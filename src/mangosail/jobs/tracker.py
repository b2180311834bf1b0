"""Where each task of one held job stands, in a byte a task."""

import collections.abc as cabc
import enum
import heapq

from mangosail.jobs import messages
from mangosail.work import messages as work_messages

#: Starts that one task may take in all before it counts as failed.
MAX_FAILED_ATTEMPTS = 3


class TaskStatus(enum.IntEnum):
    """Where a task stands; the order is of no meaning."""

    WAITING = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4


class TaskTracker:
    """The tasks of a job by index, and which of them is next.

    A task that failed is tried again under a new attempt number. Its work is
    then another row, which can't exist before the failure is final, so no two
    attempts run at once.
    """

    def __init__(self, tasks: int) -> None:
        self.statuses = bytearray(tasks)
        self.attempts = bytearray(tasks)
        self.counts = [tasks] + [0] * (len(TaskStatus) - 1)
        #: Tasks from here on have never been started.
        self.cursor = 0
        #: Tasks that wait to be tried again, by the monotonic time of that.
        self.retry_queue: list[tuple[float, int]] = []

    def next_index(self, now: float) -> int | None:
        """Return the index of the next task to start, which stays waiting."""
        if self.retry_queue and self.retry_queue[0][0] <= now:
            return self.retry_queue[0][1]
        while self.cursor < len(self.statuses):
            if self.statuses[self.cursor] == TaskStatus.WAITING:
                return self.cursor
            self.cursor += 1
        return None

    def mark_started(self, index: int) -> None:
        """Note that the task `index`, which was the next, is on its way."""
        if self.retry_queue and self.retry_queue[0][1] == index:
            heapq.heappop(self.retry_queue)
        else:
            self.cursor = max(self.cursor, index + 1)
        self.set_status(index, TaskStatus.RUNNING)

    def requeue(self, index: int, not_before: float) -> None:
        """Let a task wait again until the monotonic time `not_before`."""
        self.set_status(index, TaskStatus.WAITING)
        heapq.heappush(self.retry_queue, (not_before, index))

    def set_status(self, index: int, status: TaskStatus) -> None:
        """Note where a task stands now."""
        self.counts[self.statuses[index]] -= 1
        self.counts[status] += 1
        self.statuses[index] = status

    def with_status(self, status: TaskStatus) -> cabc.Iterator[int]:
        """Yield the tasks that stand there."""
        return (idx for idx, at in enumerate(self.statuses) if at == status)

    def cancel_waiting(self) -> None:
        """Let no waiting task start any more."""
        for index in self.with_status(TaskStatus.WAITING):
            self.set_status(index, TaskStatus.CANCELLED)
        self.retry_queue.clear()
        self.cursor = len(self.statuses)

    def all_ended(self) -> bool:
        """Tell whether every task has reached its end."""
        return not (self.counts[TaskStatus.WAITING] or self.counts[TaskStatus.RUNNING])

    def as_counts(self) -> messages.Counts:
        """Return the counts as they go into the job's row."""
        return messages.Counts(
            self.counts[TaskStatus.RUNNING],
            self.counts[TaskStatus.COMPLETED],
            self.counts[TaskStatus.FAILED],
            self.counts[TaskStatus.CANCELLED],
        )


def task_request(
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


def parse_request_id(job: messages.Job, request_id: str) -> tuple[int, int] | None:
    """Return the index and attempt that a request id stands for, if it does."""
    parts = request_id.removeprefix(f"{job.job_id}.").split(".")
    if len(parts) > 2 or not all(part.isdecimal() for part in parts):
        return None
    index = int(parts[0])
    if index >= job.tasks:
        return None
    return index, int(parts[1]) if len(parts) == 2 else 0
