"""The WSGI server, set up for short answers on kept connections."""

import socket
import ssl
import typing as t

from gevent import pywsgi


class Handler(pywsgi.WSGIHandler):
    """Serves one connection, sending each write at once.

    pywsgi writes headers and body separately. Without TCP_NODELAY the body waits
    for the caller's delayed acknowledgement of the headers: every answer on a
    kept connection came 40 ms late.
    """

    def __init__(self, sock: t.Any, *args: t.Any, **kwargs: t.Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)


def create(
    app: t.Any, address: str, tls: ssl.SSLContext | None = None
) -> pywsgi.WSGIServer:
    """Return a server for `app` on `address`, an IP number and a port."""
    secured = {} if tls is None else {"ssl_context": tls}
    host, _, port = address.rpartition(":")
    return pywsgi.WSGIServer(
        (host, int(port)),
        app,
        log=None,
        error_log=None,
        handler_class=Handler,
        **secured,
    )
