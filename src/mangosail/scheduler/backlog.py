"""Work that waits at the leader, as the lease row publishes it to all instances.

An instance tells from it when a new job would end at the earliest. A job is placed
before those that are worth less for the work that they have left, so a single sum would
hold small jobs for late that are served at once. The work is therefore given for a few
thresholds of that rate (`ordering.value_rate`)::

    found = measure(remaining, plans, cores)
    text = encode(found)  # for the lease row
    published = decode(text)
"""

import collections.abc as cabc
import dataclasses
import math

from mangosail import codec
from mangosail.scheduler import ordering

#: Version of the encoding; figures of another version are not used.
VERSION = 1
#: Thresholds for each priority at most: 40 bytes each in a row that is written three
#: times a second.
MAX_THRESHOLDS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Threshold:
    """Core-seconds of the jobs whose rate is `rate` or more."""

    rate: float
    #: Of jobs that can end in time, and of the others, which follow them.
    in_time: float
    late: float


@dataclasses.dataclass(frozen=True, slots=True)
class PriorityBacklog:
    """The waiting jobs of one priority."""

    priority: int
    #: Cores that they can use, once the work ahead of them is done.
    cores: float
    #: Core-seconds of the more urgent jobs that can end in time. The others may wait
    #: for something else than room, such as a label that no worker has.
    urgent: float
    #: Mean core-seconds of the jobs of this priority, on which their rates depend.
    mean: float
    #: By decreasing rate; the last one includes all jobs.
    thresholds: tuple[Threshold, ...]

    @property
    def core_seconds(self) -> float:
        """Return the work of this priority, and the urgent work ahead of it."""
        last = self.thresholds[-1] if self.thresholds else Threshold(0.0, 0.0, 0.0)
        return self.urgent + last.in_time + last.late

    def ahead(self, rate: float) -> tuple[float, float]:
        """Return the core-seconds ahead of a job with this rate.

        First those if it is selected among the jobs that can end in time, then those
        if it is not. Between two thresholds the smaller figure counts.
        """
        in_time = late = 0.0
        for threshold in self.thresholds:
            if threshold.rate < rate:
                break
            in_time, late = threshold.in_time, threshold.late
        selected = self.thresholds[-1].in_time if self.thresholds else 0.0
        return self.urgent + in_time, self.urgent + selected + late


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """The waiting jobs of all priorities; empty while there is room for all."""

    version: int = VERSION
    priorities: tuple[PriorityBacklog, ...] = ()

    def of(self, priority: int) -> PriorityBacklog | None:
        """Return the waiting jobs of a priority, or None if there are none."""
        for each in self.priorities:
            if each.priority == priority:
                return each
        return None


def measure(
    jobs: cabc.Mapping[int, cabc.Mapping[str, ordering.RemainingWork]],
    plans: cabc.Mapping[int, ordering.Plan],
    cores: float,
) -> Backlog:
    """Return the backlog of jobs by priority and name, as their plans order them."""
    urgent = 0.0
    found = []
    for priority in sorted(jobs):
        of_priority, plan = jobs[priority], plans[priority]
        mean = ordering.mean_core_seconds(of_priority.values())
        found.append(
            PriorityBacklog(
                priority,
                round(cores, 1),
                round(urgent, 1),
                round(mean, 2),
                measure_thresholds(of_priority, plan, mean),
            )
        )
        urgent += sum(
            job.core_seconds
            for name, job in of_priority.items()
            if plan.is_in_time(name)
        )
    return Backlog(priorities=tuple(found))


def measure_thresholds(
    jobs: cabc.Mapping[str, ordering.RemainingWork], plan: ordering.Plan, mean: float
) -> tuple[Threshold, ...]:
    """Return the thresholds of the jobs of one priority, by decreasing rate.

    `mean` is the mean work of these jobs in core-seconds.
    """
    rows = sorted(
        (
            (ordering.value_rate(job, mean), plan.is_in_time(name), job)
            for name, job in jobs.items()
        ),
        key=lambda row: -row[0],
    )
    thresholds = []
    in_time = late = 0.0
    interval = math.ceil(len(rows) / MAX_THRESHOLDS)
    for number, (rate, selected, job) in enumerate(rows, start=1):
        if selected:
            in_time += job.core_seconds
        else:
            late += job.core_seconds
        if number % interval == 0 or number == len(rows):
            thresholds.append(
                Threshold(significant(rate), round(in_time, 1), round(late, 1))
            )
    return tuple(thresholds)


def significant(rate: float) -> float:
    """Return a rate with four digits."""
    return float(f"{rate:.4g}")


def encode(backlog: Backlog) -> str:
    """Return the text for the lease row."""
    return codec.to_json(backlog)


def decode(text: str) -> Backlog | None:
    """Return the backlog that a text describes; None if it is not of this version.

    It is a text within the row so that the format of another build can't make the
    whole row unreadable, which decides on who leads.
    """
    try:
        backlog = codec.from_json(text, Backlog)
    except codec.DecodeError:
        return None
    return backlog if backlog.version == VERSION else None
