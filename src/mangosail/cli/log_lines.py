"""Log lines of instances, as the commands that analyse logs read them.

Log collectors add prefixes to lines and cut them off::

    for line in log_lines.parse(log_lines.read(files)):
        print(line.time, line.event)
"""

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

#: How each line of an instance begins, and each further field of it.
LINE_START = '{"time"'
FIELD_START = ',"'

Files = t.Annotated[
    list[pathlib.Path] | None,
    typer.Argument(help="Logs of instances; standard input if none is named."),
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
    #: True if its end was cut off, so that it may lack fields.
    cut: bool = False

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
            f"{' [cut off]' if self.cut else ''}"
        )


def read(files: cabc.Sequence[pathlib.Path]) -> cabc.Iterator[str]:
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


def parse(lines: cabc.Iterable[str], use_cut: bool = False) -> cabc.Iterator[Line]:
    """Yield the lines that were logged by an instance.

    `use_cut` adds those whose end is cut off, with their complete fields.
    """
    for text in lines:
        start = text.find(LINE_START)
        if start < 0:
            continue
        fields = decode(text[start:])
        cut = fields is None
        if fields is None and use_cut:
            fields = decode_cut(text[start:])
        if fields is None:
            continue
        yield Line(
            str(fields.get("time", "")),
            str(fields.get("instance", "")),
            str(fields.get("event", "")),
            str(fields.get("slice", "")),
            fields,
            cut,
        )


def decode(text: str) -> dict[str, t.Any] | None:
    """Return the fields of a line, or None if it is not JSON."""
    try:
        fields: dict[str, t.Any] = msgspec.json.decode(text)
    except msgspec.DecodeError:
        return None
    return fields


def decode_cut(text: str) -> dict[str, t.Any] | None:
    """Return the complete fields of a line that a log collector has cut off."""
    end = text.rfind(FIELD_START)
    while end > 0:
        fields = decode(text[:end] + "}")
        if fields is not None:
            return fields
        end = text.rfind(FIELD_START, 0, end)
    return None


def count_unread(texts: cabc.Iterable[str], request_id: str) -> int:
    """Return the number of lines that name a job and whose beginning is cut off."""
    return sum(
        request_id in text and not any(parse([text], use_cut=True)) for text in texts
    )
