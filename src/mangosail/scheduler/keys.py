"""Names of the rows in which the scheduler keeps what must last.

A key's first part is the kind of row, its second the shard. Rows of one shard can
be changed together in one transaction.
"""

#: The only shard so far: one leader sees to all jobs and workers.
SHARD = "s0"

#: Rows of jobs that are not over, and of requests to cancel them.
JOBS = f"job/{SHARD}/"
#: Rows of what has become of each job.
STATES = f"state/{SHARD}/"
#: Rows that say who leads, and order what the leader writes.
LEADERSHIP = f"leader/{SHARD}/"
LEASE = LEADERSHIP + "lease"
CHAIN = LEADERSHIP + "chain"
#: Row with the room that accepted jobs which last have taken.
LASTING = LEADERSHIP + "lasting"

#: Ends the key of a request to cancel the job that the key begins with.
CANCEL_SUFFIX = "~"


def job(job_id: str) -> str:
    """Return the key of the row that holds a job as it was accepted."""
    return JOBS + job_id


def cancellation(job_id: str) -> str:
    """Return the key of the row that asks for a job to be cancelled."""
    return JOBS + job_id + CANCEL_SUFFIX


def state(job_id: str) -> str:
    """Return the key of the row that holds what has become of a job."""
    return STATES + job_id


def is_cancellation(key: str) -> bool:
    """Tell whether the key is that of a request to cancel."""
    return key.endswith(CANCEL_SUFFIX)


def job_id(key: str) -> str:
    """Return the job that a row of jobs or states is about."""
    return key.rpartition("/")[2].removesuffix(CANCEL_SUFFIX)
