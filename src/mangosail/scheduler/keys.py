"""Keys of the scheduler's durable rows.

The first part of a key is the kind of row, the second the shard. Transactions of one
shard are committed one after the other, those of different shards in parallel. Jobs
that callers submit are therefore spread over many shards and never wait for the
leader's own writes: on a slow store one shard committed two transactions a second and
refused the rest.
"""

#: The leader's shard: its lease, the states of all jobs, and the continuous jobs.
SHARD = "s0"

#: Rows of submitted jobs and of cancellation requests.
JOBS = "job/"
#: Rows of jobs that were refused as too late, which void earlier writes of them.
REFUSALS = "refusal/"
#: Rows of the progress of each job.
STATES = f"state/{SHARD}/"
#: Rows of the lease, and of the chain that orders the leader's writes.
LEADERSHIP = f"leader/{SHARD}/"
LEASE = LEADERSHIP + "lease"
CHAIN = LEADERSHIP + "chain"
#: Row with the learned interference between images.
LEARNED = LEADERSHIP + "learned"
#: Row with the routes of jobs that differ from those of their hand-in.
ROUTES = LEADERSHIP + "routes"
#: Rows with the addresses at which instances reach each other.
INSTANCES = f"instance/{SHARD}/"
#: Row with the resources reserved by accepted continuous jobs.
CONTINUOUS = LEADERSHIP + "continuous"

#: Appended to a job's key for the row that requests its cancellation.
CANCEL_SUFFIX = "~"
#: Value of the row of a job that has ended.
ENDED_JOB_TEXT = "null"


def job(job_id: str) -> str:
    """Return the key of a submitted job.

    The last digit of the job's id selects one of 16 shards.
    """
    return f"{JOBS}{job_id[-1].lower()}/{job_id}"


def refusal(job_id: str) -> str:
    """Return the key of the refusal of a job; it is in the shard of the job's row."""
    return f"{REFUSALS}{job_id[-1].lower()}/{job_id}"


def continuous_job(job_id: str) -> str:
    """Return the key of a continuous job.

    It is in the shard of the row of reserved resources, as both are written together.
    """
    return f"{JOBS}{SHARD}/{job_id}"


def cancellation(job_id: str) -> str:
    """Return the key of the cancellation request of a job."""
    return job(job_id) + CANCEL_SUFFIX


def state(job_id: str) -> str:
    """Return the key of a job's progress record."""
    return STATES + job_id


def is_cancellation(key: str) -> bool:
    """Return whether the key is that of a cancellation request."""
    return key.endswith(CANCEL_SUFFIX)


def job_id(key: str) -> str:
    """Return the id of the job that a row of jobs or states belongs to."""
    return key.rpartition("/")[2].removesuffix(CANCEL_SUFFIX)


def shard_of(key: str) -> str:
    """Return the shard of a row."""
    return key.split("/", 2)[1]
