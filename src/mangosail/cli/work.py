"""``submit``, ``cancel`` and ``jobs``: manage work from the command line."""

import collections.abc as cabc
import dataclasses
import pathlib
import secrets
import sys
import time
import typing as t
import urllib.parse

import typer

from mangosail import codec
from mangosail.cli import client as clients
from mangosail.cli import exits

#: Seconds between polls of a job's progress.
POLL_INTERVAL_S = 0.5
#: States of a job that has not ended.
OPEN_STATES = ("running", "cancelling")
#: Seconds to wait after a lost connection before the request is sent again.
RECONNECT_DELAY_S = 1.0

Body = t.Annotated[
    str, typer.Argument(help="File with the JSON body; - reads standard input.")
]
Wait = t.Annotated[
    float, typer.Option(envvar="MANGOSAIL_WAIT", help="Seconds to wait for the end.")
]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkOutcome:
    """The fields of the outcome of durable work that the command uses."""

    request_id: str = ""
    outcome: str = ""
    reason: str = ""
    failed: bool = False


def submit(
    server: clients.Server,
    target: t.Annotated[
        str, typer.Argument(help="SERVICE/OPERATION, or 'job' for a batch job.")
    ],
    body: Body = "-",
    request_id: t.Annotated[
        str | None, typer.Option(help="Id of the request; random if left out.")
    ] = None,
    wait: Wait = 300.0,
    token_file: clients.TokenFile = None,
) -> None:
    """Submit a request or a job, wait for its end and print the answer.

    If the answer to a request is lost, the request is sent again under the same id,
    so that durable work runs at most once.
    """
    client = clients.connect(server, token_file)
    deadline = time.monotonic() + wait
    if target == "job":
        follow_job(client, read_body(body), deadline)
        return
    path = f"/v1/services/{target_path(target)}"
    content = read_body(body)
    request_id = request_id or secrets.token_hex(8)
    typer.echo(f"request {request_id}", err=True)
    follow_request(client, path, content, request_id, deadline)


def cancel(
    server: clients.Server,
    request_id: t.Annotated[str, typer.Argument(help="Id of the request.")],
    token_file: clients.TokenFile = None,
) -> None:
    """Cancel durable work and print its outcome."""
    client = clients.connect(server, token_file)
    answer = clients.ask(client, "DELETE", f"/v1/work/{quote(request_id)}")
    typer.echo(codec.to_json(answer))


def jobs(
    server: clients.Server,
    job_id: t.Annotated[
        str | None, typer.Argument(help="One job; all if left out.")
    ] = None,
    token_file: clients.TokenFile = None,
) -> None:
    """Print the progress of the team's jobs, one line of JSON for each."""
    client = clients.connect(server, token_file)
    if job_id:
        job = clients.ask(client, "GET", f"/v1/jobs/{quote(job_id)}")
        typer.echo(codec.to_json(job))
        return
    for job in all_jobs(client):
        typer.echo(codec.to_json(job))


def all_jobs(client: clients.Client) -> cabc.Iterator[dict[str, t.Any]]:
    """Yield the team's jobs in order of id, fetched page by page."""
    after: str | None = ""
    while after is not None:
        page = clients.ask(client, "GET", f"/v1/jobs?after={quote(after)}")
        yield from page["jobs"]
        after = page["after"]


def read_body(source: str) -> bytes:
    """Return the JSON in the file `source`, or on standard input for ``-``."""
    try:
        data = sys.stdin.buffer.read() if source == "-" else _file(source)
        codec.from_json(data, object)
    except OSError as exc:
        exits.exit_with(
            exits.USAGE, f"BODY: {source!r}: expected a readable file: {exc.strerror}"
        )
    except codec.DecodeError as exc:
        exits.exit_with(exits.USAGE, f"BODY: {source!r}: expected JSON: {exc}")
    return data


def follow_request(
    client: clients.Client,
    path: str,
    body: bytes,
    request_id: str,
    deadline: float,
) -> None:
    """Send a request until it has a final answer, and print the answer."""
    while True:
        left = max(deadline - time.monotonic(), 0.0)
        headers = {"Request-Id": request_id, "Request-Timeout": f"{min(left, 30):g}"}
        try:
            reply = client.call("POST", path, body, headers)
        except clients.Unreachable as exc:
            reply = None
            pause, why = RECONNECT_DELAY_S, str(exc)
        if reply is not None:
            if reply.retry_after is None:
                print_final(reply, request_id)
                return
            pause, why = reply.retry_after, pending_reason(reply)
        if time.monotonic() + pause >= deadline:
            status = exits.UNREACHABLE if reply is None else exits.UNKNOWN
            exits.exit_with(status, f"{why}; ask again with --request-id {request_id}")
        typer.echo(f"{why}; asking again in {pause:g} s", err=True)
        time.sleep(pause)


def pending_reason(reply: clients.Reply) -> str:
    """Return the reason why there is no final answer yet."""
    return "still running" if reply.ok else reply.refusal()


def print_final(reply: clients.Reply, request_id: str) -> None:
    """Print a final answer, and exit with an error status if the work failed."""
    if not reply.ok:
        exits.exit_with(exits.FAILED, reply.refusal())
    typer.echo(reply.body.decode())
    try:
        ended = codec.from_json(reply.body, WorkOutcome)
    except codec.DecodeError:
        return
    if ended.request_id != request_id:
        # The answer of a quote, which may have any form and is always final.
        return
    if ended.outcome == "unknown":
        exits.exit_with(exits.UNKNOWN, "it is unknown whether the work ran")
    if ended.failed or ended.outcome in ("failed", "not_run", "cancelled"):
        exits.exit_with(
            exits.FAILED, f"the work ended: {ended.outcome}: {ended.reason}"
        )


def follow_job(client: clients.Client, body: bytes, deadline: float) -> None:
    """Submit a job and show its progress until it ends in any state."""
    progress = clients.ask(client, "POST", "/v1/jobs", body)
    path = f"/v1/jobs/{quote(progress['job_id'])}"
    shown = ""
    while progress["state"] in OPEN_STATES:
        line = progress_line(progress)
        if line != shown:
            typer.echo(line, err=True)
            shown = line
        if time.monotonic() >= deadline:
            exits.exit_with(
                exits.UNKNOWN, "the job is still running; see: mangosail jobs"
            )
        time.sleep(POLL_INTERVAL_S)
        progress = clients.ask(client, "GET", path)
    typer.echo(codec.to_json(progress))
    if progress["state"] != "completed":
        exits.exit_with(exits.FAILED, ending_line(progress))


def progress_line(progress: dict[str, t.Any]) -> str:
    """Return a job's progress in one line."""
    return (
        f"{progress['job_id']}: {progress['completed']}/{progress['tasks']} completed, "
        f"{progress['running']} running, {progress['waiting']} waiting, "
        f"{progress['failed']} failed"
    )


def ending_line(progress: dict[str, t.Any]) -> str:
    """Return in one line how a job ended that did not complete."""
    line = f"the job ended: {progress['state']}: {progress['failed']} tasks failed"
    return f"{line}: {progress['reason']}" if progress["reason"] else line


def target_path(target: str) -> str:
    """Return the path segments for SERVICE/OPERATION."""
    service, slash, operation = target.partition("/")
    if not (service and slash and operation):
        exits.exit_with(exits.USAGE, f"TARGET: {target!r}: expected SERVICE/OPERATION")
    return f"{quote(service)}/{quote(operation)}"


def quote(part: str) -> str:
    """Quote `part` for use as one segment of a path."""
    return urllib.parse.quote(part, safe="")


def _file(name: str) -> bytes:
    return pathlib.Path(name).read_bytes()
