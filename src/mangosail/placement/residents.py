"""Which work shares a worker: the kinds behind the ledger's reservations."""

import collections
import collections.abc as cabc

from mangosail.placement import messages, workers

#: Remembered pieces of work after which those on no ledger are forgotten.
PRUNE_THRESHOLD = 4096


class Residents:
    """What is known of each task that a ledger holds.

    The ledger says whether a task runs, so a task that ended in any way at all
    can't stay here as a neighbour.
    """

    def __init__(self, owned: cabc.Iterable[workers.OwnedWorker]) -> None:
        self.owned = owned
        self.by_task_id: dict[str, messages.Work] = {}

    def add(self, work: messages.Work) -> None:
        """Remember `work` before or after it is entered in a ledger."""
        if len(self.by_task_id) >= PRUNE_THRESHOLD:
            self._prune()
        self.by_task_id[work.task_id] = work

    def remove(self, task_id: str) -> messages.Work | None:
        """Forget a task and return what was known of it."""
        return self.by_task_id.pop(task_id, None)

    def work_on(self, owned: workers.OwnedWorker) -> list[messages.Work]:
        """Return the known work that the worker carries now."""
        reserved = owned.ledger.reserved
        return [self.by_task_id[task] for task in reserved if task in self.by_task_id]

    def kinds_on(self, owned: workers.OwnedWorker) -> collections.Counter[str]:
        """Return how many tasks of each kind run there."""
        return collections.Counter(work.kind for work in self.work_on(owned))

    def _prune(self) -> None:
        held = {task for owned in self.owned for task in owned.ledger.reserved}
        self.by_task_id = {
            task: work for task, work in self.by_task_id.items() if task in held
        }
