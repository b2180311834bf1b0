"""The users' platform's store, for an instance whose link carries little.

What the instance sends comes in pieces, as fast as the link lets them, and all requests
share the link. What the sender has given up is not carried any further.
"""

import socket
import time

import gevent

from tests.standins import metadata, server

#: Bytes that are taken off the link at a time.
CHUNK_BYTES = 4096
#: Name of a request's connection in its environment.
CONNECTION_KEY = "tests.connection"
#: State of a connection whose far end was closed (Linux' tcp_states.h).
CLOSE_WAIT = 8


class Handler(server.Handler):
    """Hands the connection on, so that it is known when its sender gives up."""

    def get_environ(self):
        return {**super().get_environ(), CONNECTION_KEY: self.socket}


class Platform(metadata.Platform):
    """A store to which `rate` bytes a second can be sent."""

    handler = Handler

    def __init__(self, rate):
        self.rate = rate
        #: Bytes that the link carried, and the time at which it is free again.
        self.carried = 0
        self.free_at = 0.0
        #: Requests that are on the link. While there are any, it goes by its own
        #: schedule, so that a busy machine makes it no narrower.
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
                raise ConnectionResetError("given up by its sender")
            yield chunk


def closed_by_sender(connection):
    """Tell whether the far end of a connection was closed."""
    state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state[0] == CLOSE_WAIT
