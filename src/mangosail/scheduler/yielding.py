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
YIELD_INTERVAL_S = 0.05


class CooperativeYielder:
    """Lets others run after each `YIELD_INTERVAL_S` of work, by default just once each.

    With `rest` the work pauses for that many seconds for each second of it.
    """

    def __init__(self, clock: clocks.Clock, pause_ratio: float = 0.0) -> None:
        self.clock = clock
        self.pause_ratio = pause_ratio
        self.resumed_at = clock.elapsed()
        #: Seconds that were worked, up to the latest pause.
        self.worked_s = 0.0

    def yield_if_due(self) -> None:
        """Let others run if it is time."""
        now = self.clock.elapsed()
        if now < self.resumed_at + YIELD_INTERVAL_S:
            return
        self.worked_s += now - self.resumed_at
        self.clock.sleep(self.pause_ratio * (now - self.resumed_at))
        self.resumed_at = self.clock.elapsed()

    def total_worked(self) -> float:
        """Return the seconds that were worked, without the pauses."""
        return self.worked_s + self.clock.elapsed() - self.resumed_at
