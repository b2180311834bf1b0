"""``POST /v1/services/{service}/{operation}``: quotes and durable work."""

import falcon
import result

from mangosail import codec
from mangosail.front import context, messages, replies
from mangosail.settings import schema
from mangosail.work import messages as work_messages


class ServiceResource:
    """``POST /v1/services/{service}/{operation}``: quotes and durable work."""

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def on_post(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        service: str,
        operation: str,
    ) -> None:
        """Serve one request."""
        request = self.front.parse_request(req, service, operation)
        resp.set_header("Request-Id", request.request_id)
        if request.declared.mode is schema.Mode.QUOTE:
            self._quote(request, resp)
        elif request.declared.mode is schema.Mode.TASK:
            self._task(request, resp)
        else:
            raise falcon.HTTPBadRequest(title="not_a_request")

    def _quote(self, request: messages.ServiceRequest, resp: falcon.Response) -> None:
        served = self.front.quotes.serve(request)
        if isinstance(served, result.Err):
            replies.refuse(resp, served.err_value)
            return
        resp.set_header("Mangosail-Data-Centre", served.ok_value.data_centre)
        resp.set_header("Mangosail-Worker", served.ok_value.worker)
        resp.text = codec.to_json(served.ok_value.answer)

    def _task(self, request: messages.ServiceRequest, resp: falcon.Response) -> None:
        work = work_messages.Request(
            request.team,
            request.request_id,
            request.kind,
            request.declared.needs.as_resources(),
            request.body,
        )
        replies.answer_work(resp, self.front.runner.submit(work, request.deadline))
