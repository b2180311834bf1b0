"""Clocks: monotonic time for deadlines in a process, wall time between processes.

Deadlines are stored, never durations. A wall-clock deadline that crosses a
process boundary is shortened by `CLOCK_SKEW_MARGIN_S` on the receiving side's
behalf, so that the sender's view of it always ends later.
"""

import time
import typing as t

import gevent

#: Largest difference in seconds between two wall clocks that leases allow for.
CLOCK_SKEW_MARGIN_S = 0.25


class Clock(t.Protocol):
    """Time as the rest of the program sees it, in seconds."""

    def monotonic(self) -> float:
        """Return seconds that never go backwards within this process."""

    def elapsed(self) -> float:
        """Return seconds that also pass while the machine is suspended."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Let other tasks run for at least `seconds`."""


class SystemClock:
    """The clock of the machine."""

    def monotonic(self) -> float:
        """Return seconds that never go backwards within this process."""
        return time.monotonic()

    def elapsed(self) -> float:
        """Return seconds that also pass while the machine is suspended.

        A holder that was suspended would believe its lapsed lease by the
        monotonic clock, which stands still meanwhile.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Let other tasks run for at least `seconds`."""
        gevent.sleep(seconds)
