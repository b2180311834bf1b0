"""The durable work that this instance has in hand.

Nothing is kept of work that has ended: whoever waits holds the task itself,
everybody else reads the row. So the registry never grows past what runs.
"""

import collections.abc as cabc
import contextlib

import gevent.event
import gevent.lock

from mangosail.dispatch import messages as dispatch_messages
from mangosail.placement import workers
from mangosail.work import claims, messages


class Task:
    """A claimed piece of work, and where it stands."""

    def __init__(
        self,
        stored: claims.StoredRow,
        owned: workers.OwnedWorker,
        deadline: float = 0.0,
    ) -> None:
        self.stored = stored
        self.owned = owned
        #: Monotonic time until which its caller waits here; 0 for nobody.
        self.deadline = deadline
        #: Where the pending row, if it is a move, brings the task.
        self.next_owned: workers.OwnedWorker | None = None
        #: Workers on which it certainly never started.
        self.avoided_workers: frozenset[str] = frozenset()
        #: Held by whoever sends the worker an order for this task or writes
        #: its row: start, end, eviction and cancellation come one at a time.
        self.lock = gevent.lock.RLock()
        #: True while it is not known whether the start took effect.
        self.in_doubt = False
        #: True once its cancellation was asked for, until the task has left.
        self.cancelling = False
        #: The next row, if the table has not yet taken it.
        self.pending_row: messages.WorkRow | None = None
        #: The row once the task is no longer in hand; None if that is unread.
        self.removed = gevent.event.AsyncResult()

    @property
    def row(self) -> messages.WorkRow:
        """Return the row as it was last written."""
        return self.stored.row

    @property
    def task_id(self) -> str:
        """Return the id under which the worker knows the task."""
        return messages.task_id_of(self.row.request)

    def matches_generation(self, report: dispatch_messages.Report) -> bool:
        """Tell whether `report` is of the generation in hand."""
        return report.generation == self.row.generation

    def forgotten_by_worker(self, report: dispatch_messages.Report) -> bool:
        """Tell whether `void` comes from another run of the worker than the start.

        A worker that was killed comes back without its memory and makes void what
        it ran before: taken for `not_run`, a release would be pumped twice.
        """
        void = report.state is dispatch_messages.TaskState.VOID
        return void and report.boot != self.row.boot


class Registry:
    """Tasks in hand by id, and those being claimed just now."""

    def __init__(self) -> None:
        self.by_id: dict[str, Task] = {}
        self.claiming: dict[str, gevent.event.Event] = {}

    def __iter__(self) -> cabc.Iterator[Task]:
        return iter(list(self.by_id.values()))

    def __contains__(self, task_id: str) -> bool:
        return task_id in self.by_id or task_id in self.claiming

    def get(self, task_id: str) -> Task | None:
        """Return the task if it is in hand."""
        return self.by_id.get(task_id)

    def tasks_on_worker(self, name: str) -> list[Task]:
        """Return the tasks on one worker."""
        return [task for task in self if task.owned.name == name]

    def add(self, task: Task) -> None:
        """Take a task in hand."""
        self.by_id[task.task_id] = task

    def remove(self, task: Task, row: messages.WorkRow | None) -> None:
        """Let go of a task, and tell those that wait for it."""
        if self.by_id.get(task.task_id) is task:
            del self.by_id[task.task_id]
        task.owned.ledger.release(task.task_id)
        if not task.removed.ready():
            task.removed.set(row)

    def await_claim(self, task_id: str, seconds: float) -> bool:
        """Wait for a claim under way here, and tell whether none is left."""
        event = self.claiming.get(task_id)
        return event is None or event.wait(timeout=seconds)

    @contextlib.contextmanager
    def claim(self, task_id: str) -> cabc.Iterator[None]:
        """Keep others of this instance from claiming `task_id` meanwhile."""
        event = gevent.event.Event()
        self.claiming[task_id] = event
        try:
            yield
        finally:
            del self.claiming[task_id]
            event.set()
