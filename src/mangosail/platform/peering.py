"""Forwards requests between instances, over HTTP on a separate port."""

import collections.abc as cabc
import dataclasses

import falcon
import result

from mangosail import codec
from mangosail.intake import errors as intake_errors
from mangosail.intake import peers, relaying
from mangosail.platform import caller as http_caller
from mangosail.platform import errors
from mangosail.scheduler import errors as scheduler_errors
from mangosail.scheduler import handover

#: Connections per peer.
CONNECTIONS = 8
#: Maximum number of peers whose connections are kept.
MAX_CALLERS = 64
#: Header with the minimum version of the configuration that a peer must have. The
#: `ETag` of its answer is the version that it used.
MIN_VERSION_HEADER = "Mangosail-Least-Version"
#: Path of requests to take the lease, and the maximum length of their body in bytes.
HANDOVER_PATH = "/lease-handover"
MAX_HANDOVER_BYTES = 1000
#: Status of each answer to such a request.
HANDOVER_STATUSES = {
    handover.Outcome.CLAIMED: 200,
    handover.Outcome.SUPERSEDED: 409,
    handover.Outcome.REFUSED: 503,
}
NOT_FOUND = 404


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


class HttpSuccessors:
    """Asks peers to take the lease; implements `handover.Successors`."""

    def __init__(
        self,
        known_peers: cabc.Callable[[], cabc.Iterable[peers.Peer]],
        data_centre: str,
    ) -> None:
        self.known_peers = known_peers
        self.data_centre = data_centre
        # Separate from forwarded requests, which may use all connections to a peer.
        self.callers = http_caller.Callers(1, MAX_CALLERS)

    def candidates(self) -> list[handover.Candidate]:
        """Return the known peers."""
        return [
            handover.Candidate(peer.name, peer.address, peer.data_centre, peer.cores)
            for peer in self.known_peers()
        ]

    def ask(
        self, candidate: handover.Candidate, request: handover.Request
    ) -> result.Result[handover.Answer, handover.NoAnswer]:
        """Ask a peer to claim the lease."""
        answer = self.callers.get(candidate.address, candidate.address).call(
            "POST",
            HANDOVER_PATH,
            codec.to_json(request).encode(),
            {"Content-Type": "application/json"},
            handover.ANSWER_TIMEOUT_S,
            total_timeout=handover.ANSWER_TIMEOUT_S,
        )
        if isinstance(answer, result.Ok):
            return decode_handover(answer.ok_value)
        if isinstance(answer.err_value, errors.Unavailable):
            return result.Err(handover.NoAnswer.NOT_SENT)
        return result.Err(handover.NoAnswer.SILENT)


class HandoverResource:
    """Serves requests of the leader to take the lease."""

    def __init__(self, successor: handover.Successor) -> None:
        self.successor = successor

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Claim the lease, or say why not."""
        body = req.bounded_stream.read(MAX_HANDOVER_BYTES)
        try:
            request = codec.from_json(body, handover.Request)
        except codec.DecodeError as exc:
            self._respond_invalid(resp, str(exc))
            return
        if request.token < 1 or request.lease_version < 1:
            self._respond_invalid(resp, "token and lease_version: expected 1 or more")
            return
        answer = self.successor.handle(request)
        resp.status = HANDOVER_STATUSES[answer.outcome]
        resp.text = codec.to_json(answer)

    def _respond_invalid(self, resp: falcon.Response, fault: str) -> None:
        self.successor.counters.count("handover.requested.malformed")
        resp.status = falcon.HTTP_BAD_REQUEST
        resp.text = codec.to_json({"title": "invalid", "description": fault})


def decode_handover(
    reply: http_caller.Reply,
) -> result.Result[handover.Answer, handover.NoAnswer]:
    """Decode a peer's answer to a request to take the lease."""
    if reply.status == NOT_FOUND:
        return result.Err(handover.NoAnswer.NOT_SERVED)
    try:
        answer = codec.from_json(reply.body, handover.Answer)
    except codec.DecodeError:
        answer = None
    if answer is not None and HANDOVER_STATUSES[answer.outcome] == reply.status:
        return result.Ok(answer)
    if reply.status == HANDOVER_STATUSES[handover.Outcome.REFUSED]:
        # A reason of another build, or no request that the peer serves.
        reason = scheduler_errors.ClaimRefusal.OTHER
        return result.Ok(handover.Answer(handover.Outcome.REFUSED, reason))
    return result.Err(handover.NoAnswer.UNREADABLE)


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
