"""State of the control loop for one worker."""

import dataclasses

from mangosail.placement import workers


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A change of shares whose effect has not been evaluated yet."""

    kind: str
    #: The tail before the change.
    tail: float
    #: Total of the shares taken away; negative if they were given back.
    shares_taken: float
    #: Batch tasks on the worker; if they change, the effect cannot be attributed.
    tasks: frozenset[str]


class ControlledWorker:
    """One owned worker under control; times are monotonic."""

    def __init__(self, owned: workers.OwnedWorker, now: float) -> None:
        self.owned = owned
        #: Share of its processors that each throttled task has, by task id.
        self.shares: dict[str, float] = {}
        #: Share in the latest order to each task that got no answer, by task id.
        self.unanswered: dict[str, float] = {}
        #: Time of the last action; quotes that started before it are ignored.
        self.acted_at = now
        #: Time at which there were last enough samples.
        self.sampled_at = now
        #: Time since which the tail has been over the target; None if it is not.
        self.over_target_since: float | None = None
        #: Time since which the tail has been low enough to relax.
        self.relaxable_since = now
        self.last_step: Step | None = None

    def share_of(self, task_id: str) -> float:
        """Return the current share of a task."""
        return self.shares.get(task_id, 1.0)

    def forget_ended(self, present: set[str]) -> None:
        """Remove the shares of tasks that are no longer running."""
        self.shares = without_ended(self.shares, present)
        self.unanswered = without_ended(self.unanswered, present)


def without_ended(shares: dict[str, float], present: set[str]) -> dict[str, float]:
    """Return the shares of the tasks that are present."""
    return {task_id: share for task_id, share in shares.items() if task_id in present}
