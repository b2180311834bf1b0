"""Metadata of the tasks that share a worker, by the reservations in its ledger."""

import collections
import collections.abc as cabc

from mangosail.placement import messages, workers

#: Number of entries above which those not in any ledger are removed.
PRUNE_THRESHOLD = 4096


class Residents:
    """Metadata of each task that has a reservation in a ledger.

    The ledger decides whether a task is running, so a task that has ended in any way
    is never counted as a neighbour.
    """

    def __init__(self, owned: cabc.Iterable[workers.OwnedWorker]) -> None:
        self.owned = owned
        self.by_task_id: dict[str, messages.Work] = {}

    def add(self, work: messages.Work) -> None:
        """Add `work`, before or after it is added to a ledger."""
        if len(self.by_task_id) >= PRUNE_THRESHOLD:
            self._prune()
        self.by_task_id[work.task_id] = work

    def remove(self, task_id: str) -> messages.Work | None:
        """Remove a task and return its work, or None if it is unknown."""
        return self.by_task_id.pop(task_id, None)

    def work_on(self, owned: workers.OwnedWorker) -> list[messages.Work]:
        """Return the known work with a reservation on a worker."""
        reserved = owned.ledger.reserved
        return [self.by_task_id[task] for task in reserved if task in self.by_task_id]

    def kinds_on(self, owned: workers.OwnedWorker) -> collections.Counter[str]:
        """Return the number of tasks of each kind on a worker."""
        return collections.Counter(work.kind for work in self.work_on(owned))

    def _prune(self) -> None:
        held = {task for owned in self.owned for task in owned.ledger.reserved}
        self.by_task_id = {
            task: work for task, work in self.by_task_id.items() if task in held
        }
