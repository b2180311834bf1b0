"""The users' platform's store, for an instance whose link carries little.

What the instance sends comes in pieces, as fast as the link lets them, and all requests
share the link. What the sender has given up is not carried any further.
"""

import socket
import time

import gevent

from tests.standins import metadata, server

#: Bytes that are taken off the link at a time.
PIECE = 4096
#: Name of a request's connection in its environment.
CONNECTION = "tests.connection"
#: State of a connection whose far end was closed (Linux' tcp_states.h).
CLOSE_WAIT = 8


class Handler(server.Handler):
    """Hands the connection on, so that it is known when its sender gives up."""

    def get_environ(self):
        return {**super().get_environ(), CONNECTION: self.socket}


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
        self.carrying = 0
        super().__init__()

    def body_of(self, req):
        if not self.carrying:
            self.free_at = time.monotonic()
        self.carrying += 1
        try:
            return b"".join(self.pieces(req))
        finally:
            self.carrying -= 1

    def pieces(self, req):
        while piece := req.bounded_stream.read(PIECE):
            self.carried += len(piece)
            self.free_at += len(piece) / self.rate
            gevent.sleep(max(self.free_at - time.monotonic(), 0))
            if given_up(req.env[CONNECTION]):
                raise ConnectionResetError("given up by its sender")
            yield piece


def given_up(connection):
    """Tell whether the far end of a connection was closed."""
    state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state[0] == CLOSE_WAIT
