"""Order in which jobs are placed when there is not room for all.

This handles overload: for seconds more work arrives than the workers can do. In order
of arrival all jobs progress side by side, so nearly all end late, and the backlog
delays the jobs after the burst too. Instead, the jobs are selected that can still end
in time together, and the rest follows them. The selection is that of the Moore-Hodgson
algorithm, which maximizes the number of jobs in time on one machine: go through the
jobs by due time, add up their work, and whenever the sum exceeds what can be done by
the due time reached, drop a job. All workers together are treated as the one machine.

Dropped is the job that is worth least to its caller for the work that it has left. A
large order is worth more than a small one; when the one with the most work left was
dropped, large orders waited longest and lost what had been done of them.

Then all jobs go by what they are worth for the work left: run times are known only
roughly, and in order of due time one underestimated job makes the next ones late.
Dropped jobs are not given up: they follow in the same order, and are selected again as
soon as their due time allows it. While none has to be dropped, the least work left goes
first.
"""

import collections.abc as cabc
import dataclasses
import heapq

#: Lower bound on the cores, so that jobs are ordered even while none are available.
MIN_CORES = 1.0
#: Lower bound on the work of a job, in core-seconds.
MIN_CORE_SECONDS = 0.001
#: Share of the value of a job of mean size that any job has; the rest goes by size.
FIXED_VALUE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingWork:
    """Work that a job has left."""

    job_id: str
    #: Wall time by which it should end.
    due: float
    #: Core-seconds of all its tasks, and of those that are not done.
    total_core_seconds: float
    core_seconds: float
    #: Length of its critical path in seconds: the duration with all the room it can
    #: use.
    critical_path: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Ranks of the jobs; a job with a lower rank goes before one with a higher rank."""

    ranks: cabc.Mapping[str, int]
    #: Number of jobs that can end in time.
    in_time: int

    def rank(self, job_id: str) -> int:
        """Return the rank of a job; one that arrived after the plan goes last.

        The next plan follows shortly. If such jobs went first, each would take the room
        that comes free in between, before jobs that could still be in time.
        """
        return self.ranks.get(job_id, len(self.ranks))

    def is_in_time(self, job_id: str) -> bool:
        """Return whether a job was selected among those that can end in time."""
        return self.rank(job_id) < self.in_time


def plan(jobs: cabc.Iterable[RemainingWork], cores: float, now: float) -> Plan:
    """Select the jobs that can end in time with `cores`, and rank all.

    >>> jobs = [
    ...     RemainingWork("a", 10.0, 90.0, 90.0, 1.0),
    ...     RemainingWork("b", 12.0, 20.0, 20.0, 1.0),
    ... ]
    >>> plan(jobs, cores=10.0, now=2.0).ranks
    {'b': 0, 'a': 1}
    """
    cores = max(cores, MIN_CORES)
    waiting = sorted(jobs, key=lambda job: (job.due, job.job_id))
    mean = mean_core_seconds(waiting)
    rates = {job.job_id: value_rate(job, mean) for job in waiting}
    selected: list[tuple[float, str, float]] = []
    dropped: list[str] = []
    total = 0.0
    for job in waiting:
        if now + job.critical_path > job.due:
            dropped.append(job.job_id)
            continue
        heapq.heappush(selected, (rates[job.job_id], job.job_id, job.core_seconds))
        total += job.core_seconds
        if now + total / cores > job.due:
            _, job_id, core_seconds = heapq.heappop(selected)
            total -= core_seconds
            dropped.append(job_id)
    if dropped:
        order = {job_id: -rate for job_id, rate in rates.items()}
    else:
        order = {job.job_id: job.core_seconds for job in waiting}
    in_time = [job_id for _, job_id, _ in selected]
    ranked = [
        job_id
        for band in (in_time, dropped)
        for job_id in sorted(band, key=lambda job_id: (order[job_id], job_id))
    ]
    return Plan({name: rank for rank, name in enumerate(ranked)}, len(in_time))


def mean_core_seconds(jobs: cabc.Collection[RemainingWork]) -> float:
    """Return the mean work of jobs, done or not."""
    return sum(job.total_core_seconds for job in jobs) / max(len(jobs), 1)


def value_rate(job: RemainingWork, mean_core_seconds: float) -> float:
    """Return what a job is worth to its caller for each core-second that it has left.

    That is `FIXED_VALUE` for any job, and the rest by its size against the mean.
    """
    size = job.total_core_seconds / max(mean_core_seconds, MIN_CORE_SECONDS)
    value = FIXED_VALUE + (1 - FIXED_VALUE) * size
    return value / max(job.core_seconds, MIN_CORE_SECONDS)
