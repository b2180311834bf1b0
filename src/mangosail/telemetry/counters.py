"""Counters and timers, kept in the process and sent to statsd.

Names are dotted, the last part being the reason::

    counters.count("front.refused.no_capacity")
    counters.time("front.quote", seconds)
"""

import collections
import typing as t

import statsd


class Counters(t.Protocol):
    """Where counts and times go."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""

    def time(self, name: str, seconds: float) -> None:
        """Record that something named `name` took `seconds`."""

    def gauge(self, name: str, value: float) -> None:
        """Record the present value of `name`."""

    def snapshot(self) -> dict[str, int]:
        """Return all counts since the process started."""


class StatsdCounters:
    """Counters in memory that are also sent to a statsd server over UDP."""

    def __init__(self, host: str | None, port: int, prefix: str = "mangosail") -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.client = None
        if host:
            self.client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self.counts[name] += amount
        if self.client:
            self.client.incr(name, amount)

    def time(self, name: str, seconds: float) -> None:
        """Record that something named `name` took `seconds`."""
        if self.client:
            self.client.timing(name, seconds * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Record the present value of `name`."""
        if self.client:
            self.client.gauge(name, value)

    def snapshot(self) -> dict[str, int]:
        """Return all counts since the process started."""
        return dict(self.counts)
