"""``mangosail report``: how long jobs took, by phase, from the logs of instances."""

import collections
import collections.abc as cabc
import dataclasses
import datetime
import enum
import statistics
import typing as t

import typer

from mangosail import codec
from mangosail.cli import log_lines

AsJson = t.Annotated[
    bool, typer.Option("--json/--table", help="JSON, or a table for people.")
]

#: Width of a column of the table in characters.
COLUMN_WIDTH = 14
#: Number of reasons shown for each queue, the most frequent first.
MAX_REASONS = 5


@dataclasses.dataclass(slots=True)
class JobTimeline:
    """The events logged for one job; times are in seconds since the epoch."""

    queue: str = ""
    submitted_at: float | None = None
    accepted_at: float | None = None
    started_at: float | None = None
    ended_at: float | None = None
    state: str = ""
    #: Cause of the end; empty if an earlier build logged it.
    cause: str = ""


class Part(enum.StrEnum):
    """A phase of a job's life."""

    #: From the first attempt to submit it until the leader accepted it.
    TAKEN = "to leader"
    #: From then until a worker confirmed the first start.
    STARTED = "to start"
    #: From then until its end.
    ENDED = "to end"


@dataclasses.dataclass(frozen=True, slots=True)
class Percentiles:
    """The median and the 95th percentile of a phase, in seconds."""

    half: float
    most: float


@dataclasses.dataclass(slots=True)
class Queue:
    """Figures for the jobs of one queue."""

    jobs: int = 0
    states: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    parts: dict[Part, Percentiles] = dataclasses.field(default_factory=dict)
    #: Reasons why submissions were refused, runs were lost, not started or stopped, and
    #: jobs failed.
    reasons: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def report(files: log_lines.Files = None, as_json: AsJson = False) -> None:
    """Print for each queue how long jobs took in each phase, and why runs were lost.

    The phases are: until the leader accepted the job, until its first task started,
    and until its end. Times are those of the instances' own clocks.
    """
    lines = list(log_lines.parse(log_lines.read(files or [])))
    queues = summarize(lines)
    if as_json:
        typer.echo(codec.to_json(queues))
        return
    parts = [f"{part} {share}" for part in Part for share in ("p50", "p95")]
    typer.echo(row("queue", ["jobs", "completed", "open", *parts]))
    for name, queue in sorted(queues.items()):
        open_jobs = queue.jobs - sum(queue.states.values())
        times = [shown(queue.parts.get(part)) for part in Part]
        counts = [str(queue.jobs), str(queue.states["completed"]), str(open_jobs)]
        typer.echo(row(name, [*counts, *(text for pair in times for text in pair)]))
        for reason, count in queue.reasons.most_common(MAX_REASONS):
            typer.echo(f"  {count:>6}  {reason}")


def row(name: str, cells: cabc.Sequence[str]) -> str:
    """Return a row of the table."""
    return f"{name:<16}" + "".join(f"{cell:>{COLUMN_WIDTH}}" for cell in cells)


def shown(spread: Percentiles | None) -> tuple[str, str]:
    """Return the percentiles of a phase as text."""
    if spread is None:
        return "-", "-"
    return f"{spread.half:.2f} s", f"{spread.most:.2f} s"


def summarize(lines: cabc.Iterable[log_lines.Line]) -> dict[str, Queue]:
    """Return the figures of each queue, from log lines."""
    timelines: dict[str, JobTimeline] = collections.defaultdict(JobTimeline)
    reasons: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for line in sorted(lines, key=lambda line: line.time):
        job_id = job_of(line)
        if job_id:
            record_line(timelines[job_id], reasons[job_id], line)
    queues: dict[str, Queue] = collections.defaultdict(Queue)
    for job_id, timeline in timelines.items():
        queue = queues[timeline.queue]
        queue.jobs += 1
        queue.reasons += reasons[job_id]
        if timeline.state:
            queue.states[timeline.state] += 1
        if timeline.state == "failed":
            queue.reasons[f"job failed: {timeline.cause or 'cause unknown'}"] += 1
    for name, queue in queues.items():
        in_queue = [
            timeline for timeline in timelines.values() if timeline.queue == name
        ]
        queue.parts = part_percentiles(in_queue)
    return dict(queues)


def job_of(line: log_lines.Line) -> str:
    """Return the id of the job that a line is about, or an empty string."""
    for name in ("job", "task"):
        value = line.fields.get(name)
        if isinstance(value, str):
            return value.partition(".")[0]
    return ""


def record_line(
    timeline: JobTimeline, reasons: collections.Counter[str], line: log_lines.Line
) -> None:
    """Record one line about a job."""
    at = timestamp_of(line.time)
    timeline.queue = str(line.fields.get("queue") or timeline.queue)
    if line.event == "handed in":
        timeline.submitted_at = (
            at if timeline.submitted_at is None else timeline.submitted_at
        )
        outcome = str(line.fields.get("outcome"))
        if outcome not in ("accepted", "repeated"):
            reason = line.fields.get("reason")
            reasons[f"handed in: {outcome}" + (f", {reason}" if reason else "")] += 1
    elif line.event == "job taken":
        timeline.accepted_at = (
            at if timeline.accepted_at is None else timeline.accepted_at
        )
    elif line.event == "started":
        timeline.started_at = at if timeline.started_at is None else timeline.started_at
    elif line.event == "job ended":
        timeline.ended_at = at
        timeline.state = str(line.fields.get("state"))
        timeline.cause = str(line.fields.get("cause", ""))
    elif line.event in ("not started", "waiting again", "stopping", "start in doubt"):
        reasons[f"{line.event}: {line.fields.get('reason')}"] += 1


def timestamp_of(text: str) -> float | None:
    """Return a log line's time as seconds since the epoch, or None if invalid."""
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return None


def part_percentiles(timelines: cabc.Sequence[JobTimeline]) -> dict[Part, Percentiles]:
    """Return the percentiles of each phase."""
    ends = {
        Part.TAKEN: [
            (timeline.submitted_at, timeline.accepted_at) for timeline in timelines
        ],
        Part.STARTED: [
            (timeline.accepted_at, timeline.started_at) for timeline in timelines
        ],
        Part.ENDED: [
            (timeline.started_at, timeline.ended_at) for timeline in timelines
        ],
    }
    spreads = {}
    for part, pairs in ends.items():
        times = [
            max(last - first, 0.0)
            for first, last in pairs
            if first is not None and last is not None
        ]
        if times:
            spreads[part] = percentiles_of(times)
    return spreads


def percentiles_of(times: cabc.Sequence[float]) -> Percentiles:
    """Return the median and the 95th percentile."""
    if len(times) == 1:
        return Percentiles(times[0], times[0])
    cuts = statistics.quantiles(times, n=20, method="inclusive")
    return Percentiles(round(statistics.median(times), 3), round(cuts[-1], 3))
