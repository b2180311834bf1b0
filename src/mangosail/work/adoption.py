"""Adoption: becoming the holder of tasks on a worker that was taken over.

The rows under ``placed/<worker>/`` list the tasks that may run there; the worker
reports which do. The report decides, and nothing is started: a running task gets a
new holder under the same generation, the end of an ended one is recorded, and a task
that the worker does not know is voided there before its row is updated.

The scan is repeated because a claim whose write was delayed may appear after the
first one, when no instance tracks it any more. This is likely only soon after the
takeover; with thousands of tasks running, scanning at that rate forever would read
more rows than the table can serve.
"""

import dataclasses

import logbook
import result

from mangosail.placement import workers
from mangosail.work import (
    claims,
    context,
    inquiries,
    leases,
    messages,
    outcomes,
    registry,
    starts,
    transitions,
)

log = logbook.Logger("work")

#: Interval between scans of the tasks placed on a worker.
SCAN_INTERVAL_S = 60.0
#: Interval between the first scans after a worker was taken over.
EARLY_SCAN_INTERVAL_S = 10.0
#: Number of scans made at that interval.
EARLY_SCAN_COUNT = 6


class Adoption:
    """Adopts the work placed on owned workers that the registry does not contain."""

    def __init__(
        self,
        ctx: context.Context,
        task_starts: starts.Starts,
        task_transitions: transitions.TaskTransitions,
        task_leases: leases.Leases,
        task_inquiries: inquiries.Inquiries,
    ) -> None:
        self.ctx = ctx
        self.starts = task_starts
        self.transitions = task_transitions
        self.leases = task_leases
        self.inquiries = task_inquiries
        #: Monotonic time of each worker's next scan.
        self.next_scan_at: dict[str, float] = {}
        #: Number of scans of each worker since it was taken over.
        self.scan_counts: dict[str, int] = {}

    def scan_due(self) -> None:
        """Scan the owned workers whose next scan is due."""
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

    def scan_soon(self, worker: str) -> None:
        """Scan a worker as often as one just taken over: a claim for it is in doubt."""
        self.next_scan_at.pop(worker, None)
        self.scan_counts.pop(worker, None)

    def _schedule(self, name: str, now: float) -> None:
        """Set the time of a worker's next scan."""
        count = self.scan_counts.get(name, 0) + 1
        self.scan_counts[name] = count
        is_early = count <= EARLY_SCAN_COUNT
        self.next_scan_at[name] = now + (
            EARLY_SCAN_INTERVAL_S if is_early else SCAN_INTERVAL_S
        )

    def scan(self, owned: workers.OwnedWorker) -> None:
        """Adopt the claimed tasks on `owned` that the registry does not contain."""
        found = self.ctx.claims.placed_on(owned.name, self.ctx.registry.__contains__)
        if isinstance(found, result.Err):
            self.ctx.counters.count("work.retry.adoption_scan")
            self.next_scan_at.pop(owned.name, None)
            return
        for stored in found.ok_value:
            task_id = messages.task_id_of(stored.row.request)
            claimed = stored.row.state is messages.State.CLAIMED
            if claimed and task_id not in self.ctx.registry:
                self.adopt(stored, owned)

    def adopt(self, stored: claims.StoredRow, owned: workers.OwnedWorker) -> None:
        """Become the holder of a stored task, then ask its worker for its state."""
        if stored.row.worker != owned.name or not self.ctx.may_act(owned):
            return
        own = self.ctx.lease.row
        row = claims.with_new_attempt(
            dataclasses.replace(
                stored.row, holder=own.instance, incarnation=own.incarnation
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
        # The lease of an adopted task may be about to expire.
        self.leases.renew_soon(owned.name)
        self.ctx.counters.count("work.adopted")
        log.info("task adopted", task=task.task_id, worker=owned.name)
        with task.lock:
            self.starts.resolve_start(task)
        if task.removed.ready() or task.task_id in owned.ledger.reserved:
            return
        owned.ledger.add(task.task_id, row.request.needs)

    def resolve_orphan(self, stored: claims.StoredRow) -> claims.StoredRow:
        """Return the row, updated if its worker will never report an end.

        A worker that the platform lists as gone doesn't answer and may have no owner,
        so any instance that is asked about the work updates the row.
        """
        row = stored.row
        if row.state is not messages.State.CLAIMED or not self._is_lost(row):
            return stored
        found = self.inquiries.find_end(row)
        if isinstance(found, result.Err):
            return stored
        lost_row = claims.with_new_attempt(outcomes.lost_row(row, found.ok_value))
        written = self.ctx.claims.write(lost_row, stored.version)
        if isinstance(written, result.Err):
            return stored
        self.ctx.counters.count("work.worker_lost")
        return written.ok_value

    def _is_lost(self, row: messages.WorkRow) -> bool:
        if self.ctx.is_worker_gone(row.worker):
            return True
        return row.request.restartable and self.leases.has_expired(row)
