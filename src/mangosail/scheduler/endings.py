"""Why jobs ended, for the log.

Logs are often cut short, so the one line that a job has ended must tell by itself what
it was decided on::

    end = endings.find_exhausted(job)
    if end is not None:
        log.info("job ended", cause=end.cause.value, **end.evidence_fields())
"""

import dataclasses
import enum
import typing as t

from mangosail.scheduler import messages, progress, records


class Cause(enum.StrEnum):
    """Cause for which a job ended."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    #: A task has failed as often as its queue permits.
    ATTEMPTS = "attempts"
    #: A task has crashed too many workers.
    CRASHES = "crashes"


#: State in which each cause leaves a job.
STATES = {
    Cause.COMPLETED: messages.State.COMPLETED,
    Cause.CANCELLED: messages.State.CANCELLED,
    Cause.ATTEMPTS: messages.State.FAILED,
    Cause.CRASHES: messages.State.FAILED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempts:
    """The task that failed most often, and what was counted."""

    task: str
    run: int
    #: Worker of the last failed run; empty if an earlier leader saw it fail.
    worker: str
    #: Failed runs of the task, or of all members of its gang together.
    failures: int
    attempts: int
    gang: bool

    @property
    def count(self) -> int:
        """Return the number that reached the limit."""
        return self.failures


@dataclasses.dataclass(frozen=True, slots=True)
class CrashCounts:
    """The task that crashed workers, and what was counted."""

    task: str
    run: int
    #: Worker of the last crash. Those of earlier ones, which earlier leaders may have
    #: counted, are not recorded.
    worker: str
    crashes: int
    certain: int

    @property
    def count(self) -> int:
        """Return the number of crashes."""
        return self.crashes


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnd:
    """The end of a job: its cause, and the evidence if it failed."""

    cause: Cause
    evidence: FailedAttempts | CrashCounts | None = None

    @property
    def state(self) -> messages.State:
        """Return the state in which the job ended."""
        return STATES[self.cause]

    def evidence_fields(self) -> dict[str, t.Any]:
        """Return the evidence as fields of a log line."""
        return dataclasses.asdict(self.evidence) if self.evidence else {}

    def failure_record(self, token: int) -> records.FailureRecord | None:
        """Return what is recorded of a failure that the leader `token` decided."""
        if self.evidence is None:
            return None
        return records.FailureRecord(
            self.cause.value,
            token,
            self.evidence.task,
            self.evidence.run,
            self.evidence.worker,
            self.evidence.count,
        )


COMPLETED = JobEnd(Cause.COMPLETED)
CANCELLED = JobEnd(Cause.CANCELLED)


def recorded_fields(failure: records.FailureRecord | None) -> dict[str, t.Any]:
    """Return why a job failed, as its record tells, as fields of a log line."""
    if failure is None:
        return {"cause": "not_recorded"}
    return {
        "cause": failure.cause,
        "decided_by_token": failure.token,
        "task": failure.task,
        "run": failure.run,
        "worker": failure.worker,
        "count": failure.count,
    }


def find_exhausted(job: progress.JobProgress) -> JobEnd | None:
    """Return the end of a job whose failed runs have reached the attempts, if so."""
    attempts = job.job.attempts
    for step_run in job.steps.values():
        if step_run.step.continuous or step_run.failures < attempts:
            continue
        task = max(step_run.tasks, key=lambda task: task.failures)
        evidence = FailedAttempts(
            task.name,
            task.highest_run,
            task.avoided_worker,
            step_run.failures,
            attempts,
            step_run.step.gang,
        )
        return JobEnd(Cause.ATTEMPTS, evidence)
    return None


def crash_limit(task: progress.Task, worker: str) -> JobEnd:
    """Return the end of a job that is given up for a task that crashes workers."""
    task = task.original
    evidence = CrashCounts(
        task.name, task.highest_run, worker, task.crashes, task.certain_crashes
    )
    return JobEnd(Cause.CRASHES, evidence)
