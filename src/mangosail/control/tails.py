"""Recent quote latencies on each worker, relative to their targets.

Latencies are measured by this instance, since they are known as soon as a quote
ends, while the reports of workers lag by seconds. They are stored as multiples of
the target, so that operations with different targets can be combined.
"""

import collections
import collections.abc as cabc
import dataclasses

#: Samples stored per worker.
MAX_SAMPLES = 40
#: Seconds for which a sample is used.
WINDOW_S = 5.0
#: Samples required to compute the tail.
MIN_SAMPLES = 10
#: Quantile used as the tail. With few samples, it is the highest one that a single
#: unrelated slow answer does not change.
QUANTILE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A quote that started at the monotonic time `started_at`."""

    started_at: float
    team: str
    #: Latency divided by the target.
    ratio: float


class Tails:
    """Recent quotes by worker."""

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
        """Add a quote that took `seconds`; ignored if it has no target."""
        if target is None:
            return
        samples = self.by_worker.setdefault(
            worker, collections.deque(maxlen=MAX_SAMPLES)
        )
        samples.append(Sample(started_at, team, seconds / target))

    def since(self, worker: str, started_at: float, now: float) -> list[Sample]:
        """Return the samples of a worker that started after `started_at`."""
        oldest = max(started_at, now - WINDOW_S)
        samples = self.by_worker.get(worker, ())
        return [sample for sample in samples if sample.started_at >= oldest]


def tail_of(samples: cabc.Sequence[Sample]) -> float | None:
    """Return the tail of the ratios, or None if there are too few samples::

    >>> tail_of([])
    """
    if len(samples) < MIN_SAMPLES:
        return None
    ratios = sorted(sample.ratio for sample in samples)
    return ratios[int(QUANTILE * (len(ratios) - 1))]
