"""What each peer did lately with requests that were passed on to it.

It decides whom a caller is passed on to: most peers may lack the store too, and one
that refused a moment ago would refuse again.
"""

import collections.abc as cabc
import dataclasses
import enum

from mangosail import clock as clocks
from mangosail.intake import peers

#: Seconds for which what a peer did counts. A peer that has the store back is asked
#: again after this; until then it costs no caller a try.
OUTCOME_TTL_S = 5.0
#: Seconds between two requests to a peer that answers, below which a further one is
#: looked for: 5 callers a second here. Several instances may have turned to it.
BUSY_INTERVAL_S = 0.2
#: Seconds after which a peer that was asked has answered or counts as silent: more than
#: a try may take.
ATTEMPT_TIMEOUT_S = 1.0


class Outcome(enum.StrEnum):
    """What came of a request that was passed on."""

    ANSWERED = "answered"
    #: The peer can't reach the store either.
    REFUSED = "refused"
    #: The request did not reach the peer.
    NOT_SENT = "notsent"
    #: The peer may have done it; nobody knows.
    UNANSWERED = "unanswered"


#: Places in the order of asking, first to last.
ANSWERING, UNKNOWN, PREVIOUSLY_SILENT, REFUSING, SILENT = range(5)
#: Places of peers by what they did lately.
RANKS = {
    Outcome.ANSWERED: ANSWERING,
    Outcome.REFUSED: REFUSING,
    Outcome.NOT_SENT: REFUSING,
    Outcome.UNANSWERED: SILENT,
}


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRecord:
    """What a peer did last, and until when that counts."""

    outcome: Outcome | None = None
    #: Elapsed time at which it was last asked.
    asked_at: float = 0.0
    expires_at: float = 0.0


class PeerHistory:
    """Remembers what peers did, for as long as their rows are known."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.records: dict[str, PeerRecord] = {}

    def record_attempt(self, peer: peers.Peer) -> None:
        """Note that a peer is asked now, so that the next caller goes to another."""
        standing = self.records.get(peer.name, PeerRecord())
        now = self.clock.elapsed()
        self.records[peer.name] = dataclasses.replace(standing, asked_at=now)

    def record_outcome(self, peer: peers.Peer, outcome: Outcome) -> None:
        """Remember what came of a request."""
        standing = self.records.get(peer.name, PeerRecord())
        deadline = self.clock.elapsed() + OUTCOME_TTL_S
        self.records[peer.name] = PeerRecord(outcome, standing.asked_at, deadline)

    def answering(self, known: cabc.Iterable[peers.Peer]) -> list[peers.Peer]:
        """Return the peers that answered lately, the least lately asked first."""
        every = [peer for peer in known if self._rank(peer) == ANSWERING]
        return sorted(every, key=self._asked_at)

    def ranked(
        self, known: cabc.Sequence[peers.Peer], idempotent: bool
    ) -> list[peers.Peer]:
        """Return the peers in the order in which a caller is passed on to them.

        `retried` tells whether the next peer may be asked after a silent one.
        `known` is in random order, which holds among those with nothing to tell apart.
        """
        names = {peer.name for peer in known}
        self.records = {
            name: standing for name, standing in self.records.items() if name in names
        }
        found = sorted(known, key=lambda peer: (self._rank(peer), self._asked_at(peer)))
        if found and self._is_busy(found[0]):
            self._try_another_first(found, PREVIOUSLY_SILENT if idempotent else UNKNOWN)
        return found

    def _try_another_first(self, found: list[peers.Peer], max_rank: int) -> None:
        """Put one that may answer first; the next one is known to.

        Else the first one to answer would get all callers. Hand-ins look at none that
        was silent: their callers would be told nothing certain, again and again. Nobody
        looks at one whose first answer is awaited: if it is silent, all callers of that
        time would find out.
        """
        latest = self.clock.elapsed() - ATTEMPT_TIMEOUT_S
        for index, peer in enumerate(found):
            place, asked_at = self._rank(peer), self._asked_at(peer)
            if UNKNOWN <= place <= max_rank and asked_at <= latest:
                found.insert(0, found.pop(index))
                return

    def _is_busy(self, peer: peers.Peer) -> bool:
        if self._rank(peer) != ANSWERING:
            return False
        return self.clock.elapsed() - self._asked_at(peer) < BUSY_INTERVAL_S

    def _rank(self, peer: peers.Peer) -> int:
        standing = self.records.get(peer.name)
        if standing is None or standing.outcome is None:
            return UNKNOWN
        if self.clock.elapsed() < standing.expires_at:
            return RANKS[standing.outcome]
        return PREVIOUSLY_SILENT if standing.outcome == Outcome.UNANSWERED else UNKNOWN

    def _asked_at(self, peer: peers.Peer) -> float:
        standing = self.records.get(peer.name)
        return standing.asked_at if standing else 0.0
