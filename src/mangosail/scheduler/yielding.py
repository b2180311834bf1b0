"""Cooperative yielding during long computations.

All duties of a leader share one processor, and the renewal of its lease is one of them:
a computation of one second without a pause costs the lease. Work that grows with the
jobs or the fleet checks regularly whether it is time to let other greenlets run::

    yielder = CooperativeYielder(clock)
    for job in jobs:
        yielder.yield_if_due()
        read(job)
"""

from mangosail import clock as clocks

#: Seconds of work after which other greenlets run: a sixth of the time between renewals
#: of the lease.
YIELD_INTERVAL_S = 0.05


class CooperativeYielder:
    """Lets other greenlets run after each `YIELD_INTERVAL_S` of work, once each time.

    With `pause_ratio` the work also pauses for that many seconds for each second of it.
    """

    def __init__(self, clock: clocks.Clock, pause_ratio: float = 0.0) -> None:
        self.clock = clock
        self.pause_ratio = pause_ratio
        self.resumed_at = clock.elapsed()
        #: Seconds worked, up to the latest pause.
        self.worked_s = 0.0

    def yield_if_due(self) -> bool:
        """Let other greenlets run if it is time, and return whether they did."""
        now = self.clock.elapsed()
        if now < self.resumed_at + YIELD_INTERVAL_S:
            return False
        self.worked_s += now - self.resumed_at
        self.clock.sleep(self.pause_ratio * (now - self.resumed_at))
        self.resumed_at = self.clock.elapsed()
        return True

    def total_worked(self) -> float:
        """Return the seconds worked, without the pauses."""
        return self.worked_s + self.clock.elapsed() - self.resumed_at
