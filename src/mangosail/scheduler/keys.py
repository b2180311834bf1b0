"""Names of the rows in which the scheduler keeps what must last.

A key's first part is the kind of row, its second the shard. Rows of one shard are
changed together in one transaction, one after the other; those of different shards
at the same time. So what callers hand in goes to many shards and never waits for
the leader's own writes: with a slow store one shard took two transactions a second
and refused the rest.
"""

#: The leader's shard: its lease, the states of all jobs, and the continuous jobs.
SHARD = "s0"

#: Rows of jobs as they were handed in, and of requests to cancel them.
JOBS = "job/"
#: Rows of what has become of each job.
STATES = f"state/{SHARD}/"
#: Rows that say who leads, and order what the leader writes.
LEADERSHIP = f"leader/{SHARD}/"
LEASE = LEADERSHIP + "lease"
CHAIN = LEADERSHIP + "chain"
#: Row with what the leader has learned of how images disturb each other.
LEARNED = LEADERSHIP + "learned"
#: Rows that say where each instance is reached by the others.
INSTANCES = f"instance/{SHARD}/"
#: Row with the room that accepted continuous jobs have taken.
CONTINUOUS = LEADERSHIP + "continuous"

#: Ends the key of a request to cancel the job that the key begins with.
CANCEL_SUFFIX = "~"
#: Text of the row of a job that is over.
ENDED_JOB_TEXT = "null"


def job(job_id: str) -> str:
    """Return the key of the row that holds a job as it was handed in.

    The last digit of its id says in which of 16 shards it is.
    """
    return f"{JOBS}{job_id[-1].lower()}/{job_id}"


def continuous_job(job_id: str) -> str:
    """Return the key of a continuous job, which is stored with the room it takes."""
    return f"{JOBS}{SHARD}/{job_id}"


def cancellation(job_id: str) -> str:
    """Return the key of the row that asks for a job to be cancelled."""
    return job(job_id) + CANCEL_SUFFIX


def state(job_id: str) -> str:
    """Return the key of the row that holds what has become of a job."""
    return STATES + job_id


def is_cancellation(key: str) -> bool:
    """Tell whether the key is that of a request to cancel."""
    return key.endswith(CANCEL_SUFFIX)


def job_id(key: str) -> str:
    """Return the job that a row of jobs or states is about."""
    return key.rpartition("/")[2].removesuffix(CANCEL_SUFFIX)


def shard_of(key: str) -> str:
    """Return the shard of a row."""
    return key.split("/", 2)[1]
