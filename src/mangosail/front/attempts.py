"""Attempts of idempotent requests on workers, and how surely each has ended.

A request may be tried on several workers, one after the other or at a time. Each
attempt has its own task id and its own reservation, which is given back only when
the task certainly doesn't run any more, so the ledger never understates the load.
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

#: Seconds that a worker may take to say what became of an attempt.
VOID_TIMEOUT_S = 1.0
#: Seconds between such questions.
VOID_INTERVAL_S = 0.25
#: How many times as long as the worker takes to answer that question an order must have
#: been on its way, unseen, for its connection to be taken for silent.
SILENT_CONNECTION_FACTOR = 2.0

Answer = result.Result[dispatch_messages.Report, dispatch_errors.DispatchError]


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request on one worker; `answer` is None while it runs."""

    owned_worker: workers.OwnedWorker
    start: dispatch_messages.Start
    started_at: float
    #: What the latency of nearly all attempts should stay under, if declared.
    target_seconds: float | None
    greenlet: gevent.Greenlet | None = None
    answer: Answer | None = None
    #: Monotonic time at which the order went out, and whether its connection had
    #: carried answers before.
    sent_at: float | None = None
    reused_connection: bool = False
    #: Monotonic time until which an order that is not seen may be on its way.
    suspect_at: float = 0.0
    #: Monotonic time at which it was given up, or its answer lost.
    ended_at: float = 0.0
    #: True once the loss of the attempt was held against its worker.
    failure_recorded: bool = False

    def mark_sent(
        self, at: float, suspect_after: float, reused_connection: bool
    ) -> None:
        """Take note that the order went out; unseen, it is suspect after `patience`."""
        self.sent_at = at
        self.suspect_at = at + suspect_after
        self.reused_connection = reused_connection

    def summary(self, since: float) -> dict[str, object]:
        """Return what a log line tells of it, its times in seconds from `since`."""
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
        """Tell whether the connection is to blame for an order that was never seen.

        Its worker said so within `void_seconds`. What is new has not lost track of its
        two ends. And where the worker itself, or this process, was held up, the order
        was not on its way for much longer than the question that overtook it: taken for
        silence, each such moment cost all idle connections of a sound worker.
        """
        if self.sent_at is None or not self.reused_connection:
            return False
        under_way = self.ended_at - self.sent_at
        late = under_way >= SILENT_CONNECTION_FACTOR * void_seconds
        return late and self.ended_at >= self.suspect_at


class Attempts:
    """Starts attempts on this instance's workers and settles the lost ones."""

    def __init__(
        self,
        task_placer: placer.Placer,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        quote_tails: tails.Tails,
    ) -> None:
        self.placer = task_placer
        self.lease = lease
        self.quote_tails = quote_tails
        self.clock = clock
        self.counters = counters
        #: Makes task ids unique among the instances and runs that own a worker.
        self.task_id_prefix = secrets.token_hex(4)
        self.attempt_numbers = itertools.count(1)
        #: Attempts beside another one, and those given up but not settled.
        self.extra: set[Attempt] = set()

    def start(
        self,
        request: messages.ServiceRequest,
        avoid: frozenset[str],
        answers: "gevent.queue.SimpleQueue[Attempt]",
        new_connection: bool = False,
        suspect_after: float = 0.0,
    ) -> result.Result[Attempt, placement_errors.NotPlaced]:
        """Start an attempt whose end is put into `answers`, or tell why not.

        It goes to none of the workers to `avoid`, and over a new connection if
        `fresh`. Given up within `patience` seconds, it tells nothing of its
        connection.
        """
        # A worker refuses a task id that it has seen, also in a repeated request.
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
        """Give up an attempt that runs still: its connection is closed at once."""
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
        """Note the latency; one that was given up took at least as long."""
        seconds = self.clock.monotonic() - attempt.started_at
        self.quote_tails.observe(
            attempt.owned_worker.name,
            attempt.start.team,
            attempt.target_seconds,
            attempt.started_at,
            seconds,
        )

    def _await_termination(self, attempt: Attempt) -> None:
        """Keep the reservation until the task certainly doesn't run.

        Either the worker promises so, or the lease that the worker holds has
        ended on its clock too. A worker that never saw the order although it
        was sent tells of a connection that went silent.
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
            # A worker out of reach is at fault until it says otherwise.
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
            "order not seen",
            silenced=silenced,
            void_took=round(void_seconds, 4),
            given_up=round(attempt.ended_at - attempt.started_at, 4),
            suspect=round(attempt.suspect_at - attempt.started_at, 4),
            **attempt.summary(attempt.started_at),
        )
        if not silenced:
            # The other attempt won before this one's order had arrived, or the worker
            # is new to us, or busy.
            self.counters.count("dispatch.settled.unseen")
            return
        # The worker never saw the order: held against it, the loss would keep
        # quotes off a sound worker for seconds, as its ejection would.
        self.counters.count("dispatch.settled.silent_connection")
        attempt.owned_worker.target.retire_idle()

    def _record_failure(self, attempt: Attempt) -> None:
        """Hold an attempt against its worker, once.

        One that was given up while it ran is late, but has not failed.
        """
        if attempt.failure_recorded:
            return
        attempt.failure_recorded = True
        if attempt.answer is None:
            self.placer.record_timeout(attempt.start.task_id)
        else:
            self.placer.record_outcome(attempt.start.task_id, ok=False)


def work_of(request: messages.ServiceRequest, suffix: str) -> placement_messages.Work:
    """Return an attempt at the request as placement sees it."""
    return placement_messages.Work(
        f"{request.team}/{request.request_id}{suffix}",
        request.team,
        request.kind,
        request.declared.needs.as_resources(),
    )


def is_lost(answer: Answer) -> bool:
    """Tell whether the task may run still."""
    return isinstance(answer, result.Err) and isinstance(
        answer.err_value, dispatch_errors.Lost
    )
