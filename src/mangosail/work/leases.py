"""Task leases: one row and one renewal order per worker, however many tasks it runs.

The row is written before the worker is informed, and the worker is given a deadline
that is earlier by `CLOCK_SKEW_MARGIN_S`. Hence a task runs only while the lease in
the table is valid, and an instance that sees that lease expire may assume that the
task has stopped.
"""

import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.placement import workers
from mangosail.platform import table
from mangosail.work import context, messages

#: Duration of a task lease; long enough to outlast an outage of the table.
TASK_LEASE_TERM_S = 600.0
#: Interval between renewals; four may fail before a task is stopped.
RENEWAL_INTERVAL_S = 120.0
#: Delay before a failed renewal is retried.
RETRY_INTERVAL_S = 5.0


class Leases:
    """Renews the leases of the tasks on owned workers."""

    def __init__(self, ctx: context.Context) -> None:
        self.ctx = ctx
        #: Monotonic time of each worker's next renewal.
        self.next_renewal_at: dict[str, float] = {}

    def renew_due(self) -> None:
        """Renew the leases of the workers whose next renewal is due."""
        now = self.ctx.clock.monotonic()
        busy = {task.owned.name: task.owned for task in self.ctx.registry}
        self.next_renewal_at = {
            n: at for n, at in self.next_renewal_at.items() if n in busy
        }
        for name, owned in busy.items():
            due = self.next_renewal_at.setdefault(name, now + RENEWAL_INTERVAL_S)
            if due <= now and self.ctx.may_act(owned):
                self.next_renewal_at[name] = now + RENEWAL_INTERVAL_S
                self.ctx.spawn(self.renew, owned)

    def renew(self, owned: workers.OwnedWorker) -> None:
        """Renew the lease of all tasks of `owned`, in the table first."""
        written = self._write_lease(
            owned.name, self.ctx.clock.wall() + TASK_LEASE_TERM_S
        )
        if isinstance(written, result.Err):
            self.ctx.counters.count("work.retry.lease_not_written")
            self.renew_soon(owned.name, RETRY_INTERVAL_S)
            return
        if not self.ctx.may_act(owned):
            return
        renewed = owned.target.renew(
            written.ok_value - clocks.CLOCK_SKEW_MARGIN_S,
            owned.generation,
            self.ctx.clock.monotonic() + context.ORDER_TIMEOUT_S,
        )
        if isinstance(renewed, result.Err):
            self.ctx.counters.count("work.retry.lease_not_told")
            self.renew_soon(owned.name, RETRY_INTERVAL_S)

    def renew_soon(self, worker: str, seconds: float = 0.0) -> None:
        """Schedule a renewal of the worker's lease in `seconds`."""
        self.next_renewal_at[worker] = self.ctx.clock.monotonic() + seconds

    def has_expired(self, row: messages.WorkRow) -> bool:
        """Return whether the lease of a claimed task has certainly expired."""
        wall = self.ctx.clock.wall()
        if wall <= row.lease_deadline + clocks.CLOCK_SKEW_MARGIN_S:
            return False
        key = messages.lease_key(row.worker)
        found = self.ctx.claims.rows.read([key])
        if isinstance(found, result.Err):
            return False
        lease = found.ok_value.get(key)
        return (
            lease is None
            or wall > lease_deadline_of(lease) + clocks.CLOCK_SKEW_MARGIN_S
        )

    def _write_lease(
        self, worker: str, deadline: float
    ) -> result.Result[float, object]:
        """Write a lease until `deadline`, or the stored deadline if that is later."""
        key = messages.lease_key(worker)
        found = self.ctx.claims.rows.read([key])
        if isinstance(found, result.Err):
            return found
        stored = found.ok_value.get(key)
        if stored is not None:
            deadline = max(deadline, lease_deadline_of(stored))
        value = codec.to_json(messages.LeaseRow(worker, deadline))
        version = stored.version if stored else table.ABSENT
        transaction = table.Transaction(
            (table.Check(key, version),), (table.Write(key, value),)
        )
        return self.ctx.claims.rows.commit(transaction).map(lambda _: deadline)


def lease_deadline_of(row: table.Row) -> float:
    """Return the wall time at which the lease in `row` expires."""
    return codec.from_json(row.value, messages.LeaseRow).lease_deadline
