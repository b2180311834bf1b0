"""Forwarding durable work, one hop, to a peer that has capacity or holds it."""

import logbook
import result

from mangosail import clock as clocks
from mangosail.membership import peers as membership
from mangosail.telemetry import counters as telemetry
from mangosail.work import errors, messages, methods, outcomes

log = logbook.Logger("work")

#: Maximum number of peers that work is forwarded to, one after the other.
MAX_PEERS = 2
#: Time for which a peer waits for the end of the work before it answers. After that,
#: the row is polled instead, so that few greenlets of a peer wait for others' work.
PEER_WAIT_S = 0.5
#: Timeout of a call to a peer, which includes its claim.
PEER_TIMEOUT_S = 5.0

#: What is known of work that no peer says to have claimed.
NotClaimed = errors.StoreUnavailable | errors.Undecided


class Forwarding:
    """Submits and cancels durable work at peers."""

    def __init__(
        self,
        peers: membership.Peers,
        data_centre: str,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.peers = peers
        self.data_centre = data_centre
        self.clock = clock
        self.counters = counters

    def submit(
        self, request: messages.Request, deadline: float
    ) -> result.Result[None, NotClaimed] | None:
        """Have a peer claim `request`; None if no peer has capacity.

        A second peer is asked if the first one did not claim it or gave no answer. As
        claims are conditional writes, a late claim of the first one can't double it.
        """
        failure: NotClaimed | None = None
        peers = self.peers.with_capacity(request.needs, self.data_centre)
        for peer in peers[:MAX_PEERS]:
            if failure is not None and deadline <= self.clock.monotonic():
                break
            answer = self._submit_to(peer, request, deadline)
            if isinstance(answer, result.Ok):
                return answer
            if not isinstance(failure, errors.Undecided):
                # What may have been claimed matters more than what was not.
                failure = answer.err_value or failure
        return None if failure is None else result.Err(failure)

    def _submit_to(
        self, peer: membership.Peer, request: messages.Request, deadline: float
    ) -> result.Result[None, NotClaimed | None]:
        """Have `peer` claim `request`; an Err of None means that it has no capacity."""
        remaining = max(deadline - self.clock.monotonic(), 0.0)
        message = messages.ForwardedWork(request, min(remaining, PEER_WAIT_S))
        self.counters.count("work.forwarded")
        answer = self._count_errors(
            peer.channel.call(methods.SUBMIT, message, PEER_TIMEOUT_S)
        )
        log.info(
            "order passed on",
            task=messages.task_id_of(request),
            peer=peer.listed.name,
            answer=described(answer),
        )
        if isinstance(answer, result.Err):
            return result.Err(errors.Undecided(outcomes.RETRY_AFTER_S))
        if not answer.ok_value.refused:
            return result.Ok(None)
        return result.Err(not_claimed(answer.ok_value.reason))

    def cancel(
        self, holder: str, team: str, request_id: str
    ) -> result.Result[messages.WorkAnswer, str]:
        """Have the holder of the work cancel it."""
        peer = self.peers.by_name.get(holder)
        if peer is None:
            return result.Err("unknown_peer")
        message = messages.CancelWork(team, request_id)
        self.counters.count("work.cancel_forwarded")
        return self._count_errors(
            peer.channel.call(methods.CANCEL, message, PEER_TIMEOUT_S)
        )

    def _count_errors(
        self, answer: result.Result[messages.WorkAnswer, str]
    ) -> result.Result[messages.WorkAnswer, str]:
        if isinstance(answer, result.Err):
            self.counters.count(f"work.peer_lost.{answer.err_value}")
        return answer


def not_claimed(reason: str) -> NotClaimed | None:
    """Return what a peer's refusal tells, or None if it has no capacity."""
    if not reason:
        return None
    if reason == messages.UNDECIDED:
        return errors.Undecided(outcomes.RETRY_AFTER_S)
    return errors.StoreUnavailable(outcomes.RETRY_AFTER_S, reason)


def described(answer: result.Result[messages.WorkAnswer, str]) -> str:
    """Return a peer's answer as it is logged."""
    if isinstance(answer, result.Err):
        return answer.err_value
    if not answer.ok_value.refused:
        return "claimed"
    return answer.ok_value.reason or "no_capacity"
