"""``/v1/jobs``: batch jobs, which any instance can answer for."""

import dataclasses

import falcon
import result

from mangosail import codec
from mangosail.front import context
from mangosail.jobs import errors, validation

#: Jobs on one page by default, and the most that a caller may ask for.
DEFAULT_PAGE_SIZE = 50
MAX_PAGE_SIZE = 200


class JobsResource:
    """``POST`` and ``GET /v1/jobs``; ``GET`` and ``DELETE /v1/jobs/{job_id}``."""

    def __init__(self, front: context.Front) -> None:
        self.front = front

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Accept a job; once accepted, it is durably stored."""
        identity = self.front.authenticate(req)
        read = validation.parse_job(identity.team, self.front.read_body(req))
        if isinstance(read, result.Err):
            self._refuse(resp, read.err_value)
            return
        job = read.ok_value
        if job.urgent and not self.front.settings.urgent_jobs(identity.team):
            self._refuse(resp, errors.NotAllowed())
            return
        sized = validation.check_size(job.needs, self.front.capacities())
        if isinstance(sized, result.Err):
            self._refuse(resp, sized.err_value)
            return
        submitted = self.front.jobs.submit(job)
        if isinstance(submitted, result.Err):
            self._refuse(resp, submitted.err_value)
            return
        progress, new = submitted.ok_value
        resp.status = falcon.HTTP_CREATED if new else falcon.HTTP_OK
        resp.text = codec.to_json(progress)

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return one page of the team's jobs, sorted by id."""
        identity = self.front.authenticate(req)
        limit = req.get_param_as_int(
            "limit", min_value=1, max_value=MAX_PAGE_SIZE, default=DEFAULT_PAGE_SIZE
        )
        after = req.get_param("after", default="")
        page = self.front.jobs.page(identity.team, after, limit)
        self._answer(resp, page)

    def on_get_job(
        self, req: falcon.Request, resp: falcon.Response, job_id: str
    ) -> None:
        """Return the progress of a job."""
        identity = self.front.authenticate(req)
        self._answer(resp, self.front.jobs.look_up(identity.team, job_id))

    def on_delete_job(
        self, req: falcon.Request, resp: falcon.Response, job_id: str
    ) -> None:
        """Cancel a job; once accepted, none of its waiting tasks will start."""
        identity = self.front.authenticate(req)
        cancelled = self.front.jobs.cancel(identity.team, job_id)
        self._answer(resp, cancelled)
        if isinstance(cancelled, result.Ok):
            resp.status = falcon.HTTP_ACCEPTED

    def _answer(
        self,
        resp: falcon.Response,
        answer: result.Result[object, errors.ReadError | errors.CancelError],
    ) -> None:
        if isinstance(answer, result.Err):
            self._refuse(resp, answer.err_value)
            return
        resp.text = codec.to_json(answer.ok_value)

    def _refuse(
        self,
        resp: falcon.Response,
        error: errors.SubmitError | errors.ReadError | errors.CancelError,
    ) -> None:
        refusal = REFUSALS[type(error)]
        self.front.counters.count(f"front.refused.{refusal.title}")
        resp.status = refusal.status
        body: dict[str, str] = {"title": refusal.title, "outcome": refusal.outcome}
        if isinstance(error, errors.Misfit):
            body["description"] = str(error)
        resp.text = codec.to_json(body)
        if isinstance(error, errors.StoreUnavailable | errors.Undecided):
            resp.set_header("Retry-After", f"{error.retry_after:g}")


@dataclasses.dataclass(frozen=True, slots=True)
class JobRefusal:
    """The response to a caller for one kind of job error."""

    status: int
    title: str
    #: Whether any part of the request may have taken effect.
    outcome: str = "not_run"


REFUSALS: dict[type, JobRefusal] = {
    errors.Malformed: JobRefusal(400, "malformed"),
    errors.NotAllowed: JobRefusal(403, "urgent_not_allowed"),
    errors.UnknownJob: JobRefusal(404, "unknown_job"),
    errors.Conflict: JobRefusal(409, "body_conflict"),
    errors.TooLarge: JobRefusal(422, "too_large"),
    errors.StoreUnavailable: JobRefusal(503, "store_unavailable"),
    errors.Undecided: JobRefusal(503, "undecided", "unknown"),
}
