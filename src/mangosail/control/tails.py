"""The latency of quotes on each worker, against what it should be.

Own observations are fresh: a quote's latency is known when it ends, while the
worker's reports lag by seconds. They are kept as multiples of the target, so
that operations with different targets can be put together.
"""

import collections
import collections.abc as cabc
import dataclasses

#: Quotes that are kept for each worker.
MAX_SAMPLES = 40
#: Seconds for which a quote says something.
WINDOW_S = 5.0
#: Quotes without which nothing is concluded.
MIN_SAMPLES = 10
#: The quantile that stands for the tail: of few quotes it is the highest that
#: one slow answer with another cause does not move.
QUANTILE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A quote that started at monotonic time `started_at`."""

    started_at: float
    team: str
    #: Its latency over its target.
    ratio: float


class Tails:
    """Latest quotes by worker."""

    def __init__(self) -> None:
        self.by_worker: dict[str, collections.deque[Sample]] = {}

    def observe(
        self,
        worker: str,
        team: str,
        target: float | None,
        started_at: float,
        seconds: float,
    ) -> None:
        """Take in a quote that took `seconds`; without a target it says nothing."""
        if target is None:
            return
        kept = self.by_worker.setdefault(worker, collections.deque(maxlen=MAX_SAMPLES))
        kept.append(Sample(started_at, team, seconds / target))

    def since(self, worker: str, started_at: float, now: float) -> list[Sample]:
        """Return the worker's quotes that started after `started_at`."""
        oldest = max(started_at, now - WINDOW_S)
        kept = self.by_worker.get(worker, ())
        return [sample for sample in kept if sample.started_at >= oldest]


def tail_of(samples: cabc.Sequence[Sample]) -> float | None:
    """Return the tail of the ratios, None if there are too few of them::

    >>> tail_of([])
    """
    if len(samples) < MIN_SAMPLES:
        return None
    ratios = sorted(sample.ratio for sample in samples)
    return ratios[int(QUANTILE * (len(ratios) - 1))]
