"""How large a job's record can get, and which jobs can be kept at all.

A record is one row, and a row has a bound. Tasks that are done take a bit each. Those
that have begun take a row each and the names of their workers, so a job begins no more
of them at a time than its record has room for. What has to run together must fit.
"""

from mangosail import codec
from mangosail.platform import table
from mangosail.scheduler import messages

#: Bytes of a record beside its rows and names.
FRAME_BYTES = 100
#: Bytes of a task's row, with a checkpoint of 24 characters; longer ones are left out
#: of a record that has no room for them.
TASK_BYTES = 64
#: Bytes of a worker's name with its quotes and comma: the longest that a worker can
#: have, and what is reckoned with before the workers are known.
NAME_OVERHEAD_BYTES = 3
MAX_NAME_BYTES = 200 + NAME_OVERHEAD_BYTES
TYPICAL_NAME_BYTES = 40 + NAME_OVERHEAD_BYTES
#: Bytes that are left so that one task can begin, and one that waits again go on.
MIN_SPARE_BYTES = TASK_BYTES + 2 * MAX_NAME_BYTES


def spare_bytes(job: messages.Job) -> int:
    """Return the bytes that a job's record has for tasks that are not done."""
    return table.MOST_VALUE - FRAME_BYTES - done_bytes(job)


def done_bytes(job: messages.Job) -> int:
    """Return how many bytes say that all tasks are done."""
    return sum(
        # Like `[0,0,"fff"],`.
        len(f'[{occurrence},{number},""],') + -(-step.count // 4)
        for occurrence in range(job.occurrences)
        for number, step in enumerate(job.steps)
    )


def concurrent_tasks(job: messages.Job) -> int:
    """Return how many of a job's tasks have to run at the same time."""
    lasting = sum(step.count for step in job.steps if step.continuous)
    gangs = [step.count for step in job.steps if step.gang and not step.continuous]
    return lasting * job.occurrences + max(gangs, default=0)


def rejection_reason(job: messages.Job) -> str:
    """Return why a job can't be kept; empty if it can.

    Accepted, it would never be completed; or the store would refuse it, and its
    caller come back for ever as if the store were away.
    """
    size = len(codec.to_json(job).encode())
    if size > table.MOST_VALUE:
        return f"steps: {size} bytes to keep, at most {table.MOST_VALUE}"
    left = spare_bytes(job) - MIN_SPARE_BYTES
    if left < 0:
        return "steps, repeat_count: too many to keep what is done of them"
    count, most = concurrent_tasks(job), left // (TASK_BYTES + TYPICAL_NAME_BYTES)
    if count > most:
        return f"steps: {count} tasks that run together, at most {most}"
    return ""
