"""Size of job records, and the limits that it sets to jobs.

A record is one row, and the size of a row is limited. A completed task takes one bit. A
started task takes an entry and the name of its worker, so a job starts only as many
tasks at a time as its record has room for. Tasks that have to run together must fit
together.
"""

from mangosail import codec
from mangosail.platform import table
from mangosail.scheduler import messages

#: Bytes of a record without its task entries and worker names.
FRAME_BYTES = 100
#: Bytes of a task's entry with a checkpoint of 24 characters; longer checkpoints are
#: left out of a record that has no room for them.
TASK_BYTES = 64
#: Bytes of a worker's name with its quotes and comma: the maximum, and the value
#: assumed before the workers are known.
NAME_OVERHEAD_BYTES = 3
MAX_NAME_BYTES = 200 + NAME_OVERHEAD_BYTES
TYPICAL_NAME_BYTES = 40 + NAME_OVERHEAD_BYTES
#: Bytes of a copy's row with the longest worker name, and of its share of the field.
COPY_BYTES = 48 + MAX_NAME_BYTES
#: Bytes kept free so that one task can start, and one that waits again can continue.
MIN_SPARE_BYTES = TASK_BYTES + 2 * MAX_NAME_BYTES


def spare_bytes(job: messages.Job) -> int:
    """Return the bytes that a job's record has for tasks that are not done."""
    return table.MAX_VALUE_BYTES - FRAME_BYTES - done_bytes(job)


def done_bytes(job: messages.Job) -> int:
    """Return the bytes that it takes to record all tasks as done."""
    return sum(
        # Like `[0,0,"fff"],`.
        len(f'[{occurrence},{number},""],') + -(-step.count // 4)
        for occurrence in range(job.occurrences)
        for number, step in enumerate(job.steps)
    )


def concurrent_tasks(job: messages.Job) -> int:
    """Return how many of a job's tasks have to run at the same time."""
    continuous = sum(step.count for step in job.steps if step.continuous)
    gangs = [step.count for step in job.steps if step.gang and not step.continuous]
    return continuous * job.occurrences + max(gangs, default=0)


def rejection_reason(job: messages.Job) -> str:
    """Return why a job can't be stored; empty if it can.

    If it were accepted it would never be completed, or the store would reject its
    record, and its caller would retry forever as if the store were unavailable.
    """
    size = len(codec.to_json(job).encode())
    if size > table.MAX_VALUE_BYTES:
        return f"steps: {size} bytes to keep, at most {table.MAX_VALUE_BYTES}"
    space = spare_bytes(job) - MIN_SPARE_BYTES
    if space < 0:
        return "steps, repeat_count: too many to keep what is done of them"
    count, limit = concurrent_tasks(job), space // (TASK_BYTES + TYPICAL_NAME_BYTES)
    if count > limit:
        return f"steps: {count} tasks that run together, at most {limit}"
    return ""
