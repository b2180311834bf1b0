"""Forwarding of requests to peers while this instance cannot reach the store.

The load balancer of the platform keeps sending callers here for seconds, and open
connections stay open. A peer that can reach the store answers on behalf of this
instance. A request is forwarded only once, so it cannot loop.
"""

import collections.abc as cabc
import dataclasses
import math

import logbook
import result

from mangosail import clock as clocks
from mangosail.intake import errors, peer_history, peers
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("relaying")

#: Peers to which a request is sent at most.
MAX_ATTEMPTS = 2
#: Seconds after which a peer counts as silent. With a healthy store it answers within
#: 0.3 s; callers time out after about 3 s.
ANSWER_TIMEOUT_S = 0.7
#: Seconds for which requests go only to peers that answered recently, after forwarding
#: a request failed. Either this instance is partitioned or the store is down for all
#: instances, so each further attempt delays a caller and costs a peer a row read.
PAUSE_S = 1.0
#: A shorter pause after the first few consecutive requests that peers refused. If most
#: peers cannot reach the store either, two random peers refuse most requests, and the
#: requests of other callers find a working peer within a second. This small number of
#: additional attempts does not overload the peers.
SHORT_PAUSE_S = 0.1
MAX_SHORT_PAUSES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request of a caller."""

    method: str
    host: str
    path: str
    body: bytes
    #: Minimum version of the configuration that a peer needs to answer.
    min_version: int = 0
    #: Elapsed time at which the caller times out.
    deadline: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer of a peer: an HTTP status and a JSON text."""

    status: int
    text: str
    #: Version of the configuration that the peer used.
    version: int = 0
    #: The decoded refusal, if it was one and could be decoded.
    refusal: errors.Refused | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The request did not reach the peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """The request may have reached the peer, but no answer arrived."""


#: Sends a request to the address of a peer and waits for its answer.
Send = cabc.Callable[[str, Request], result.Result[Answer, NotSent | Unanswered]]

#: HTTP status of refusals.
REFUSED_STATUS = 503
#: HTTP statuses with which a peer reports that the outcome is unknown.
UNDECIDED_STATUSES = frozenset({502, 504})
#: Methods without side effects: after a timeout, the outcome is not in doubt.
SAFE_METHODS = frozenset({"GET"})
#: Methods that may be retried at the next peer after a silent one. A cancellation
#: always writes the same row, so the answer of the next peer is correct whatever the
#: silent one does. A submission is not idempotent in this sense: the next peer may
#: refuse it permanently for lack of capacity although the silent one stores it.
IDEMPOTENT_METHODS = SAFE_METHODS | {"DELETE"}


class Relay:
    """Forwards requests to peers."""

    def __init__(
        self,
        known_peers: peers.Peers,
        send: Send,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.peers = known_peers
        self.send = send
        self.clock = clock
        self.counters = counters
        self.history = peer_history.PeerHistory(clock)
        #: Elapsed time until which requests go only to peers that answered recently.
        self.paused_until = 0.0
        #: Consecutive failed requests, each of which started a pause.
        self.consecutive_failures = 0
        #: Newest version of the configuration used in an answer to a caller here.
        self.newest_seen_version = 0

    def forward(self, request: Request) -> Answer | errors.Undecided | None:
        """Return the answer of a peer, or None if no peer served the request.

        A change without an answer is undecided, since the peer may have applied it.
        A peer with an older configuration than callers have seen here refuses, so
        that the configuration never reverts for them.
        """
        min_version = max(self.newest_seen_version, request.min_version)
        request = dataclasses.replace(request, min_version=min_version)
        selected = self._select_peers(request)
        if not selected:
            self.counters.count("relaying.paused")
            return None
        silent = False
        for index, peer in enumerate(selected):
            if index and self.clock.elapsed() + ANSWER_TIMEOUT_S > request.deadline:
                break
            done = self._send_to(peer, request)
            outcome = outcome_of(done)
            if isinstance(done, result.Ok) and outcome == peer_history.Outcome.ANSWERED:
                self.consecutive_failures = 0
                # Another request may have seen a newer version in the meantime.
                self.newest_seen_version = max(
                    self.newest_seen_version, done.ok_value.version
                )
                return done.ok_value
            if outcome == peer_history.Outcome.UNANSWERED:
                silent = True
                if request.method not in IDEMPOTENT_METHODS:
                    break
        self._pause(silent)
        if silent and request.method not in SAFE_METHODS:
            return errors.Undecided("peer_silent")
        return None

    def _select_peers(self, request: Request) -> list[peers.Peer]:
        """Return the peers to try, in order."""
        known = self.peers.sample(len(self.peers.known))
        if self.clock.elapsed() < self.paused_until:
            return self.history.answering(known)[:MAX_ATTEMPTS]
        return self.history.ranked(known, request.method in IDEMPOTENT_METHODS)[
            :MAX_ATTEMPTS
        ]

    def _send_to(
        self, peer: peers.Peer, request: Request
    ) -> result.Result[Answer, NotSent | Unanswered]:
        self.history.record_attempt(peer)
        done = self.send(peer.address, request)
        outcome = outcome_of(done)
        self.history.record_outcome(peer, outcome)
        self.counters.count(f"relaying.{outcome}")
        log.info(
            "request forwarded", method=request.method, path=request.path,
            peer=peer.name, outcome=outcome, min_version=request.min_version,
            version=done.ok_value.version if isinstance(done, result.Ok) else None,
        )  # fmt: skip
        return done

    def _pause(self, silent: bool) -> None:
        """Restrict forwarding to peers that answered recently, for a while.

        Requests that were in flight when a pause began do not extend it.
        """
        now = self.clock.elapsed()
        if now < self.paused_until:
            return
        short = not silent and self.consecutive_failures < MAX_SHORT_PAUSES
        self.consecutive_failures += 1
        self.paused_until = now + (SHORT_PAUSE_S if short else PAUSE_S)


def outcome_of(
    done: result.Result[Answer, NotSent | Unanswered],
) -> peer_history.Outcome:
    """Return the outcome of an attempt for the peer."""
    if isinstance(done, result.Ok):
        answer = done.ok_value
        if answer.status in UNDECIDED_STATUSES:
            return peer_history.Outcome.UNANSWERED
        if answer.status != REFUSED_STATUS:
            return peer_history.Outcome.ANSWERED
        # Any instance would refuse for lack of capacity, so the peer is healthy.
        if (
            answer.refusal is not None
            and answer.refusal.reason not in errors.LOCAL_REASONS
        ):
            return peer_history.Outcome.ANSWERED
        return peer_history.Outcome.REFUSED
    if isinstance(done.err_value, NotSent):
        return peer_history.Outcome.NOT_SENT
    return peer_history.Outcome.UNANSWERED
