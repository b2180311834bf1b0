"""Jobs as teams declare them, and how far they have come."""

import dataclasses
import typing as t

from mangosail import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """`tasks` restartable tasks of one kind; each gets `body` and its index."""

    team: str
    job_id: str
    kind: str
    tasks: int
    needs: resources.Resources
    body: t.Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class JobRow:
    """A job in the table, with the instance that sees to it."""

    job: Job
    holder: str
    incarnation: str
    #: True once every task has reached a final state.
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How many of a job's tasks stand where."""

    job_id: str
    tasks: int
    waiting: int
    running: int
    completed: int
    failed: int


def job_key(team: str, job_id: str) -> str:
    """Return the key of a job."""
    return f"job/{team}/{job_id}"
