"""Attempts at idempotent requests on workers, tracked until they have terminated.

A request may be tried on several workers, sequentially or concurrently. Each attempt
has its own task id and its own reservation, which is released only once the task is
known not to be running any more, so the ledger never understates the load.
"""

import dataclasses
import itertools
import secrets

import gevent
import gevent.queue
import logbook
import result

from mangosail import clock as clocks
from mangosail.control import tails
from mangosail.dispatch import errors as dispatch_errors
from mangosail.dispatch import messages as dispatch_messages
from mangosail.front import messages
from mangosail.ownership import session
from mangosail.placement import errors as placement_errors
from mangosail.placement import messages as placement_messages
from mangosail.placement import placer, workers
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("attempts")

#: Timeout in seconds of a void call, which asks a worker for the state of an attempt
#: and keeps an attempt that it has not seen from starting.
VOID_TIMEOUT_S = 1.0
#: Seconds between void calls for the same attempt.
VOID_INTERVAL_S = 0.25
#: A connection is considered silent if a start request sent on it has not arrived after
#: at least this many times as long as the worker takes to answer the void call.
SILENT_CONNECTION_FACTOR = 2.0

Answer = result.Result[dispatch_messages.Report, dispatch_errors.DispatchError]


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a request on one worker; `answer` is None while it runs."""

    owned_worker: workers.OwnedWorker
    start: dispatch_messages.Start
    started_at: float
    #: Declared p99 latency target of the operation, if any.
    target_seconds: float | None
    greenlet: gevent.Greenlet | None = None
    answer: Answer | None = None
    #: Monotonic time at which the start request was sent, and whether its connection
    #: had carried answers before.
    sent_at: float | None = None
    reused_connection: bool = False
    #: Monotonic time until which a start request that has not arrived may still be in
    #: transit.
    suspect_at: float = 0.0
    #: Monotonic time at which it was cancelled, or its call returned.
    ended_at: float = 0.0
    #: True once the attempt was recorded as late or failed on its worker.
    failure_recorded: bool = False

    def mark_sent(
        self, at: float, suspect_after: float, reused_connection: bool
    ) -> None:
        """Record that the start request was sent.

        If it has not arrived `suspect_after` seconds later, its connection is suspect.
        """
        self.sent_at = at
        self.suspect_at = at + suspect_after
        self.reused_connection = reused_connection

    def summary(self, since: float) -> dict[str, object]:
        """Return the fields for a log line, with times in seconds from `since`."""
        sent = None if self.sent_at is None else round(self.sent_at - since, 3)
        answer = "" if self.answer is None else type(self.answer).__name__
        return {
            "worker": self.owned_worker.name,
            "begun": round(self.started_at - since, 3),
            "sent": sent,
            "proven": self.reused_connection,
            "answer": answer,
        }

    def connection_went_silent(self, void_seconds: float) -> bool:
        """Return whether a silent connection lost a start request that never arrived.

        The worker took `void_seconds` to report that it has not seen the request. A new
        connection is never considered silent. If the worker or this process was merely
        delayed, the request was not in transit for much longer than the void call that
        overtook it: treating such delays as silence closed all idle connections of a
        healthy worker each time.
        """
        if self.sent_at is None or not self.reused_connection:
            return False
        under_way = self.ended_at - self.sent_at
        late = under_way >= SILENT_CONNECTION_FACTOR * void_seconds
        return late and self.ended_at >= self.suspect_at


class Attempts:
    """Starts attempts on this instance's workers and resolves the lost ones."""

    def __init__(
        self,
        task_placer: placer.Placer,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        tail_latencies: tails.Tails,
    ) -> None:
        self.placer = task_placer
        self.lease = lease
        self.tail_latencies = tail_latencies
        self.clock = clock
        self.counters = counters
        #: Makes task ids unique across all instances, and runs of them, that ever own
        #: the same worker.
        self.task_id_prefix = secrets.token_hex(4)
        self.attempt_numbers = itertools.count(1)
        #: Additional attempts at a request that has another one, and attempts that were
        #: cancelled but may still be running.
        self.extra: set[Attempt] = set()

    def start(
        self,
        request: messages.ServiceRequest,
        avoid: frozenset[str],
        answers: "gevent.queue.SimpleQueue[Attempt]",
        new_connection: bool = False,
        suspect_after: float = 0.0,
    ) -> result.Result[Attempt, placement_errors.NotPlaced]:
        """Start an attempt, or return why it could not be placed.

        The attempt is put into `answers` when it ends. It is not placed on a worker in
        `avoid`, and opens a new connection if `new_connection` is set. If it is
        cancelled within `suspect_after` seconds, its connection is not suspected.
        """
        # A worker refuses a task id that it has already seen, even in a retry.
        suffix = f"~{self.task_id_prefix}-{next(self.attempt_numbers)}"
        work = work_of(request, suffix)
        placed = self.placer.place(work, request.deadline, avoid)
        if isinstance(placed, result.Err):
            return placed
        owned = placed.ok_value.owned
        now = self.clock.monotonic()
        start = dispatch_messages.Start(
            task_id=work.task_id,
            generation=1,
            owner_generation=owned.generation,
            lease_deadline=self.clock.wall() + request.deadline - now,
            team=request.team,
            kind=request.kind,
            needs=placed.ok_value.work.needs,
            body=request.body,
            idempotent=True,
            start_deadline=self.lease.start_deadline(),
        )
        if new_connection:
            owned.target.retire_idle()
        attempt = Attempt(owned, start, now, request.declared.target_p99_seconds)
        if avoid:
            self.extra.add(attempt)
        attempt.greenlet = gevent.spawn(
            self._run, attempt, request.deadline, suspect_after, answers
        )
        return result.Ok(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt that is still running, closing its connection at once."""
        if attempt.answer is not None or attempt.greenlet is None:
            return
        attempt.greenlet.kill(block=False)
        attempt.ended_at = self.clock.monotonic()
        self.extra.add(attempt)
        self._record_latency(attempt)
        self.counters.count("front.attempt_cancelled")
        gevent.spawn(self._await_termination, attempt)

    def _run(
        self,
        attempt: Attempt,
        deadline: float,
        suspect_after: float,
        answers: "gevent.queue.SimpleQueue[Attempt]",
    ) -> None:
        attempt.answer = attempt.owned_worker.target.run(
            attempt.start,
            deadline,
            lambda proven: attempt.mark_sent(
                self.clock.monotonic(), suspect_after, proven
            ),
        )
        attempt.ended_at = self.clock.monotonic()
        self._record_latency(attempt)
        task_id = attempt.start.task_id
        answers.put(attempt)
        if is_lost(attempt.answer):
            self._await_termination(attempt)
        else:
            self.placer.finish(task_id, ok=isinstance(attempt.answer, result.Ok))
            self.extra.discard(attempt)

    def _record_latency(self, attempt: Attempt) -> None:
        """Record the latency; for a cancelled attempt it is a lower bound."""
        seconds = self.clock.monotonic() - attempt.started_at
        self.tail_latencies.observe(
            attempt.owned_worker.name,
            attempt.start.team,
            attempt.target_seconds,
            attempt.started_at,
            seconds,
        )

    def _await_termination(self, attempt: Attempt) -> None:
        """Hold the reservation until the task is known not to be running.

        That is the case once the worker confirms it, or once the task's lease has
        expired on the worker's clock as well. If the worker never received a start
        request that was sent, the connection may have gone silent.
        """
        start = attempt.start
        lease_end = start.lease_deadline + clocks.CLOCK_SKEW_MARGIN_S
        while self.clock.wall() < lease_end:
            deadline = self.clock.monotonic() + VOID_TIMEOUT_S
            target = attempt.owned_worker.target
            asked_at = self.clock.monotonic()
            voided = target.void(start.task_id, start.generation, deadline)
            if isinstance(voided, result.Ok):
                took = self.clock.monotonic() - asked_at
                self._record_void_answer(attempt, voided.ok_value.state, took)
                break
            # The failure is attributed to an unreachable worker until it answers.
            self._record_failure(attempt)
            self.clock.sleep(VOID_INTERVAL_S)
        else:
            self.counters.count("dispatch.settled.lease_over")
        self.placer.release(start.task_id)
        self.extra.discard(attempt)

    def _record_void_answer(
        self,
        attempt: Attempt,
        state: dispatch_messages.TaskState,
        void_seconds: float,
    ) -> None:
        if state is not dispatch_messages.TaskState.VOID:
            self.counters.count("dispatch.settled.slow_worker")
            self._record_failure(attempt)
            return
        silenced = attempt.connection_went_silent(void_seconds)
        log.info(
            "start not received by worker",
            silenced=silenced,
            void_took=round(void_seconds, 4),
            given_up=round(attempt.ended_at - attempt.started_at, 4),
            suspect=round(attempt.suspect_at - attempt.started_at, 4),
            **attempt.summary(attempt.started_at),
        )
        if not silenced:
            # The other attempt won before this start request arrived, or the worker is
            # newly connected or busy.
            self.counters.count("dispatch.settled.unseen")
            return
        # The worker never received the request. Recording a failure would keep quotes
        # away from a healthy worker for seconds, as ejecting it would.
        self.counters.count("dispatch.settled.silent_connection")
        attempt.owned_worker.target.retire_idle()

    def _record_failure(self, attempt: Attempt) -> None:
        """Record the attempt as late or failed on its worker, at most once.

        An attempt that was cancelled while it ran is late, but has not failed.
        """
        if attempt.failure_recorded:
            return
        attempt.failure_recorded = True
        if attempt.answer is None:
            self.placer.record_timeout(attempt.start.task_id)
        else:
            self.placer.record_outcome(attempt.start.task_id, ok=False)


def work_of(request: messages.ServiceRequest, suffix: str) -> placement_messages.Work:
    """Return the unit of work that placement handles for an attempt at `request`."""
    return placement_messages.Work(
        f"{request.team}/{request.request_id}{suffix}",
        request.team,
        request.kind,
        request.declared.needs.as_resources(),
    )


def is_lost(answer: Answer) -> bool:
    """Return whether the task may still be running."""
    return isinstance(answer, result.Err) and isinstance(
        answer.err_value, dispatch_errors.Lost
    )
