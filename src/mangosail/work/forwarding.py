"""Forwarding durable work, one hop, to a peer that has capacity or holds it."""

import result

from mangosail import clock as clocks
from mangosail.membership import peers as membership
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages, methods

#: Time for which a peer waits for the end of the work before it answers. After that,
#: the row is polled instead, so that few greenlets of a peer wait for others' work.
PEER_WAIT_S = 0.5
#: Timeout of a call to a peer, which includes its claim.
PEER_TIMEOUT_S = 5.0


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
    ) -> result.Result[messages.WorkAnswer, str] | None:
        """Have one peer claim `request`; None if no peer has capacity."""
        for peer in self.peers.with_capacity(request.needs, self.data_centre)[:1]:
            remaining = deadline - self.clock.monotonic()
            message = messages.ForwardedWork(
                request, min(max(remaining, 0.0), PEER_WAIT_S)
            )
            self.counters.count("work.forwarded")
            return self._count_errors(
                peer.channel.call(methods.SUBMIT, message, PEER_TIMEOUT_S)
            )
        return None

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
