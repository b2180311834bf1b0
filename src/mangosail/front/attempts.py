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
VOID_TIMEOUT = 1.0
#: Seconds between such questions.
VOID_INTERVAL = 0.25
#: How many times as long as the worker takes to answer that question an order must have
#: been on its way, unseen, for its connection to be taken for silent.
VOID_FACTOR = 2.0

Answer = result.Result[dispatch_messages.Report, dispatch_errors.DispatchError]


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request on one worker; `answer` is None while it runs."""

    owned: workers.OwnedWorker
    start: dispatch_messages.Start
    started_at: float
    #: What the latency of nearly all attempts should stay under, if declared.
    target_seconds: float | None
    greenlet: gevent.Greenlet | None = None
    answer: Answer | None = None
    #: Monotonic time at which the order went out, and whether its connection had
    #: carried answers before.
    sent_at: float | None = None
    proven: bool = False
    #: Monotonic time until which an order that is not seen may be on its way.
    suspect_at: float = 0.0
    #: Monotonic time at which it was given up, or its answer lost.
    given_up_at: float = 0.0
    #: True once the loss of the attempt was held against its worker.
    blamed: bool = False

    def sent(self, at: float, patience: float, proven: bool) -> None:
        """Take note that the order went out; unseen, it is suspect after `patience`."""
        self.sent_at = at
        self.suspect_at = at + patience
        self.proven = proven

    def summary(self, since: float) -> dict[str, object]:
        """Return what a log line tells of it, its times in seconds from `since`."""
        sent = None if self.sent_at is None else round(self.sent_at - since, 3)
        answer = "" if self.answer is None else type(self.answer).__name__
        return {
            "worker": self.owned.name,
            "begun": round(self.started_at - since, 3),
            "sent": sent,
            "proven": self.proven,
            "answer": answer,
        }

    def silenced(self, void_seconds: float) -> bool:
        """Tell whether the connection is to blame for an order that was never seen.

        Its worker said so within `void_seconds`. What is new has not lost track of its
        two ends. And where the worker itself, or this process, was held up, the order
        was not on its way for much longer than the question that overtook it: taken for
        silence, each such moment cost all idle connections of a sound worker.
        """
        if self.sent_at is None or not self.proven:
            return False
        under_way = self.given_up_at - self.sent_at
        late = under_way >= VOID_FACTOR * void_seconds
        return late and self.given_up_at >= self.suspect_at


class Attempts:
    """Starts attempts on this instance's workers and settles the lost ones."""

    def __init__(
        self,
        place: placer.Placer,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        seen: tails.Tails,
    ) -> None:
        self.placer = place
        self.lease = lease
        self.tails = seen
        self.clock = clock
        self.counters = counters
        #: Makes task ids unique among the instances and runs that own a worker.
        self.prefix = secrets.token_hex(4)
        self.numbers = itertools.count(1)
        #: Attempts beside another one, and those given up but not settled.
        self.extra: set[Attempt] = set()

    def begin(
        self,
        request: messages.ServiceRequest,
        avoid: frozenset[str],
        answers: "gevent.queue.SimpleQueue[Attempt]",
        fresh: bool = False,
        patience: float = 0.0,
    ) -> result.Result[Attempt, placement_errors.NotPlaced]:
        """Start an attempt whose end is put into `answers`, or tell why not.

        It goes to none of the workers to `avoid`, and over a new connection if
        `fresh`. Given up within `patience` seconds, it tells nothing of its
        connection.
        """
        # A worker refuses a task id that it has seen, also in a repeated request.
        suffix = f"~{self.prefix}-{next(self.numbers)}"
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
        if fresh:
            owned.target.retire_idle()
        attempt = Attempt(owned, start, now, request.declared.target_p99_seconds)
        if avoid:
            self.extra.add(attempt)
        attempt.greenlet = gevent.spawn(
            self._run, attempt, request.deadline, patience, answers
        )
        return result.Ok(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Give up an attempt that runs still: its connection is closed at once."""
        if attempt.answer is not None or attempt.greenlet is None:
            return
        attempt.greenlet.kill(block=False)
        attempt.given_up_at = self.clock.monotonic()
        self.extra.add(attempt)
        self._observe(attempt)
        self.counters.count("front.attempt_cancelled")
        gevent.spawn(self._settle, attempt)

    def _run(
        self,
        attempt: Attempt,
        deadline: float,
        patience: float,
        answers: "gevent.queue.SimpleQueue[Attempt]",
    ) -> None:
        attempt.answer = attempt.owned.target.run(
            attempt.start,
            deadline,
            lambda proven: attempt.sent(self.clock.monotonic(), patience, proven),
        )
        attempt.given_up_at = self.clock.monotonic()
        self._observe(attempt)
        task_id = attempt.start.task_id
        answers.put(attempt)
        if is_lost(attempt.answer):
            self._settle(attempt)
        else:
            self.placer.finish(task_id, ok=isinstance(attempt.answer, result.Ok))
            self.extra.discard(attempt)

    def _observe(self, attempt: Attempt) -> None:
        """Note the latency; one that was given up took at least as long."""
        seconds = self.clock.monotonic() - attempt.started_at
        self.tails.observe(
            attempt.owned.name,
            attempt.start.team,
            attempt.target_seconds,
            attempt.started_at,
            seconds,
        )

    def _settle(self, attempt: Attempt) -> None:
        """Keep the reservation until the task certainly doesn't run.

        Either the worker promises so, or the lease that the worker holds has
        ended on its clock too. A worker that never saw the order although it
        was sent tells of a connection that went silent.
        """
        start = attempt.start
        lease_end = start.lease_deadline + clocks.CLOCK_SKEW_MARGIN
        while self.clock.wall() < lease_end:
            deadline = self.clock.monotonic() + VOID_TIMEOUT
            target = attempt.owned.target
            asked_at = self.clock.monotonic()
            voided = target.void(start.task_id, start.generation, deadline)
            if isinstance(voided, result.Ok):
                took = self.clock.monotonic() - asked_at
                self._note(attempt, voided.ok_value.state, took)
                break
            # A worker out of reach is at fault until it says otherwise.
            self._blame(attempt)
            self.clock.sleep(VOID_INTERVAL)
        else:
            self.counters.count("dispatch.settled.lease_over")
        self.placer.release(start.task_id)
        self.extra.discard(attempt)

    def _note(
        self,
        attempt: Attempt,
        state: dispatch_messages.TaskState,
        void_seconds: float,
    ) -> None:
        if state is not dispatch_messages.TaskState.VOID:
            self.counters.count("dispatch.settled.slow_worker")
            self._blame(attempt)
            return
        silenced = attempt.silenced(void_seconds)
        log.info(
            "order not seen",
            silenced=silenced,
            void_took=round(void_seconds, 4),
            given_up=round(attempt.given_up_at - attempt.started_at, 4),
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
        attempt.owned.target.retire_idle()

    def _blame(self, attempt: Attempt) -> None:
        """Hold an attempt against its worker, once.

        One that was given up while it ran is late, but has not failed.
        """
        if attempt.blamed:
            return
        attempt.blamed = True
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
