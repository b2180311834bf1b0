"""JSON WSGI server shared by the stand-ins."""

import socket

import falcon
from gevent import pywsgi


class Handler(pywsgi.WSGIHandler):
    """Disables Nagle's algorithm, so that each write is sent immediately."""

    def __init__(self, sock, *args, **kwargs):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)


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
