"""``GET /v1/watches/{service}/{operation}``: events as lines of JSON."""

import typing as t

import falcon
import result

from mangosail import codec, resources
from mangosail.front import context, messages, quotes, replies
from mangosail.placement import workers
from mangosail.settings import schema


class WatchResource:
    """``GET /v1/watches/{service}/{operation}``: events as lines of JSON."""

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def on_get(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        service: str,
        operation: str,
    ) -> None:
        """Stream the events of ``subject`` past sequence number ``after``."""
        request = self.front.read(req, service, operation)
        if request.declared.mode is not schema.Mode.WATCH:
            raise falcon.HTTPBadRequest(title="not_a_watch")
        subject = req.get_param("subject", required=True)
        after = req.get_param_as_int("after", default=0)
        needs = resources.Resources(connections=1)
        candidates = self.front.owned.fitting(needs)
        if not candidates:
            replies.refuse(resp, messages.Refusal(503, "no_capacity", quotes.COME_BACK))
            return
        resp.content_type = "application/x-ndjson"
        resp.stream = self._events(candidates[0], request, subject, after)

    def _events(
        self,
        owned: workers.OwnedWorker,
        request: messages.ServiceRequest,
        subject: str,
        after: int,
    ) -> t.Iterator[bytes]:
        task_id = f"{request.team}/{request.request_id}"
        owned.ledger.reserve(task_id, resources.Resources(connections=1))
        try:
            for event in owned.target.watch(subject, after):
                if isinstance(event, result.Err):
                    return
                yield codec.to_json(event.ok_value).encode() + b"\n"
        finally:
            owned.ledger.release(task_id)
