"""``mangosail settings``: reads, changes and follows a team's settings.

Exit status: 0 success; 1 refused and not made, or not in force everywhere in time;
2 a flag or a file is invalid; 3 no answer from the server; 4 unknown whether the
change was made, so it has to be retried with the same change id.
"""

import pathlib
import secrets
import time
import typing as t

import pydantic
import typer

from mangosail import codec
from mangosail.cli import client as clients
from mangosail.cli import exits, serve
from mangosail.settings import schema, state

app = typer.Typer(no_args_is_help=True, help="Read and change a team's settings.")

#: Seconds between attempts of a change, and between polls of its rollout.
RETRY_INTERVAL_S = 0.5
#: Status of answers after which the request may be retried.
UNAVAILABLE = 503
#: Status for a team that does not exist or is not the caller's.
NOT_FOUND = 404

AsJson = t.Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]
Timeout = t.Annotated[
    float,
    typer.Option("--timeout", help="Seconds to try for."),
]
ChangeId = t.Annotated[
    str | None,
    typer.Option("--change-id", help="Id of the change, for safe retries."),
]
Revision = t.Annotated[
    int | None,
    typer.Option("--revision", help="Revision the change is based on; else current."),
]


@app.command()
def get(
    team: str,
    server: clients.Server,
    token_file: clients.TokenFile = None,
    as_json: AsJson = False,
) -> None:
    """Print a team's settings."""
    found = ask(clients.connect(server, token_file), "GET", f"/v1/settings/{team}")
    if as_json:
        typer.echo(codec.to_json(found))
        return
    typer.echo(f"# revision {found['revision']} by {found['author']}", err=True)
    typer.echo(indented_json(found["content"]))


@app.command("set")
def set_(
    team: str,
    file: pathlib.Path,
    server: clients.Server,
    token_file: clients.TokenFile = None,
    revision: Revision = None,
    change_id: ChangeId = None,
    timeout: Timeout = 30.0,
    as_json: AsJson = False,
) -> None:
    """Replace a team's settings with the content of FILE."""
    asked = {"content": read(file), "change_id": change_id}
    make_change(
        clients.connect(server, token_file), team, asked, revision, timeout, as_json
    )


@app.command()
def restore(
    team: str,
    content_of: t.Annotated[int, typer.Argument(help="Revision to restore.")],
    server: clients.Server,
    token_file: clients.TokenFile = None,
    revision: Revision = None,
    change_id: ChangeId = None,
    timeout: Timeout = 30.0,
    as_json: AsJson = False,
) -> None:
    """Restore the content of an earlier revision as a new one; tokens stay."""
    asked = {"content_of": content_of, "change_id": change_id}
    make_change(
        clients.connect(server, token_file), team, asked, revision, timeout, as_json
    )


@app.command()
def diff(
    team: str,
    file: pathlib.Path,
    server: clients.Server,
    token_file: clients.TokenFile = None,
    as_json: AsJson = False,
) -> None:
    """Print what `set` would change, without changing it."""
    client = clients.connect(server, token_file)
    body = {"content": read(file), "revision": current_revision(client, team)}
    planned = ask(client, "PUT", f"/v1/settings/{team}?dry_run=true", body)
    show_change(planned, as_json)


@app.command()
def history(
    team: str,
    server: clients.Server,
    token_file: clients.TokenFile = None,
    limit: t.Annotated[int, typer.Option(min=1, max=100)] = 20,
    as_json: AsJson = False,
) -> None:
    """Print who changed what, and when; the latest first."""
    path = f"/v1/settings/{team}/history?limit={limit}"
    found = ask(clients.connect(server, token_file), "GET", path)
    if as_json:
        typer.echo(codec.to_json(found))
        return
    for entry in found["revisions"]:
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry["changed_at"]))
        typer.echo(f"{entry['revision']:>6}  {at}  {entry['author']}")
        show_differences(entry["changed"])


@app.command()
def watch(
    team: str,
    server: clients.Server,
    token_file: clients.TokenFile = None,
    timeout: Timeout = 30.0,
    as_json: AsJson = False,
) -> None:
    """Follow the current revision until it is in force in every data centre."""
    client = clients.connect(server, token_file)
    deadline = time.monotonic() + timeout
    shown: dict[str, bool] = {}
    while True:
        found = ask(client, "GET", f"/v1/settings/{team}/rollout")
        if found["data_centres"] != shown:
            shown = found["data_centres"]
            typer.echo(codec.to_json(found) if as_json else rollout_line(found))
        if all(shown.values()):
            return
        if time.monotonic() >= deadline:
            exits.exit_with(
                exits.FAILED, f"not in force everywhere after {timeout:g} s"
            )
        time.sleep(RETRY_INTERVAL_S)


@app.command("schema")
def print_schema() -> None:
    """Print the JSON schema of a team's settings."""
    typer.echo(indented_json(schema.TeamSettings.model_json_schema()))


@app.command()
def check(file: pathlib.Path) -> None:
    """Check the settings in FILE before use."""
    if wrong := serve.file_faults(file):
        exits.exit_with(exits.USAGE, "\n".join(wrong))
    typer.echo(f"{file}: valid")


@app.command()
def new_token(name: str, operator: bool = False) -> None:
    """Generate a token and print it together with its entry for the settings."""
    token = secrets.token_urlsafe(32)
    entry = schema.Token(name=name, sha256=state.token_digest(token), operator=operator)
    typer.echo(f"token: {token}")
    typer.echo(f"entry: {codec.to_json(entry.model_dump())}")


def read(file: pathlib.Path) -> t.Any:
    """Return the JSON in `file`, or exit with the reason why it is invalid."""
    try:
        return codec.from_json(file.read_bytes(), object)
    except (OSError, codec.DecodeError) as exc:
        exits.exit_with(
            exits.USAGE, f"FILE: {str(file)!r}: expected a JSON file: {exc}"
        )


def ask(client: clients.Client, method: str, path: str, body: t.Any = None) -> t.Any:
    """Return the decoded answer, or exit with the refusal."""
    data = b"" if body is None else codec.to_json(body).encode()
    try:
        reply = client.call(method, path, data)
    except clients.Unreachable as exc:
        exits.exit_with(exits.UNREACHABLE, str(exc))
    if not reply.ok:
        exit_refused(reply)
    return reply.json()


def current_revision(client: clients.Client, team: str) -> int:
    """Return a team's current revision, 0 for one that has no settings yet."""
    try:
        reply = client.call("GET", f"/v1/settings/{team}")
    except clients.Unreachable as exc:
        exits.exit_with(exits.UNREACHABLE, str(exc))
    if reply.status == NOT_FOUND:
        return 0
    if not reply.ok:
        exit_refused(reply)
    return int(reply.json()["revision"])


def make_change(
    client: clients.Client,
    team: str,
    asked: dict[str, t.Any],
    revision: int | None,
    timeout: float,
    as_json: bool,
) -> None:
    """Make a change, retrying with its id until the outcome is known."""
    change_id = asked["change_id"] or secrets.token_hex(8)
    base = current_revision(client, team) if revision is None else revision
    body = codec.to_json({**asked, "change_id": change_id, "revision": base}).encode()
    deadline = time.monotonic() + timeout
    while True:
        reply = send_change(client, team, body)
        if reply is not None and reply.ok:
            show_change(reply.json(), as_json)
            return
        if reply is not None and reply.status != UNAVAILABLE:
            exit_refused(reply)
        if time.monotonic() >= deadline:
            break
        typer.echo(f"change {change_id}: trying again", err=True)
        time.sleep(RETRY_INTERVAL_S)
    exits.exit_with(
        exits.UNKNOWN,
        f"unknown: ask again with --change-id {change_id} --revision {base}",
    )


def send_change(client: clients.Client, team: str, body: bytes) -> clients.Reply | None:
    """Send a change once; return None if no complete answer was received."""
    try:
        return client.call("PUT", f"/v1/settings/{team}", body)
    except clients.Unreachable as exc:
        typer.echo(str(exc), err=True)
        return None


def exit_refused(reply: clients.Reply) -> t.NoReturn:
    """Exit with the reasons of a refusal."""
    lines = [reply.refusal()]
    body = reply.json()
    if isinstance(body, dict) and body.get("revision") is not None:
        lines.append(f"  current revision {body['revision']} by {body.get('author')}")
    for fault in body.get("faults", []) if isinstance(body, dict) else []:
        value = repr(fault["value"])
        lines.append(f"  {fault['path']}: {value}: expected {fault['expected']}")
    exits.exit_with(exits.FAILED, "\n".join(lines))


def show_change(change: t.Any, as_json: bool) -> None:
    """Print a change that was accepted or planned."""
    if as_json:
        typer.echo(codec.to_json(change))
        return
    typer.echo(f"revision {change['revision']}, change {change['change_id']}")
    show_differences(change["changed"])
    for warning in change["warnings"]:
        typer.echo(f"warning: {warning}", err=True)


def show_differences(changed: t.Any) -> None:
    """Print one line for each path that differs."""
    for difference in changed:
        old, new = codec.to_json(difference["old"]), codec.to_json(difference["new"])
        typer.echo(f"        {difference['path']}: {old} -> {new}")


def rollout_line(found: t.Any) -> str:
    """Return the rollout of a revision in one line."""
    parts = [
        f"{name} {'in force' if in_force else 'waiting'}"
        for name, in_force in sorted(found["data_centres"].items())
    ]
    return f"revision {found['revision']}: {', '.join(parts)}"


def indented_json(value: t.Any) -> str:
    """Return `value` as indented JSON."""
    return pydantic.TypeAdapter(t.Any).dump_json(value, indent=2).decode()
