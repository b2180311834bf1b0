"""Serves one connection: reads each request as a whole, answers it, and forgets it."""

import collections.abc as cabc
import contextlib
import errno
import io
import socket
import typing as t

import gevent
import gevent.socket
from gevent import pywsgi

from mangosail import codec
from mangosail import limits as request_limits
from mangosail.front import memory, places, reading, refusals, turns

#: Limits, in seconds and bytes, for discarding what a refused client still sends. If
#: its connection were closed at once, it would be reset and the refusal lost.
LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 1024 * 1024
LINGER_PIECE_BYTES = 16 * 1024
#: Memory that the application may use for each byte of a body.
DECODED_BYTES_PER_BYTE = 4
#: Headers of a connection without a request.
NO_HEADERS = pywsgi.WSGIHandler.headers

DRAINING = "draining"


class Port(t.Protocol):
    """What a connection needs of the server that accepted it."""

    application: t.Any
    limits: cabc.Callable[[str], request_limits.Limits]
    budget: memory.Budget
    places: places.Places
    turns: turns.Turns
    recorder: refusals.Recorder


class Handler(pywsgi.WSGIHandler):
    """Serves one connection with TCP_NODELAY set.

    pywsgi writes headers and body separately. Without TCP_NODELAY the body waits for
    the caller's delayed acknowledgement of the headers, which added 40 ms to every
    answer on a keep-alive connection.
    """

    rfile: t.Any
    # Set anew for each request, and forgotten after it.
    environ: t.Any
    requestline: t.Any
    wsgi_input: t.Any

    def __init__(
        self, sock: t.Any, address: t.Any, server: Port, place: places.Place
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)
        self.place = place
        self.reservation = memory.Reservation(server.budget)
        file = t.cast(io.BufferedReader, self.rfile)
        self.rfile = reading.Reader(file, self.reservation, server.turns)

    def handle_one_request(self) -> t.Any:
        """Read one request as a whole, answer it, and forget it.

        Returns True if another one may follow on the connection. What a request held
        is given up before the next one: a connection kept a head of megabytes for as
        long as it was idle.
        """
        try:
            if not self._await_request():
                return None
            self._read_request()
            self._start_work()
            self.handle_one_response()
            return None if self.close_connection else True
        except refusals.Refused as exc:
            # Not `exc` itself: its traceback holds what was read.
            refused = refusals.Refused(exc.reason, exc.description)
        except OSError:
            # The connection was reset, or its caller does not read.
            return None
        finally:
            self._forget()
        self._refuse(refused)
        return None

    def _await_request(self) -> bool:
        """Wait for a request; False if none comes in time."""
        if self.place.state is places.State.LINGERING:
            raise no_place()
        if not self.server.places.move(self.place, places.State.IDLE):
            return False
        limits = self.server.limits("")
        # Reads have time limits of their own.
        self.socket.settimeout(None)
        with gevent.Timeout(limits.idle_timeout, False):
            has_begun = self.rfile.await_request(limits.head_bytes)
            if not has_begun and self.place.evicted:
                self.server.recorder.closed("evicted", self.client_address)
            return has_begun
        self.server.recorder.counters.count("front.closed.idle")
        return False

    def _read_request(self) -> None:
        """Read the request with its body, or raise `refusals.Refused`."""
        self._move(places.State.READING)
        limits = self.server.limits("")
        slow = refusals.Refused(refusals.Reason.SLOW_HEADERS, "the request's headers")
        with gevent.Timeout(limits.headers_timeout, slow):
            self._read_head(limits)
        limits = self.server.limits(self.environ["PATH_INFO"])
        slow = refusals.Refused(refusals.Reason.SLOW_BODY, "the request's body")
        with gevent.Timeout(limits.body_timeout, slow):
            self._read_body(limits)

    def _read_head(self, limits: request_limits.Limits) -> None:
        self.response_length = 0
        try:
            line = reading.read_request_line(self.rfile, limits.head_bytes)
            self.requestline = line.decode("latin-1")
            self.read_request(self.requestline)
        except (ValueError, LookupError) as exc:
            # pywsgi raises both for a request line or a header that it can't read.
            raise refusals.Refused(
                refusals.Reason.MALFORMED, "the request's headers"
            ) from exc
        self.environ = self.get_environ()
        self.application = self.server.application

    def MessageClass(self, *_: t.Any) -> t.Any:
        """Read the header lines; pywsgi calls this after the request line."""
        return reading.read_headers(self.rfile, self.server.limits("").head_bytes)

    def _read_body(self, limits: request_limits.Limits) -> None:
        """Let the application read the body from memory, chunked or not."""
        environ = self.environ
        if self.content_length is None and not self.wsgi_input.chunked_input:
            environ["wsgi.input"] = io.BytesIO()
            return
        data = self._receive_body(limits)
        environ["wsgi.input"] = io.BytesIO(data)
        environ["CONTENT_LENGTH"] = str(len(data))
        environ.pop("HTTP_TRANSFER_ENCODING", None)

    def _receive_body(self, limits: request_limits.Limits) -> bytes:
        oversized = refusals.Refused(
            refusals.Reason.OVERSIZED, f"the body: at most {limits.body_bytes} bytes"
        )
        if (self.content_length or 0) > limits.body_bytes:
            raise oversized
        encoded = limits.body_bytes * reading.ENCODED_BYTES_PER_BYTE
        self.rfile.allow(encoded + limits.head_bytes, oversized)
        try:
            data = self.wsgi_input.read(limits.body_bytes + 1)
        except (OSError, ValueError) as exc:
            raise refusals.Refused(
                refusals.Reason.MALFORMED, "the body ended early"
            ) from exc
        if len(data) > limits.body_bytes:
            raise oversized
        # The application decodes it, and may wait for others with what it decoded.
        self.reservation.grow(len(data) * DECODED_BYTES_PER_BYTE)
        return data

    def _start_work(self) -> None:
        """Wait for a turn; from here on the request is never given up for others."""
        self.rfile.take_turn()
        self._move(places.State.WORKING)
        self.socket.settimeout(self.server.limits("").idle_timeout)

    def _move(self, state: places.State) -> None:
        """Note what the connection does, unless it has to leave."""
        if not self.server.places.move(self.place, state):
            raise no_place()

    def _refuse(self, refused: refusals.Refused) -> None:
        """Send a refusal, and wait for the client to read it."""
        if self.place.evicted:
            # Its input was shut down, so it reads as ended, whatever was sent.
            refused = no_place()
        self.server.recorder.refused(refused, self.client_address)
        self.server.places.move(self.place, places.State.LINGERING)
        try:
            # A connection that has to leave keeps its descriptor for no longer.
            self.socket.settimeout(0.0 if self.place.evicted else LINGER_TIMEOUT_S)
            self.socket.sendall(refusals.to_response(refused).encode())
            if not self.place.evicted:
                self._linger()
        except OSError:
            # The caller is gone, and with it who could read the refusal.
            self.server.recorder.counters.count("front.refusal_unread")

    def _linger(self) -> None:
        """Discard what the client still sends, until it has closed or a limit."""
        self.place.shut_down(socket.SHUT_WR)
        left = MAX_LINGER_BYTES
        with gevent.Timeout(LINGER_TIMEOUT_S, False):
            while left > 0:
                # Of the TCP connection: nothing is decrypted any more.
                data = gevent.socket.socket.recv(self.socket, LINGER_PIECE_BYTES)
                if not data:
                    return
                left -= len(data)
                self.server.turns.wait()

    def _forget(self) -> None:
        """Give up everything that the request held."""
        self.environ = self.requestline = self.path = None
        self.wsgi_input = self.result = self.response_headers = None
        self.headers = NO_HEADERS
        self.reservation.release()

    def get_environ(self) -> dict[str, t.Any]:
        """Return the WSGI environment; the parsed headers are in it from here on."""
        environ = super().get_environ()
        self.headers = NO_HEADERS
        return environ

    def _sendall(self, data: bytes) -> None:
        """Send a part of the answer; a caller who does not read it may be cut off."""
        if not self.server.places.move(self.place, places.State.WRITING):
            raise BrokenPipeError(errno.EPIPE, "the connection had to leave")
        try:
            super()._sendall(data)
        except TimeoutError as exc:
            self.server.recorder.closed("unread", self.client_address)
            raise BrokenPipeError(errno.EPIPE, "the answer was not read") from exc
        finally:
            self.server.places.move(self.place, places.State.WORKING)

    def handle_error(self, kind: t.Any, error: t.Any, trace: t.Any) -> None:
        """Count an error that occurred while a response was being written."""
        if isinstance(error, gevent.GreenletExit):
            self._tell_cut_off()
            return
        self.server.recorder.counters.count("front.internal_error")
        super().handle_error(kind, error, trace)

    def _tell_cut_off(self) -> None:
        """Answer a request that the time limit of a planned stop cuts off.

        Its work may go on at a worker. So the answer is no refusal, by which callers
        take it that nothing was done.
        """
        self.close_connection = True
        if self.response_length:
            return
        self.server.recorder.counters.count(f"front.refused.{DRAINING}")
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


def no_place() -> refusals.Refused:
    """Return the refusal of a request whose connection has to leave."""
    return refusals.Refused(refusals.Reason.OVERLOADED, "too many connections")
