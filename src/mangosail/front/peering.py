"""Handlers for peers' calls: forwarded requests, and status for operators."""

import result

from mangosail import codec
from mangosail.front import context, forwarding, messages


class PeerHandlers:
    """Implements the methods declared in `front.methods`."""

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def forward(self, message: messages.Forwarded) -> messages.ForwardedAnswer:
        """Serve a request forwarded by a peer, on this instance's own workers only."""
        declared = self.front.settings.operation(
            message.team, message.service, message.operation
        )
        if declared is None:
            return messages.ForwardedAnswer(
                message.request_id, 404, "unknown_service", outcome=messages.NOT_RUN
            )
        request = messages.ServiceRequest(
            message.request_id,
            message.team,
            message.service,
            message.operation,
            declared,
            message.body,
            self.front.clock.monotonic() + message.timeout,
        )
        answer = self.front.quotes.serve(request, forward=False)
        return to_forwarded_answer(message.request_id, answer)

    def describe(self, message: messages.DescribeRequest) -> messages.Description:
        """Return this instance's status for an operator who asked a peer."""
        return messages.Description(
            self.front.peers.own_name, codec.to_json(self.front.describe())
        )


def to_forwarded_answer(
    request_id: str, answer: messages.Answer
) -> messages.ForwardedAnswer:
    """Convert an answer into the message for the peer that forwarded the request."""
    if isinstance(answer, result.Err):
        refusal = answer.err_value
        return messages.ForwardedAnswer(
            request_id,
            refusal.status,
            refusal.reason,
            refusal.retry_after,
            outcome=refusal.outcome,
        )
    served = answer.ok_value
    return messages.ForwardedAnswer(
        request_id,
        forwarding.OK,
        codec.to_json(served.answer),
        worker=served.worker,
        data_centre=served.data_centre,
    )
