"""The planned stop of an instance, which cuts off no request in flight."""

import collections.abc as cabc

import logbook

from mangosail import clock as clocks
from mangosail.front import context, server
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("front")

#: Seconds that new callers are still served while the balancer finds out that
#: this instance is not ready: three of its checks.
NOT_READY_PERIOD_S = 1.5
#: Seconds between looks at what is in flight.
POLL_INTERVAL_S = 0.02
#: Looks in a row without anything in flight after which nothing is on its way.
IDLE_POLLS = 5


class Drain:
    """Ends what an instance does, in the order in which callers lose nothing.

    First the balancer is told and given time to send callers elsewhere; then
    watches end at a point from which they can be resumed, the port is closed and
    what is in flight is served to its end. Only then is ownership handed over:
    whoever waits here for the end of its work needs the worker's reports.
    """

    def __init__(
        self,
        front: context.Front,
        httpd: server.Server,
        stop_peers: cabc.Callable[[float], None],
        hand_over: cabc.Callable[[float], object],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        timeout: float,
    ) -> None:
        self.front = front
        self.httpd = httpd
        self.stop_peers = stop_peers
        self.hand_over = hand_over
        self.clock = clock
        self.counters = counters
        self.timeout = timeout
        self.started = False

    def run(self) -> None:
        """Drain and stop the server; later calls do nothing."""
        if self.started:
            return
        self.started = True
        deadline = self.clock.monotonic() + self.timeout
        log.info("draining")
        self.counters.count("front.drain.begun")
        self.front.draining = True
        self.httpd.application.closing = True
        self.clock.sleep(min(NOT_READY_PERIOD_S, self.timeout))
        self.front.watches.drain()
        self.httpd.close()
        self._wait(deadline)
        self.stop_peers(max(deadline - self.clock.monotonic(), 0.0))
        self.hand_over(deadline)
        self.httpd.stop(timeout=0)
        log.info("drained")

    def _wait(self, deadline: float) -> None:
        """Wait until nothing is in flight, or until the deadline."""
        quiet = 0
        while quiet < IDLE_POLLS:
            if self.clock.monotonic() >= deadline:
                self.counters.count("front.drain.cut_off")
                log.warning("drain deadline passed with requests in flight")
                return
            quiet = 0 if self.httpd.busy() else quiet + 1
            self.clock.sleep(POLL_INTERVAL_S)
