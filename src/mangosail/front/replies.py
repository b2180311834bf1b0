"""HTTP responses for refusals and for outcomes of durable work."""

import falcon
import result

from mangosail import codec
from mangosail.front import headers, messages
from mangosail.placement import errors as placement_errors
from mangosail.work import errors as work_errors
from mangosail.work import messages as work_messages
from mangosail.work import submissions


def refuse(resp: falcon.Response, refusal: messages.Refusal) -> None:
    """Write the response for a refusal."""
    resp.status = refusal.status
    body = {
        "title": refusal.reason,
        "description": "",
        "outcome": refusal.outcome,
        "retry_after": refusal.retry_after,
    }
    resp.text = codec.to_json(body)
    headers.set_retry_after(resp, refusal.retry_after)


def answer_work(
    resp: falcon.Response,
    answer: result.Result[work_messages.Outcome, submissions.SubmitError],
) -> None:
    """Write the outcome of a piece of durable work."""
    if isinstance(answer, result.Err):
        refuse_work(resp, answer.err_value)
        return
    outcome = answer.ok_value
    resp.text = codec.to_json(outcome)
    if outcome.retry_after is not None:
        resp.status = falcon.HTTP_ACCEPTED
        headers.set_retry_after(resp, outcome.retry_after)


def refuse_work(resp: falcon.Response, error: submissions.SubmitError) -> None:
    """Write why a piece of durable work was not accepted.

    The outcome is not `not_run`, even if the request was refused before it was claimed:
    another instance may be processing the same id, from an earlier call whose answer
    the caller lost. It is safe to repeat the request; cancelling it ensures `not_run`.
    """
    if isinstance(error, work_errors.BodyConflict):
        resp.status = falcon.HTTP_CONFLICT
        resp.text = codec.to_json({"title": "body_conflict"})
    elif isinstance(error, placement_errors.NotPlaced):
        refuse_unknown(resp, error.reason.value, error.retry_after)
    else:
        refuse_unknown(resp, error.reason, error.retry_after)


def refuse_unknown(
    resp: falcon.Response, reason: str, retry_after: float | None
) -> None:
    """Write a refusal of work whose outcome is unknown."""
    resp.status = falcon.HTTP_SERVICE_UNAVAILABLE
    body = {"title": reason, "outcome": "unknown", "retry_after": retry_after}
    resp.text = codec.to_json(body)
    headers.set_retry_after(resp, retry_after)
