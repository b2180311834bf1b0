"""Forwarding of quotes to peers when none of this instance's workers accepts them."""

import collections.abc as cabc

import result

from mangosail import clock as clocks
from mangosail import codec, resources
from mangosail.front import messages, methods
from mangosail.membership import peers as membership
from mangosail.placement import errors as placement_errors
from mangosail.telemetry import counters as telemetry

#: Seconds of the caller's remaining time reserved for returning the peer's answer.
RETURN_MARGIN_S = 0.02
#: Maximum number of peers that a quote is forwarded to, one after the other.
MAX_PEERS = 2
#: Share of the remaining time given to the first of two peers.
FIRST_PEER_SHARE = 0.6

#: Reason with which a peer without capacity refuses.
NO_CAPACITY = placement_errors.Reason.NO_CAPACITY.value
OK = 200
UNAVAILABLE = 503
TIMED_OUT = 504


class Forwarding:
    """Forwards quotes to peers."""

    def __init__(
        self,
        peers: membership.Peers,
        data_centre: str,
        has_no_workers: cabc.Callable[[], bool],
        spend_retry: cabc.Callable[[str], bool],
        refuse: cabc.Callable[[int, str, str], messages.Answer],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.peers = peers
        self.data_centre = data_centre
        #: Returns whether this instance owns no worker that accepts work.
        self.has_no_workers = has_no_workers
        #: Spends one retry, for the given reason, from the budget shared by all quotes;
        #: returns False if none is left.
        self.spend_retry = spend_retry
        self.refuse = refuse
        self.clock = clock
        self.counters = counters

    def forward(
        self, request: messages.ServiceRequest, outcome: str
    ) -> messages.Answer | None:
        """Forward the request, to a second peer if the first one does not serve it.

        `outcome` is the outcome reported by a refusal unless an attempt at a peer may
        have run. Returns None if no peer has capacity.
        """
        reason = ""
        peers = self._peers_for(request.declared.needs.as_resources())
        for turn, peer in enumerate(peers):
            if turn and not self.spend_retry(f"forward_{reason}"):
                break
            left = request.deadline - self.clock.monotonic() - RETURN_MARGIN_S
            if left <= 0:
                return self.refuse(TIMED_OUT, "deadline", outcome)
            if turn + 1 < len(peers):
                # A frozen peer never answers: leave time to try the other one.
                left *= FIRST_PEER_SHARE
            answer = self._call_peer(peer, request, left)
            if isinstance(answer, result.Err):
                reason = "peer_lost"
                outcome = messages.UNKNOWN
                continue
            reply = answer.ok_value
            may_have_run = reply.outcome == messages.UNKNOWN
            if may_have_run:
                outcome = messages.UNKNOWN
            if reply.status != UNAVAILABLE:
                return from_forwarded_answer(reply, outcome)
            if may_have_run or not reason:
                # An attempt that may have run matters more to the caller than a later
                # peer's lack of capacity.
                reason = reply.body
        if not reason:
            return None
        return self.refuse(UNAVAILABLE, reason, outcome)

    def _peers_for(self, needs: resources.Resources) -> cabc.Sequence[membership.Peer]:
        """Return the peers to try, in order.

        The capacity that peers report is up to four seconds old. If only one reports
        enough, a second one is tried too: when the only one was frozen, every quote was
        refused until the next heartbeat reported capacity elsewhere. If none reports
        enough, a peer may have acquired a worker or finished work since: peers are
        tried anyway if this instance has no worker to use, and otherwise only as far
        as the retry budget allows.
        """
        peers = self.peers.with_capacity(needs, self.data_centre)
        if (
            not peers
            and not self.has_no_workers()
            and not self.spend_retry("forward_no_room")
        ):
            return []
        if len(peers) <= 1:
            peers += self.peers.without_capacity(needs, self.data_centre)
            peers.sort(key=membership.preference_key)
        return peers[:MAX_PEERS]

    def _call_peer(
        self, peer: membership.Peer, request: messages.ServiceRequest, timeout: float
    ) -> result.Result[messages.ForwardedAnswer, str]:
        self.counters.count("front.forwarded")
        message = to_forwarded(request, timeout)
        answer = peer.channel.call(methods.FORWARD, message, timeout)
        peer.unresponsive = isinstance(answer, result.Err)
        peer.at_capacity = (
            isinstance(answer, result.Ok) and answer.ok_value.body == NO_CAPACITY
        )
        if isinstance(answer, result.Err):
            self.counters.count(f"front.forward_failed.{answer.err_value}")
        return answer


def to_forwarded(
    request: messages.ServiceRequest, timeout: float
) -> messages.Forwarded:
    """Return the message that forwards `request` with its remaining time."""
    return messages.Forwarded(
        request.request_id,
        request.team,
        request.service,
        request.operation,
        request.body,
        timeout,
    )


def from_forwarded_answer(
    answer: messages.ForwardedAnswer, outcome: str
) -> messages.Answer:
    """Convert a peer's answer into an answer of this instance.

    `outcome` is the combined outcome of all attempts, used if none served the request.
    """
    if answer.status == OK:
        served = messages.Served(
            codec.from_json(answer.body, object), answer.worker, answer.data_centre
        )
        return result.Ok(served)
    return result.Err(
        messages.Refusal(answer.status, answer.body, answer.retry_after, outcome)
    )
