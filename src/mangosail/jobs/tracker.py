"""The status of each task of a held job, in one byte per task."""

import collections.abc as cabc
import enum
import heapq

from mangosail.jobs import messages
from mangosail.work import messages as work_messages

#: Failed attempts after which a task counts as failed.
MAX_FAILED_ATTEMPTS = 3


class TaskStatus(enum.IntEnum):
    """The status of a task; the order of the values has no meaning."""

    WAITING = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4


class TaskTracker:
    """Tracks the tasks of a job by index and selects the next one to start.

    A failed task is retried under a new attempt number. The new attempt has a work
    row of its own, which is created only after the failure is final, so that two
    attempts never run at the same time.
    """

    def __init__(self, tasks: int) -> None:
        self.statuses = bytearray(tasks)
        self.attempts = bytearray(tasks)
        self.counts = [tasks] + [0] * (len(TaskStatus) - 1)
        #: Tasks from this index on have never been started.
        self.cursor = 0
        #: Heap of the tasks that wait for a retry: (monotonic time, index).
        self.retry_queue: list[tuple[float, int]] = []

    def next_index(self, now: float) -> int | None:
        """Return the index of the next task to start without changing its status."""
        if self.retry_queue and self.retry_queue[0][0] <= now:
            return self.retry_queue[0][1]
        while self.cursor < len(self.statuses):
            if self.statuses[self.cursor] == TaskStatus.WAITING:
                return self.cursor
            self.cursor += 1
        return None

    def mark_started(self, index: int) -> None:
        """Mark the task `index`, as returned by `next_index`, as running."""
        if self.retry_queue and self.retry_queue[0][1] == index:
            heapq.heappop(self.retry_queue)
        else:
            self.cursor = max(self.cursor, index + 1)
        self.set_status(index, TaskStatus.RUNNING)

    def requeue(self, index: int, not_before: float) -> None:
        """Make a task wait until the monotonic time `not_before`."""
        self.set_status(index, TaskStatus.WAITING)
        heapq.heappush(self.retry_queue, (not_before, index))

    def set_status(self, index: int, status: TaskStatus) -> None:
        """Set the status of a task and update the counts."""
        self.counts[self.statuses[index]] -= 1
        self.counts[status] += 1
        self.statuses[index] = status

    def with_status(self, status: TaskStatus) -> cabc.Iterator[int]:
        """Yield the indices of the tasks with this status."""
        return (idx for idx, each in enumerate(self.statuses) if each == status)

    def cancel_waiting(self) -> None:
        """Mark all waiting tasks as cancelled."""
        for index in self.with_status(TaskStatus.WAITING):
            self.set_status(index, TaskStatus.CANCELLED)
        self.retry_queue.clear()
        self.cursor = len(self.statuses)

    def all_ended(self) -> bool:
        """Return whether every task has reached a final status."""
        return not (self.counts[TaskStatus.WAITING] or self.counts[TaskStatus.RUNNING])

    def as_counts(self) -> messages.Counts:
        """Return the counts in the form in which they are stored."""
        return messages.Counts(
            self.counts[TaskStatus.RUNNING],
            self.counts[TaskStatus.COMPLETED],
            self.counts[TaskStatus.FAILED],
            self.counts[TaskStatus.CANCELLED],
        )


def task_request(
    job: messages.Job, index: int, attempt: int = 0
) -> work_messages.Request:
    """Return the work request of an attempt of task `index` of `job`."""
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
    """Return the task index and attempt of a request id, or None if it has none."""
    parts = request_id.removeprefix(f"{job.job_id}.").split(".")
    if len(parts) > 2 or not all(part.isdecimal() for part in parts):
        return None
    index = int(parts[0])
    if index >= job.tasks:
        return None
    return index, int(parts[1]) if len(parts) == 2 else 0
