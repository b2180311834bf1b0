"""Refusals of requests that the application never sees, and their counters and log.

A refusal is raised where a limit is exceeded, and sent by the connection's handler::

    raise refusals.Refused(refusals.Reason.OVERSIZED, "the body: at most 262144 bytes")
"""

import dataclasses
import enum
import time
import typing as t

import logbook

from mangosail import codec
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("front")

#: Retry-After in seconds for requests refused for want of memory or connections.
RETRY_AFTER_S = 1
#: Seconds between two log lines about refusals for one reason.
LOG_INTERVAL_S = 1.0


class Reason(enum.Enum):
    """Why a request is refused: its title, and the status line."""

    MALFORMED = ("malformed", "400 Bad Request")
    SLOW_HEADERS = ("slow_headers", "408 Request Timeout")
    SLOW_BODY = ("slow_body", "408 Request Timeout")
    OVERSIZED = ("oversized", "413 Content Too Large")
    LONG_REQUEST_LINE = ("long_request_line", "414 URI Too Long")
    LARGE_HEAD = ("large_head", "431 Request Header Fields Too Large")
    OVERLOADED = ("overloaded", "503 Service Unavailable")

    @property
    def title(self) -> str:
        """Return the reason as callers and counters name it."""
        return self.value[0]

    @property
    def status(self) -> str:
        """Return the status code with its phrase."""
        return self.value[1]


class Refused(Exception):
    """A request is refused, and nothing was done for it."""

    def __init__(self, reason: Reason, description: str) -> None:
        super().__init__(description)
        self.reason = reason
        self.description = description


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A refusal as a response: status line, headers and body."""

    status: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def encode(self) -> bytes:
        """Return the whole response, after which the connection is closed."""
        lines = [f"HTTP/1.1 {self.status}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        return "\r\n".join([*lines, "", ""]).encode() + self.body


def to_response(refused: Refused) -> Response:
    """Return the response that tells a caller of a refusal."""
    content: dict[str, t.Any] = {
        "title": refused.reason.title,
        "description": refused.description,
        "outcome": "not_run",
    }
    headers = [("Content-Type", "application/json")]
    if refused.reason is Reason.OVERLOADED:
        content["retry_after"] = RETRY_AFTER_S
        headers.append(("Retry-After", str(RETRY_AFTER_S)))
    body = codec.to_json(content).encode()
    headers.append(("Content-Length", str(len(body))))
    return Response(refused.reason.status, tuple(headers), body)


class Recorder:
    """Counts events at one port, and logs each kind of them at most once a second.

    A crowd is refused thousands of times a second, and a line for each would cost more
    than the refusals.
    """

    def __init__(self, port: str, counters: telemetry.Counters) -> None:
        self.port = port
        self.counters = counters
        #: Events, with their reason, that were not logged yet.
        self.pending: dict[tuple[str, str], int] = {}
        #: Monotonic time before which an event is not logged again.
        self.silent_until: dict[tuple[str, str], float] = {}

    def refused(self, refused: Refused, address: object) -> None:
        """Record that a request from `address` was refused."""
        title = refused.reason.title
        self.counters.count(f"front.refused.{title}")
        self._log("requests refused", title, address)

    def closed(self, reason: str, address: object) -> None:
        """Record that a connection from `address` was closed without an answer."""
        self.counters.count(f"front.closed.{reason}")
        self._log("connections closed", reason, address)

    def _log(self, event: str, reason: str, address: object) -> None:
        count = self.pending.pop((event, reason), 0) + 1
        now = time.monotonic()
        if now < self.silent_until.get((event, reason), 0.0):
            self.pending[event, reason] = count
            return
        self.silent_until[event, reason] = now + LOG_INTERVAL_S
        log.info(event, port=self.port, reason=reason, count=count, last=address)
