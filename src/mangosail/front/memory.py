"""Memory for requests, bounded for the sum of all clients.

A connection includes memory for a short request, so that ordinary callers are served
while others send long ones. What a request holds beyond that is taken from a budget
that all clients share; a request for which it does not suffice is refused::

    reservation = memory.Reservation(budget)
    reservation.grow(len(data))
    ...
    reservation.release()
"""

from mangosail.front import refusals

#: Bytes of a request that are included in its connection.
INCLUDED_BYTES = 24 * 1024


class Budget:
    """The bytes that long requests of all clients may hold together."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used = 0

    def take(self, count: int) -> bool:
        """Take `count` bytes, or return False if they are not available."""
        if self.used + count > self.max_bytes:
            return False
        self.used += count
        return True

    def give_back(self, count: int) -> None:
        """Return bytes that were taken before."""
        self.used -= count


class Reservation:
    """What the current request of one connection holds."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.held = 0
        #: The part of it that was taken from the budget.
        self.taken = 0

    def grow(self, count: int) -> None:
        """Hold `count` more bytes, or raise `refusals.Refused`."""
        self.held += count
        missing = self.held - INCLUDED_BYTES - self.taken
        if missing <= 0:
            return
        if not self.budget.take(missing):
            raise refusals.Refused(
                refusals.Reason.OVERLOADED, "no memory for a request of this size"
            )
        self.taken += missing

    def release(self) -> None:
        """Give everything back, when the request is over."""
        self.budget.give_back(self.taken)
        self.held = self.taken = 0
