"""Passing callers' requests on to peers while this instance can't reach the store.

The platform's balancer goes on sending callers here for seconds, and open connections
stay. A peer whose way to the store is not cut answers for this instance; a request is
passed on once, so it can't go round.
"""

import collections.abc as cabc
import dataclasses

import logbook
import result

from mangosail import clock as clocks
from mangosail.intake import errors, peers
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("relaying")

#: Peers that are tried for a request; a third one seldom knows better.
MOST_TRIED = 2
#: Seconds for which nothing is passed on after a peer did not answer, or no peer could
#: do more: this instance is cut off from all, or the store is away for all, and callers
#: do better to come back later than to be kept for each of them.
PAUSE_TERM = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a caller asked."""

    method: str
    host: str
    path: str
    body: bytes
    #: Version of the configuration that a peer must have at least to answer it.
    least_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a peer answered: an HTTP status and a JSON text."""

    status: int
    text: str
    #: Version of the configuration by which the peer answered.
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The request did not reach the peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """The request may have reached the peer; no answer came."""


#: Sends a request to the address of a peer, and waits for its answer.
Send = cabc.Callable[[str, Request], result.Result[Answer, NotSent | Unanswered]]

#: Status of an answer that says that the peer can't reach the store either.
REFUSED = 503


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
        #: Elapsed time until which nothing is passed on.
        self.paused_until = 0.0
        #: Newest version of the configuration by which a caller was answered here.
        self.seen_version = 0

    def pass_on(self, request: Request) -> Answer | errors.Undecided | None:
        """Return a peer's answer, or None if no peer took the request.

        A request without an answer is undecided: the peer may have done it. A peer
        with an older configuration than callers saw here refuses, so that what is
        in force never goes back for them.
        """
        least = max(self.seen_version, request.least_version)
        request = dataclasses.replace(request, least_version=least)
        if self.clock.elapsed() < self.paused_until:
            return None
        for peer in self.peers.some(MOST_TRIED):
            done = self.send(peer.address, request)
            outcome = outcome_of(done)
            self.counters.count(f"relaying.{outcome}")
            log.info(
                "passed on", method=request.method, path=request.path, peer=peer.name,
                outcome=outcome,
            )  # fmt: skip
            if isinstance(done, result.Err):
                self._pause()
                if isinstance(done.err_value, Unanswered):
                    return errors.Undecided("peer_silent")
            elif done.ok_value.status != REFUSED:
                self.seen_version = max(least, done.ok_value.version)
                return done.ok_value
        self._pause()
        return None

    def _pause(self) -> None:
        self.paused_until = self.clock.elapsed() + PAUSE_TERM


def outcome_of(done: result.Result[Answer, NotSent | Unanswered]) -> str:
    """Return the name under which an attempt is counted."""
    if isinstance(done, result.Err):
        return type(done.err_value).__name__.lower()
    return "refused" if done.ok_value.status == REFUSED else "answered"
