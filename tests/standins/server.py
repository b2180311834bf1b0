"""JSON WSGI server shared by the stand-ins."""

import errno
import socket
import struct

import falcon
from gevent import pywsgi


class Handler(pywsgi.WSGIHandler):
    """Disables Nagle's algorithm, so that each write is sent immediately."""

    def __init__(self, sock, *args, **kwargs):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)

    def get_environ(self):
        return super().get_environ() | {"standin.socket": self.socket}


class DeliberateReset(ConnectionResetError):
    """A stand-in resets a connection in place of an answer."""


def reset(req):
    """Reset the connection on which a request came, in place of an answer."""
    # Closing a socket that does not linger sends a reset.
    linger = struct.pack("ii", 1, 0)
    req.env["standin.socket"].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    raise DeliberateReset(errno.ECONNRESET, "reset by the stand-in")


def reraise(req, resp, ex, params):
    """Let the server close the connection, where Falcon would answer with 500."""
    raise ex


def serve(app, address, handler_class=None):
    """Serve `app` on `address` until the process is terminated."""
    host, _, port = address.rpartition(":")
    pywsgi.WSGIServer(
        (host, int(port)),
        app,
        log=None,
        error_log=None,
        handler_class=handler_class or Handler,
    ).serve_forever()


def json_app():
    return falcon.App()
