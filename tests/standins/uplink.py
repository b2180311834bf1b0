"""The users' platform's store behind a link with low bandwidth from the sender.

Requests are received in chunks at the link's rate, and concurrent requests share the
link. A request is received no further once its sender has closed the connection.
"""

import socket
import time

import gevent

from tests.standins import metadata, server

#: Size of the chunks in which requests are received.
CHUNK_BYTES = 4096
#: Key of a request's socket in its WSGI environment.
CONNECTION_KEY = "tests.connection"
#: TCP state of a connection that the peer has closed (Linux' tcp_states.h).
CLOSE_WAIT = 8


class Handler(server.Handler):
    """Exposes the socket to the application, to detect that the sender closed it."""

    def get_environ(self):
        return {**super().get_environ(), CONNECTION_KEY: self.socket}


class Platform(metadata.Platform):
    """A store to which `rate` bytes a second can be sent."""

    handler = Handler

    def __init__(self, rate):
        self.rate = rate
        #: Bytes received so far, and the time at which the link is free again.
        self.carried = 0
        self.free_at = 0.0
        #: Requests being received. While there are any, the link's schedule advances
        #: independently of the machine's load, which would reduce the rate further.
        self.active_requests = 0
        super().__init__()

    def body_of(self, req):
        if not self.active_requests:
            self.free_at = time.monotonic()
        self.active_requests += 1
        try:
            return b"".join(self.chunks(req))
        finally:
            self.active_requests -= 1

    def chunks(self, req):
        while chunk := req.bounded_stream.read(CHUNK_BYTES):
            self.carried += len(chunk)
            self.free_at += len(chunk) / self.rate
            gevent.sleep(max(self.free_at - time.monotonic(), 0))
            if closed_by_sender(req.env[CONNECTION_KEY]):
                raise ConnectionResetError("sender closed the connection")
            yield chunk


def closed_by_sender(connection):
    """Return whether the peer has closed a connection."""
    state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state[0] == CLOSE_WAIT
