"""Turns for others in the middle of long work, which would keep the processor.

All duties of a leader share one processor, and the renewal of its lease is one of them:
work that goes on for a second without a pause costs the lease. Work that grows with the
jobs or the fleet asks now and again whether it is time to let others run::

    turns = Turns(clock)
    for job in jobs:
        turns.share()
        read(job)
"""

from mangosail import clock as clocks

#: Seconds of work after which others get a turn: a sixth of the time between renewals
#: of the lease.
TURN_TERM = 0.05


class Turns:
    """Lets others run after each `TURN_TERM` of work, by default just once each.

    With `rest` the work pauses for that many seconds for each second of it.
    """

    def __init__(self, clock: clocks.Clock, rest: float = 0.0) -> None:
        self.clock = clock
        self.rest = rest
        self.resumed_at = clock.elapsed()
        #: Seconds that were worked, up to the latest pause.
        self.worked = 0.0

    def share(self) -> None:
        """Let others run if it is time."""
        now = self.clock.elapsed()
        if now < self.resumed_at + TURN_TERM:
            return
        self.worked += now - self.resumed_at
        self.clock.sleep(self.rest * (now - self.resumed_at))
        self.resumed_at = self.clock.elapsed()

    def total(self) -> float:
        """Return the seconds that were worked, without the pauses."""
        return self.worked + self.clock.elapsed() - self.resumed_at
