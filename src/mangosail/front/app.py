"""The HTTP application: routes, and the format of error responses."""

import re
import typing as t

import falcon
import logbook

from mangosail import codec
from mangosail.front import (
    batch,
    context,
    drain,
    outcomes,
    services,
    settings,
    status,
    timing,
    watches,
)

log = logbook.Logger("front")

#: Matches our own reasons; any other title is one of Falcon's, in prose.
REASON_PATTERN = re.compile("[a-z][a-z0-9_]*")
#: Reasons for errors that Falcon raises itself, by status code.
FALCON_REASONS = {404: "unknown_route", 405: "wrong_method", 400: "malformed"}


def create(front: context.Front, administration: settings.Administration) -> falcon.App:
    """Return the WSGI application."""
    app = falcon.App()
    errors = ErrorHandlers(front)
    app.add_error_handler(Exception, errors.on_exception)
    app.add_error_handler(falcon.HTTPError, errors.on_http_error)
    app.add_middleware(timing.Timing(front))
    app.add_route("/v1/services/{service}/{operation}", services.ServiceResource(front))
    app.add_route("/v1/work/{request_id}", outcomes.WorkResource(front))
    app.add_route("/v1/watches/{service}/{operation}", watches.WatchResource(front))
    jobs = batch.JobsResource(front)
    app.add_route("/v1/jobs", jobs)
    app.add_route("/v1/jobs/{job_id}", jobs, suffix="job")
    app.add_route("/v1/status", status.StatusResource(front))
    app.add_route("/v1/instances", status.InstancesResource(front))
    app.add_route("/v1/drain", drain.DrainResource(administration))
    settings.add_routes(app, administration)
    app.add_route("/healthz", status.HealthResource())
    app.add_route("/readyz", status.ReadyResource(front))
    return app


class ErrorHandlers:
    """Writes errors as ``{title, description, outcome}`` and counts them."""

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def on_http_error(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        error: falcon.HTTPError,
        params: dict[str, t.Any],
    ) -> None:
        """Respond to a request that was rejected before any work was done for it."""
        reason = reason_of(error)
        self.front.counters.count(f"front.refused.{reason}")
        resp.status = error.status
        for name, value in dict(error.headers or {}).items():
            resp.set_header(name, value)
        self._write(req, resp, reason, error.description, "not_run")

    def on_exception(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        error: Exception,
        params: dict[str, t.Any],
    ) -> None:
        """Respond to a request whose handling raised an unexpected exception.

        How far the request got is not known here, so its outcome is ``unknown``.
        """
        self.front.counters.count("front.internal_error")
        log.exception("request failed", path=req.path)
        resp.status = falcon.HTTP_INTERNAL_SERVER_ERROR
        self._write(req, resp, "internal_error", None, "unknown")

    def _write(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        title: str,
        description: str | None,
        outcome: str,
    ) -> None:
        body = {"title": title, "description": description or ""}
        if req.method == "POST":
            body["outcome"] = outcome
        resp.content_type = falcon.MEDIA_JSON
        resp.text = codec.to_json(body)


def reason_of(error: falcon.HTTPError) -> str:
    """Return the reason given by an error's title, or else by its status."""
    if error.title and REASON_PATTERN.fullmatch(error.title):
        return error.title
    return FALCON_REASONS.get(error.status_code, f"status_{error.status_code}")
