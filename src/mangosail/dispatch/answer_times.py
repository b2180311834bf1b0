"""How long answers of each kind of work take, from the latest ones."""

import collections

#: Answers of a kind that are remembered; older ones are forgotten.
WINDOW = 256
#: Answers after which the quantile is worked out anew.
REFRESH_EVERY = 16
#: The share of answers that came within the learned latency.
QUANTILE = 0.95
#: Seconds assumed before enough answers of a kind came.
DEFAULT_LATENCY_S = 0.1


class AnswerTimes:
    """The learned 95th percentile for each kind of work, in seconds."""

    def __init__(self) -> None:
        self.samples: dict[str, collections.deque[float]] = {}
        self.learned: dict[str, float] = {}
        self.samples_since_refresh: collections.Counter[str] = collections.Counter()

    def observe(self, kind: str, seconds: float) -> None:
        """Take in how long an answer took, or that it took longer than this."""
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
