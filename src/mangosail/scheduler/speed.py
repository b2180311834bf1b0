"""Detection of a slow instance, by comparison with its own best speed.

A leader on a machine that has become slow still renews its lease in time, but delays
all work. No external signal shows this; timing a constant piece of work does::

    probe = SpeedProbe(clock)
    probe.measure()
    if probe.slow:
        ...
"""

import collections

from mangosail import clock as clocks

#: Iterations before the timed ones; the first after a pause take longer.
WARM_UP_LOOPS = 2000
#: Timed iterations: about 0.3 ms on a whole core.
LOOPS = 12000
#: Number of latest measurements of which the best counts, so that interrupted ones do
#: not.
RECENT_SAMPLES = 5
#: Factor over the best of all measurements from which the best of the latest is slow.
#: On a busy machine the best of five took up to 3.2 times the best of all; on one that
#: had become slower by a factor of 5 or more, at least that.
SLOW_FACTOR = 4.0


class SpeedProbe:
    """Times the same piece of work repeatedly."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        #: Seconds of the fastest measurement; None before the first.
        self.best: float | None = None
        self.recent: collections.deque[float] = collections.deque(maxlen=RECENT_SAMPLES)

    def measure(self) -> None:
        """Run the piece of work, and record how long it took."""
        for _ in range(WARM_UP_LOOPS):
            pass
        began_at = self.clock.elapsed()
        for _ in range(LOOPS):
            pass
        self.record(self.clock.elapsed() - began_at)

    def record(self, took: float) -> None:
        """Record a measurement."""
        self.recent.append(took)
        self.best = took if self.best is None else min(self.best, took)

    @property
    def slow(self) -> bool:
        """Return whether this instance is much slower than it was at its best."""
        if self.best is None or len(self.recent) < RECENT_SAMPLES:
            return False
        return min(self.recent) > SLOW_FACTOR * self.best
