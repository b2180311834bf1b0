"""The ledger of one worker: what it can carry and what is reserved on it.

Everything that may run on the worker is entered before it is started and
removed only when it certainly has ended, so the sum never understates the
worker's load.
"""

import collections.abc as cabc

from mangosail import resources


class Ledger:
    """Reservations against one worker's capacity."""

    def __init__(self, capacity: resources.Resources) -> None:
        #: What this instance may use of the worker at present.
        self.capacity = capacity
        self.reserved: dict[str, resources.Resources] = {}
        self.used = resources.Resources()

    def reserve(self, task_id: str, needs: resources.Resources) -> bool:
        """Enter `task_id` if it fits, and tell whether it did."""
        if task_id in self.reserved:
            return False
        if not (self.used + needs).fits_in(self.capacity):
            return False
        self.enter(task_id, needs)
        return True

    def enter(self, task_id: str, needs: resources.Resources) -> None:
        """Enter a task that runs already, whether it fits or not."""
        self.release(task_id)
        self.reserved[task_id] = needs
        self.used = self.used + needs

    def release(self, task_id: str) -> None:
        """Remove `task_id`; nothing happens if it is not there."""
        needs = self.reserved.pop(task_id, None)
        if needs is None:
            return
        self.used = self.used - needs
        if not self.reserved:
            # Sums of fractions drift; an empty ledger is exactly zero again.
            self.used = resources.Resources()

    def free(self) -> resources.Resources:
        """Return what is left of the capacity."""
        return self.capacity - self.used

    def rebuild(self, running: cabc.Mapping[str, resources.Resources]) -> None:
        """Replace all reservations by what the worker itself says it runs."""
        self.reserved = dict(running)
        self.used = sum(self.reserved.values(), resources.Resources())
