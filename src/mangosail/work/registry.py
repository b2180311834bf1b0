"""The durable work that this instance holds and that has not ended.

Ended work is dropped: waiting callers keep a reference to the task, and all others
read the row. The size of the registry is thus bounded by the running work.
"""

import collections.abc as cabc
import contextlib

import gevent
import gevent.event
import gevent.lock

from mangosail.dispatch import messages as dispatch_messages
from mangosail.placement import workers
from mangosail.work import claims, keepers, messages


class Task:
    """A claimed piece of work and its state."""

    def __init__(
        self,
        stored: claims.StoredRow,
        owned: workers.OwnedWorker,
        deadline: float = 0.0,
    ) -> None:
        self.stored = stored
        self.owned = owned
        #: Monotonic time until which its caller waits here; 0 if no caller does.
        self.deadline = deadline
        #: The next worker, if the pending row moves the task.
        self.next_owned: workers.OwnedWorker | None = None
        #: Names of the workers on which it certainly never started.
        self.avoided_workers: frozenset[str] = frozenset()
        #: Held while an order for this task is sent or its row is written, so that
        #: start, end, eviction and cancellation are serialised.
        self.lock = gevent.lock.RLock()
        #: Whether the worker has to be asked for the state of the task.
        self.in_doubt = False
        #: Set once its cancellation was requested.
        self.cancelling = False
        #: The next row, until it has been written.
        self.pending_row: messages.WorkRow | None = None
        #: True once a write of the next row has failed.
        self.unwritten = False
        #: The peers that keep the end in the pending row.
        self.told: frozenset[keepers.Keeper] = frozenset()
        #: Set when the task is removed: its last row, or None if that was not read.
        self.removed = gevent.event.AsyncResult()

    @property
    def row(self) -> messages.WorkRow:
        """Return the last written row."""
        return self.stored.row

    @property
    def task_id(self) -> str:
        """Return the task id used with the worker."""
        return messages.task_id_of(self.row.request)

    def matches_generation(self, report: dispatch_messages.Report) -> bool:
        """Return whether `report` is about the current generation."""
        return report.generation == self.row.generation

    def forgotten_by_worker(self, report: dispatch_messages.Report) -> bool:
        """Return whether the task was voided by another boot of its worker.

        A worker that restarts has lost its state and voids tasks that it ran before.
        Taking that for `not_run` would run a release twice.
        """
        void = report.state is dispatch_messages.TaskState.VOID
        return void and report.boot != self.row.boot


class Registry:
    """The tasks of this instance by id, and the claims in progress."""

    def __init__(self) -> None:
        self.by_id: dict[str, Task] = {}
        self.claiming: dict[str, gevent.event.Event] = {}
        #: Ids in `claiming` whose task is to be cancelled once it is registered.
        self.cancelled_claims: set[str] = set()

    def __iter__(self) -> cabc.Iterator[Task]:
        return iter(list(self.by_id.values()))

    def __contains__(self, task_id: str) -> bool:
        return task_id in self.by_id or task_id in self.claiming

    def get(self, task_id: str) -> Task | None:
        """Return the task, or None if it is not registered."""
        return self.by_id.get(task_id)

    def tasks_on_worker(self, name: str) -> list[Task]:
        """Return the registered tasks of one worker."""
        return [task for task in self if task.owned.name == name]

    def add(self, task: Task) -> None:
        """Register a task, to be cancelled if that was requested during its claim."""
        task.cancelling = task.task_id in self.cancelled_claims
        self.by_id[task.task_id] = task

    def remove(self, task: Task, row: messages.WorkRow | None) -> None:
        """Remove a task, and wake those that wait for it with its last row."""
        if self.by_id.get(task.task_id) is task:
            del self.by_id[task.task_id]
        task.owned.ledger.release(task.task_id)
        if not task.removed.ready():
            task.removed.set(row)

    def await_claim(self, task_id: str, seconds: float) -> bool:
        """Wait until nobody claims `task_id`; return whether that was so in time.

        When a claim comes to nothing, all who waited for it go on, and the first of
        them may claim anew before the others run.
        """
        with gevent.Timeout(seconds, False):
            while (event := self.claiming.get(task_id)) is not None:
                event.wait()
            return True
        return False

    def cancel_claim(self, task_id: str) -> None:
        """Have the task that a claim in progress may register cancelled."""
        if task_id in self.claiming:
            self.cancelled_claims.add(task_id)

    @contextlib.contextmanager
    def claim(self, task_id: str) -> cabc.Iterator[None]:
        """Mark `task_id` as being claimed, so that no other greenlet claims it.

        The caller has made sure, without yielding since, that it is not in here.
        """
        if task_id in self:
            raise ValueError(f"{task_id} is claimed already")
        event = gevent.event.Event()
        self.claiming[task_id] = event
        try:
            yield
        finally:
            del self.claiming[task_id]
            self.cancelled_claims.discard(task_id)
            event.set()
