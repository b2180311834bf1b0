"""``GET /v1/watches/{service}/{operation}``: events as lines of JSON."""

import falcon

from mangosail.front import context, messages, quotes, replies, streams
from mangosail.settings import schema


class WatchResource:
    """``GET /v1/watches/{service}/{operation}``: events as lines of JSON."""

    def __init__(self, front: context.Front) -> None:
        self.front = front
        self.watches = front.watches

    def on_get(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        service: str,
        operation: str,
    ) -> None:
        """Stream the events of ``subject`` that follow sequence number ``after``."""
        request = self.front.parse_request(req, service, operation)
        if request.declared.mode is not schema.Mode.WATCH:
            raise falcon.HTTPBadRequest(title="not_a_watch")
        subject = req.get_param("subject", required=True)
        after = req.get_param_as_int("after", default=0, min_value=0)
        refusal = self.watches.refusal()
        if refusal:
            self.front.counters.count(f"front.refused.{refusal}")
            replies.refuse(resp, messages.Refusal(503, refusal, quotes.RETRY_AFTER_S))
            return
        task_id = f"{request.team}/{request.request_id}~watch-{id(resp):x}"
        watch = streams.Watch(self.watches, task_id, subject, after, request.deadline)
        resp.content_type = "application/x-ndjson"
        resp.stream = watch.stream()
