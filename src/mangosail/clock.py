"""Clocks: monotonic time for deadlines in a process, wall time between processes.

Deadlines are stored, never durations. A wall-clock deadline that crosses a process
boundary is shortened by `CLOCK_SKEW_MARGIN_S` on the receiving side's behalf, so that
it always passes later from the sender's point of view.
"""

import time
import typing as t

import gevent

#: Largest difference in seconds between two wall clocks that leases tolerate.
CLOCK_SKEW_MARGIN_S = 0.25


class Clock(t.Protocol):
    """The source of time for the rest of the program, in seconds."""

    def monotonic(self) -> float:
        """Return seconds that never go backwards within this process."""

    def elapsed(self) -> float:
        """Return seconds that also pass while the machine is suspended."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Let other tasks run for at least `seconds`."""


class SystemClock:
    """The system's clocks."""

    def monotonic(self) -> float:
        """Return seconds that never go backwards within this process."""
        return time.monotonic()

    def elapsed(self) -> float:
        """Return seconds that also pass while the machine is suspended.

        The monotonic clock stops during suspension, so by that clock a holder that was
        suspended would still consider its expired lease valid.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Let other tasks run for at least `seconds`."""
        gevent.sleep(seconds)
