"""Request timing by class, and the request id in log lines."""

import falcon

from mangosail.front import context
from mangosail.telemetry import logs


class Timing:
    """Middleware that times requests by class: quote, task, watch or batch.

    The class is set in ``req.context.request_class``. The time of a watch ends where
    its stream starts.
    """

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def process_request(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Record when a request was received."""
        # A keep-alive connection serves all its requests in one greenlet: the id of the
        # previous request must not appear in the log lines of this one.
        logs.REQUEST_ID.set(req.get_header("Request-Id") or "")
        req.context.received_at = self.front.clock.monotonic()
        req.context.request_class = "batch" if req.path == "/v1/jobs" else ""

    def process_response(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        """Record the duration of a request that has a class."""
        request_class = req.context.request_class
        if not request_class or req.method not in ("GET", "POST"):
            return
        seconds = self.front.clock.monotonic() - req.context.received_at
        self.front.counters.time(f"front.time.{request_class}", seconds)
