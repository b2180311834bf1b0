"""Quotes: latency-critical, idempotent, answered in the same exchange."""

import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.dispatch import errors as dispatch_errors
from mangosail.dispatch import messages as dispatch_messages
from mangosail.front import messages
from mangosail.membership import messages as peer_messages
from mangosail.membership import peers as membership
from mangosail.ownership import session
from mangosail.placement import errors as placement_errors
from mangosail.placement import messages as placement_messages
from mangosail.placement import placer
from mangosail.telemetry import counters as telemetry

#: Attempts that one quote may cost, the first included.
ATTEMPTS = 2
#: Seconds after which a caller that found no room should come back.
COME_BACK = 1.0
#: Seconds of a caller's time kept back for the way home from a peer.
FORWARD_MARGIN = 0.02

#: Refusals after which a peer may still have room.
FORWARDED_REASONS = frozenset(
    {placement_errors.Reason.NO_CAPACITY, placement_errors.Reason.DEADLINE}
)

#: What a quote is told that found no owner to ask.
NO_ROOM = placement_errors.NotPlaced(placement_errors.Reason.NO_CAPACITY, COME_BACK)

UNAVAILABLE = 503
TIMED_OUT = 504


class Quotes:
    """Serves quotes from own workers, else from a peer's."""

    def __init__(
        self,
        place: placer.Placer,
        peers: membership.Peers,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.placer = place
        self.peers = peers
        self.lease = lease
        self.clock = clock
        self.counters = counters

    def serve(
        self, request: messages.ServiceRequest, forward: bool = True
    ) -> result.Result[messages.Served, messages.Refusal]:
        """Answer `request` from here, or from a peer if `forward` allows."""
        refused = NO_ROOM
        failed: frozenset[str] = frozenset()
        error: dispatch_errors.DispatchError | None = None
        for _ in range(ATTEMPTS):
            if self.clock.monotonic() >= request.deadline:
                return self._refuse(TIMED_OUT, "deadline")
            if not self.lease.valid():
                break
            work = work_of(request)
            placed = self.placer.place(work, request.deadline, failed)
            if isinstance(placed, result.Err):
                if isinstance(error, dispatch_errors.Failed):
                    return self._refuse(UNAVAILABLE, "task_failed")
                refused = placed.err_value
                if refused.reason not in FORWARDED_REASONS:
                    return self._not_placed(refused)
                break
            owned = placed.ok_value.owned
            answer = self._run(request, placed.ok_value)
            if isinstance(answer, result.Ok):
                served = messages.Served(
                    answer.ok_value.answer, owned.name, owned.worker.data_centre
                )
                return result.Ok(served)
            error = answer.err_value
            failed |= {owned.name}
            self.counters.count("front.retry.target")
        if isinstance(error, dispatch_errors.Failed):
            return self._refuse(UNAVAILABLE, "task_failed")
        if forward:
            return self._forward(request, refused)
        return self._not_placed(refused)

    def _run(
        self, request: messages.ServiceRequest, placed: placer.Placed
    ) -> result.Result[dispatch_messages.Report, dispatch_errors.DispatchError]:
        work, owned = placed.work, placed.owned
        left = request.deadline - self.clock.monotonic()
        start = dispatch_messages.Start(
            task_id=work.task_id,
            generation=1,
            owner_generation=owned.generation,
            lease_deadline=self.clock.wall() + left,
            team=request.team,
            kind=request.kind,
            needs=work.needs,
            body=request.body,
        )
        ok = False
        try:
            answer = owned.target.run(start, request.deadline)
            ok = isinstance(answer, result.Ok)
        finally:
            self.placer.ended(work.task_id, ok)
        return answer

    def _forward(
        self, request: messages.ServiceRequest, refused: placement_errors.NotPlaced
    ) -> result.Result[messages.Served, messages.Refusal]:
        needs = request.declared.needs.as_resources()
        for peer in self.peers.with_room(needs, self.lease.row.data_centre)[:1]:
            left = request.deadline - self.clock.monotonic() - FORWARD_MARGIN
            if left <= 0:
                return self._refuse(TIMED_OUT, "deadline")
            message = peer_messages.Forwarded(
                request.request_id,
                request.team,
                request.service,
                request.operation,
                request.body,
                left,
            )
            self.counters.count("front.forwarded")
            answer = peer.channel.forward(message, left)
            if isinstance(answer, result.Err):
                return self._refuse(UNAVAILABLE, "peer_lost")
            return unpack(answer.ok_value)
        return self._not_placed(refused)

    def _not_placed(
        self, refused: placement_errors.NotPlaced
    ) -> result.Result[messages.Served, messages.Refusal]:
        late = refused.reason is placement_errors.Reason.DEADLINE
        status = TIMED_OUT if late else UNAVAILABLE
        return self._refuse(status, refused.reason.value, refused.retry_after)

    def _refuse(
        self, status: int, reason: str, come_back: float | None = COME_BACK
    ) -> result.Result[messages.Served, messages.Refusal]:
        self.counters.count(f"front.refused.{reason}")
        return result.Err(messages.Refusal(status, reason, come_back))


def work_of(request: messages.ServiceRequest) -> placement_messages.Work:
    """Return the request as placement sees it."""
    return placement_messages.Work(
        f"{request.team}/{request.request_id}",
        request.team,
        request.kind,
        request.declared.needs.as_resources(),
    )


def unpack(
    answer: peer_messages.ForwardedAnswer,
) -> result.Result[messages.Served, messages.Refusal]:
    """Return what a peer answered as if it had been answered here."""
    if answer.status == 200:
        served = messages.Served(
            codec.from_json(answer.body, object), answer.worker, answer.data_centre
        )
        return result.Ok(served)
    return result.Err(messages.Refusal(answer.status, answer.body, answer.retry_after))
