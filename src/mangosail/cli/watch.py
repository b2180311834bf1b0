"""``mangosail watch``: the events of a subject, resumed after lost connections."""

import dataclasses
import time
import typing as t
import urllib.parse

import typer

from mangosail import codec
from mangosail.cli import client as clients
from mangosail.cli import exits, work

#: Seconds to wait before an interrupted watch is resumed.
RESUME_DELAY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """The fields of a line of the stream that the command uses.

    An event has a `sequence` number. A line with `resume_after` says that the watch
    has to be resumed on another connection. An empty line is a keep-alive.
    """

    sequence: int | None = None
    resume_after: int | None = None


def watch(
    server: clients.Server,
    target: t.Annotated[str, typer.Argument(help="SERVICE/OPERATION.")],
    subject: t.Annotated[str, typer.Argument(help="What is watched.")],
    after: t.Annotated[
        int, typer.Option(help="Sequence number of the last event already seen.")
    ] = 0,
    wait: t.Annotated[
        float,
        typer.Option(
            envvar="MANGOSAIL_WAIT",
            help="Seconds without a connection after which to exit.",
        ),
    ] = 300.0,
    token_file: clients.TokenFile = None,
) -> None:
    """Print a subject's events as lines of JSON, until the watch ends.

    After a lost connection the watch is resumed after the last event, so that none
    is missed or printed twice.
    """
    client = clients.connect(server, token_file)
    base = f"/v1/watches/{work.target_path(target)}"
    deadline = time.monotonic() + wait
    while True:
        query = urllib.parse.urlencode({"subject": subject, "after": after})
        try:
            for line in client.stream_lines(f"{base}?{query}"):
                event = read_event(line)
                deadline = time.monotonic() + wait
                if event.sequence is not None and event.sequence > after:
                    typer.echo(line.decode())
                    after = event.sequence
                if event.resume_after is not None:
                    # An instance that stops closes the stream cleanly. This is not
                    # the end of the watch: more events may follow elsewhere.
                    raise clients.Unreachable(f"{server}: the watch was ended early")
            return
        except clients.Unreachable as exc:
            if time.monotonic() >= deadline:
                exits.exit_with(
                    exits.UNREACHABLE, f"{exc}; resume with --after {after}"
                )
            typer.echo(f"{exc}; resuming after event {after}", err=True)
            time.sleep(RESUME_DELAY_S)


def read_event(line: bytes) -> Event:
    """Decode an event.

    A connection lost within a line leaves a truncated event, which is treated as a
    lost connection: the resumed watch receives the event again.
    """
    try:
        return codec.from_json(line or b"{}", Event)
    except codec.DecodeError as exc:
        raise clients.Unreachable(f"truncated event: {line[:80]!r}") from exc
