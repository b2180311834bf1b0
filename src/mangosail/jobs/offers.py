"""Tasks offered to peers that have room, and taken on for peers.

The peer claims and runs the task and is the holder of its work row; the job's
holder only waits for the end. A peer tells of it; when that message is lost,
the row tells the same, which the holder reads now and then.
"""

import collections.abc as cabc

import gevent
import logbook
import result

from mangosail import clock as clocks
from mangosail.jobs import messages, methods, room, work
from mangosail.membership import peers as membership
from mangosail.ownership import session
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages

log = logbook.Logger("jobs")

#: Seconds that a peer may take to answer an offer.
OFFER_TIMEOUT_S = 0.5
#: Seconds for which a peer that refused is offered nothing.
REFUSAL_BACKOFF_S = 1.0
#: Most tasks that this instance runs for peers at a time.
MAX_PEER_TASKS = 256
#: Seconds that a peer's task may take until its row alone tells of it.
TASK_TIMEOUT_S = 3600.0
#: What a peer answers that evicts batch tasks for an urgent one: ask it again.
CLEARING = "clearing"


class TaskOffers:
    """Both sides of offering tasks."""

    def __init__(
        self,
        peers: membership.Peers,
        runner: work.WorkRunner,
        task_room: room.Room,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.peers = peers
        self.runner = runner
        self.room = task_room
        self.lease = lease
        self.clock = clock
        self.counters = counters
        #: Monotonic time until which a peer is offered nothing.
        self.refused_until: dict[str, float] = {}
        #: Monotonic time until which a peer is not asked to make room.
        self.clear_refused_until: dict[str, float] = {}
        #: The peer that was last making room for us, or empty.
        self.clearing_peer = ""
        #: Tasks that run here for peers.
        self.accepted_count = 0

    def offer(self, request: work_messages.Request, urgent: bool) -> bool:
        """Offer a task to peers with room; True if one may have taken it."""
        own = self.lease.row
        message = messages.Offer(own.instance, request, urgent)
        peers = self.peers.with_capacity(request.needs, own.data_centre)
        return self._offer_to(peers, message, self.refused_until)

    def request_room(self, request: work_messages.Request) -> bool:
        """Have a peer make room for an urgent task; True if one may have taken it.

        Call again until one has: it takes the task only once there is room. The one
        that is making room is asked first, or a second would evict for the same task.
        """
        own = self.lease.row
        message = messages.Offer(own.instance, request, urgent=True, clear=True)
        peers = [
            *self.peers.with_capacity(request.needs, own.data_centre),
            *self.peers.without_capacity(request.needs, own.data_centre),
        ]
        near = [each for each in peers if each.listed.data_centre == own.data_centre]
        near.sort(key=lambda each: each.listed.name != self.clearing_peer)
        return self._offer_to(near, message, self.clear_refused_until)

    def _offer_to(
        self,
        peers: cabc.Iterable[membership.Peer],
        message: messages.Offer,
        refused_until: dict[str, float],
    ) -> bool:
        """Ask one peer after the other until one may have taken the task."""
        now = self.clock.monotonic()
        for peer in peers:
            if now < refused_until.get(peer.listed.name, 0.0):
                continue
            answer = peer.channel.call(methods.OFFER, message, OFFER_TIMEOUT_S)
            if isinstance(answer, result.Err):
                # It may have been taken: its row will tell.
                refused_until[peer.listed.name] = now + REFUSAL_BACKOFF_S
                self.counters.count("jobs.offer.lost")
                return True
            if answer.ok_value.accepted:
                self.counters.count("jobs.offer.accepted")
                return True
            if answer.ok_value.reason == CLEARING:
                self._record_clearing(peer.listed.name, message.request)
                return False
            refused_until[peer.listed.name] = now + REFUSAL_BACKOFF_S
            self.counters.count(f"jobs.offer.refused.{answer.ok_value.reason}")
        return False

    def _record_clearing(self, peer: str, request: work_messages.Request) -> None:
        self.counters.count("jobs.offer.clearing")
        if self.clearing_peer != peer:
            task_id = work_messages.task_id_of(request)
            log.info("peer makes room", peer=peer, task=task_id)
        self.clearing_peer = peer

    def accept(self, offer: messages.Offer) -> messages.OfferAnswer:
        """Take a peer's task on if there is room."""
        if not self.lease.valid():
            return messages.OfferAnswer(False, "lease")
        if self.accepted_count >= MAX_PEER_TASKS:
            return messages.OfferAnswer(False, "busy")
        if not self.room.fits(offer.request):
            return messages.OfferAnswer(False, self._make_room(offer))
        self.accepted_count += 1
        self.room.add_pending(offer.request, offer.urgent)
        gevent.spawn(self._run, offer)
        return messages.OfferAnswer(True)

    def _make_room(self, offer: messages.Offer) -> str:
        """Make room for a peer's urgent task if it asks, and return why it waits."""
        if not (offer.urgent and offer.clear):
            return "no_capacity"
        now = self.clock.monotonic()
        made = self.room.make_room(offer.request, True, now)
        return CLEARING if made else "no_capacity"

    def _run(self, offer: messages.Offer) -> None:
        request = offer.request
        try:
            deadline = self.clock.monotonic() + TASK_TIMEOUT_S
            answer = self.runner.submit(request, deadline, forward=False)
        finally:
            self.accepted_count -= 1
            self.room.forget(request)
        outcome = answer.ok_value.state if isinstance(answer, result.Ok) else ""
        self._notify_holder(offer, outcome)

    def _notify_holder(self, offer: messages.Offer, outcome: str) -> None:
        peer = self.peers.by_name.get(offer.holder)
        if peer is None:
            return
        request = offer.request
        ended = messages.TaskEnded(
            request.team, request.job, request.request_id, outcome
        )
        told = peer.channel.call(methods.TASK_ENDED, ended, OFFER_TIMEOUT_S)
        if isinstance(told, result.Err):
            self.counters.count("jobs.offer.end_untold")
