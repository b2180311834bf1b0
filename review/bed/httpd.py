"""JSON over HTTP for the stand-ins, and the clock of a run."""

import json
import socket
import time
import urllib.parse

from gevent import pywsgi

STARTED_AT = time.monotonic()


def now():
    """Return the seconds since the start of the case."""
    return time.monotonic() - STARTED_AT


class NoAnswer(Exception):
    """The connection is closed in place of an answer."""


class Handler(pywsgi.WSGIHandler):
    """Sends small answers at once, and closes the connection on `NoAnswer`."""

    def __init__(self, sock, *args, **kwargs):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)

    def handle_error(self, kind, error, trace):
        self.close_connection = True
        if not isinstance(error, NoAnswer):
            super().handle_error(kind, error, trace)


def serve(answer, host="127.0.0.1", port=0):
    """Serve `answer(method, path, query, body, headers)` and return the server."""

    def application(environ, start_response):
        body = environ["wsgi.input"].read()
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        status, reply = answer(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            {name: values[0] for name, values in query.items()},
            json.loads(body) if body else {},
            environ,
        )
        data = json.dumps(reply).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        start_response(f"{status} -", headers)
        return [data]

    server = pywsgi.WSGIServer(
        (host, port), application, log=None, error_log=None, handler_class=Handler
    )
    server.start()
    return server
