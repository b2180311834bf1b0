"""The HTTP application: routes, authentication, and errors as JSON."""

import secrets
import typing as t

import falcon
import msgspec
import result

from mangosail import clock as clocks
from mangosail import codec, resources
from mangosail.front import messages, quotes
from mangosail.jobs import messages as job_messages
from mangosail.jobs import queue
from mangosail.placement import errors as placement_errors
from mangosail.placement import workers
from mangosail.settings import schema, state
from mangosail.telemetry import counters as telemetry
from mangosail.work import errors as work_errors
from mangosail.work import messages as work_messages
from mangosail.work import runner

#: Largest body that is read, in bytes.
BODY_LIMIT = 1024 * 1024
#: Longest time in seconds that a caller may ask to wait.
LONGEST_TIMEOUT = 3600.0


class Front:
    """What the resources below need of the instance."""

    def __init__(
        self,
        settings: state.Settings,
        quote_service: quotes.Quotes,
        run: runner.Runner,
        jobs: queue.JobQueue,
        owned: workers.Workers,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        describe: t.Callable[[], dict[str, t.Any]],
    ) -> None:
        self.settings = settings
        self.quotes = quote_service
        self.runner = run
        self.jobs = jobs
        self.owned = owned
        self.clock = clock
        self.counters = counters
        self.describe = describe
        self.ready = False

    def identify(self, req: falcon.Request) -> state.Identity:
        """Return whose request this is, or refuse it."""
        scheme, _, token = (req.auth or "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            self.counters.count("front.refused.token_missing")
            raise falcon.HTTPUnauthorized(title="token_missing")
        identity = self.settings.identify(token)
        if identity is None:
            self.counters.count("front.refused.token_unknown")
            raise falcon.HTTPUnauthorized(title="token_unknown")
        return identity

    def body(self, req: falcon.Request) -> t.Any:
        """Return the request's JSON body, or refuse it."""
        if (req.content_length or 0) > BODY_LIMIT:
            self.counters.count("front.refused.oversized")
            raise falcon.HTTPContentTooLarge(title="oversized")
        try:
            return codec.from_json(
                req.bounded_stream.read(BODY_LIMIT) or b"null", object
            )
        except codec.DecodeError as exc:
            self.counters.count("front.refused.malformed")
            raise falcon.HTTPBadRequest(
                title="malformed", description=str(exc)
            ) from exc

    def deadline(self, req: falcon.Request, default: float) -> float:
        """Return the monotonic time until which the caller waits."""
        text = req.get_header("Request-Timeout")
        try:
            seconds = float(text) if text else default
        except ValueError as exc:
            raise falcon.HTTPBadRequest(
                title="malformed",
                description=f"Request-Timeout: {text!r}: expected seconds",
            ) from exc
        return self.clock.monotonic() + min(max(seconds, 0.0), LONGEST_TIMEOUT)

    def read(
        self, req: falcon.Request, service: str, operation: str
    ) -> messages.ServiceRequest:
        """Return the checked request for a service's operation."""
        identity = self.identify(req)
        declared = self.settings.operation(identity.team, service, operation)
        if declared is None:
            self.counters.count("front.refused.unknown_service")
            raise falcon.HTTPNotFound(title="unknown_service")
        return messages.ServiceRequest(
            request_id=req.get_header("Request-Id") or secrets.token_hex(8),
            team=identity.team,
            service=service,
            operation=operation,
            declared=declared,
            body=self.body(req),
            deadline=self.deadline(req, declared.deadline_seconds),
        )


def refuse(resp: falcon.Response, refusal: messages.Refusal) -> None:
    """Write a refusal."""
    resp.status = refusal.status
    resp.text = codec.to_json({"title": refusal.reason, "outcome": "not_run"})
    if refusal.retry_after is not None:
        resp.set_header("Retry-After", f"{refusal.retry_after:g}")


class ServiceResource:
    """``POST /v1/services/{service}/{operation}``: quotes and durable work."""

    def __init__(self, front: Front) -> None:
        self.front = front

    def on_post(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        service: str,
        operation: str,
    ) -> None:
        """Serve one request."""
        request = self.front.read(req, service, operation)
        resp.set_header("Request-Id", request.request_id)
        if request.declared.mode is schema.Mode.QUOTE:
            self._quote(request, resp)
        elif request.declared.mode is schema.Mode.TASK:
            self._task(request, resp)
        else:
            raise falcon.HTTPBadRequest(title="not_a_request")

    def _quote(self, request: messages.ServiceRequest, resp: falcon.Response) -> None:
        served = self.front.quotes.serve(request)
        if isinstance(served, result.Err):
            refuse(resp, served.err_value)
            return
        resp.set_header("Mangosail-Data-Centre", served.ok_value.data_centre)
        resp.set_header("Mangosail-Worker", served.ok_value.worker)
        resp.text = codec.to_json(served.ok_value.answer)

    def _task(self, request: messages.ServiceRequest, resp: falcon.Response) -> None:
        work = work_messages.Request(
            request.team,
            request.request_id,
            request.kind,
            request.declared.needs.as_resources(),
            request.body,
        )
        answer_work(resp, self.front.runner.submit(work, request.deadline))


def answer_work(
    resp: falcon.Response,
    answer: result.Result[work_messages.Outcome, runner.SubmitError],
) -> None:
    """Write what became of a piece of durable work."""
    if isinstance(answer, result.Err):
        refuse_work(resp, answer.err_value)
        return
    outcome = answer.ok_value
    resp.text = codec.to_json(outcome)
    if outcome.retry_after is not None:
        resp.status = falcon.HTTP_ACCEPTED
        resp.set_header("Retry-After", f"{outcome.retry_after:g}")


def refuse_work(resp: falcon.Response, error: runner.SubmitError) -> None:
    """Write why a piece of durable work was not taken on."""
    if isinstance(error, work_errors.BodyConflict):
        resp.status = falcon.HTTP_CONFLICT
        resp.text = codec.to_json({"title": "body_conflict"})
    elif isinstance(error, work_errors.Undecided):
        resp.status = falcon.HTTP_SERVICE_UNAVAILABLE
        resp.set_header("Retry-After", f"{error.retry_after:g}")
        resp.text = codec.to_json({"title": "undecided", "outcome": "unknown"})
    elif isinstance(error, work_errors.StoreUnavailable):
        refuse(resp, messages.Refusal(503, "store_unavailable", error.retry_after))
    elif isinstance(error, placement_errors.NotPlaced):
        refuse(resp, messages.Refusal(503, error.reason.value, error.retry_after))


class WorkResource:
    """``GET /v1/work/{request_id}``: the outcome of durable work."""

    def __init__(self, front: Front) -> None:
        self.front = front

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, request_id: str
    ) -> None:
        """Return what is known of a piece of work."""
        identity = self.front.identify(req)
        found = self.front.runner.look_up(identity.team, request_id)
        if isinstance(found, result.Err):
            refuse_work(resp, found.err_value)
            return
        if found.ok_value is None:
            raise falcon.HTTPNotFound(title="unknown_request")
        resp.text = codec.to_json(found.ok_value)


class WatchResource:
    """``GET /v1/watches/{service}/{operation}``: events as lines of JSON."""

    def __init__(self, front: Front) -> None:
        self.front = front

    def on_get(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        service: str,
        operation: str,
    ) -> None:
        """Stream the events of ``subject`` past sequence number ``after``."""
        request = self.front.read(req, service, operation)
        if request.declared.mode is not schema.Mode.WATCH:
            raise falcon.HTTPBadRequest(title="not_a_watch")
        subject = req.get_param("subject", required=True)
        after = req.get_param_as_int("after", default=0)
        needs = resources.Resources(connections=1)
        candidates = self.front.owned.fitting(needs)
        if not candidates:
            refuse(resp, messages.Refusal(503, "no_capacity", quotes.COME_BACK))
            return
        resp.content_type = "application/x-ndjson"
        resp.stream = self._events(candidates[0], request, subject, after)

    def _events(
        self,
        owned: workers.OwnedWorker,
        request: messages.ServiceRequest,
        subject: str,
        after: int,
    ) -> t.Iterator[bytes]:
        task_id = f"{request.team}/{request.request_id}"
        owned.ledger.reserve(task_id, resources.Resources(connections=1))
        try:
            for event in owned.target.watch(subject, after):
                if isinstance(event, result.Err):
                    return
                yield codec.to_json(event.ok_value).encode() + b"\n"
        finally:
            owned.ledger.release(task_id)


class JobsResource:
    """``POST /v1/jobs`` and ``GET /v1/jobs/{job_id}``."""

    def __init__(self, front: Front) -> None:
        self.front = front

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Accept a job; accepted means that it is recorded."""
        identity = self.front.identify(req)
        body = self.front.body(req)
        try:
            job = msgspec.convert({**body, "team": identity.team}, job_messages.Job)
        except (msgspec.ValidationError, TypeError) as exc:
            self.front.counters.count("front.refused.malformed")
            raise falcon.HTTPBadRequest(
                title="malformed", description=str(exc)
            ) from exc
        submitted = self.front.jobs.submit(job)
        if isinstance(submitted, result.Err):
            refuse(resp, messages.Refusal(503, "store_unavailable", quotes.COME_BACK))
            return
        resp.status = falcon.HTTP_CREATED
        resp.text = codec.to_json(submitted.ok_value)

    def on_get(self, req: falcon.Request, resp: falcon.Response, job_id: str) -> None:
        """Return how far a job has come."""
        identity = self.front.identify(req)
        progress = self.front.jobs.look_up(identity.team, job_id)
        if progress is None:
            raise falcon.HTTPNotFound(title="unknown_job")
        resp.text = codec.to_json(progress)


class StatusResource:
    """``GET /v1/status``: what this instance knows of itself."""

    def __init__(self, front: Front) -> None:
        self.front = front

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the status."""
        self.front.identify(req)
        resp.text = codec.to_json(self.front.describe())


class HealthResource:
    """``GET /healthz``: the process runs."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return 200 always."""
        resp.text = '{"healthy": true}'


class ReadyResource:
    """``GET /readyz``: the balancer may send callers here."""

    def __init__(self, front: Front) -> None:
        self.front = front

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return 200 while new requests are welcome, else 503."""
        if not self.front.ready:
            resp.status = falcon.HTTP_SERVICE_UNAVAILABLE
        resp.text = codec.to_json({"ready": self.front.ready})


def create(front: Front) -> falcon.App:
    """Return the WSGI application."""
    app = falcon.App()
    app.add_route("/v1/services/{service}/{operation}", ServiceResource(front))
    app.add_route("/v1/work/{request_id}", WorkResource(front))
    app.add_route("/v1/watches/{service}/{operation}", WatchResource(front))
    jobs = JobsResource(front)
    app.add_route("/v1/jobs", jobs)
    app.add_route("/v1/jobs/{job_id}", jobs)
    app.add_route("/v1/status", StatusResource(front))
    app.add_route("/healthz", HealthResource())
    app.add_route("/readyz", ReadyResource(front))
    return app
