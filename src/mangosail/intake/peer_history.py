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
MEMORY_TERM = 5.0
#: Seconds between two requests to a peer that answers, below which a further one is
#: looked for: 5 callers a second here. Several instances may have turned to it.
BUSY_TERM = 0.2
#: Seconds after which a peer that was asked has answered or counts as silent: more than
#: a try may take.
TRY_TERM = 1.0


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
ANSWERING, UNKNOWN, ONCE_SILENT, REFUSING, SILENT = range(5)
#: Places of peers by what they did lately.
PLACES = {
    Outcome.ANSWERED: ANSWERING,
    Outcome.REFUSED: REFUSING,
    Outcome.NOT_SENT: REFUSING,
    Outcome.UNANSWERED: SILENT,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What a peer did last, and until when that counts."""

    outcome: Outcome | None = None
    #: Elapsed time at which it was last asked.
    asked_at: float = 0.0
    deadline: float = 0.0


class Standings:
    """Remembers what peers did, for as long as their rows are known."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.kept: dict[str, Standing] = {}

    def asking(self, peer: peers.Peer) -> None:
        """Note that a peer is asked now, so that the next caller goes to another."""
        standing = self.kept.get(peer.name, Standing())
        now = self.clock.elapsed()
        self.kept[peer.name] = dataclasses.replace(standing, asked_at=now)

    def note(self, peer: peers.Peer, outcome: Outcome) -> None:
        """Remember what came of a request."""
        standing = self.kept.get(peer.name, Standing())
        deadline = self.clock.elapsed() + MEMORY_TERM
        self.kept[peer.name] = Standing(outcome, standing.asked_at, deadline)

    def answering(self, known: cabc.Iterable[peers.Peer]) -> list[peers.Peer]:
        """Return the peers that answered lately, the least lately asked first."""
        every = [peer for peer in known if self._place(peer) == ANSWERING]
        return sorted(every, key=self._asked_at)

    def order(
        self, known: cabc.Sequence[peers.Peer], retried: bool
    ) -> list[peers.Peer]:
        """Return the peers in the order in which a caller is passed on to them.

        `retried` tells whether the next peer may be asked after a silent one.
        `known` is in random order, which holds among those with nothing to tell apart.
        """
        names = {peer.name for peer in known}
        self.kept = {
            name: standing for name, standing in self.kept.items() if name in names
        }
        found = sorted(
            known, key=lambda peer: (self._place(peer), self._asked_at(peer))
        )
        if found and self._busy(found[0]):
            self._look_further(found, ONCE_SILENT if retried else UNKNOWN)
        return found

    def _look_further(self, found: list[peers.Peer], last: int) -> None:
        """Put one that may answer first; the next one is known to.

        Else the first one to answer would get all callers. Hand-ins look at none that
        was silent: their callers would be told nothing certain, again and again. Nobody
        looks at one whose first answer is awaited: if it is silent, all callers of that
        time would find out.
        """
        latest = self.clock.elapsed() - TRY_TERM
        for index, peer in enumerate(found):
            place, asked_at = self._place(peer), self._asked_at(peer)
            if UNKNOWN <= place <= last and asked_at <= latest:
                found.insert(0, found.pop(index))
                return

    def _busy(self, peer: peers.Peer) -> bool:
        if self._place(peer) != ANSWERING:
            return False
        return self.clock.elapsed() - self._asked_at(peer) < BUSY_TERM

    def _place(self, peer: peers.Peer) -> int:
        standing = self.kept.get(peer.name)
        if standing is None or standing.outcome is None:
            return UNKNOWN
        if self.clock.elapsed() < standing.deadline:
            return PLACES[standing.outcome]
        return ONCE_SILENT if standing.outcome == Outcome.UNANSWERED else UNKNOWN

    def _asked_at(self, peer: peers.Peer) -> float:
        standing = self.kept.get(peer.name)
        return standing.asked_at if standing else 0.0
