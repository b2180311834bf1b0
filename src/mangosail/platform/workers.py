"""Orders to workers over HTTP; implements `scheduler.ports.Workers`."""

import typing as t

import logbook
import result

from mangosail import codec
from mangosail.platform import caller as http_caller
from mangosail.platform import errors as call_errors
from mangosail.platform import wire
from mangosail.scheduler import errors, messages

log = logbook.Logger("workers")

#: Seconds after which an order without an answer is in doubt.
ORDER_TIMEOUT_S = 0.9
#: Seconds that a look may take beyond the time that it waits for an end.
POLL_MARGIN_S = 0.8
#: Seconds within which a look must have come whole: the answers of many workers share a
#: narrow link. One that is later could not extend leases, of 4.3 s, in time.
POLL_TOTAL_TIMEOUT_S = 3.0
#: Connections to one worker for orders; of the 64 that it takes, a share that
#: leaves room for a later leader.
ORDER_CONNECTIONS = 6
#: Share of this process's descriptors that connections for orders may take. Each worker
#: takes one more for looks, and callers, peers and the store need some hundreds.
ORDER_SHARE = 0.6
#: Connections to one worker for looks, which follow one another.
POLL_CONNECTIONS = 1
#: Connections for orders that each worker needs at least: one order may wait for its
#: answer while a look aside finds out what became of it.
MIN_ORDER_CONNECTIONS = 2
#: Descriptors for files, callers, peers and the store.
RESERVED_DESCRIPTORS = 800
#: Workers that are gone whose connections are kept beside those that are attended to.
MAX_GONE_WORKERS = 200

OK = 200
INVALID = 400
REJECTED = 409
OTHER_INCARNATION = 421

#: Words of the platform for why an order was rejected.
REASONS = {
    "fence": errors.Reason.FENCED,
    "old": errors.Reason.SUPERSEDED,
    "late": errors.Reason.EXPIRED,
    "room": errors.Reason.NO_ROOM,
    "ticket": errors.Reason.TICKET,
}


class HttpWorkers:
    """Speaks to workers, with pooled connections to each."""

    def __init__(self, descriptors: int) -> None:
        each = POLL_CONNECTIONS + MIN_ORDER_CONNECTIONS
        #: Workers that the descriptors are enough for.
        self.most = max((descriptors - RESERVED_DESCRIPTORS) // each, 1)
        kept = self.most + MAX_GONE_WORKERS
        budget = int(descriptors * ORDER_SHARE)
        self.order_callers = http_caller.Callers(ORDER_CONNECTIONS, kept, budget)
        self.poll_callers = http_caller.Callers(POLL_CONNECTIONS, kept)

    def start(
        self, worker: messages.WorkerEntry, order: messages.StartOrder
    ) -> result.Result[int, errors.OrderError]:
        """Start a run, and return the worker's clock."""
        body: dict[str, t.Any] = {
            "task": order.task,
            "run": order.run,
            "spec": order.spec,
            "deadline_ms": order.deadline,
            "fencing_token": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return self._order(worker, "/-/run-start", codec.to_json(body))

    def stop(
        self, worker: messages.WorkerEntry, task: str, run: int, token: int
    ) -> result.Result[int, errors.OrderError]:
        """Stop a run, or bar it if it is not there yet; return the worker's clock."""
        body = codec.to_json(wire.RunStop(task, run, token))
        return self._order(worker, "/-/run-stop", body)

    def throttle(
        self,
        worker: messages.WorkerEntry,
        task: str,
        run: int,
        percent: int,
        token: int,
    ) -> result.Result[int, errors.OrderError]:
        """Let a run work at `percent` of its speed; return the worker's clock."""
        body = codec.to_json(wire.Pace(task, run, percent, token))
        return self._order(worker, "/-/pace", body)

    def poll(
        self,
        worker: messages.WorkerEntry,
        token: int,
        acknowledged: int,
        deadline: int | None,
        wait: float,
        out_of_band: bool = False,
    ) -> result.Result[messages.WorkerReport, errors.OrderError]:
        """Extend the lease to `deadline` and return what runs and what ended."""
        body: dict[str, t.Any] = {"fencing_token": token, "last_seen": acknowledged}
        if deadline is not None:
            body["deadline_ms"] = deadline
        if wait:
            body["wait_ms"] = int(wait * 1000)
        callers = self.order_callers if out_of_band else self.poll_callers
        answer = callers.get(worker.name, worker.address).call(
            "POST",
            "/-/hold",
            codec.to_json(body).encode(),
            headers_for(worker),
            wait + POLL_MARGIN_S,
            total_timeout=POLL_TOTAL_TIMEOUT_S,
        )
        if isinstance(answer, result.Err):
            return result.Err(to_order_error(answer.err_value))
        reply = answer.ok_value
        if reply.status != OK:
            return result.Err(decode_refusal(reply))
        try:
            return result.Ok(to_report(codec.from_json(reply.body, wire.HeldRuns)))
        except (codec.DecodeError, ValueError, IndexError) as exc:
            log.error("look unreadable", worker=worker.name, error=str(exc))
            return result.Err(errors.Silent("unreadable"))

    def _order(
        self, worker: messages.WorkerEntry, path: str, body: str
    ) -> result.Result[int, errors.OrderError]:
        answer = self.order_callers.get(worker.name, worker.address).call(
            "POST", path, body.encode(), headers_for(worker), ORDER_TIMEOUT_S,
            total_timeout=ORDER_TIMEOUT_S,
        )  # fmt: skip
        if isinstance(answer, result.Err):
            return result.Err(to_order_error(answer.err_value))
        reply = answer.ok_value
        if reply.status != OK:
            return result.Err(decode_refusal(reply))
        return result.Ok(int(decode_order_answer(reply.body).clock_ms or 0))


def headers_for(worker: messages.WorkerEntry) -> dict[str, str]:
    """Return headers that keep an order from another life of the worker."""
    return {"Content-Type": "application/json", "Expect-Instance": worker.name}


def to_order_error(error: http_caller.CallError) -> errors.OrderError:
    """Return what a call without an answer means for its order."""
    if isinstance(error, call_errors.Unavailable):
        return errors.Unwell(0)
    return errors.Silent(error.reason)


def decode_refusal(reply: http_caller.Reply) -> errors.OrderError:
    """Return what an answer other than success means for its order."""
    if reply.status == OTHER_INCARNATION:
        return errors.Replaced()
    if reply.status in (429, 503):
        return errors.Unwell(reply.status)
    if reply.status == INVALID:
        log.error("worker called an order invalid", body=str(reply.body[:300]))
        return errors.Rejected(errors.Reason.INVALID)
    if reply.status != REJECTED:
        return errors.Silent(f"status {reply.status}")
    answer = decode_order_answer(reply.body)
    clock = None if answer.clock_ms is None else int(answer.clock_ms)
    return errors.Rejected(REASONS.get(answer.reason, errors.Reason.INVALID), clock)


def decode_order_answer(body: bytes) -> wire.OrderAnswer:
    """Return a worker's answer; one that can't be read says nothing."""
    try:
        return codec.from_json(body, wire.OrderAnswer)
    except codec.DecodeError as exc:
        log.error("answer of a worker unreadable", error=str(exc))
        return wire.OrderAnswer()


def to_report(held: wire.HeldRuns) -> messages.WorkerReport:
    """Return a look from the rows in which the worker gives it."""
    running = tuple(
        messages.RunningTask(
            row[0], int(row[1]), row[2] or "", int(row[3]),
            float(row[4]) if len(row) > 4 and row[4] is not None else 0.0,
        )
        for row in held.running
    )  # fmt: skip
    ended = tuple(
        messages.RunEnd(
            int(row[0]), row[1], int(row[2]), messages.Outcome(row[3]), row[4] or ""
        )
        for row in held.ended
    )
    return messages.WorkerReport(int(held.clock_ms), running, ended, held.born)
