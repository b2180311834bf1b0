"""Handles callers' requests about jobs, and the load balancer's checks, over HTTP."""

import collections.abc as cabc
import typing as t

import falcon
import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.front import headers
from mangosail.intake import catalogs, errors, job_service, relaying
from mangosail.platform import decoding, peering, wire
from mangosail.scheduler import messages
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("ingress")

#: Seconds after which a caller should retry at an instance without a current catalog.
RETRY_AFTER_S = 0.5

#: Timeout in seconds for reading the newest catalog for a request from a peer: half of
#: what the peer waits.
PEER_REFRESH_TIMEOUT_S = relaying.ANSWER_TIMEOUT_S / 2
#: Seconds after which the caller of a request has given up.
CALLER_TIMEOUT_S = 3.0
#: Age in seconds of the catalog from which on an answer by it is logged. A watch whose
#: polls succeed confirms it more often.
LOGGED_AGE_S = 1.0

#: Methods that can be answered from the known state of a job.
KNOWN_STATE_METHODS = frozenset({"GET", "DELETE"})

#: Handles a request about a job of a queue; the job id may be empty.
Method = cabc.Callable[[falcon.Request, falcon.Response, messages.Queue, str], None]


class Ingress:
    """Handles requests of callers; `app` is its WSGI application."""

    def __init__(
        self,
        catalog: catalogs.Catalogs,
        jobs: job_service.JobService,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        relay: relaying.Relay | None = None,
    ) -> None:
        self.catalog = catalog
        self.jobs = jobs
        #: Forwards what cannot be done here; None for requests that came from a peer.
        self.relay = relay
        #: Timeout in seconds for reading the newest catalog. A peer that gets no answer
        #: in time treats the outcome as unknown, and then asks this instance last.
        self.refresh_timeout = (
            catalogs.REFRESH_TIMEOUT_S if relay else PEER_REFRESH_TIMEOUT_S
        )
        self.clock = clock
        self.counters = counters
        self.methods: dict[str, Method] = {
            "POST": self.on_post,
            "GET": self.on_get,
            "DELETE": self.on_delete,
        }
        self.app: t.Any = falcon.App()
        self.app.add_sink(self.dispatch, prefix="/")
        self.app.add_error_handler(Exception, self.on_exception)

    def dispatch(self, req: falcon.Request, resp: falcon.Response, **_: t.Any) -> None:
        """Answer a request, through a peer if the store is unreachable."""
        req.context.deadline = self.clock.elapsed() + CALLER_TIMEOUT_S
        self._answer(req, resp)
        if not resp.context.get("away"):
            self._log_answer(req, resp)
        if self.relay is None:
            resp.set_header("ETag", f'"{self.catalog.version}"')
        elif resp.context.get("away"):
            self._forward(self.relay, req, resp)

    def _log_answer(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Log an answer by a catalog that was not confirmed recently."""
        age = self.catalog.age()
        if age is not None and age > LOGGED_AGE_S:
            log.info(
                "answered by an old catalog", method=req.method, path=req.path,
                status=resp.status, version=self.catalog.version, age=age,
            )  # fmt: skip

    def _forward(
        self, relay: relaying.Relay, req: falcon.Request, resp: falcon.Response
    ) -> None:
        """Replace the refusal by a peer's answer, if a peer gives one."""
        body = self._read_body(req)
        if isinstance(body, result.Err):
            resp.delete_header("Retry-After")
            self._respond_invalid(resp, body.err_value)
            return
        request = relaying.Request(
            req.method,
            req.host,
            req.path,
            body.ok_value,
            self.catalog.min_version,
            req.context.deadline,
        )
        answer = relay.forward(request)
        if answer is None:
            log.info(
                "refused", method=req.method, path=req.path, reason=resp.context.reason,
                version=self.catalog.version, age=self.catalog.age(),
            )  # fmt: skip
            return
        resp.delete_header("Retry-After")
        if isinstance(answer, errors.Undecided):
            self.catalog.invalidate()
            self._respond_error(resp, answer)
            return
        self.catalog.invalidate(answer.version or None)
        resp.status = answer.status
        resp.text = answer.text
        if answer.refusal is not None:
            headers.set_retry_after(resp, answer.refusal.retry_after)

    def _answer(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Find the queue of a request, and answer it."""
        if self.catalog.current() is None:
            self.refuse(resp, "no_catalog", RETRY_AFTER_S)
            return
        least = peering.parse_version(req.get_header(peering.MIN_VERSION_HEADER))
        if self.catalog.invalidated or self.catalog.version < least:
            self.refuse(resp, "catalog_stale", RETRY_AFTER_S)
            return
        if not self.catalog.confirm():
            self._answer_unconfirmed(req, resp)
            return
        queue = self._find_queue(req)
        if isinstance(queue, result.Err):
            self.refuse(resp, queue.err_value.reason, queue.err_value.retry_after)
            return
        if queue.ok_value is None:
            self.counters.count("ingress.unknown_queue")
            resp.status = falcon.HTTP_NOT_FOUND
            resp.text = codec.to_json({"title": "unknown_queue"})
            return
        method = self.methods.get(req.method)
        if method is None:
            resp.status = falcon.HTTP_METHOD_NOT_ALLOWED
            resp.set_header("Allow", ", ".join(self.methods))
            return
        # A newer one may be read while the body arrives.
        req.context.catalog_version = self.catalog.version
        job_id = req.path[len(queue.ok_value.prefix) :]
        method(req, resp, queue.ok_value, job_id)

    def _answer_unconfirmed(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer by a catalog that may have been replaced.

        An instance that is cut off from the store may still tell what it knows of a
        job. Anything else is refused, and forwarded to a peer.
        """
        queue = self.catalog.find(req.host, req.path)
        if queue is not None and req.method in KNOWN_STATE_METHODS:
            state = self.jobs.state_without_store(req.path[len(queue.prefix) :])
            if state is not None and req.method == "GET":
                resp.text = codec.to_json(wire.StatePage(state.value))
                return
            if state in messages.FINAL:
                # Nothing is left to cancel.
                return
        self.refuse(resp, "catalog_stale", RETRY_AFTER_S)

    def _find_queue(
        self, req: falcon.Request
    ) -> result.Result[messages.Queue | None, errors.Refused]:
        host = req.host
        queue = self.catalog.find(host, req.path)
        if queue is not None:
            return result.Ok(queue)
        # The queue may be new: only a fresh catalog shows that it does not exist.
        if not self.catalog.refresh(self.refresh_timeout):
            return result.Err(errors.Refused("catalog_stale", RETRY_AFTER_S))
        return result.Ok(self.catalog.find(host, req.path))

    def on_post(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        queue: messages.Queue,
        job_id: str,
    ) -> None:
        """Accept a job."""
        body = self._read_body(req)
        if isinstance(body, result.Err):
            self._respond_invalid(resp, body.err_value)
            return
        job = decoding.decode_job(
            body.ok_value,
            job_id,
            queue,
            self.clock.wall(),
            req.context.catalog_version,
        )
        if isinstance(job, result.Err):
            self._respond_invalid(resp, job.err_value)
            return
        done = self.jobs.submit(job.ok_value)
        if isinstance(done, result.Err):
            self._respond_error(resp, done.err_value)

    def on_get(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        queue: messages.Queue,
        job_id: str,
    ) -> None:
        """Return a job's state, or the number of waiting jobs of a queue."""
        if not job_id:
            pending = self.jobs.pending(queue.name)
            if isinstance(pending, result.Err):
                self._respond_error(resp, pending.err_value)
                return
            resp.text = codec.to_json(wire.PendingPage(pending.ok_value))
            return
        state = self.jobs.state(job_id)
        if isinstance(state, result.Err):
            self._respond_error(resp, state.err_value)
            return
        resp.text = codec.to_json(wire.StatePage(state.ok_value.value))

    def on_delete(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        queue: messages.Queue,
        job_id: str,
    ) -> None:
        """Cancel a job."""
        done = self.jobs.cancel(job_id)
        if isinstance(done, result.Err):
            self._respond_error(resp, done.err_value)

    def _read_body(self, req: falcon.Request) -> result.Result[bytes, errors.Invalid]:
        """Return the body, which the server has received as a whole; cached."""
        if "body" not in req.context:
            max_bytes = self.catalog.limits().body_bytes
            # The limit may be lower than when the server read the body.
            if (req.content_length or 0) > max_bytes:
                return result.Err(errors.Invalid(f"body: more than {max_bytes} bytes"))
            req.context.body = req.bounded_stream.read()
        return result.Ok(req.context.body)

    def _respond_invalid(self, resp: falcon.Response, invalid: errors.Invalid) -> None:
        self.counters.count("ingress.refused.invalid")
        resp.status = falcon.HTTP_BAD_REQUEST
        resp.text = codec.to_json({"title": "invalid", "description": invalid.fault})

    def _respond_error(
        self, resp: falcon.Response, error: job_service.ChangeError
    ) -> None:
        if isinstance(error, errors.UnknownJob):
            self.counters.count("ingress.unknown_job")
            resp.status = falcon.HTTP_GONE
            resp.text = codec.to_json({"title": "unknown_job"})
        elif isinstance(error, errors.Undecided):
            # Neither success nor refusal would be correct: it may still be stored.
            self.counters.count("ingress.undecided")
            resp.status = falcon.HTTP_GATEWAY_TIMEOUT
            resp.text = codec.to_json({"title": "undecided"})
        else:
            self.refuse(resp, error.reason, error.retry_after)

    def refuse(self, resp: falcon.Response, reason: str, retry_after: float) -> None:
        """Report that nothing was done, and when to retry."""
        self.counters.count(f"ingress.refused.{reason}")
        resp.context.reason = reason
        resp.context.away = reason in errors.LOCAL_REASONS
        resp.status = falcon.HTTP_SERVICE_UNAVAILABLE
        resp.text = codec.to_json({"title": reason, "retry_after": retry_after})
        headers.set_retry_after(resp, retry_after)

    def on_exception(
        self, req: falcon.Request, resp: falcon.Response, ex: Exception, params: t.Any
    ) -> None:
        """Answer an internal error; whether anything was stored is unknown."""
        if isinstance(ex, falcon.HTTPError | falcon.HTTPStatus):
            raise ex
        self.counters.count("ingress.internal_error")
        raise falcon.HTTPBadGateway from ex


class Readiness:
    """Answers the load balancer's checks; `app` is its WSGI application."""

    def __init__(self, catalog: catalogs.Catalogs) -> None:
        self.catalog = catalog
        #: True once a planned shutdown has begun.
        self.draining = False
        self.app: t.Any = falcon.App()
        self.app.add_sink(self.check, prefix="/")

    def ready(self) -> bool:
        """Tell whether this instance should get requests."""
        if self.draining or self.catalog.current() is None:
            return False
        return not self.catalog.stale()

    def check(self, req: falcon.Request, resp: falcon.Response, **_: t.Any) -> None:
        """Answer one check."""
        if not self.ready():
            resp.status = falcon.HTTP_SERVICE_UNAVAILABLE
