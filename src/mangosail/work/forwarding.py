"""Passing durable work on, once, to a peer that has room or holds it."""

import result

from mangosail import clock as clocks
from mangosail.membership import peers as membership
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages, methods

#: Seconds that a peer waits for the end before it answers. Longer waits read
#: the row instead, so that few of a peer's tasks are bound by other instances.
PEER_WAIT_S = 0.5
#: Seconds for the way to the peer, its claim and the way back.
PEER_TIMEOUT_S = 5.0


class Forwarding:
    """Durable work at peers."""

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
        """Have one peer claim `request`; None if no peer has room."""
        for peer in self.peers.with_capacity(request.needs, self.data_centre)[:1]:
            left = deadline - self.clock.monotonic()
            message = messages.ForwardedWork(request, min(max(left, 0.0), PEER_WAIT_S))
            self.counters.count("work.forwarded")
            return self._count_errors(
                peer.channel.call(methods.SUBMIT, message, PEER_TIMEOUT_S)
            )
        return None

    def cancel(
        self, holder: str, team: str, request_id: str
    ) -> result.Result[messages.WorkAnswer, str]:
        """Have the instance that holds the work cancel it."""
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
