"""Work as placement sees it."""

import dataclasses
import enum

from mangosail import resources


class WorkClass(enum.StrEnum):
    """What kind of promise stands behind a piece of work; earlier ones go first."""

    #: Latency-critical: a caller waits for the answer.
    QUOTE = "quote"
    #: Runs once for a caller who may wait a little.
    TASK = "task"
    #: A task of a batch job.
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A piece of work that asks for a worker; `needs` are as declared.

    `job` is the batch job that the work is a task of, or empty.
    """

    task_id: str
    team: str
    kind: str
    needs: resources.Resources
    work_class: WorkClass = WorkClass.QUOTE
    job: str = ""
