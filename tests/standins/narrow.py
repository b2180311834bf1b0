"""The users' platform's store at the far end of a narrow link.

Its answers come in pieces, as fast as the link lets them, and share the link. What the
receiver has given up is sent no further.
"""

import json
import time

import gevent

from tests.standins import metadata

#: Bytes that are put on the link at a time.
PIECE = 4096
#: Seconds between looks at whether a followed table has changed.
FEED_POLL_INTERVAL_S = 0.01


class Platform(metadata.Platform):
    """A store of which `rate` bytes a second can be read."""

    def __init__(self, rate):
        self.rate = rate
        #: Bytes that were put on the link, and the time at which it is free again.
        self.sent = 0
        self.free_at = 0.0
        #: Answers that are being sent. While there are any, the link goes by its own
        #: schedule, so that a busy machine makes it no narrower.
        self.active_responses = 0
        #: Bytes of an answer after which it goes silent; None if none does.
        self.stall_after = None
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
            for first in range(0, len(data), PIECE):
                if self.stall_after is not None and first >= self.stall_after:
                    gevent.sleep(30)
                chunk = data[first : first + PIECE]
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
    """Return the text of a configuration with a number of queues, q0 and so on."""
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
