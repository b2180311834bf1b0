"""The WSGI server: low latency for short answers, limits for slow or many callers."""

import collections.abc as cabc
import contextlib
import socket
import ssl
import typing as t

import gevent
import gevent.event
import logbook
from gevent import pool, pywsgi

from mangosail import codec
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("front")

#: Seconds that a connection may be idle between requests, and that a write may take.
IDLE_TIMEOUT_S = 60.0
#: Seconds within which the request line and headers must have been received.
HEADERS_TIMEOUT_S = 5.0
#: Limits, in seconds and bytes, for reading and discarding the rest of an unread body.
DISCARD_TIMEOUT_S = 2.0
MAX_DISCARD_BYTES = 4 * 1024 * 1024
#: Maximum number of open connections; further ones wait to be accepted.
MAX_CONNECTIONS = 4096
#: Maximum number of concurrent requests; further ones are refused immediately.
MAX_REQUESTS = 512
#: Retry-After in seconds for requests refused because of that limit.
RETRY_AFTER_S = 1
#: Probe paths, which are exempt from the limit.
PROBE_PATHS = ("/healthz", "/readyz")

#: Seconds between checks for requests in flight.
POLL_INTERVAL_S = 0.02
#: Consecutive checks without a request in flight after which none is expected.
IDLE_POLLS = 5

OVERLOADED = "overloaded"
DRAINING = "draining"


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
        refusal = {
            "title": OVERLOADED,
            "description": "too many requests in hand",
            "outcome": "not_run",
            "retry_after": RETRY_AFTER_S,
        }
        body = codec.to_json(refusal).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Retry-After", str(RETRY_AFTER_S)),
        ]
        start_response("503 Service Unavailable", headers)
        return [body]


class Handler(pywsgi.WSGIHandler):
    """Serves one connection with TCP_NODELAY set.

    pywsgi writes headers and body separately. Without TCP_NODELAY the body waits for
    the caller's delayed acknowledgement of the headers, which added 40 ms to every
    answer on a keep-alive connection.
    """

    def __init__(self, sock: t.Any, *args: t.Any, **kwargs: t.Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Limits idle connections, and callers that never read their answer.
        sock.settimeout(IDLE_TIMEOUT_S)
        super().__init__(sock, *args, **kwargs)
        #: True from the first line of a request to the end of its response.
        self.busy = False

    def handle(self) -> None:
        """Serve the requests of the connection one after the other."""
        self.server.handlers.add(self)
        try:
            super().handle()
        finally:
            self.server.handlers.discard(self)

    def stop_reading(self) -> None:
        """Read only what has arrived; the connection is closed after that."""
        with contextlib.suppress(OSError):
            # A copy, since `shutdown` of a TLS socket would end the encryption.
            number, family = self.socket.fileno(), self.socket.family
            with socket.fromfd(number, family, socket.SOCK_STREAM) as copy:
                copy.shutdown(socket.SHUT_RD)

    def handle_one_request(self) -> t.Any:
        """Serve one request, and mark the connection idle between requests."""
        try:
            return super().handle_one_request()
        finally:
            self.busy = False

    def read_request(self, raw_requestline: t.Any) -> t.Any:
        """Read the headers, and refuse a caller that exceeds their timeout."""
        self.busy = True
        with gevent.Timeout(HEADERS_TIMEOUT_S, SlowRequest("headers")):
            return super().read_request(raw_requestline)

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        reason = "slow_headers" if isinstance(ex, SlowRequest) else "malformed"
        status = "408 Request Timeout" if reason != "malformed" else "400 Bad Request"
        self.server.counters.count(f"front.refused.{reason}")
        refusal = {
            "title": reason,
            "description": "the request's headers",
            "outcome": "not_run",
        }
        body = codec.to_json(refusal).encode()
        head = (
            f"HTTP/1.1 {status}\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return status[:3], head.encode() + body

    def handle_error(self, kind: t.Any, error: t.Any, trace: t.Any) -> None:
        """Count an error that occurred while a response was being written."""
        if isinstance(error, gevent.GreenletExit):
            self._tell_cut_off()
            return
        self.server.counters.count("front.internal_error")
        super().handle_error(kind, error, trace)

    def _tell_cut_off(self) -> None:
        """Answer a request that the time limit of a planned stop cuts off.

        Its work may go on at a worker. So the answer is no refusal, by which callers
        take it that nothing was done.
        """
        self.close_connection = True
        if self.response_length:
            return
        self.server.counters.count(f"front.refused.{DRAINING}")
        answer = {
            "title": DRAINING,
            "description": "this instance stops; ask another one",
            "outcome": "unknown",
        }
        body = codec.to_json(answer).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        with contextlib.suppress(OSError):
            self.start_response("504 Gateway Timeout", headers)
            self.write(body)

    def start_response(
        self, status: str, headers: list[tuple[str, str]], exc_info: t.Any = None
    ) -> t.Any:
        """Start a response, with ``Connection: close`` while the instance stops."""
        if getattr(self.application, "closing", False):
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def run_application(self) -> None:
        """Respond, then discard the rest of a body that was not read.

        pywsgi would read the rest without any limit, so that a caller with a slow or
        endless body could occupy the connection.
        """
        try:
            super().run_application()
        finally:
            self._discard()

    def _discard(self) -> None:
        body = self.wsgi_input
        left = MAX_DISCARD_BYTES
        with gevent.Timeout(DISCARD_TIMEOUT_S, False):
            while left > 0:
                try:
                    data = body.read(min(left, 65536))
                except OSError:
                    break
                if not data:
                    return
                left -= len(data)
        self.close_connection = True
        body.chunked_input = False
        body.content_length = 0


class SlowRequest(ValueError):
    """A part of a request was not received within its timeout."""


class Server(pywsgi.WSGIServer):
    """A WSGI server that tracks its connections, for graceful shutdown."""

    def __init__(
        self,
        address: tuple[str, int],
        app: t.Any,
        counters: telemetry.Counters,
        **secured: t.Any,
    ) -> None:
        super().__init__(
            address,
            app,
            log=None,
            error_log=None,
            handler_class=Handler,
            spawn=pool.Pool(MAX_CONNECTIONS),
            **secured,
        )
        self.counters = counters
        self.handlers: set[Handler] = set()

    def busy(self) -> bool:
        """Return whether any request is being read or answered."""
        return any(handler.busy for handler in self.handlers)

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
        while quiet < IDLE_POLLS or self.handlers:
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
        for handler in self.handlers:
            if not handler.busy:
                handler.stop_reading()

    def _log_cut_off(self) -> None:
        count = sum(handler.busy for handler in self.handlers)
        if count:
            self.counters.count("front.drain.cut_off")
            log.warning("drain deadline passed with requests in flight", count=count)


def create(
    app: t.Any,
    address: str,
    counters: telemetry.Counters,
    tls: ssl.SSLContext | None = None,
) -> Server:
    """Return a server for `app` on `address`, given as ``IP:port``."""
    secured = {} if tls is None else {"ssl_context": tls}
    host, _, port = address.rpartition(":")
    return Server((host, int(port)), app, counters, **secured)
