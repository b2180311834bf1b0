"""Adoption: taking on what runs on a worker that this instance has taken.

The rows under ``placed/<worker>/`` say what may run there; the worker says
what does. Its word decides, and nothing is started: a task that runs gets a new
holder under the same generation, one that ended gets its end recorded, and one
that the worker does not know is made void there before its row moves on.

The scan is repeated, because a claim whose write was delayed may turn up after
the first one, when nobody has it in hand any more. That is likely only soon after
the worker was taken; later on, scans at the same rate would by themselves read
more rows than the table gives, once thousands of tasks run.
"""

import dataclasses

import logbook
import result

from mangosail.placement import workers
from mangosail.work import (
    claims,
    context,
    leases,
    messages,
    outcomes,
    registry,
    starts,
    transitions,
)

log = logbook.Logger("work")

#: Seconds between two scans of what is placed on a worker.
SCAN_INTERVAL_S = 60.0
#: Seconds between the scans that follow the taking of a worker.
EARLY_SCAN_INTERVAL_S = 10.0
#: How many of these there are.
EARLY_SCAN_COUNT = 6


class Adoption:
    """Takes on the work placed on owned workers that is not in hand."""

    def __init__(
        self,
        ctx: context.Context,
        task_starts: starts.Starts,
        task_transitions: transitions.TaskTransitions,
        task_leases: leases.Leases,
    ) -> None:
        self.ctx = ctx
        self.starts = task_starts
        self.transitions = task_transitions
        self.leases = task_leases
        #: Monotonic time of each worker's next scan.
        self.next_scan_at: dict[str, float] = {}
        #: Scans of each worker since it was taken.
        self.scan_counts: dict[str, int] = {}

    def scan_due(self) -> None:
        """Scan the owned workers whose time has come."""
        now = self.ctx.clock.monotonic()
        owned = {worker.name: worker for worker in self.ctx.owned}
        self.next_scan_at = {n: at for n, at in self.next_scan_at.items() if n in owned}
        self.scan_counts = {
            n: count for n, count in self.scan_counts.items() if n in owned
        }
        for name, worker in owned.items():
            if worker.ready and self.next_scan_at.get(name, 0.0) <= now:
                self._schedule(name, now)
                self.ctx.spawn(self.scan, worker)

    def _schedule(self, name: str, now: float) -> None:
        """Set the time of a worker's next scan."""
        count = self.scan_counts.get(name, 0) + 1
        self.scan_counts[name] = count
        early = count <= EARLY_SCAN_COUNT
        self.next_scan_at[name] = now + (
            EARLY_SCAN_INTERVAL_S if early else SCAN_INTERVAL_S
        )

    def scan(self, owned: workers.OwnedWorker) -> None:
        """Take on what is placed on `owned` and not in hand."""
        found = self.ctx.claims.placed_on(owned.name, self.ctx.registry.__contains__)
        if isinstance(found, result.Err):
            self.ctx.counters.count("work.retry.adoption_scan")
            self.next_scan_at.pop(owned.name, None)
            return
        for held in found.ok_value:
            task_id = messages.task_id_of(held.row.request)
            claimed = held.row.state is messages.State.CLAIMED
            if claimed and task_id not in self.ctx.registry:
                self.adopt(held, owned)

    def adopt(self, stored: claims.StoredRow, owned: workers.OwnedWorker) -> None:
        """Become the holder of `held`, then ask the worker about it."""
        if stored.row.worker != owned.name or not self.ctx.may_act(owned):
            return
        mine = self.ctx.lease.row
        row = claims.with_new_attempt(
            dataclasses.replace(
                stored.row, holder=mine.instance, incarnation=mine.incarnation
            )
        )
        with self.ctx.registry.claim(messages.task_id_of(row.request)):
            written = self.ctx.claims.write(row, stored.version)
            if isinstance(written, result.Err):
                self.ctx.counters.count("work.retry.adoption_write")
                return
            task = registry.Task(written.ok_value, owned)
            task.in_doubt = True
            self.ctx.registry.add(task)
        # An adopted task may be near the end of its lease.
        self.leases.renew_soon(owned.name)
        self.ctx.counters.count("work.adopted")
        log.info("task adopted", task=task.task_id, worker=owned.name)
        with task.lock:
            self.starts.resolve_start(task)
        if task.removed.ready() or task.task_id in owned.ledger.reserved:
            return
        owned.ledger.add(task.task_id, row.request.needs)

    def resolve_orphan(self, stored: claims.StoredRow) -> claims.StoredRow:
        """Return the row after moving it on if its worker will not tell.

        A worker that the platform calls gone answers nobody, and it may have no
        owner left; so whoever is asked about the work settles it.
        """
        row = stored.row
        if row.state is not messages.State.CLAIMED or not self._is_lost(row):
            return stored
        moved = claims.with_new_attempt(outcomes.worker_lost_row(row))
        written = self.ctx.claims.write(moved, stored.version)
        if isinstance(written, result.Err):
            return stored
        self.ctx.counters.count("work.worker_lost")
        return written.ok_value

    def _is_lost(self, row: messages.WorkRow) -> bool:
        if self.ctx.is_worker_gone(row.worker):
            return True
        return row.request.restartable and self.leases.has_expired(row)
