"""The WSGI server: low latency for short answers, limits for slow or many callers.

A request is read as a whole, within its limits, before the application gets it. So
clients that never complete one hold a connection, but none of the application's
requests.
"""

import collections.abc as cabc
import socket
import ssl
import typing as t

import gevent
import gevent.event
import logbook
from gevent import pool, pywsgi

from mangosail import limits as request_limits
from mangosail.front import handler, memory, places, refusals, turns
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("front")

#: Maximum number of concurrent requests; further ones are refused immediately.
MAX_REQUESTS = 512
#: Retry-After in seconds for requests refused because of that limit.
RETRY_AFTER_S = refusals.RETRY_AFTER_S
#: Probe paths, which are exempt from the limit.
PROBE_PATHS = ("/healthz", "/readyz")

#: Connections at a port, and bytes for long requests, unless the caller sets others.
MAX_CONNECTIONS = 256
MAX_REQUEST_BYTES = 16 * 1024 * 1024
#: Connections accepted at a time: a crowd that comes at once takes no long turn.
MAX_ACCEPT = 16
#: Connections that may still be closing when further ones are accepted.
MAX_LEAVING = 16
#: Buffers of the kernel for each connection, in bytes. What it has received and nobody
#: has read is memory of the machine, and by default grows to megabytes.
RECEIVE_BUFFER_BYTES = 16 * 1024
SEND_BUFFER_BYTES = 32 * 1024
#: States of connections whose request is being read or answered.
BUSY_STATES = (places.State.READING, places.State.WORKING, places.State.WRITING)

#: Seconds between checks for requests in flight.
POLL_INTERVAL_S = 0.02
#: Consecutive checks without a request in flight after which none is expected.
IDLE_POLLS = 5

OVERLOADED = "overloaded"


class RequestLimiter:
    """Wraps the application to limit the number of concurrent requests."""

    def __init__(self, app: t.Any, counters: telemetry.Counters) -> None:
        self.app = app
        self.counters = counters
        self.in_flight = 0
        #: True during shutdown: every response then closes its connection.
        self.closing = False

    def __call__(
        self, environ: dict[str, t.Any], start_response: cabc.Callable[..., t.Any]
    ) -> cabc.Iterable[bytes]:
        """Serve one request."""
        if environ["PATH_INFO"] in PROBE_PATHS:
            return self.app(environ, start_response)
        if self.in_flight >= MAX_REQUESTS:
            return self._refuse(start_response)
        self.in_flight += 1
        try:
            return self.app(environ, start_response)
        finally:
            self.in_flight -= 1

    def _refuse(
        self, start_response: cabc.Callable[..., t.Any]
    ) -> cabc.Iterable[bytes]:
        self.counters.count(f"front.refused.{OVERLOADED}")
        response = refusals.to_response(
            refusals.Refused(refusals.Reason.OVERLOADED, "too many requests in hand")
        )
        start_response(response.status, list(response.headers))
        return [response.body]


class Server(pywsgi.WSGIServer):
    """A WSGI server that bounds what its clients hold, and stops gracefully.

    `port` names it in logs. `limits` returns those of a request for a path, which is
    empty before it is known; `max_connections` how many connections there may be now;
    and `budget` is shared by all ports.
    """

    max_accept = MAX_ACCEPT

    def __init__(
        self,
        address: tuple[str, int],
        app: t.Any,
        counters: telemetry.Counters,
        port: str,
        limits: cabc.Callable[[str], request_limits.Limits],
        max_connections: cabc.Callable[[], int],
        budget: memory.Budget,
        **secured: t.Any,
    ) -> None:
        super().__init__(
            address,
            app,
            log=None,
            error_log=None,
            handler_class=handler.Handler,
            spawn=pool.Pool(),
            **secured,
        )
        self.counters = counters
        self.limits = limits
        self.budget = budget
        self.places = places.Places(max_connections)
        self.turns = turns.Turns()
        self.recorder = refusals.Recorder(port, counters)

    @classmethod
    def get_listener(cls, *args: t.Any, **kwargs: t.Any) -> t.Any:
        """Return the listening socket, whose buffers each connection inherits."""
        listener = super().get_listener(*args, **kwargs)
        for option, size in (
            (socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
            (socket.SO_SNDBUF, SEND_BUFFER_BYTES),
        ):
            listener.setsockopt(socket.SOL_SOCKET, option, size)
        return listener

    def do_read(self) -> t.Any:
        """Accept a connection, unless too many others are still closing."""
        if len(self.places.leaving) >= MAX_LEAVING:
            return None
        return super().do_read()

    def do_handle(self, sock: t.Any, address: t.Any) -> None:
        """Serve a new connection, or refuse it if there is no place."""
        super().do_handle(sock, address, self.places.take(sock))

    def handle(self, sock: t.Any, address: t.Any, place: places.Place) -> None:
        """Serve the requests of a connection."""
        handler.Handler(sock, address, self, place).handle()

    def wrap_socket_and_handle(
        self, sock: t.Any, address: t.Any, place: places.Place
    ) -> None:
        """Serve a connection once its TLS handshake is done, if that is in time."""
        secured = self.wrap_socket(sock, **self.ssl_args)
        place.socket = secured
        try:
            self.places.move(place, places.State.READING)
            with gevent.Timeout(self.limits("").headers_timeout):
                secured.do_handshake()
            self.handle(secured, address, place)
        except (OSError, gevent.Timeout):
            self.recorder.closed("handshake", address)
        finally:
            secured.close()

    def do_close(self, sock: t.Any, address: t.Any, place: places.Place) -> None:
        """Close a connection, and free its place."""
        sock.close()
        self.places.release(place)

    def busy(self) -> bool:
        """Return whether any request is being read or answered."""
        return any(place.state in BUSY_STATES for place in self.places)

    def serve_until(self, stopped: gevent.event.Event) -> None:
        """Serve until `stopped` is set, whether or not `close` was called before.

        `serve_forever` ends 1 s after `close` and kills all requests in flight then:
        planned stops cut off every request that took longer.
        """
        self.start()
        try:
            stopped.wait()
        finally:
            self.stop(timeout=0)

    def finish_requests(self, now: cabc.Callable[[], float], deadline: float) -> None:
        """Wait until all requests are answered and all connections are closed.

        Idle connections are closed once no request is in flight. Gives up at `deadline`
        by the clock `now`. Call `close` before, so that no further caller connects.
        """
        quiet = 0
        while quiet < IDLE_POLLS or len(self.places):
            if now() >= deadline:
                self._log_cut_off()
                return
            quiet = 0 if self.busy() else quiet + 1
            if quiet >= IDLE_POLLS:
                self._close_idle()
            gevent.sleep(POLL_INTERVAL_S)

    def _close_idle(self) -> None:
        """Close idle connections; a request that was sent already is still answered.

        Left open, a request could arrive during the hand-over, and be cut off by the
        end of the process after a worker had begun it.
        """
        for place in self.places:
            if place.state is places.State.IDLE:
                # Reads only what has arrived; the connection is closed after that.
                place.shut_down(socket.SHUT_RD)

    def _log_cut_off(self) -> None:
        count = sum(place.state in BUSY_STATES for place in self.places)
        if count:
            self.counters.count("front.drain.cut_off")
            log.warning("drain deadline passed with requests in flight", count=count)


def default_limits(path: str) -> request_limits.Limits:
    """Return the limits on requests that operators have not changed."""
    return request_limits.DEFAULT


def create(
    app: t.Any,
    address: str,
    counters: telemetry.Counters,
    tls: ssl.SSLContext | None = None,
    port: str = "front",
    limits: cabc.Callable[[str], request_limits.Limits] = default_limits,
    max_connections: cabc.Callable[[], int] = lambda: MAX_CONNECTIONS,
    budget: memory.Budget | None = None,
) -> Server:
    """Return a server for `app` on `address`, given as ``IP:port``.

    ``create(app, "127.0.0.1:8080", counters, max_connections=lambda: 100)``
    """
    secured: dict[str, t.Any] = {}
    if tls is not None:
        secured = {"ssl_context": tls, "do_handshake_on_connect": False}
    host, _, number = address.rpartition(":")
    return Server(
        (host, int(number)),
        app,
        counters,
        port,
        limits,
        max_connections,
        budget or memory.Budget(MAX_REQUEST_BYTES),
        **secured,
    )
