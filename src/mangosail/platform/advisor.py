"""Client of the service that tells which workers may run a step."""

import result

from mangosail import codec
from mangosail.platform import caller as http_caller
from mangosail.platform import wire
from mangosail.scheduler import advice

#: Timeout of a call, in seconds; calls of one instance queue behind each other.
TIMEOUT_S = 3.0
#: Pool size; the service handles the calls of one instance one at a time.
CONNECTIONS = 2

OK = 200


class HttpAdvisor:
    """Implements `advice.Advisor` over HTTP."""

    def __init__(self, address: str) -> None:
        self.caller = http_caller.Caller(address, CONNECTIONS)

    def ask(
        self, step: str, workers: list[str]
    ) -> result.Result[advice.Tickets, advice.AdviceUnavailable]:
        """Return tickets for those of the workers that may run the step."""
        body = codec.to_json(wire.AdviceRequest(step, workers)).encode()
        headers = {"Content-Type": "application/json"}
        answer = self.caller.call("POST", "/-/advise", body, headers, TIMEOUT_S)
        if isinstance(answer, result.Err):
            return result.Err(advice.AdviceUnavailable(answer.err_value.reason))
        reply = answer.ok_value
        if reply.status != OK:
            return result.Err(advice.AdviceUnavailable(f"status {reply.status}"))
        try:
            found = codec.from_json(reply.body, wire.AdviceAnswer)
        except codec.DecodeError as exc:
            return result.Err(advice.AdviceUnavailable(str(exc)))
        tickets = {name: ticket for name, ticket in found.good}
        return result.Ok(advice.Tickets(tickets, found.valid_ms / 1000))
