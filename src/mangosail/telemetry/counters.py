"""Counters and timers, kept in the process and sent to statsd.

Names are dotted, the last part being the reason::

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
#: Times sent for each name at each flush, at most.
MAX_TIMINGS_PER_FLUSH = 50
#: Bytes of a packet that fits an Ethernet frame.
MAX_PACKET_BYTES = 1432


#: Upper bounds in seconds of the classes in which times are counted.
BUCKET_BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)


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
    """Counters in memory that are also sent to a statsd server over UDP.

    What was counted is summed up and sent by `flush`, once a second: a packet for
    each count cost a system call on the path of each request. Of the times, a
    sample of `TIMINGS_PER_FLUSH` for each name is sent.
    """

    def __init__(self, host: str | None, port: int, prefix: str = "mangosail") -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.pending: collections.Counter[str] = collections.Counter()
        self.timings: dict[str, ReservoirSample] = {}
        self.histograms: dict[str, Histogram] = {}
        self.gauges: dict[str, float] = {}
        self.client = None
        if host:
            # Only UDP: a TCP connection to a lost server would block.
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
        """Record the present value of `name`."""
        if self.client:
            self.gauges[name] = value

    def snapshot(self) -> dict[str, int]:
        """Return all counts since the process started."""
        return dict(self.counts)

    def flush(self) -> None:
        """Send what came together since the last time; a lost packet is lost."""
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
        """Send to statsd again and again, if there is one."""
        while self.client is not None:
            gevent.sleep(FLUSH_INTERVAL_S)
            self.flush()


class Histogram:
    """Times counted in classes."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        #: Sum of all times in seconds.
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Count a time."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total += seconds

    def cumulative(self) -> list[tuple[str, int]]:
        """Return how many times were at most as long as each bound."""
        sums = itertools.accumulate(self.counts)
        names = [*map(str, BUCKET_BOUNDS_S), "+Inf"]
        return list(zip(names, sums, strict=True))


class ReservoirSample:
    """Up to `TIMINGS_PER_FLUSH` of the values added, each as likely as another."""

    def __init__(self) -> None:
        self.seen = 0
        self.values: list[float] = []

    def add(self, value: float) -> None:
        """Take `value` in, in the place of a random one once there are enough."""
        self.seen += 1
        if len(self.values) < MAX_TIMINGS_PER_FLUSH:
            self.values.append(value)
            return
        place = random.randrange(self.seen)
        if place < MAX_TIMINGS_PER_FLUSH:
            self.values[place] = value
