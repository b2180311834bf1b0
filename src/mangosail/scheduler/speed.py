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
import statistics

from mangosail import clock as clocks

#: Rounds of the loop that is timed: about 0.1 ms on a whole core.
LOOPS = 4000
#: Measurements whose median counts, so that one that was interrupted does not.
COUNTED = 5
#: A median above the best by this factor is slow. Measurements on a busy machine
#: differ by less than a half; one that is slow takes several times as long.
SLOW_FACTOR = 2.5


class Speed:
    """Times the same piece of work again and again."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        #: Seconds that the fastest measurement took; None before the first.
        self.best: float | None = None
        self.recent: collections.deque[float] = collections.deque(maxlen=COUNTED)

    def measure(self) -> None:
        """Do the piece of work, and note how long it took."""
        began_at = self.clock.elapsed()
        for _ in range(LOOPS):
            pass
        self.note(self.clock.elapsed() - began_at)

    def note(self, took: float) -> None:
        """Take a measurement in."""
        self.recent.append(took)
        self.best = took if self.best is None else min(self.best, took)

    @property
    def slow(self) -> bool:
        """Tell whether this instance is much slower than it was at its best."""
        if self.best is None or len(self.recent) < COUNTED:
            return False
        return statistics.median(self.recent) > SLOW_FACTOR * self.best
