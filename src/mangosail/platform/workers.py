"""Sends orders to workers over HTTP; implements `ports.WorkerClient`."""

import typing as t

import logbook
import result

from mangosail import codec
from mangosail.platform import caller as http_caller
from mangosail.platform import errors as call_errors
from mangosail.platform import wire
from mangosail.scheduler import errors, messages

log = logbook.Logger("workers")

#: Seconds after which the outcome of an unanswered order is unknown.
ORDER_TIMEOUT_S = 0.9
#: Seconds that a poll may take beyond the time that it waits for a run to end.
POLL_MARGIN_S = 0.8
#: Timeout in seconds for the complete answer to a poll: the answers of many workers
#: share a slow link. A later one could not extend leases, of 4.3 s, in time.
POLL_TOTAL_TIMEOUT_S = 3.0
#: Ends in one answer to a poll from which there may be more, listed by later answers.
MAX_REPORTED_ENDS = 500
#: Connections to one worker for orders: a share of the 64 that it accepts, which
#: leaves room for a later leader.
ORDER_CONNECTIONS = 6
#: Share of this process's file descriptors for order connections. Each worker takes one
#: more for polls, and callers, peers and the store need some hundreds.
ORDER_SHARE = 0.6
#: Connections to one worker for polls, of which only one is pending at a time.
POLL_CONNECTIONS = 1
#: Minimum number of order connections per worker: an order may still wait for its
#: answer while an out-of-band poll finds out its outcome.
MIN_ORDER_CONNECTIONS = 2
#: File descriptors for files, callers, peers and the store.
RESERVED_DESCRIPTORS = 800
#: Maximum number of gone workers whose connections are kept besides the polled ones.
MAX_GONE_WORKERS = 200

OK = 200
INVALID = 400
REJECTED = 409
OTHER_INCARNATION = 421

#: Reasons for rejected orders, by the platform's names.
REASONS = {
    "fence": errors.Reason.FENCED,
    "old": errors.Reason.SUPERSEDED,
    "late": errors.Reason.EXPIRED,
    "room": errors.Reason.NO_ROOM,
    "ticket": errors.Reason.TICKET,
}


class HttpWorkers:
    """Sends requests to workers, on pooled connections to each."""

    def __init__(self, descriptors: int) -> None:
        each = POLL_CONNECTIONS + MIN_ORDER_CONNECTIONS
        #: Number of workers for which the file descriptors suffice.
        self.max_workers = max((descriptors - RESERVED_DESCRIPTORS) // each, 1)
        kept = self.max_workers + MAX_GONE_WORKERS
        budget = int(descriptors * ORDER_SHARE)
        self.order_callers = http_caller.Callers(ORDER_CONNECTIONS, kept, budget)
        self.poll_callers = http_caller.Callers(POLL_CONNECTIONS, kept)

    def connections(self) -> int:
        """Return how many connections to workers there may currently be."""
        orders, polls = self.order_callers, self.poll_callers
        return orders.max_connections() + polls.max_connections()

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
        """Stop a run, or prevent its start if it has not begun; return the clock."""
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
        """Limit a run to `percent` of its speed; return the worker's clock."""
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
        """Extend the lease to `deadline`, and return running and ended runs."""
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
            log.error(
                "poll answer cannot be decoded", worker=worker.name, error=str(exc)
            )
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
    """Return headers that make another incarnation of the worker reject an order."""
    return {"Content-Type": "application/json", "Expect-Instance": worker.name}


def to_order_error(error: http_caller.CallError) -> errors.OrderError:
    """Convert the error of a call without an answer to that of its order."""
    if isinstance(error, call_errors.Unavailable):
        return errors.Unwell(0)
    return errors.Silent(error.reason)


def decode_refusal(reply: http_caller.Reply) -> errors.OrderError:
    """Convert an unsuccessful answer to the error of its order."""
    if reply.status == OTHER_INCARNATION:
        return errors.Replaced()
    if reply.status in (429, 503):
        return errors.Unwell(reply.status)
    if reply.status == INVALID:
        log.error("worker rejected order as invalid", body=str(reply.body[:300]))
        return errors.Rejected(errors.Reason.INVALID)
    if reply.status != REJECTED:
        return errors.Silent(f"status {reply.status}")
    answer = decode_order_answer(reply.body)
    clock = None if answer.clock_ms is None else int(answer.clock_ms)
    return errors.Rejected(REASONS.get(answer.reason, errors.Reason.INVALID), clock)


def decode_order_answer(body: bytes) -> wire.OrderAnswer:
    """Decode a worker's answer; an empty one if that fails."""
    try:
        return codec.from_json(body, wire.OrderAnswer)
    except codec.DecodeError as exc:
        log.error("order answer cannot be decoded", error=str(exc))
        return wire.OrderAnswer()


def to_report(answer: wire.HeldRuns) -> messages.WorkerReport:
    """Convert a worker's answer to a poll."""
    running = tuple(
        messages.RunningTask(
            row[0], int(row[1]), row[2] or "", int(row[3]),
            float(row[4]) if len(row) > 4 and row[4] is not None else 0.0,
        )
        for row in answer.running
    )  # fmt: skip
    ended = tuple(
        messages.RunEnd(
            int(row[0]), row[1], int(row[2]), messages.Outcome(row[3]), row[4] or ""
        )
        for row in answer.ended
    )
    return messages.WorkerReport(
        int(answer.clock_ms),
        running,
        ended,
        answer.born,
        complete=len(ended) < MAX_REPORTED_ENDS,
    )
