"""Moving a claimed task that can no longer start on its worker to another one.

A single write moves the row to the next generation and the next worker, so the task
belongs to a worker at every moment: if the instance dies before the write, the row
names the first worker, afterwards the second, and the new owner of that worker
adopts the task. The first generation can't start any more, because its order was
never sent or the worker has voided it.
"""

import dataclasses

import result

from mangosail.placement import placer
from mangosail.work import claims, context, leases, messages, placing, registry


class Moves:
    """Chooses another worker for tasks whose caller is still waiting."""

    def __init__(self, ctx: context.Context, task_placer: placer.Placer) -> None:
        self.ctx = ctx
        self.placer = task_placer

    def next_row(self, task: registry.Task) -> messages.WorkRow | None:
        """Return the row that moves `task`, or None if it can't be moved.

        Restartable work is not moved but placed again by its job. Each worker is
        tried once, so the number of workers bounds the number of moves.
        """
        request = task.row.request
        late = task.deadline <= self.ctx.clock.monotonic()
        if late or request.restartable or not self.ctx.lease.valid():
            return None
        task.avoided_workers |= {task.owned.name}
        # Placement learns of the failure as if the task had failed on the worker.
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
