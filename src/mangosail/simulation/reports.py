"""Reports of replays: which jobs ended in time, and what that cost other tasks.

A queue is judged by the shares of its jobs that ended in time, or while of use::

    report = replay.Replay(busy_hour, seed=1).run()
    print(report.queues["quote"].in_time, report.harmed)
"""

import collections.abc as cabc
import dataclasses

from mangosail.simulation import load as loads

#: A job that ends within its objective times this is late, and no more use after.
LATE_TIMES = 3.0
#: Parts of a queue's jobs by size that are told apart.
FIFTHS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnd:
    """How a job ended; `took` is infinite for one that did not."""

    arrival: loads.Arrival
    objective: float
    took: float

    @property
    def in_time(self) -> bool:
        """Return whether it ended within its objective."""
        return self.took <= self.objective

    @property
    def of_use(self) -> bool:
        """Return whether it ended while its caller still had use for it."""
        return self.took <= LATE_TIMES * self.objective


@dataclasses.dataclass(frozen=True, slots=True)
class QueueReport:
    """What became of the jobs of a queue."""

    ends: tuple[JobEnd, ...]

    @property
    def in_time(self) -> float:
        """Return the share of the jobs that ended in time."""
        return share(self.ends, [end for end in self.ends if end.in_time])

    @property
    def of_use(self) -> float:
        """Return the share of the jobs that ended while they were of use."""
        return share(self.ends, [end for end in self.ends if end.of_use])

    @property
    def work_in_time(self) -> float:
        """Return the share of the work that belongs to jobs that ended in time."""
        total = sum(end.arrival.core_seconds for end in self.ends)
        done = sum(end.arrival.core_seconds for end in self.ends if end.in_time)
        return done / total if total else 1.0

    @property
    def by_size(self) -> list[float]:
        """Return the share of the jobs that ended of use, by fifth of their size."""
        ordered = sorted(self.ends, key=lambda end: end.arrival.core_seconds)
        bounds = [round(i * len(ordered) / FIFTHS) for i in range(FIFTHS + 1)]
        fifths = [ordered[bounds[i] : bounds[i + 1]] for i in range(FIFTHS)]
        return [share(f, [end for end in f if end.of_use]) for f in fifths]

    def slowdown(self, quantile: float) -> float:
        """Return a quantile of the time taken, in longest chains of the jobs."""
        ratios = sorted(end.took / end.arrival.longest_chain for end in self.ends)
        return ratios[min(int(quantile * len(ratios)), len(ratios) - 1)]


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a replay has shown."""

    queues: dict[str, QueueReport]
    #: Share of their time that latency-critical tasks were over their target.
    harmed: float
    #: Longest time in seconds for which one of them was over its target on end by the
    #: best-effort work beside it.
    longest_disturbance: float
    #: Core-seconds of work that was begun and lost.
    wasted: float
    #: Mean share of the cores that short tasks used while some waited.
    used_while_waiting: float
    #: Jobs that were refused, and the longest backlog: the seconds for which accepted
    #: jobs would keep all cores busy.
    refused: frozenset[str]
    longest_backlog: float


def share(whole: cabc.Sequence[JobEnd], part: cabc.Sequence[JobEnd]) -> float:
    """Return the share of a whole; 1 of nothing."""
    return len(part) / len(whole) if whole else 1.0
