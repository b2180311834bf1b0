"""The planned shutdown of an instance, which lets requests in flight complete."""

import collections.abc as cabc

import gevent.event
import logbook

from mangosail import clock as clocks
from mangosail.front import context, server
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("front")

#: Seconds for which new requests are still served until the load balancer has noticed
#: that this instance is not ready: three of its checks.
NOT_READY_PERIOD_S = 1.5
#: Last seconds of the time limit, at most half of it, that are kept for the hand-over:
#: two calls to a table that does not answer. The hand-over never takes longer.
HAND_OVER_PERIOD_S = 2.0
#: Seconds that a call of the hand-over to the table may take.
CALL_TIMEOUT_S = 1.0


class Drain:
    """Shuts an instance down in an order in which no caller loses an answer.

    First the load balancer is given time to send callers elsewhere. Then watches are
    ended at a point from which they can be resumed, the listening socket is closed and
    requests in flight are completed. Worker ownership is handed over only after that,
    and once nothing known here only would be lost: callers who wait here for the end of
    their work need the workers' reports.
    """

    def __init__(
        self,
        front: context.Front,
        httpd: server.Server,
        settle: cabc.Callable[[float], object],
        stop_peers: cabc.Callable[[float], None],
        hand_over: cabc.Callable[[float], object],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        timeout: float,
    ) -> None:
        self.front = front
        self.httpd = httpd
        self.settle = settle
        self.stop_peers = stop_peers
        self.hand_over = hand_over
        self.clock = clock
        self.counters = counters
        self.timeout = timeout
        self.started = False
        #: Set at the end; the process ends only then.
        self.ended = gevent.event.Event()

    def run(self) -> None:
        """Drain the instance; further calls do nothing."""
        if self.started:
            return
        self.started = True
        try:
            self._drain(self.clock.monotonic() + self.timeout)
        finally:
            self.ended.set()

    def _drain(self, deadline: float) -> None:
        requests_deadline = deadline - min(HAND_OVER_PERIOD_S, self.timeout / 2)
        log.info("draining")
        self.counters.count("front.drain.begun")
        self.front.draining = True
        self.httpd.application.closing = True
        self.clock.sleep(min(NOT_READY_PERIOD_S, self.timeout / 2))
        self.front.watches.drain()
        self.httpd.close()
        self.httpd.finish_requests(self.clock.monotonic, requests_deadline)
        # Peers ask for what is known here until it is settled.
        self.settle(requests_deadline)
        self.stop_peers(max(requests_deadline - self.clock.monotonic(), 0.0))
        hand_over_deadline = min(deadline, self.clock.monotonic() + HAND_OVER_PERIOD_S)
        self.hand_over(hand_over_deadline - CALL_TIMEOUT_S)
        log.info("drained")
