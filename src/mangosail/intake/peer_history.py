"""Recent outcomes of the requests forwarded to each peer.

They determine the order in which peers are tried. Most peers may be unable to reach
the store as well, and one that refused a moment ago would refuse again.
"""

import collections.abc as cabc
import dataclasses
import enum

from mangosail import clock as clocks
from mangosail.intake import peers

#: Seconds for which an outcome is used. A peer that can reach the store again is tried
#: after this time; until then, no request is spent on it.
OUTCOME_TTL_S = 5.0
#: Interval in seconds between two requests to an answering peer below which another
#: peer is tried as well (5 requests per second from this instance). Several instances
#: may be forwarding to the same peer.
BUSY_INTERVAL_S = 0.2
#: Seconds after which a peer has either answered or counts as silent; longer than an
#: attempt can take.
ATTEMPT_TIMEOUT_S = 1.0


class Outcome(enum.StrEnum):
    """Outcome of a forwarded request."""

    ANSWERED = "answered"
    #: The peer cannot reach the store either.
    REFUSED = "refused"
    #: The request did not reach the peer.
    NOT_SENT = "notsent"
    #: It is unknown whether the peer carried out the request.
    UNANSWERED = "unanswered"


#: Ranks of peers, in the order in which they are tried.
ANSWERING, UNKNOWN, PREVIOUSLY_SILENT, REFUSING, SILENT = range(5)
#: Rank by most recent outcome.
RANKS = {
    Outcome.ANSWERED: ANSWERING,
    Outcome.REFUSED: REFUSING,
    Outcome.NOT_SENT: REFUSING,
    Outcome.UNANSWERED: SILENT,
}


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRecord:
    """Last outcome of a peer, and until when it is used."""

    outcome: Outcome | None = None
    #: Elapsed time at which a request was last sent to it.
    asked_at: float = 0.0
    expires_at: float = 0.0


class PeerHistory:
    """Stores the last outcome of each peer for as long as its row is known."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.records: dict[str, PeerRecord] = {}

    def record_attempt(self, peer: peers.Peer) -> None:
        """Record that a request is sent to a peer, so that the next goes to another."""
        record = self.records.get(peer.name, PeerRecord())
        now = self.clock.elapsed()
        self.records[peer.name] = dataclasses.replace(record, asked_at=now)

    def record_outcome(self, peer: peers.Peer, outcome: Outcome) -> None:
        """Record the outcome of a request."""
        record = self.records.get(peer.name, PeerRecord())
        deadline = self.clock.elapsed() + OUTCOME_TTL_S
        self.records[peer.name] = PeerRecord(outcome, record.asked_at, deadline)

    def answering(self, known: cabc.Iterable[peers.Peer]) -> list[peers.Peer]:
        """Return the peers that answered recently, least recently used first."""
        answering = [peer for peer in known if self._rank(peer) == ANSWERING]
        return sorted(answering, key=self._asked_at)

    def ranked(
        self, known: cabc.Sequence[peers.Peer], idempotent: bool
    ) -> list[peers.Peer]:
        """Return the peers in the order in which they are tried.

        `idempotent` tells whether the request may be retried after a silent peer.
        The random order of `known` is preserved among peers of equal rank.
        """
        names = {peer.name for peer in known}
        self.records = {
            name: record for name, record in self.records.items() if name in names
        }
        ordered = sorted(
            known, key=lambda peer: (self._rank(peer), self._asked_at(peer))
        )
        if ordered and self._is_busy(ordered[0]):
            self._try_another_first(
                ordered, PREVIOUSLY_SILENT if idempotent else UNKNOWN
            )
        return ordered

    def _try_another_first(self, ordered: list[peers.Peer], max_rank: int) -> None:
        """Move a peer that may answer to the front, before one that is known to.

        Otherwise the first peer to answer would receive all requests. Submissions do
        not try a peer that was silent, since their callers would repeatedly get an
        undecided outcome. A peer whose first answer is pending is not tried either: if
        it is silent, all requests of that period would be delayed.
        """
        asked_before = self.clock.elapsed() - ATTEMPT_TIMEOUT_S
        for index, peer in enumerate(ordered):
            rank, asked_at = self._rank(peer), self._asked_at(peer)
            if UNKNOWN <= rank <= max_rank and asked_at <= asked_before:
                ordered.insert(0, ordered.pop(index))
                return

    def _is_busy(self, peer: peers.Peer) -> bool:
        if self._rank(peer) != ANSWERING:
            return False
        return self.clock.elapsed() - self._asked_at(peer) < BUSY_INTERVAL_S

    def _rank(self, peer: peers.Peer) -> int:
        record = self.records.get(peer.name)
        if record is None or record.outcome is None:
            return UNKNOWN
        if self.clock.elapsed() < record.expires_at:
            return RANKS[record.outcome]
        return PREVIOUSLY_SILENT if record.outcome == Outcome.UNANSWERED else UNKNOWN

    def _asked_at(self, peer: peers.Peer) -> float:
        record = self.records.get(peer.name)
        return record.asked_at if record else 0.0
