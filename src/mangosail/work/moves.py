"""Moving a claimed task, whose start certainly never happens, to another worker.

One write moves the row to the next generation and the next worker, so there is
no moment at which nobody has the task in hand: an instance that dies before it
leaves the row with the first worker, after it with the second, and whoever takes
that worker settles the row. The first generation can't start any more, for its
order was never sent, or the worker has made it void.
"""

import dataclasses

import result

from mangosail.placement import placer
from mangosail.work import claims, context, leases, messages, placing, registry


class Moves:
    """Chooses another worker for tasks whose caller still waits."""

    def __init__(self, ctx: context.Context, task_placer: placer.Placer) -> None:
        self.ctx = ctx
        self.placer = task_placer

    def next_row(self, task: registry.Task) -> messages.WorkRow | None:
        """Return the row that moves `task`, or None if it has to end here.

        Restartable work waits for its job instead. Each worker is tried once, so
        the number of moves is bounded by the number of workers.
        """
        request = task.row.request
        late = task.deadline <= self.ctx.clock.monotonic()
        if late or request.restartable or not self.ctx.lease.valid():
            return None
        task.avoided_workers |= {task.owned.name}
        # The worker's failure is learned, as if the task had ended with it.
        self.placer.finish(task.task_id, False)
        placed = self.placer.place(
            placing.placement_work(request), avoid=task.avoided_workers
        )
        if isinstance(placed, result.Err):
            self.ctx.counters.count("work.not_moved")
            return None
        self.ctx.counters.count("work.moved")
        task.next_owned = placed.ok_value.owned
        return claims.with_new_attempt(
            dataclasses.replace(
                task.row,
                generation=task.row.generation + 1,
                worker=task.next_owned.name,
                lease_deadline=self.ctx.clock.wall() + leases.TASK_LEASE_TERM_S,
            )
        )
