"""Eviction: checkpoint, stop, then one write that makes the task wait again.

This order makes a crash at any step harmless. Before the stop, the task still runs,
and an instance that adopts it lets it run. After the stop and before the write, the
row still names the worker; the adopting instance finds the task stopped there and
the checkpoint under the name derived from the row, and makes the write. After the
write, the row is evicted, and one claim of the next generation wins.
"""

import result

from mangosail.dispatch import messages as dispatch_messages
from mangosail.work import (
    context,
    errors,
    messages,
    outcomes,
    registry,
    starts,
    transitions,
)


class Evictions:
    """Evicts restartable tasks from their workers."""

    def __init__(
        self,
        ctx: context.Context,
        task_starts: starts.Starts,
        task_transitions: transitions.TaskTransitions,
    ) -> None:
        self.ctx = ctx
        self.starts = task_starts
        self.transitions = task_transitions

    def evict(
        self, task_id: str, reason: str
    ) -> result.Result[messages.Outcome, errors.NotEvicted]:
        """Checkpoint and stop the task `task_id`."""
        task = self.ctx.registry.get(task_id)
        if task is None:
            return self._refuse("not_in_hand")
        if not task.row.request.restartable:
            return self._refuse("not_restartable")
        with task.lock:
            return self._evict(task, reason)

    def _evict(
        self, task: registry.Task, reason: str
    ) -> result.Result[messages.Outcome, errors.NotEvicted]:
        if task.removed.ready() or task.in_doubt or task.pending_row is not None:
            return self._refuse("unsettled")
        if not self.ctx.may_act(task.owned):
            return self._refuse("lease_over")
        target = task.owned.target
        name = transitions.checkpoint_name(task.row)
        stored = target.checkpoint(task.task_id, name, self.starts.order_deadline())
        if isinstance(stored, result.Err):
            return self._refuse("checkpoint_failed")
        stopped = target.void(
            task.task_id, task.row.generation, self.starts.order_deadline()
        )
        if isinstance(stopped, result.Err):
            # It may have been stopped; `Runner.sweep` asks the worker until it answers.
            task.in_doubt = True
            return self._refuse("stop_in_doubt")
        if stopped.ok_value.state is not dispatch_messages.TaskState.STOPPED:
            self.transitions.handle_report(task, stopped.ok_value)
            return self._refuse("ended")
        task.owned.ledger.release(task.task_id)
        self.transitions.transition(task, outcomes.evicted_row(task.row, reason, name))
        if task.row.state is not messages.State.EVICTED:
            return self._refuse("not_written")
        self.ctx.counters.count("work.evicted")
        return result.Ok(outcomes.outcome_of(task.row))

    def _refuse(
        self, reason: str
    ) -> result.Result[messages.Outcome, errors.NotEvicted]:
        self.ctx.counters.count(f"work.not_evicted.{reason}")
        return result.Err(errors.NotEvicted(reason))
