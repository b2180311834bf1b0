"""The service that says which workers may run a step, over HTTP."""

import result

from mangosail import codec
from mangosail.platform import caller as http_caller
from mangosail.platform import wire
from mangosail.scheduler import advice

#: Seconds after which a call is given up; calls of one instance wait for each other.
TIMEOUT_S = 3.0
#: Connections at a time; the service takes one call of an instance after the other.
CONNECTIONS = 2

OK = 200


class HttpAdvisor:
    """Asks the service; implements `advice.Advisor`."""

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
