"""``/v1/work/{request_id}``: looks up and cancels durable work."""

import falcon
import result

from mangosail import codec
from mangosail.front import context, replies


class WorkResource:
    """``GET`` and ``DELETE /v1/work/{request_id}``."""

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, request_id: str
    ) -> None:
        """Return the outcome of a piece of work."""
        identity = self.front.authenticate(req)
        found = self.front.runner.look_up(identity.team, request_id)
        if isinstance(found, result.Err):
            replies.refuse_work(resp, found.err_value)
            return
        if found.ok_value is None:
            raise falcon.HTTPNotFound(title="unknown_request")
        resp.text = codec.to_json(found.ok_value)

    def on_delete(
        self, req: falcon.Request, resp: falcon.Response, request_id: str
    ) -> None:
        """Cancel a piece of work, and return its outcome.

        An id that has not been used yet can be cancelled too: a request with that id
        will never run.
        """
        identity = self.front.authenticate(req)
        replies.answer_work(resp, self.front.runner.cancel(identity.team, request_id))
