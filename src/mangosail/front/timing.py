"""Times of requests by class, and the request id in log lines."""

import falcon

from mangosail.front import context
from mangosail.telemetry import logs


class Timing:
    """Middleware that times each request of a class: quote, task, watch, batch.

    A resource names the class in ``req.context.timed``. The time of a watch ends
    where its stream begins.
    """

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def process_request(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Note when a request came."""
        # A kept connection serves request after request in one greenlet: the
        # id of the one before must not stand in this one's log lines.
        logs.REQUEST_ID.set(req.get_header("Request-Id") or "")
        req.context.came_at = self.front.clock.monotonic()
        req.context.timed = "batch" if req.path == "/v1/jobs" else ""

    def process_response(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        """Record how long a request of a class took."""
        timed = req.context.timed
        if not timed or req.method not in ("GET", "POST"):
            return
        seconds = self.front.clock.monotonic() - req.context.came_at
        self.front.counters.time(f"front.time.{timed}", seconds)
