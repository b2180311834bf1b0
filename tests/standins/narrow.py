"""The users' platform's store behind a link with low bandwidth to the reader.

Answers are sent in chunks at the link's rate, and concurrent answers share the link. An
answer is sent no further once its receiver has closed the connection.
"""

import json
import time

import gevent

from tests.standins import metadata

#: Size of the chunks in which answers are sent, in bytes.
CHUNK_BYTES = 4096
#: Interval at which a feed request checks for changes.
FEED_POLL_INTERVAL_S = 0.01


class Platform(metadata.Platform):
    """A store from which `rate` bytes a second can be read."""

    def __init__(self, rate):
        self.rate = rate
        #: Bytes sent so far, and the time at which the link is free again.
        self.sent = 0
        self.free_at = 0.0
        #: Answers being sent. While there are any, the link's schedule advances
        #: independently of the machine's load, which would reduce the rate further.
        self.active_responses = 0
        #: Number of bytes after which an answer stalls; None if answers don't stall.
        self.stall_after = None
        #: Number of bytes after which the connection of an answer is closed, if any.
        self.break_after = None
        super().__init__()

    def answer(self, req, resp, **_):
        super().answer(req, resp)
        data = resp.text.encode()
        resp.text = None
        resp.stream = self.chunks(data)
        resp.content_length = len(data)

    def chunks(self, data):
        if not self.active_responses:
            self.free_at = time.monotonic()
        self.active_responses += 1
        try:
            for first in range(0, len(data), CHUNK_BYTES):
                if self.stall_after is not None and first >= self.stall_after:
                    gevent.sleep(30)
                if self.break_after is not None and first >= self.break_after:
                    return
                chunk = data[first : first + CHUNK_BYTES]
                self.sent += len(chunk)
                self.free_at += len(chunk) / self.rate
                gevent.sleep(max(self.free_at - time.monotonic(), 0))
                yield chunk
        finally:
            self.active_responses -= 1

    def feed(self, req):
        deadline = time.monotonic() + int(req.get_param("wait_ms") or 0) / 1000
        while True:
            status, page = super().feed(req)
            if page["rows"] or time.monotonic() >= deadline:
                return status, page
            gevent.sleep(FEED_POLL_INTERVAL_S)


def configuration(version, queues, host):
    """Return the JSON text of a configuration with queues q0, q1 and so on."""
    routes = [
        {
            "name": f"q{number}",
            "host": host,
            "path_prefix": f"/q{number}/",
            "service": "pool",
            "timeout_ms": 3000,
            "stretch": 1.5,
            "note": "x" * 150,
        }
        for number in range(queues)
    ]
    services = [{"name": "pool", "admission_check": True}]
    return json.dumps({"version": version, "routes": routes, "services": services})
