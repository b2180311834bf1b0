"""Offering tasks to peers that have capacity, and running tasks for peers.

The peer claims and runs the task and is the holder of its work row; the job's
holder only waits for the end. The peer reports it; if that message is lost, the
holder learns the same from the row, which it polls.
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

#: Timeout of an offer to a peer.
OFFER_TIMEOUT_S = 0.5
#: Time for which a peer that refused an offer receives no further one.
REFUSAL_BACKOFF_S = 1.0
#: Tasks that this instance runs for peers at a time.
MAX_PEER_TASKS = 256
#: Time for which this instance waits for a peer's task in order to report its end;
#: after that, the holder learns of it from the row.
TASK_TIMEOUT_S = 3600.0
#: Reason given by a peer that is evicting batch tasks for an urgent one: retry.
CLEARING = "clearing"


class TaskOffers:
    """Makes offers to peers and answers theirs."""

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
        #: By peer: monotonic time until which it is offered nothing.
        self.refused_until: dict[str, float] = {}
        #: By peer: monotonic time until which it is not asked to make room.
        self.clear_refused_until: dict[str, float] = {}
        #: The peer that last answered `CLEARING`, or empty.
        self.clearing_peer = ""
        #: Number of tasks that currently run here for peers.
        self.accepted_count = 0

    def offer(self, request: work_messages.Request, urgent: bool) -> bool:
        """Offer a task to peers with capacity; True if one may have accepted it."""
        own = self.lease.row
        message = messages.Offer(own.instance, request, urgent)
        peers = self.peers.with_capacity(request.needs, own.data_centre)
        return self._offer_to(peers, message, self.refused_until)

    def request_room(self, request: work_messages.Request) -> bool:
        """Ask peers to evict batch tasks; True if one may have accepted the task.

        A peer accepts only once it has room, so the call is repeated until one does.
        The peer that is already evicting is asked first; otherwise a second one would
        evict for the same task.
        """
        own = self.lease.row
        message = messages.Offer(own.instance, request, urgent=True, clear=True)
        peers = [
            *self.peers.with_capacity(request.needs, own.data_centre),
            *self.peers.without_capacity(request.needs, own.data_centre),
        ]
        local_peers = [
            peer for peer in peers if peer.listed.data_centre == own.data_centre
        ]
        local_peers.sort(key=lambda peer: peer.listed.name != self.clearing_peer)
        return self._offer_to(local_peers, message, self.clear_refused_until)

    def _offer_to(
        self,
        peers: cabc.Iterable[membership.Peer],
        message: messages.Offer,
        refused_until: dict[str, float],
    ) -> bool:
        """Ask the peers in turn until one may have accepted the task."""
        now = self.clock.monotonic()
        for peer in peers:
            if now < refused_until.get(peer.listed.name, 0.0):
                continue
            answer = peer.channel.call(methods.OFFER, message, OFFER_TIMEOUT_S)
            if isinstance(answer, result.Err):
                # The peer may have accepted the task; its row will show.
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
            log.info("peer is evicting for an urgent task", peer=peer, task=task_id)
        self.clearing_peer = peer

    def accept(self, offer: messages.Offer) -> messages.OfferAnswer:
        """Accept a peer's task if there is capacity."""
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
        """Make room for an urgent task if asked to; return the reason to refuse it."""
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
        answer = peer.channel.call(methods.TASK_ENDED, ended, OFFER_TIMEOUT_S)
        if isinstance(answer, result.Err):
            self.counters.count("jobs.offer.end_untold")
