"""Description of work to be placed."""

import dataclasses
import enum

from mangosail import resources


class WorkClass(enum.StrEnum):
    """Service class of a piece of work, in descending priority."""

    #: Latency-critical request: a caller waits for the answer.
    QUOTE = "quote"
    #: Runs once, for a caller that can tolerate some delay.
    TASK = "task"
    #: A task of a batch job.
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A piece of work to be placed on a worker; `needs` are the declared ones.

    `job` is the batch job to which the work belongs, or empty.
    """

    task_id: str
    team: str
    kind: str
    needs: resources.Resources
    work_class: WorkClass = WorkClass.QUOTE
    job: str = ""
