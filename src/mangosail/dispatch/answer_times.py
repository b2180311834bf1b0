"""Recent response times by kind of work."""

import collections

#: Samples stored per kind; older ones are dropped.
WINDOW = 256
#: Samples after which the quantile is recomputed.
REFRESH_EVERY = 16
#: Quantile of the response times that is learned.
QUANTILE = 0.95
#: Latency, in seconds, assumed until enough samples of a kind exist.
DEFAULT_LATENCY_S = 0.1


class AnswerTimes:
    """Tracks the 95th percentile of the response time by kind, in seconds."""

    def __init__(self) -> None:
        self.samples: dict[str, collections.deque[float]] = {}
        self.learned: dict[str, float] = {}
        self.samples_since_refresh: collections.Counter[str] = collections.Counter()

    def observe(self, kind: str, seconds: float) -> None:
        """Add a response time, or a lower bound of it."""
        samples = self.samples.setdefault(kind, collections.deque(maxlen=WINDOW))
        samples.append(seconds)
        self.samples_since_refresh[kind] += 1
        if self.samples_since_refresh[kind] < REFRESH_EVERY:
            return
        self.samples_since_refresh[kind] = 0
        ordered = sorted(samples)
        self.learned[kind] = ordered[int(len(ordered) * QUANTILE)]

    def p95(self, kind: str) -> float:
        """Return the learned 95th percentile of `kind`."""
        return self.learned.get(kind, DEFAULT_LATENCY_S)
