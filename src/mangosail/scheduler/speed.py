"""How fast this instance works at present, compared with its own best.

A leader on a machine that has turned slow still renews its lease in time, and makes
all work wait. Nothing from outside tells it; a piece of work that always takes the
same does::

    speed = Speed(clock)
    speed.measure()
    if speed.slow:
        ...
"""

import collections

from mangosail import clock as clocks

#: Rounds of the loop before the timed ones; the first after a pause take longer.
WARM_UP_LOOPS = 2000
#: Rounds of the loop that is timed: about 0.3 ms on a whole core.
LOOPS = 12000
#: Latest measurements of which the best counts, so that those that were interrupted
#: do not.
RECENT_SAMPLES = 5
#: Latest ones above the best of all by this factor are slow. On a busy machine the
#: best of five took up to 3.2 times the best of all; on one that turned slow by 5 or
#: more, at least that.
SLOW_FACTOR = 4.0


class SpeedProbe:
    """Times the same piece of work again and again."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        #: Seconds that the fastest measurement took; None before the first.
        self.best: float | None = None
        self.recent: collections.deque[float] = collections.deque(maxlen=RECENT_SAMPLES)

    def measure(self) -> None:
        """Do the piece of work, and note how long it took."""
        for _ in range(WARM_UP_LOOPS):
            pass
        began_at = self.clock.elapsed()
        for _ in range(LOOPS):
            pass
        self.record(self.clock.elapsed() - began_at)

    def record(self, took: float) -> None:
        """Take a measurement in."""
        self.recent.append(took)
        self.best = took if self.best is None else min(self.best, took)

    @property
    def slow(self) -> bool:
        """Tell whether this instance is much slower than it was at its best."""
        if self.best is None or len(self.recent) < RECENT_SAMPLES:
            return False
        return min(self.recent) > SLOW_FACTOR * self.best
