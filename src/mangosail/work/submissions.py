"""Submission of durable work: claim it, or return what became of it earlier."""

import logbook
import result

from mangosail.placement import errors as placement_errors
from mangosail.placement import placer
from mangosail.platform import errors as platform_errors
from mangosail.work import (
    cancellations,
    claiming,
    claims,
    context,
    errors,
    forwarding,
    messages,
    outcomes,
    placing,
    starts,
    waiting,
)

SubmitError = (
    errors.BodyConflict
    | errors.StoreUnavailable
    | errors.Undecided
    | placement_errors.NotPlaced
)

Submitted = result.Result[messages.Outcome, SubmitError]

log = logbook.Logger("work")


class Submissions:
    """Claims and starts work on own workers, or has a peer do so."""

    def __init__(
        self,
        ctx: context.Context,
        task_placer: placer.Placer,
        claimer: claiming.Claimer,
        waiter: waiting.OutcomeWaiter,
        task_starts: starts.Starts,
        task_cancellations: cancellations.Cancellations,
        forwarder: forwarding.Forwarding | None,
    ) -> None:
        self.ctx = ctx
        self.placer = task_placer
        self.claimer = claimer
        self.waiter = waiter
        self.starts = task_starts
        self.cancellations = task_cancellations
        self.forwarding = forwarder

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

    def submit_for_peer(self, message: messages.ForwardedWork) -> messages.WorkAnswer:
        """Claim a request that a peer forwarded, and answer within its timeout."""
        deadline = self.ctx.clock.monotonic() + message.timeout
        return answer_to_peer(self.submit(message.request, deadline, forward=False))


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
