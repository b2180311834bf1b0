"""``mangosail report``: where the time of all jobs went, from all instances' logs."""

import collections
import collections.abc as cabc
import dataclasses
import datetime
import enum
import statistics
import typing as t

import typer

from mangosail import codec
from mangosail.cli import explain

AsJson = t.Annotated[
    bool, typer.Option("--json/--table", help="JSON, or a table for a person.")
]

#: Characters of each of the table's columns.
COLUMN_WIDTH = 14
#: Reasons that the table shows of each queue, the most frequent first.
MAX_REASONS = 5


@dataclasses.dataclass(slots=True)
class JobTimeline:
    """What the logs tell of one job; times in seconds since 1970."""

    queue: str = ""
    submitted_at: float | None = None
    accepted_at: float | None = None
    started_at: float | None = None
    ended_at: float | None = None
    state: str = ""


class Part(enum.StrEnum):
    """A part of a job's time."""

    #: From the first attempt to hand it in until the leader had it.
    TAKEN = "to leader"
    #: From there to the first start that a worker confirmed.
    STARTED = "to start"
    #: From there to its end.
    ENDED = "to end"


@dataclasses.dataclass(frozen=True, slots=True)
class Percentiles:
    """Seconds that half, and 95 of 100 jobs took at most."""

    half: float
    most: float


@dataclasses.dataclass(slots=True)
class Queue:
    """What the logs tell of the jobs of one queue."""

    jobs: int = 0
    states: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    parts: dict[Part, Percentiles] = dataclasses.field(default_factory=dict)
    #: Why hand-ins were not accepted, and runs lost, not begun or stopped.
    reasons: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def report(files: explain.Files = None, as_json: AsJson = False) -> None:
    """Tell by queue how long jobs waited for what, and why runs were lost.

    The parts of a job's time are told apart: until the leader had it, until something
    of it ran, until its end. Times are those of the instances' own clocks.
    """
    lines = list(explain.parse_lines(explain.read_lines(files or [])))
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
    """Return the two figures of a part for a person."""
    if spread is None:
        return "-", "-"
    return f"{spread.half:.2f} s", f"{spread.most:.2f} s"


def summarize(lines: cabc.Iterable[explain.Line]) -> dict[str, Queue]:
    """Return what the lines tell, by queue."""
    stories: dict[str, JobTimeline] = collections.defaultdict(JobTimeline)
    reasons: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for line in sorted(lines, key=lambda line: line.time):
        job_id = job_of(line)
        if job_id:
            record_line(stories[job_id], reasons[job_id], line)
    queues: dict[str, Queue] = collections.defaultdict(Queue)
    for job_id, story in stories.items():
        queue = queues[story.queue]
        queue.jobs += 1
        queue.reasons += reasons[job_id]
        if story.state:
            queue.states[story.state] += 1
    for name, queue in queues.items():
        of_queue = [story for story in stories.values() if story.queue == name]
        queue.parts = part_percentiles(of_queue)
    return dict(queues)


def job_of(line: explain.Line) -> str:
    """Return the job that a line is about, or an empty text."""
    for name in ("job", "task"):
        value = line.fields.get(name)
        if isinstance(value, str):
            return value.partition(".")[0]
    return ""


def record_line(
    story: JobTimeline, reasons: collections.Counter[str], line: explain.Line
) -> None:
    """Take in one line about a job."""
    at = timestamp_of(line.time)
    story.queue = str(line.fields.get("queue") or story.queue)
    if line.event == "handed in":
        story.submitted_at = at if story.submitted_at is None else story.submitted_at
        outcome = str(line.fields.get("outcome"))
        if outcome not in ("accepted", "repeated"):
            reasons[f"handed in: {outcome}"] += 1
    elif line.event == "job taken":
        story.accepted_at = at if story.accepted_at is None else story.accepted_at
    elif line.event == "started":
        story.started_at = at if story.started_at is None else story.started_at
    elif line.event == "job ended":
        story.ended_at = at
        story.state = str(line.fields.get("state"))
    elif line.event in ("not started", "waiting again", "stopping", "start in doubt"):
        reasons[f"{line.event}: {line.fields.get('reason')}"] += 1


def timestamp_of(text: str) -> float | None:
    """Return the time of a line, or None if it has none."""
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return None


def part_percentiles(stories: cabc.Sequence[JobTimeline]) -> dict[Part, Percentiles]:
    """Return how long each part took."""
    ends = {
        Part.TAKEN: [(story.submitted_at, story.accepted_at) for story in stories],
        Part.STARTED: [(story.accepted_at, story.started_at) for story in stories],
        Part.ENDED: [(story.started_at, story.ended_at) for story in stories],
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
