"""Passing callers' requests on to peers while this instance can't reach the store.

The platform's balancer goes on sending callers here for seconds, and open connections
stay. A peer whose way to the store is not cut answers for this instance; a request is
passed on once, so it can't go round.
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

#: Peers that are tried for a request.
MAX_ATTEMPTS = 2
#: Seconds after which a peer counts as silent. It answers within 0.3 s where its store
#: is well; the caller has about 3 s.
ANSWER_TIMEOUT_S = 0.7
#: Seconds for which only peers that answered lately are asked, after a caller was
#: passed on in vain: this instance is cut off from all, or the store is away for all.
#: Each caller who is passed on is kept in vain, and costs a peer a reading of a row.
PAUSE_S = 1.0
#: The same for the first callers in a row whom peers refused. Where most peers lack the
#: store too, two at random refuse most callers, and one that has it is found within a
#: second by other callers; so many tries more, once, are no storm.
SHORT_PAUSE_S = 0.1
MAX_SHORT_PAUSES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a caller asked."""

    method: str
    host: str
    path: str
    body: bytes
    #: Version of the configuration that a peer must have at least to answer it.
    min_version: int = 0
    #: Elapsed time at which its caller is gone.
    deadline: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a peer answered: an HTTP status and a JSON text."""

    status: int
    text: str
    #: Version of the configuration by which the peer answered.
    version: int = 0
    #: What a refusal says, if it could be read.
    refusal: errors.Refused | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The request did not reach the peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """The request may have reached the peer; no answer came."""


#: Sends a request to the address of a peer, and waits for its answer.
Send = cabc.Callable[[str, Request], result.Result[Answer, NotSent | Unanswered]]

#: Status of refusals.
REFUSED_STATUS = 503
#: Statuses of answers that say that the peer does not know what came of the request.
UNDECIDED_STATUSES = frozenset({502, 504})
#: Methods that change nothing: silence leaves nothing open.
SAFE_METHODS = frozenset({"GET"})
#: Methods of requests that the next peer may be given after a silent one. To cancel
#: writes the same row, whoever does it and how often, so an answer of the next peer is
#: true whatever the silent one does. What is handed in is not: the next peer may refuse
#: it for good, as there is no room, and the silent one store it.
IDEMPOTENT_METHODS = SAFE_METHODS | {"DELETE"}


class Relay:
    """Passes requests on."""

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
        #: Elapsed time until which only peers that answered lately are asked.
        self.paused_until = 0.0
        #: Callers in a row who made a pause begin.
        self.consecutive_failures = 0
        #: Newest version of the configuration by which a caller was answered here.
        self.newest_seen_version = 0

    def forward(self, request: Request) -> Answer | errors.Undecided | None:
        """Return a peer's answer, or None if no peer did what was asked.

        A change without an answer is undecided: the peer may have made it. A peer
        with an older configuration than callers saw here refuses, so that what is
        in force never goes back for them.
        """
        least = max(self.newest_seen_version, request.min_version)
        request = dataclasses.replace(request, min_version=least)
        chosen = self._select_peers(request)
        if not chosen:
            self.counters.count("relaying.paused")
            return None
        silent = False
        for turn, peer in enumerate(chosen):
            if turn and self.clock.elapsed() + ANSWER_TIMEOUT_S > request.deadline:
                break
            done = self._send_to(peer, request)
            outcome = outcome_of(done)
            if isinstance(done, result.Ok) and outcome == peer_history.Outcome.ANSWERED:
                self.consecutive_failures = 0
                # Another caller may have seen a newer one while this one waited.
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
        """Return the peers to ask, in turn."""
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
            "passed on", method=request.method, path=request.path, peer=peer.name,
            outcome=outcome,
        )  # fmt: skip
        return done

    def _pause(self, silent: bool) -> None:
        """Ask only peers that answered lately for a while.

        Callers who were on their way when a pause began add nothing to it.
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
    """Return what an attempt says of the peer."""
    if isinstance(done, result.Ok):
        answer = done.ok_value
        if answer.status in UNDECIDED_STATUSES:
            return peer_history.Outcome.UNANSWERED
        if answer.status != REFUSED_STATUS:
            return peer_history.Outcome.ANSWERED
        # For want of room any instance refuses: the peer is well, and has answered.
        if (
            answer.refusal is not None
            and answer.refusal.reason not in errors.LOCAL_REASONS
        ):
            return peer_history.Outcome.ANSWERED
        return peer_history.Outcome.REFUSED
    if isinstance(done.err_value, NotSent):
        return peer_history.Outcome.NOT_SENT
    return peer_history.Outcome.UNANSWERED
