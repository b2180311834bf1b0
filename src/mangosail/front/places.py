"""Places for connections at one port, and who leaves when all of them are taken.

When all places are taken, a newcomer gets the one of the connection that has waited
longest without sending a whole request. So clients that hold connections keep nobody
out, while a request that has arrived is answered. The newcomer is refused only if all
places are held by such requests.
"""

import collections.abc as cabc
import contextlib
import enum
import itertools
import socket
import typing as t

#: Connections at a time whose refused clients are waited for, besides all others.
MAX_LINGERING = 16


class State(enum.Enum):
    """What a connection does."""

    #: Between requests.
    IDLE = "idle"
    #: A request has begun to arrive, or the TLS handshake has.
    READING = "reading"
    #: The application has the request; such a connection is never closed for others.
    WORKING = "working"
    #: An answer is being sent.
    WRITING = "writing"
    #: Refused already; what its client still sends is discarded.
    LINGERING = "lingering"


class Place:
    """One connection: its socket, what it does, and whether it has to leave."""

    def __init__(self, sock: t.Any) -> None:
        self.socket = sock
        self.state = State.IDLE
        #: True if the connection was told to leave, in favour of another one.
        self.evicted = False

    def shut_down(self, how: int) -> None:
        """Shut the TCP connection down; what has arrived can still be read.

        On another object for the same descriptor: the shutdown of a TLS socket would
        end the encryption, and that of gevent would cancel a read whose data is there.
        """
        with contextlib.suppress(OSError, ValueError):
            view = socket.socket(fileno=self.socket.fileno())
            try:
                view.shutdown(how)
            finally:
                view.detach()


class Places:
    """The connections at one port; `limit` returns how many there may be."""

    def __init__(self, limit: cabc.Callable[[], int]) -> None:
        self.limit = limit
        # In the order in which they began to wait for a whole request, to be answered,
        # to write or to linger.
        self.waiting: dict[Place, None] = {}
        self.working: dict[Place, None] = {}
        self.writing: dict[Place, None] = {}
        self.lingering: dict[Place, None] = {}
        self.by_state = {
            State.IDLE: self.waiting,
            State.READING: self.waiting,
            State.WORKING: self.working,
            State.WRITING: self.writing,
            State.LINGERING: self.lingering,
        }
        #: Connections that were told to leave, and still hold their descriptor.
        self.leaving: set[Place] = set()

    def __iter__(self) -> cabc.Iterator[Place]:
        return itertools.chain(self.waiting, self.working, self.writing, self.lingering)

    def __len__(self) -> int:
        return self.held + len(self.lingering)

    @property
    def held(self) -> int:
        """Return the number of places that are taken."""
        return len(self.waiting) + len(self.working) + len(self.writing)

    def take(self, sock: t.Any) -> Place:
        """Return a place for a new connection, which lingers if there is none."""
        place = Place(sock)
        limit = self.limit()
        while self.held >= limit and (self.waiting or self.writing):
            self._evict(self.waiting or self.writing)
        self._put(place, State.IDLE if self.held < limit else State.LINGERING)
        return place

    def move(self, place: Place, state: State) -> bool:
        """Note what a connection does next; False if it has to leave instead."""
        if place.evicted:
            return False
        if self.by_state[state] is self.by_state[place.state]:
            # It still waits, for as long as before.
            place.state = state
            return True
        del self.by_state[place.state][place]
        self._put(place, state)
        return True

    def release(self, place: Place) -> None:
        """Free the place of a connection that is closed."""
        self.by_state[place.state].pop(place, None)
        self.leaving.discard(place)

    def _put(self, place: Place, state: State) -> None:
        place.state = state
        self.by_state[state][place] = None
        while len(self.lingering) > MAX_LINGERING:
            self._evict(self.lingering)

    def _evict(self, places: dict[Place, None]) -> None:
        """Let the first of `places` leave."""
        place = next(iter(places))
        del places[place]
        place.evicted = True
        self.leaving.add(place)
        # Wakes the connection's greenlet up, which then closes it.
        is_read = places is not self.writing
        place.shut_down(socket.SHUT_RD if is_read else socket.SHUT_RDWR)
