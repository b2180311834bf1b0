"""Durable work: claim, start once, wait for the end, record it.

`Runner` is the entry point of this package; each stage is a module of its own. The
instance calls `on_snapshot` with the reports of workers, and once a second `sweep`,
which retries what a fault has left unfinished.
"""

import collections.abc as cabc

import gevent
import logbook
import result

from mangosail import clock as clocks
from mangosail.dispatch import messages as dispatch_messages
from mangosail.ownership import session
from mangosail.placement import errors as placement_errors
from mangosail.placement import placer, workers
from mangosail.platform import errors as platform_errors
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
    placing,
    registry,
    settling,
    starts,
    transitions,
    waiting,
)

SubmitError = (
    errors.BodyConflict
    | errors.StoreUnavailable
    | errors.Undecided
    | placement_errors.NotPlaced
)

log = logbook.Logger("work")

#: States that tell placement about the health of the worker and the job.
LEARNED_STATES = frozenset(
    {messages.State.COMPLETED, messages.State.FAILED, messages.State.NOT_RUN}
)

Submitted = result.Result[messages.Outcome, SubmitError]


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
        self.forwarding = forwarder
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

    @property
    def end_listeners(self) -> list[context.EndListener]:
        """Return the listeners that are called with each end and eviction here."""
        return self.ctx.end_listeners

    def submit(
        self, request: messages.Request, deadline: float, forward: bool = True
    ) -> Submitted:
        """Run `request`, or return the outcome of an earlier submission.

        Waits for the end until the monotonic `deadline`, then returns an outcome of
        `unknown` with the time to ask again; the work continues. No row is read
        before the claim, whose version check fails if there is one.

        An outcome is returned only if a row was written or seen. Work without one may
        never run, which callers must not take for accepted.
        """
        if not self._await_claim(request, deadline):
            return self._refuse_undecided(request, "claim_awaited")
        if self.ctx.registry.get(messages.task_id_of(request)) is not None:
            return self._resubmit(request, deadline)
        if not self.has_room(request) or not self.ctx.lease.valid():
            return self._submit_without_room(request, deadline, forward)
        return self._claim(request, None, deadline)

    def _await_claim(self, request: messages.Request, deadline: float) -> bool:
        """Wait until nobody claims `request` here; return whether that was in time."""
        remaining = max(deadline - self.ctx.clock.monotonic(), 0.0)
        task_id = messages.task_id_of(request)
        return self.ctx.registry.await_claim(task_id, remaining)

    def has_room(self, request: messages.Request) -> bool:
        """Return whether `request` would now be placed or refused for good."""
        return self.placer.wait_reason(placing.placement_work(request)) is None

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

    def _claim(
        self,
        request: messages.Request,
        stored: claims.StoredRow | None,
        deadline: float,
    ) -> Submitted:
        """Claim `request`, resuming from `stored` if there is a row, and start it."""
        claimed = self.claimer.claim(request, stored, deadline)
        if isinstance(claimed, result.Err):
            error = claimed.err_value
            if isinstance(error, placement_errors.NotPlaced):
                return self._answer_unplaced(request, stored, error, deadline)
            return self._handle_claim_error(request, error, deadline)
        task = claimed.ok_value
        begin = self.cancellations.cancel_task if task.cancelling else self.starts.start
        self.ctx.spawn(begin, task)
        return result.Ok(self.waiter.wait_for_task(task, deadline))

    def _answer_unplaced(
        self,
        request: messages.Request,
        stored: claims.StoredRow | None,
        refused: placement_errors.NotPlaced,
        deadline: float,
    ) -> Submitted:
        """Refuse work that was not placed, unless it was claimed before."""
        if stored is None:
            found = self.waiter.read(request.team, request.request_id)
            if isinstance(found, result.Err):
                return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
            held = found.ok_value
            if held is not None and held.row.state is not messages.State.EVICTED:
                return self._resubmit_row(request, held, deadline)
        return self._refuse_for_room(request, stored, refused)

    def _release_placement(
        self, outcome: messages.Outcome, row: messages.WorkRow
    ) -> None:
        """Release the reserved resources, and let placement learn from the end."""
        task_id = messages.task_id_of(row.request)
        if row.state in LEARNED_STATES:
            self.placer.finish(task_id, row.state is messages.State.COMPLETED)
        else:
            self.placer.release(task_id)

    def _handle_claim_error(
        self,
        request: messages.Request,
        error: platform_errors.CommitError,
        deadline: float,
    ) -> Submitted:
        if isinstance(error, platform_errors.Conflict):
            return self._resubmit(request, deadline)
        kind = type(error).__name__.lower()
        self.ctx.counters.count(f"work.refused.claim_{kind}")
        self._log_refusal(request, f"claim_{kind}")
        if isinstance(error, platform_errors.Unavailable):
            return result.Err(
                errors.StoreUnavailable(
                    outcomes.RETRY_AFTER_S, unavailable_reason(error)
                )
            )
        # The claim may still take effect later. It is not started then: the adoption
        # scan of its worker finds it, voids it there and records not_run.
        return result.Err(errors.Undecided(outcomes.RETRY_AFTER_S))

    def _resubmit(self, request: messages.Request, deadline: float) -> Submitted:
        """Return the outcome of a request that was submitted before."""
        task = self.ctx.registry.get(messages.task_id_of(request))
        if task is not None and not self._is_same_request(request, task.row):
            return self._refuse_body_conflict(request)
        self.ctx.counters.count("work.repeated")
        if task is not None:
            return result.Ok(self.waiter.wait_for_task(task, deadline))
        found = self.waiter.read(request.team, request.request_id)
        if isinstance(found, result.Err):
            return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
        stored = found.ok_value
        if stored is None:
            return result.Err(errors.Undecided(outcomes.RETRY_AFTER_S))
        return self._resubmit_row(request, stored, deadline)

    def _resubmit_row(
        self, request: messages.Request, stored: claims.StoredRow, deadline: float
    ) -> Submitted:
        row = stored.row
        if not self._is_same_request(request, row):
            return self._refuse_body_conflict(request)
        if row.state in messages.FINAL_STATES:
            return result.Ok(outcomes.outcome_of(row))
        if row.state is messages.State.EVICTED:
            return self._resume(stored, deadline)
        return result.Ok(self.waiter.wait_for_row(stored, deadline))

    def _resume(self, stored: claims.StoredRow, deadline: float) -> Submitted:
        """Claim evicted work anew, unless another caller has done so meanwhile."""
        request = stored.row.request
        if not self._await_claim(request, deadline):
            return result.Ok(outcomes.outcome_of(stored.row))
        task = self.ctx.registry.get(messages.task_id_of(request))
        if task is not None:
            return result.Ok(self.waiter.wait_for_task(task, deadline))
        return self._claim(request, stored, deadline)

    def _is_same_request(
        self, request: messages.Request, row: messages.WorkRow
    ) -> bool:
        """Return whether `row` matches; a cancellation before any claim matches all."""
        return row.digest in ("", claims.request_digest(request))

    def _refuse_body_conflict(self, request: messages.Request) -> Submitted:
        self.ctx.counters.count("work.refused.body_conflict")
        return result.Err(errors.BodyConflict(request.request_id))

    def _submit_without_room(
        self, request: messages.Request, deadline: float, forward: bool
    ) -> Submitted:
        """Return an earlier outcome, or forward to a peer, or refuse."""
        refusal = (
            self.placer.wait_reason(placing.placement_work(request)) or claiming.NO_ROOM
        )
        found = self.waiter.read(request.team, request.request_id)
        if isinstance(found, result.Err):
            return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
        stored = found.ok_value
        if stored is not None and stored.row.state is not messages.State.EVICTED:
            return self._resubmit_row(request, stored, deadline)
        if not forward or self.forwarding is None:
            return self._refuse_for_room(request, stored, refusal)
        forwarded = self.forwarding.submit(request, deadline)
        if forwarded is None:
            return self._refuse_for_room(request, stored, refusal)
        return self._handle_forwarded(request, forwarded, deadline)

    def _handle_forwarded(
        self,
        request: messages.Request,
        forwarded: result.Result[None, forwarding.NotClaimed],
        deadline: float,
    ) -> Submitted:
        """Wait for work that a peer has claimed, or return what is known of it.

        A peer's word is not enough: those of older builds called claimed whatever they
        had not refused for want of capacity.
        """
        # Only for a claim is it worth waiting until the table answers.
        claimed = isinstance(forwarded, result.Ok)
        read_deadline = deadline if claimed else self.ctx.clock.monotonic()
        found = self.waiter.read_until(request.team, request.request_id, read_deadline)
        if isinstance(found, result.Err):
            return result.Err(errors.StoreUnavailable(outcomes.RETRY_AFTER_S))
        if found.ok_value is not None:
            return self._resubmit_row(request, found.ok_value, deadline)
        if isinstance(forwarded, result.Err):
            self._log_refusal(request, forwarded.err_value.reason)
            return forwarded
        return self._refuse_undecided(request, "claim_not_found")

    def _refuse_undecided(self, request: messages.Request, reason: str) -> Submitted:
        """Refuse work that may have been claimed, but of which no row was seen."""
        self.ctx.counters.count(f"work.refused.{reason}")
        self._log_refusal(request, reason)
        return result.Err(errors.Undecided(outcomes.RETRY_AFTER_S))

    def _log_refusal(self, request: messages.Request, reason: str) -> None:
        task_id = messages.task_id_of(request)
        log.info("order refused", task=task_id, reason=reason)

    def _refuse_for_room(
        self,
        request: messages.Request,
        stored: claims.StoredRow | None,
        refused: placement_errors.NotPlaced = claiming.NO_ROOM,
    ) -> Submitted:
        self.ctx.counters.count(f"work.refused.{refused.reason.value}")
        if stored is not None:
            return result.Ok(outcomes.outcome_of(stored.row))
        return result.Err(refused)

    def _cancel_at_holder(self, stored: claims.StoredRow) -> messages.Outcome:
        request = stored.row.request
        if self.forwarding is None:
            return outcomes.outcome_of(stored.row)
        self.forwarding.cancel(stored.row.holder, request.team, request.request_id)
        # The row has the result, whether or not the answer was lost.
        return self.waiter.wait_for_row(stored, self.ctx.clock.monotonic())

    def submit_for_peer(self, message: messages.ForwardedWork) -> messages.WorkAnswer:
        """Claim a request that a peer forwarded, and answer within its timeout."""
        deadline = self.ctx.clock.monotonic() + message.timeout
        return answer_to_peer(self.submit(message.request, deadline, forward=False))

    def cancel_for_peer(self, message: messages.CancelWork) -> messages.WorkAnswer:
        """Cancel work that, according to a peer, this instance holds."""
        self.cancel(message.team, message.request_id, forward=False)
        return messages.WorkAnswer(refused=False)


def unavailable_reason(error: platform_errors.Unavailable) -> str:
    """Return the reason that a caller receives when the table refused a write."""
    busy = error.reason == "store_busy"
    return error.reason if busy else "store_unavailable"


def answer_to_peer(answer: Submitted) -> messages.WorkAnswer:
    """Return what a peer is told of work that it forwarded.

    Only work that has a row is not refused; an id in use with another body has one.
    """
    if isinstance(answer, result.Ok) or isinstance(
        answer.err_value, errors.BodyConflict
    ):
        return messages.WorkAnswer(refused=False)
    error = answer.err_value
    if isinstance(error, placement_errors.NotPlaced):
        return messages.WorkAnswer(refused=True)
    return messages.WorkAnswer(refused=True, reason=error.reason)
