"""Tasks offered to peers that have room, and taken on for peers.

The peer claims and runs the task and is the holder of its work row; the job's
holder only waits for the end. A peer tells of it; when that message is lost,
the row tells the same, which the holder reads now and then.
"""

import gevent
import result

from mangosail import clock as clocks
from mangosail.jobs import messages, methods, room, work
from mangosail.membership import peers as membership
from mangosail.ownership import session
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages

#: Seconds that a peer may take to answer an offer.
OFFER_TIMEOUT = 0.5
#: Seconds for which a peer that refused is offered nothing.
REFUSED_PAUSE = 1.0
#: Most tasks that this instance runs for peers at a time.
MOST_TAKEN = 256
#: Seconds that a peer's task may take until its row alone tells of it.
TASK_PATIENCE = 3600.0


class Offers:
    """Both sides of offering tasks."""

    def __init__(
        self,
        peers: membership.Peers,
        run: work.Work,
        places: room.Room,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.peers = peers
        self.run = run
        self.room = places
        self.lease = lease
        self.clock = clock
        self.counters = counters
        #: Monotonic time until which a peer is offered nothing.
        self.paused: dict[str, float] = {}
        #: Tasks that run here for peers.
        self.taken = 0

    def offer(self, request: work_messages.Request, urgent: bool) -> bool:
        """Offer a task to peers with room; True if one may have taken it."""
        now = self.clock.monotonic()
        own = self.lease.row
        message = messages.Offer(own.instance, request, urgent)
        for peer in self.peers.with_room(request.needs, own.data_centre):
            if now < self.paused.get(peer.listed.name, 0.0):
                continue
            answer = peer.channel.call(methods.OFFER, message, OFFER_TIMEOUT)
            if isinstance(answer, result.Err):
                # It may have been taken: its row will tell.
                self.paused[peer.listed.name] = now + REFUSED_PAUSE
                self.counters.count("jobs.offer.lost")
                return True
            if answer.ok_value.accepted:
                self.counters.count("jobs.offer.accepted")
                return True
            self.paused[peer.listed.name] = now + REFUSED_PAUSE
            self.counters.count(f"jobs.offer.refused.{answer.ok_value.reason}")
        return False

    def take(self, offer: messages.Offer) -> messages.OfferAnswer:
        """Take a peer's task on if there is room."""
        if not self.lease.valid():
            return messages.OfferAnswer(False, "lease")
        if self.taken >= MOST_TAKEN:
            return messages.OfferAnswer(False, "busy")
        if not self.room.fits(offer.request):
            return messages.OfferAnswer(False, "no_capacity")
        self.taken += 1
        self.room.started(offer.request, offer.urgent)
        gevent.spawn(self._run, offer)
        return messages.OfferAnswer(True)

    def _run(self, offer: messages.Offer) -> None:
        request = offer.request
        try:
            deadline = self.clock.monotonic() + TASK_PATIENCE
            answer = self.run.submit(request, deadline, forward=False)
        finally:
            self.taken -= 1
            self.room.forget(request)
        outcome = answer.ok_value.state if isinstance(answer, result.Ok) else ""
        self._tell(offer, outcome)

    def _tell(self, offer: messages.Offer, outcome: str) -> None:
        peer = self.peers.by_name.get(offer.holder)
        if peer is None:
            return
        request = offer.request
        ended = messages.TaskEnded(
            request.team, request.job, request.request_id, outcome
        )
        told = peer.channel.call(methods.TASK_ENDED, ended, OFFER_TIMEOUT)
        if isinstance(told, result.Err):
            self.counters.count("jobs.offer.end_untold")
