"""Forwards requests between instances, over HTTP on a separate port."""

import dataclasses

import result

from mangosail import codec
from mangosail.intake import errors as intake_errors
from mangosail.intake import relaying
from mangosail.platform import caller as http_caller
from mangosail.platform import errors

#: Connections per peer.
CONNECTIONS = 8
#: Maximum number of peers whose connections are kept.
MAX_CALLERS = 64
#: Header with the minimum version of the configuration that a peer must have. The
#: `ETag` of its answer is the version that it used.
MIN_VERSION_HEADER = "Mangosail-Least-Version"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Body of a refusal."""

    title: str
    retry_after: float


class HttpPeers:
    """Sends requests to peers; `send` implements `relaying.Send`."""

    def __init__(self) -> None:
        self.callers = http_caller.Callers(CONNECTIONS, MAX_CALLERS)

    def send(
        self, address: str, request: relaying.Request
    ) -> result.Result[relaying.Answer, relaying.NotSent | relaying.Unanswered]:
        """Send a request unchanged, and return the peer's answer."""
        headers = {
            "Host": request.host,
            "Content-Type": "application/json",
            MIN_VERSION_HEADER: str(request.min_version),
        }
        answer = self.callers.get(address, address).call(
            request.method,
            request.path,
            request.body,
            headers,
            relaying.ANSWER_TIMEOUT_S,
            total_timeout=relaying.ANSWER_TIMEOUT_S,
        )
        if isinstance(answer, result.Ok):
            return result.Ok(to_answer(answer.ok_value))
        if isinstance(answer.err_value, errors.Unavailable):
            return result.Err(relaying.NotSent())
        return result.Err(relaying.Unanswered())


def to_answer(reply: http_caller.Reply) -> relaying.Answer:
    """Convert the reply of a peer."""
    text = reply.body.decode(errors="replace")
    refusal = decode_refusal(text) if reply.status == relaying.REFUSED_STATUS else None
    return relaying.Answer(reply.status, text, parse_version(reply.etag), refusal)


def decode_refusal(text: str) -> intake_errors.Refused | None:
    """Decode the body of a refusal; None if that fails."""
    try:
        refusal = codec.from_json(text, Refusal)
    except codec.DecodeError:
        return None
    return intake_errors.Refused(refusal.title, refusal.retry_after)


def parse_version(text: str | None) -> int:
    """Return the version in a header; 0 if there is none."""
    digits = (text or "").strip('"')
    return int(digits) if digits.isdigit() else 0
