"""``mangosail explain``: the history of one job, from the logs of all instances."""

import collections.abc as cabc
import dataclasses
import pathlib
import sys
import typing as t

import msgspec
import typer

from mangosail.cli import exits

#: Fields that each line has, or that identify the job; they are not printed.
COMMON_FIELDS = frozenset(
    {"time", "level", "slice", "event", "instance", "data_centre", "job", "exception"}
)

Job = t.Annotated[str, typer.Argument(help="The job's id, or that of a request.")]
Files = t.Annotated[
    list[pathlib.Path] | None,
    typer.Argument(help="Logs of instances; standard input if none is named."),
]
Around = t.Annotated[
    bool,
    typer.Option(
        "--around/--alone",
        help="Also changes that instances observed meanwhile: leases, workers, "
        "the configuration.",
    ),
]

#: Slices whose lines log the state that an instance observes, regardless of jobs.
STATE_SLICES = frozenset({"leadership", "journal", "catalog", "process", "following"})
#: Events of other slices that log such state.
STATE_EVENTS = frozenset(
    {
        "worker unreachable", "worker reached", "worker lost", "worker set aside",
        "worker unlisted", "worker drains", "took over", "no longer leading", "state",
    }
)  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A parsed log line."""

    time: str
    instance: str
    event: str
    slice: str
    fields: dict[str, t.Any]

    def about(self, request_id: str) -> bool:
        """Return whether the line is about a job or request."""
        for name in ("job", "task", "step", "request_id"):
            value = self.fields.get(name)
            if isinstance(value, str) and value.partition(".")[0] == request_id:
                return True
        return False

    def is_state_change(self) -> bool:
        """Return whether the line logs a change of state that an instance observed."""
        return self.slice in STATE_SLICES or self.event in STATE_EVENTS

    def formatted(self, mark: str) -> str:
        """Return the line formatted for the terminal."""
        details = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in COMMON_FIELDS
        )
        return (
            f"{self.time[11:23]} {mark} {self.instance:<16} {self.event:<16} {details}"
        )


def explain(request_id: Job, files: Files = None, around: Around = False) -> None:
    """Print what happened to a job, in order of time, from logs of any instances.

    Lines that are not JSON are skipped, and text before a line's JSON is removed,
    so that the output of log collectors can be read unchanged.
    """
    lines = sorted(parse_lines(read_lines(files or [])), key=lambda line: line.time)
    own = [line for line in lines if line.about(request_id)]
    if not own:
        exits.exit_with(exits.USAGE, f"{request_id}: no line of the logs is about it")
    first, last = own[0].time, own[-1].time
    for line in lines:
        if line.about(request_id):
            typer.echo(line.formatted("*"))
        elif around and first <= line.time <= last and line.is_state_change():
            typer.echo(line.formatted(" "))


def read_lines(files: cabc.Sequence[pathlib.Path]) -> cabc.Iterator[str]:
    """Yield the lines of the files, or of standard input."""
    if not files:
        yield from sys.stdin
        return
    for path in files:
        try:
            with path.open(errors="replace") as file:
                yield from file
        except OSError as exc:
            exits.exit_with(
                exits.USAGE, f"{path}: expected a readable file: {exc.strerror}"
            )


def parse_lines(lines: cabc.Iterable[str]) -> cabc.Iterator[Line]:
    """Yield the lines that were logged by an instance."""
    for text in lines:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            # Truncated by the log collector.
            continue
        yield Line(
            str(fields.get("time", "")),
            str(fields.get("instance", "")),
            str(fields.get("event", "")),
            str(fields.get("slice", "")),
            fields,
        )
