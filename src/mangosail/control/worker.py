"""What the control loop knows of one worker."""

import dataclasses

from mangosail.placement import workers


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A change of shares, kept until its effect shows."""

    kind: str
    #: The tail before it.
    tail: float
    #: Shares taken away in all; negative if they were given back.
    shares_taken: float
    #: Batch tasks on the worker; if they change, the effect proves nothing.
    tasks: frozenset[str]


class ControlledWorker:
    """One owned worker under control; times are monotonic."""

    def __init__(self, owned: workers.OwnedWorker, now: float) -> None:
        self.owned = owned
        #: Share of its processors that each throttled task has.
        self.shares: dict[str, float] = {}
        #: Time of the last step; quotes that began before it don't count.
        self.acted_at = now
        #: Time at which there were last enough quotes to tell.
        self.sampled_at = now
        #: Time since which the tail has been too long; None if it is not.
        self.over_target_since: float | None = None
        #: Time since which there has been room to let go.
        self.relaxable_since = now
        self.last_step: Step | None = None

    def share_of(self, task_id: str) -> float:
        """Return the share that a task has."""
        return self.shares.get(task_id, 1.0)

    def forget_ended(self, present: set[str]) -> None:
        """Keep nothing of tasks that no longer run here."""
        self.shares = {
            task_id: share
            for task_id, share in self.shares.items()
            if task_id in present
        }
