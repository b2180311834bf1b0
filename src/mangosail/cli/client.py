"""HTTP client of the command line."""

import collections.abc as cabc
import dataclasses
import os
import pathlib
import typing as t
import urllib.parse

import geventhttpclient
import typer
from geventhttpclient import response as http_response

from mangosail import codec
from mangosail.cli import exits

#: Seconds after which an attempt to connect fails.
CONNECT_TIMEOUT_S = 5.0
#: Seconds without data after which an answer counts as lost.
NETWORK_TIMEOUT_S = 60.0

Server = t.Annotated[
    str,
    typer.Option(
        "--server",
        envvar="MANGOSAIL_SERVER",
        help="Instance or balancer: IP address and port, or an http(s) URL.",
    ),
]
TokenFile = t.Annotated[
    pathlib.Path | None,
    typer.Option(
        "--token-file",
        envvar="MANGOSAIL_TOKEN_FILE",
        help="File that holds the bearer token; else MANGOSAIL_TOKEN is read.",
    ),
]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer; `retry_after` is in seconds."""

    status: int
    body: bytes
    retry_after: float | None = None

    @property
    def ok(self) -> bool:
        """Return whether the request succeeded."""
        return 200 <= self.status < 300

    def json(self) -> t.Any:
        """Return the decoded body, or None if it is not JSON."""
        try:
            return codec.from_json(self.body, object)
        except codec.DecodeError:
            return None

    def refusal(self) -> str:
        """Return the reason for the server's refusal in one line."""
        content = self.json()
        if not isinstance(content, dict):
            return f"refused with status {self.status}"
        parts = [content.get(name) for name in ("title", "description", "outcome")]
        return f"refused with status {self.status}: " + ": ".join(filter(None, parts))


class Unreachable(Exception):
    """No complete answer was received; the text names the server and the cause."""


class Client:
    """A connection to one server, authenticated with a token."""

    def __init__(self, server: str, token: str) -> None:
        self.server = server
        url = server if "://" in server else f"http://{server}"
        parts = urllib.parse.urlsplit(url)
        try:
            port = parts.port
        except ValueError:
            port = None
        if not parts.hostname or parts.scheme not in ("http", "https") or not port:
            exits.exit_with(
                exits.USAGE,
                f"--server (MANGOSAIL_SERVER): {server!r}: expected an IP address and "
                "a port, or an http(s) URL with a port",
            )
        self.host, self.port = parts.hostname, port
        self.secure = parts.scheme == "https"
        self.token = token
        self.http = self._open()

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: cabc.Mapping[str, str] | None = None,
    ) -> Reply:
        """Send one request; raise `Unreachable` if no complete answer is received."""
        try:
            response = self.http.request(method, path, body, dict(headers or {}))
            after = response.get("retry-after")
            return Reply(
                response.status_code,
                bytes(response.read()),
                float(str(after)) if after else None,
            )
        except (OSError, http_response.HTTPParseError) as exc:
            raise self._reset(exc) from exc

    def stream_lines(self, path: str) -> cabc.Iterator[bytes]:
        """Yield the lines of a stream; raise `Unreachable` if it is interrupted."""
        try:
            response = self.http.get(path)
            if response.status_code != 200:
                body = bytes(response.read())
                exits.exit_with(
                    exits.FAILED, Reply(response.status_code, body).refusal()
                )
            while line := response.readline(sep=b"\n"):
                yield bytes(line).rstrip(b"\r\n")
        except (OSError, http_response.HTTPParseError) as exc:
            raise self._reset(exc) from exc

    def _open(self) -> geventhttpclient.HTTPClient:
        authority = os.environ.get("MANGOSAIL_AUTHORITY")
        return geventhttpclient.HTTPClient(
            self.host,
            port=self.port,
            ssl=self.secure,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=NETWORK_TIMEOUT_S,
            ssl_options={"ca_certs": authority} if authority else None,
            headers={"Authorization": f"Bearer {self.token}"},
        )

    def _reset(self, exc: Exception) -> Unreachable:
        # The other connections of the pool may be dead as well, so it is closed. A
        # closed pool refuses all later requests, so they need a new one.
        self.http.close()
        self.http = self._open()
        return Unreachable(f"{self.server}: {exc or type(exc).__name__}")


def connect(server: str, token_file: pathlib.Path | None) -> Client:
    """Return a client with the token from `token_file` or from the environment.

    The token cannot be given as a flag, because other users of the machine can read
    the arguments of a process.
    """
    token = os.environ.get("MANGOSAIL_TOKEN")
    if token_file is not None:
        try:
            token = token_file.read_text().strip()
        except OSError as exc:
            exits.exit_with(
                exits.USAGE,
                f"--token-file (MANGOSAIL_TOKEN_FILE): {str(token_file)!r}: "
                f"expected a readable file: {exc.strerror}",
            )
    if not token:
        exits.exit_with(
            exits.USAGE,
            "--token-file (MANGOSAIL_TOKEN_FILE) or MANGOSAIL_TOKEN: expected a "
            "bearer token",
        )
    return Client(server, token)


def ask(client: Client, method: str, path: str, body: bytes = b"") -> t.Any:
    """Return the decoded answer; exit if there is none or the server refused."""
    try:
        reply = client.call(method, path, body)
    except Unreachable as exc:
        exits.exit_with(exits.UNREACHABLE, str(exc))
    if not reply.ok:
        exits.exit_with(exits.FAILED, reply.refusal())
    return reply.json()
