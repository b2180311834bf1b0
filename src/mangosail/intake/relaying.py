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
MOST_TRIED = 2
#: Seconds after which a peer counts as silent. It answers within 0.3 s where its store
#: is well; the caller has about 3 s.
ANSWER_TERM = 0.7
#: Seconds for which only peers that answered lately are asked, after a caller was
#: passed on in vain: this instance is cut off from all, or the store is away for all.
#: Each caller who is passed on is kept in vain, and costs a peer a reading of a row.
PAUSE_TERM = 1.0
#: The same for the first callers in a row whom peers refused. Where most peers lack the
#: store too, two at random refuse most callers, and one that has it is found within a
#: second by other callers; so many tries more, once, are no storm.
SHORT_PAUSE = 0.1
SHORT_PAUSES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a caller asked."""

    method: str
    host: str
    path: str
    body: bytes
    #: Version of the configuration that a peer must have at least to answer it.
    least_version: int = 0
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
REFUSED = 503
#: Statuses of answers that say that the peer does not know what came of the request.
OPEN = frozenset({502, 504})
#: Methods that change nothing: silence leaves nothing open.
HARMLESS = frozenset({"GET"})
#: Methods of requests that the next peer may be given after a silent one. To cancel
#: writes the same row, whoever does it and how often, so an answer of the next peer is
#: true whatever the silent one does. What is handed in is not: the next peer may refuse
#: it for good, as there is no room, and the silent one store it.
REPEATABLE = HARMLESS | {"DELETE"}


class Relay:
    """Passes requests on."""

    def __init__(
        self,
        others: peers.Peers,
        send: Send,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.peers = others
        self.send = send
        self.clock = clock
        self.counters = counters
        self.standings = peer_history.Standings(clock)
        #: Elapsed time until which only peers that answered lately are asked.
        self.paused_until = 0.0
        #: Callers in a row who made a pause begin.
        self.in_vain = 0
        #: Newest version of the configuration by which a caller was answered here.
        self.seen_version = 0

    def pass_on(self, request: Request) -> Answer | errors.Undecided | None:
        """Return a peer's answer, or None if no peer did what was asked.

        A change without an answer is undecided: the peer may have made it. A peer
        with an older configuration than callers saw here refuses, so that what is
        in force never goes back for them.
        """
        least = max(self.seen_version, request.least_version)
        request = dataclasses.replace(request, least_version=least)
        chosen = self._choose(request)
        if not chosen:
            self.counters.count("relaying.paused")
            return None
        silent = False
        for turn, peer in enumerate(chosen):
            if turn and self.clock.elapsed() + ANSWER_TERM > request.deadline:
                break
            done = self._ask(peer, request)
            outcome = outcome_of(done)
            if isinstance(done, result.Ok) and outcome == peer_history.Outcome.ANSWERED:
                self.in_vain = 0
                # Another caller may have seen a newer one while this one waited.
                self.seen_version = max(self.seen_version, done.ok_value.version)
                return done.ok_value
            if outcome == peer_history.Outcome.UNANSWERED:
                silent = True
                if request.method not in REPEATABLE:
                    break
        self._pause(silent)
        if silent and request.method not in HARMLESS:
            return errors.Undecided("peer_silent")
        return None

    def _choose(self, request: Request) -> list[peers.Peer]:
        """Return the peers to ask, in turn."""
        known = self.peers.some(len(self.peers.known))
        if self.clock.elapsed() < self.paused_until:
            return self.standings.answering(known)[:MOST_TRIED]
        return self.standings.order(known, request.method in REPEATABLE)[:MOST_TRIED]

    def _ask(
        self, peer: peers.Peer, request: Request
    ) -> result.Result[Answer, NotSent | Unanswered]:
        self.standings.asking(peer)
        done = self.send(peer.address, request)
        outcome = outcome_of(done)
        self.standings.note(peer, outcome)
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
        short = not silent and self.in_vain < SHORT_PAUSES
        self.in_vain += 1
        self.paused_until = now + (SHORT_PAUSE if short else PAUSE_TERM)


def outcome_of(
    done: result.Result[Answer, NotSent | Unanswered],
) -> peer_history.Outcome:
    """Return what an attempt says of the peer."""
    if isinstance(done, result.Ok):
        answer = done.ok_value
        if answer.status in OPEN:
            return peer_history.Outcome.UNANSWERED
        if answer.status != REFUSED:
            return peer_history.Outcome.ANSWERED
        # For want of room any instance refuses: the peer is well, and has answered.
        if answer.refusal is not None and answer.refusal.reason not in errors.AWAY:
            return peer_history.Outcome.ANSWERED
        return peer_history.Outcome.REFUSED
    if isinstance(done.err_value, NotSent):
        return peer_history.Outcome.NOT_SENT
    return peer_history.Outcome.UNANSWERED
