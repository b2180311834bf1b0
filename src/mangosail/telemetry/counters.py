"""Counters and timers, kept in memory and sent to statsd.

Names are dotted; the last part is the reason::

    counters.count("front.refused.no_capacity")
    counters.time("front.quote", seconds)
"""

import bisect
import collections
import itertools
import random
import typing as t

import gevent
import statsd

#: Seconds between packets to statsd.
FLUSH_INTERVAL_S = 1.0
#: Largest number of times sent for one name in one flush.
MAX_TIMINGS_PER_FLUSH = 50
#: Largest payload of a UDP packet that fits into an Ethernet frame.
MAX_PACKET_BYTES = 1432


#: Upper bounds of the histogram buckets in seconds.
BUCKET_BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


class Counters(t.Protocol):
    """Receives counts, times and gauges."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""

    def time(self, name: str, seconds: float) -> None:
        """Record that something named `name` took `seconds`."""

    def gauge(self, name: str, value: float) -> None:
        """Record the current value of `name`."""

    def snapshot(self) -> dict[str, int]:
        """Return all counts since the process started."""


class StatsdCounters:
    """Counters in memory that are also sent to a statsd server over UDP.

    Counts are summed up and sent by `flush` once a second, since one packet for each
    count would add a system call to each request. Of the times, a random sample of
    at most `MAX_TIMINGS_PER_FLUSH` for each name is sent.
    """

    def __init__(self, host: str | None, port: int, prefix: str = "mangosail") -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.pending: collections.Counter[str] = collections.Counter()
        self.timings: dict[str, ReservoirSample] = {}
        self.histograms: dict[str, Histogram] = {}
        self.gauges: dict[str, float] = {}
        self.client = None
        if host:
            # UDP, since a TCP connection to an unreachable server would block.
            self.client = statsd.StatsClient(
                host, port, prefix=prefix, maxudpsize=MAX_PACKET_BYTES
            )

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to the counter `name`."""
        self.counts[name] += amount
        if self.client:
            self.pending[name] += amount

    def time(self, name: str, seconds: float) -> None:
        """Record that something named `name` took `seconds`."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.add(seconds)
        if self.client:
            self.timings.setdefault(name, ReservoirSample()).add(seconds)

    def gauge(self, name: str, value: float) -> None:
        """Record the current value of `name`."""
        if self.client:
            self.gauges[name] = value

    def snapshot(self) -> dict[str, int]:
        """Return all counts since the process started."""
        return dict(self.counts)

    def flush(self) -> None:
        """Send what was recorded since the last flush; lost packets are not resent."""
        if self.client is None:
            return
        pending, self.pending = self.pending, collections.Counter()
        timings, self.timings = self.timings, {}
        gauges, self.gauges = self.gauges, {}
        with self.client.pipeline() as packet:
            for name, amount in pending.items():
                packet.incr(name, amount)
            for name, sample in timings.items():
                for seconds in sample.values:
                    packet.timing(name, seconds * 1000)
            for name, value in gauges.items():
                packet.gauge(name, value)

    def flush_forever(self) -> None:
        """Flush periodically, if a statsd server is configured."""
        while self.client is not None:
            gevent.sleep(FLUSH_INTERVAL_S)
            self.flush()


class Histogram:
    """Counts times in the buckets of `BUCKET_BOUNDS_S`."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        #: Sum of all times in seconds.
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Count a time."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total += seconds

    def cumulative(self) -> list[tuple[str, int]]:
        """Return, for each bound, the number of times up to that bound."""
        sums = itertools.accumulate(self.counts)
        names = [*map(str, BUCKET_BOUNDS_S), "+Inf"]
        return list(zip(names, sums, strict=True))


class ReservoirSample:
    """A uniform random sample of at most `MAX_TIMINGS_PER_FLUSH` added values."""

    def __init__(self) -> None:
        self.seen = 0
        self.values: list[float] = []

    def add(self, value: float) -> None:
        """Add `value`; once the sample is full it may replace a random one."""
        self.seen += 1
        if len(self.values) < MAX_TIMINGS_PER_FLUSH:
            self.values.append(value)
            return
        index = random.randrange(self.seen)
        if index < MAX_TIMINGS_PER_FLUSH:
            self.values[index] = value
