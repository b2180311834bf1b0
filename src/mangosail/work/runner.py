"""Durable work: claim, start once, wait for the end, record it.

`Runner` is the entry point of this package; each stage is a module of its own. The
instance calls `on_snapshot` with the reports of workers, and once a second `sweep`,
which retries what a fault has left unfinished.
"""

import collections.abc as cabc

import gevent
import result

from mangosail import clock as clocks
from mangosail.dispatch import messages as dispatch_messages
from mangosail.ownership import session
from mangosail.placement import placer, workers
from mangosail.platform import objects
from mangosail.telemetry import counters as telemetry
from mangosail.work import (
    adoption,
    cancellations,
    claiming,
    claims,
    context,
    ends,
    errors,
    evictions,
    forwarding,
    inquiries,
    keepers,
    kept_ends,
    leases,
    messages,
    moves,
    outcomes,
    registry,
    settling,
    starts,
    submissions,
    transitions,
    waiting,
)

#: States that tell placement about the health of the worker and the job.
LEARNED_STATES = frozenset(
    {messages.State.COMPLETED, messages.State.FAILED, messages.State.NOT_RUN}
)


def never_gone(worker: str) -> bool:
    """Return False: without a platform's list, no worker is known to be gone."""
    return False


class Runner:
    """Runs durable work on this instance's workers.

    ``submit`` may be repeated for the same request id at any instance: it returns
    the first outcome, and resumes work that was evicted.
    """

    def __init__(
        self,
        claim_rows: claims.Claims,
        owned: workers.Workers,
        task_placer: placer.Placer,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        forwarder: forwarding.Forwarding | None = None,
        store: objects.Objects | None = None,
        is_worker_gone: cabc.Callable[[str], bool] = never_gone,
        spawn: cabc.Callable[..., object] = gevent.spawn,
        end_peers: keepers.EndPeers | None = None,
    ) -> None:
        self.owned = owned
        self.placer = task_placer
        self.ctx = context.Context(
            claim_rows,
            owned,
            lease,
            clock,
            counters,
            registry.Registry(),
            is_worker_gone,
            spawn,
            store,
        )
        self.ctx.end_listeners.append(self._release_placement)
        self.leases = leases.Leases(self.ctx)
        end_peers = end_peers or keepers.NoPeers()
        self.ends = ends.Ends(self.ctx.registry, end_peers)
        task_inquiries = inquiries.Inquiries(self.ctx, self.ends, end_peers)
        self.transitions = transitions.TaskTransitions(
            self.ctx, self.ends, task_inquiries
        )
        self.settling = settling.Settling(self.ctx, self.ends)
        self.kept_ends = kept_ends.KeptEnds(self.ctx, self.ends, self.transitions)
        self.transitions.on_abandoned = task_placer.release
        self.starts = starts.Starts(
            self.ctx, self.transitions, moves.Moves(self.ctx, task_placer)
        )
        self.adoption = adoption.Adoption(
            self.ctx, self.starts, self.transitions, self.leases, task_inquiries
        )
        self.claimer = claiming.Claimer(self.ctx, task_placer, self.adoption)
        self.waiter = waiting.OutcomeWaiter(self.ctx, self.adoption)
        self.evictions = evictions.Evictions(self.ctx, self.starts, self.transitions)
        self.cancellations = cancellations.Cancellations(
            self.ctx, self.starts, self.transitions
        )
        self.submissions = submissions.Submissions(
            self.ctx,
            task_placer,
            self.claimer,
            self.waiter,
            self.starts,
            self.cancellations,
            forwarder,
        )

    @property
    def end_listeners(self) -> list[context.EndListener]:
        """Return the listeners that are called with each end and eviction here."""
        return self.ctx.end_listeners

    def submit(
        self, request: messages.Request, deadline: float, forward: bool = True
    ) -> submissions.Submitted:
        """Run `request`, or return the outcome of an earlier submission.

        Waits for the end until the monotonic `deadline`, then returns an outcome of
        `unknown` with the time to ask again; the work continues.
        """
        return self.submissions.submit(request, deadline, forward)

    def has_room(self, request: messages.Request) -> bool:
        """Return whether `request` would now be placed or refused for good."""
        return self.submissions.has_room(request)

    def evict(
        self, task_id: str, reason: str
    ) -> result.Result[messages.Outcome, errors.NotEvicted]:
        """Evict restartable work from its worker; `submit` resumes it."""
        return self.evictions.evict(task_id, reason)

    def cancel(
        self, team: str, request_id: str, forward: bool = True
    ) -> result.Result[messages.Outcome, cancellations.CancelError]:
        """Cancel work for good and return its outcome.

        `not_run` means that it never ran and never will; `completed` means that it
        was stopped if `failed` is set, or otherwise that it had ended before.
        """
        task_id = f"{team}/{request_id}"
        if not self.ctx.registry.await_claim(task_id, context.ORDER_TIMEOUT_S):
            # The claim's row may be written already, so that its task is registered.
            self.ctx.registry.cancel_claim(task_id)
        task = self.ctx.registry.get(task_id)
        if task is not None:
            self.cancellations.cancel_task(task)
            return result.Ok(
                self.waiter.wait_for_task(task, self.ctx.clock.monotonic())
            )
        found = self.waiter.read(team, request_id)
        if isinstance(found, result.Err):
            return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
        stored = found.ok_value
        if stored is None or stored.row.state is messages.State.EVICTED:
            return self.cancellations.cancel_row(team, request_id, stored)
        if stored.row.state in messages.FINAL_STATES or not forward:
            return result.Ok(outcomes.outcome_of(stored.row))
        return result.Ok(self._cancel_at_holder(stored))

    def requests_on_worker(self, worker: str) -> list[messages.Request]:
        """Return the requests of the work in progress on an own worker."""
        tasks = self.ctx.registry.tasks_on_worker(worker)
        return [task.row.request for task in tasks]

    def look_up(
        self, team: str, request_id: str
    ) -> result.Result[messages.Outcome | None, errors.StoreUnavailable]:
        """Return the outcome of a piece of work, or None if it is unknown."""
        found = self.waiter.read(team, request_id)
        if isinstance(found, result.Err):
            return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
        if found.ok_value is None:
            return result.Ok(None)
        return result.Ok(outcomes.outcome_of(found.ok_value.row))

    def on_snapshot(self, worker: str, snapshot: dispatch_messages.Snapshot) -> None:
        """Record the ends of tasks that a worker's snapshot reports."""
        for report in snapshot.tasks:
            task = self.ctx.registry.get(report.task_id)
            ended = report.state is not dispatch_messages.TaskState.RUNNING
            if task is not None and ended and task.owned.name == worker:
                self.ctx.spawn(self._handle_report, task, report)
        for task in self.ctx.registry.tasks_on_worker(worker):
            if task.row.boot != snapshot.boot:
                # The worker has restarted and lost its state, or the claim is newer
                # than the snapshot: the worker is asked.
                task.in_doubt = True

    def sweep(self) -> None:
        """Retry whatever is unfinished; called once a second."""
        for task in self.ctx.registry:
            if task.lock.acquire(blocking=False):
                task.lock.release()
                self.ctx.spawn(self._sweep_task, task)
        if self.ends.kept:
            self.ctx.spawn(self.kept_ends.write_all)
        self.adoption.scan_due()
        self.leases.renew_due()

    def on_unreachable(self, worker: str) -> None:
        """Do nothing: work on an unreachable worker may continue there."""

    def _handle_report(
        self, task: registry.Task, report: dispatch_messages.Report
    ) -> None:
        with task.lock:
            self.transitions.handle_report(task, report)

    def _sweep_task(self, task: registry.Task) -> None:
        with task.lock:
            if task.removed.ready():
                return
            if task.pending_row is not None:
                self.transitions.write_pending(task)
            elif self.ctx.is_worker_gone(task.owned.name):
                if self.transitions.end_lost(task):
                    self.ctx.counters.count("work.worker_lost")
            elif not self.ctx.may_act(task.owned):
                self._drop_if_lost(task)
            elif task.cancelling:
                self.cancellations.cancel_task(task)
            elif task.in_doubt:
                self.starts.resolve_start(task)

    def _drop_if_lost(self, task: registry.Task) -> None:
        """Drop a task whose worker has another owner, which adopts the task."""
        if self.owned.get(task.owned.name) is not task.owned:
            self.transitions.abandon(task)

    def _release_placement(
        self, outcome: messages.Outcome, row: messages.WorkRow
    ) -> None:
        """Release the reserved resources, and let placement learn from the end."""
        task_id = messages.task_id_of(row.request)
        if row.state in LEARNED_STATES:
            self.placer.finish(task_id, row.state is messages.State.COMPLETED)
        else:
            self.placer.release(task_id)

    def _cancel_at_holder(self, stored: claims.StoredRow) -> messages.Outcome:
        request = stored.row.request
        if self.submissions.forwarding is None:
            return outcomes.outcome_of(stored.row)
        self.submissions.forwarding.cancel(
            stored.row.holder, request.team, request.request_id
        )
        # The row has the result, whether or not the answer was lost.
        return self.waiter.wait_for_row(stored, self.ctx.clock.monotonic())

    def submit_for_peer(self, message: messages.ForwardedWork) -> messages.WorkAnswer:
        """Claim a request that a peer forwarded, and answer within its timeout."""
        return self.submissions.submit_for_peer(message)

    def cancel_for_peer(self, message: messages.CancelWork) -> messages.WorkAnswer:
        """Cancel work that, according to a peer, this instance holds."""
        self.cancel(message.team, message.request_id, forward=False)
        return messages.WorkAnswer(refused=False)
