"""Common parsing of requests: authentication, body, deadline and request id."""

import collections.abc as cabc
import dataclasses
import math
import re
import secrets
import typing as t

import falcon

from mangosail import clock as clocks
from mangosail import codec, resources
from mangosail import limits as request_limits
from mangosail.front import description, messages, streams
from mangosail.front import quotes as quote_service
from mangosail.jobs import queue
from mangosail.membership import peers as membership
from mangosail.placement import workers
from mangosail.settings import state
from mangosail.telemetry import counters as telemetry
from mangosail.telemetry import logs
from mangosail.work import runner as work_runner

#: Retry-After in seconds for callers that arrive before the settings were read.
RETRY_AFTER_S = 1
#: Limits within which the server receives a request.
REQUEST_LIMITS = request_limits.Limits(
    body_bytes=1024 * 1024,
    headers_timeout=5.0,
    body_timeout=5.0,
    idle_timeout=60.0,
)
#: Levels to which a body may nest lists and objects. A body that is decoded at Python's
#: own limit can't be encoded or read again where a few more calls are in progress.
MAX_BODY_LEVELS = 500
#: Upper bound in seconds for the Request-Timeout that a caller may set.
MAX_TIMEOUT_S = 3600.0
#: A request id becomes part of task ids and row keys, so it excludes their separators.
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class Front:
    """The parts of the instance that the HTTP resources use."""

    settings: state.Settings
    quotes: quote_service.Quotes
    runner: work_runner.Runner
    jobs: queue.JobQueue
    owned_workers: workers.Workers
    watches: streams.Watches
    clock: clocks.Clock
    counters: telemetry.Counters
    describer: description.Describer
    peers: membership.Peers
    #: Returns the capacity of each listed worker in all data centres.
    capacities: cabc.Callable[[], list[resources.Resources]]
    ready: bool = False
    #: True once a planned shutdown has begun.
    draining: bool = False

    def describe(self) -> dict[str, t.Any]:
        """Return the instance status shown to operators."""
        return self.describer.describe(ready=self.ready, draining=self.draining)

    def authenticate(self, req: falcon.Request) -> state.Identity:
        """Return the caller's identity, or refuse the request."""
        scheme, _, token = (req.auth or "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            raise falcon.HTTPUnauthorized(title="token_missing")
        identity = self.settings.identify(token)
        if identity is None and not self.settings.have_been_read():
            # The token may be valid: reporting it as unknown would make an operator
            # look for a revoked token.
            raise falcon.HTTPServiceUnavailable(
                title="starting", retry_after=RETRY_AFTER_S
            )
        if identity is None:
            raise falcon.HTTPUnauthorized(title="token_unknown")
        return identity

    def read_body(self, req: falcon.Request) -> t.Any:
        """Return the decoded JSON body, or refuse the request."""
        data = req.bounded_stream.read()
        if not data:
            return None
        media_type = (req.content_type or falcon.MEDIA_JSON).partition(";")[0]
        if media_type.strip().lower() != falcon.MEDIA_JSON:
            raise falcon.HTTPUnsupportedMediaType(
                title="wrong_content_type",
                description=f"{media_type!r}: expected {falcon.MEDIA_JSON}",
            )
        try:
            body = codec.from_json(data, object)
        except (codec.DecodeError, RecursionError) as exc:
            raise falcon.HTTPBadRequest(
                title="malformed", description=str(exc)
            ) from exc
        if is_too_deep(data, body):
            raise falcon.HTTPBadRequest(
                title="malformed",
                description=f"the body: at most {MAX_BODY_LEVELS} levels",
            )
        if not isinstance(body, dict):
            raise falcon.HTTPBadRequest(
                title="not_an_object", description="the body: expected a JSON object"
            )
        return body

    def deadline(self, req: falcon.Request, default: float) -> float:
        """Return the caller's deadline in monotonic time."""
        text = req.get_header("Request-Timeout")
        seconds = default if text is None else timeout_of(text)
        if seconds == 0:
            raise falcon.HTTPGatewayTimeout(title="deadline")
        return self.clock.monotonic() + min(seconds, MAX_TIMEOUT_S)

    def parse_request(
        self, req: falcon.Request, service: str, operation: str
    ) -> messages.ServiceRequest:
        """Return the validated request for a service's operation."""
        identity = self.authenticate(req)
        declared = self.settings.operation(identity.team, service, operation)
        if declared is None:
            raise falcon.HTTPNotFound(
                title="unknown_service", description=f"{service}/{operation}"
            )
        req.context.request_class = declared.mode.value
        request_id = request_id_of(req)
        logs.REQUEST_ID.set(request_id)
        return messages.ServiceRequest(
            request_id=request_id,
            team=identity.team,
            service=service,
            operation=operation,
            declared=declared,
            body=self.read_body(req),
            deadline=self.deadline(req, declared.deadline_seconds),
        )


def is_too_deep(data: bytes, body: t.Any) -> bool:
    """Return whether `body`, decoded from `data`, has too many levels.

    A body with fewer brackets than levels is allowed can't have, and isn't walked.
    """
    brackets = data.count(b"[") + data.count(b"{")
    return brackets > MAX_BODY_LEVELS and codec.is_nested_deeper(body, MAX_BODY_LEVELS)


def request_id_of(req: falcon.Request) -> str:
    """Return the caller's request id, or a random one if there is none."""
    text = req.get_header("Request-Id")
    if text is None:
        return secrets.token_hex(8)
    if not REQUEST_ID_PATTERN.fullmatch(text):
        raise falcon.HTTPBadRequest(
            title="bad_request_id",
            description="Request-Id: expected 1 to 128 of A-Z a-z 0-9 . _ : -",
        )
    return text


def timeout_of(text: str) -> float:
    """Return the value of a Request-Timeout header in seconds."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds < 0:
        raise falcon.HTTPBadRequest(
            title="bad_request_timeout",
            description=f"Request-Timeout: {text!r}: expected seconds",
        )
    return seconds
