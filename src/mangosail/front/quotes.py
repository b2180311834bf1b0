"""Quotes: latency-critical, idempotent, answered in the same exchange."""

import collections.abc as cabc
import itertools

import gevent.queue
import logbook
import result

from mangosail import clock as clocks
from mangosail.control import tails
from mangosail.dispatch import answer_times, budget
from mangosail.front import attempts, forwarding, messages
from mangosail.membership import peers as membership
from mangosail.ownership import session
from mangosail.placement import errors as placement_errors
from mangosail.placement import placer, workers
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("quotes")

#: Attempts that one quote may cost here, the first included.
MAX_ATTEMPTS = 3
#: Retries that requests earn, as a share of them, and how many may be saved up.
RETRY_SHARE = 0.10
RETRY_BURST = 10.0
#: The same for attempts started while the first one is still waited for.
HEDGE_SHARE = 0.05
HEDGE_BURST = 5.0
#: Share of a worker's slots that must be free for a hedge: extra attempts must
#: not take the room that first attempts need, which would then be refused.
HEDGE_FREE_SLOT_SHARE = 0.25
#: Seconds that a first attempt waits at most for places that extra ones hold,
#: and between looks; those end within milliseconds, a refusal costs a caller more.
SLOT_WAIT_S = 0.05
SLOT_POLL_INTERVAL_S = 0.005
#: Seconds that a hedge waits at least, however fast answers are.
MIN_HEDGE_DELAY_S = 0.01
#: Share of the caller's time after which a silent first attempt counts as lost.
LOST_AFTER_SHARE = 0.5
#: Seconds after which a caller that found no room should come back.
RETRY_AFTER_S = 1.0
#: Own workers, and peers, that the line of a refusal tells of; it comes with each one.
MAX_LOGGED = 8
#: Refusals after which a peer may still have room.
FORWARDABLE_REASONS = frozenset(
    {placement_errors.Reason.NO_CAPACITY, placement_errors.Reason.DEADLINE}
)

#: What a quote is told that found no owner to ask.
NO_CAPACITY = placement_errors.NotPlaced(
    placement_errors.Reason.NO_CAPACITY, RETRY_AFTER_S
)

UNAVAILABLE = 503
TIMED_OUT = 504


class Quotes:
    """Serves quotes from own workers, else from a peer's."""

    def __init__(
        self,
        task_placer: placer.Placer,
        peers: membership.Peers,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        quote_tails: tails.Tails,
    ) -> None:
        self.placer = task_placer
        self.lease = lease
        self.clock = clock
        self.counters = counters
        self.attempts = attempts.Attempts(
            task_placer, lease, clock, counters, quote_tails
        )
        self.latencies = answer_times.AnswerTimes()
        self.retries = budget.Budget(RETRY_SHARE, RETRY_BURST)
        self.hedges = budget.Budget(HEDGE_SHARE, HEDGE_BURST)
        self.forwarding = forwarding.Forwarding(
            peers,
            lease.row.data_centre,
            lambda: not any(owned.accepts() for owned in task_placer.owned),
            lambda reason: self.spend(self.retries, "retry", reason),
            self.refuse,
            clock,
            counters,
        )

    def serve(
        self, request: messages.ServiceRequest, forward: bool = True
    ) -> messages.Answer:
        """Answer `request` from here, or from a peer if `forward` allows."""
        self.retries.earn()
        self.hedges.earn()
        race = HedgedRequest(self, request)
        answer = race.run()
        if answer is not None:
            return answer
        # An attempt that failed, or whose answer was lost, may have run.
        outcome = messages.UNKNOWN if race.tried else messages.NOT_RUN
        if self.clock.monotonic() >= request.deadline:
            return self.refuse(TIMED_OUT, "deadline", outcome)
        if forward and race.not_placed.reason in FORWARDABLE_REASONS:
            passed_on = self.forwarding.forward(request, outcome)
            if passed_on is not None:
                return passed_on
        return self._refuse_not_placed(race.not_placed, outcome)

    def candidates(
        self, request: messages.ServiceRequest, tried: cabc.Sequence[attempts.Attempt]
    ) -> list[workers.OwnedWorker]:
        """Return the workers that have not been tried and could take an attempt."""
        used = names_of(tried)
        found = self.placer.candidates(attempts.work_of(request, ""))
        return [owned for owned in found if owned.name not in used]

    def refuse(
        self,
        status: int,
        reason: str,
        outcome: str,
        retry_after: float | None = RETRY_AFTER_S,
    ) -> messages.Answer:
        """Return a refusal, and count it."""
        self.counters.count(f"front.refused.{reason}")
        return result.Err(messages.Refusal(status, reason, retry_after, outcome))

    def _refuse_not_placed(
        self, not_placed: placement_errors.NotPlaced, outcome: str
    ) -> messages.Answer:
        late = not_placed.reason is placement_errors.Reason.DEADLINE
        status = TIMED_OUT if late else UNAVAILABLE
        if not_placed.reason is placement_errors.Reason.NO_CAPACITY:
            self._log_no_capacity()
        return self.refuse(
            status, not_placed.reason.value, outcome, not_placed.retry_after
        )

    def _log_no_capacity(self) -> None:
        """Say what own workers have left, and what peers last told of theirs."""
        log.info(
            "no room",
            lease_holds=self.lease.valid(),
            workers=[
                owned.summary()
                for owned in itertools.islice(self.placer.owned, MAX_LOGGED)
            ],
            peers=self.forwarding.peers.reported_slots(MAX_LOGGED),
            extra=len(self.attempts.extra),
        )

    def spend(self, attempt_budget: budget.Budget, kind: str, reason: str) -> bool:
        """Take an extra attempt from a budget, and count it or its refusal."""
        if not attempt_budget.spend():
            self.counters.count(f"front.{kind}_refused.budget")
            return False
        self.counters.count(f"front.{kind}.{reason}")
        return True


class HedgedRequest:
    """The attempts of one quote on own workers; the first whole answer wins.

    The second attempt starts once the first one takes longer than nearly all
    answers of its kind, on another worker (a hedge), or once half of the
    caller's time is over, on a new connection to the same worker if there is no
    other: the connection may have gone silent.
    """

    def __init__(self, quotes: Quotes, request: messages.ServiceRequest) -> None:
        self.quotes = quotes
        self.request = request
        self.answers: gevent.queue.SimpleQueue[attempts.Attempt] = (
            gevent.queue.SimpleQueue()
        )
        self.tried: list[attempts.Attempt] = []
        #: Why the last attempt found no place.
        self.not_placed = NO_CAPACITY
        now = self.started_at = quotes.clock.monotonic()
        self.hedge_delay = max(quotes.latencies.p95(request.kind), MIN_HEDGE_DELAY_S)
        self.hedge_at = now + self.hedge_delay
        self.lost_at = now + (request.deadline - now) * LOST_AFTER_SHARE

    def run(self) -> messages.Answer | None:
        """Return the answer; None if none can be had from own workers."""
        self._wait_for_slot()
        try:
            if not self._start_attempt(allow_tried=False):
                return None
            return self._await_answer()
        finally:
            for attempt in self.tried:
                self.quotes.attempts.cancel(attempt)

    def _wait_for_slot(self) -> None:
        """Wait for a place while extra attempts hold what this one needs."""
        clock = self.quotes.clock
        until = min(clock.monotonic() + SLOT_WAIT_S, self.request.deadline)
        while self.quotes.attempts.extra and clock.monotonic() < until:
            if self.quotes.candidates(self.request, ()):
                return
            self.quotes.counters.count("front.waited.extra_attempts")
            clock.sleep(SLOT_POLL_INTERVAL_S)

    def _await_answer(self) -> messages.Answer | None:
        waiting = 1
        while True:
            ended = self._next_ended()
            if ended is None:
                if self.quotes.clock.monotonic() >= self.request.deadline:
                    self._log_out_of_time()
                    return self.quotes.refuse(TIMED_OUT, "deadline", messages.UNKNOWN)
                waiting += self._add_attempt()
                continue
            waiting -= 1
            answer = ended.answer
            if isinstance(answer, result.Ok):
                return result.Ok(self._to_served(ended, answer.ok_value.answer))
            assert answer is not None
            reason = type(answer.err_value).__name__.lower()
            if waiting:
                continue
            if not self._may_retry(reason):
                return self.quotes.refuse(
                    UNAVAILABLE, f"target_{reason}", messages.UNKNOWN
                )
            if not self._start_attempt(allow_tried=True):
                return None
            waiting += 1

    def _log_out_of_time(self) -> None:
        """Say where the caller's time went: to this instance, or to which worker."""
        now = self.quotes.clock.monotonic()
        log.info(
            "out of time",
            request=self.request.request_id,
            taken=round(now - self.started_at, 3),
            over=round(now - self.request.deadline, 3),
            patience=round(self.hedge_delay, 3),
            attempts=[attempt.summary(self.started_at) for attempt in self.tried],
        )

    def _next_ended(self) -> attempts.Attempt | None:
        """Return the next attempt that ended, or None when it takes too long."""
        until = min(self.hedge_at, self.lost_at, self.request.deadline)
        left = until - self.quotes.clock.monotonic()
        try:
            return self.answers.get(timeout=max(left, 0.0))
        except gevent.queue.Empty:
            return None

    def _add_attempt(self) -> int:
        """Start another attempt beside those that run, and return their number."""
        now = self.quotes.clock.monotonic()
        never = self.request.deadline
        if now >= self.lost_at:
            self.lost_at = self.hedge_at = never
            if not self._may_retry("silent"):
                return 0
            return int(self._start_attempt(allow_tried=True, new_connection=True))
        if now < self.hedge_at:
            return 0
        self.hedge_at = never
        if not self._slots_for_hedge():
            self.quotes.counters.count("front.hedge_refused.room")
            return 0
        if not self.quotes.spend(self.quotes.hedges, "hedge", "slow"):
            return 0
        return int(self._start_attempt(allow_tried=False))

    def _slots_for_hedge(self) -> bool:
        return any(
            owned.ledger.free().slots
            > HEDGE_FREE_SLOT_SHARE * owned.worker.capacity.slots
            for owned in self.quotes.candidates(self.request, self.tried)
        )

    def _may_retry(self, reason: str) -> bool:
        """Tell whether the retry budget and the caller's time allow an attempt."""
        if len(self.tried) >= MAX_ATTEMPTS:
            self.quotes.counters.count("front.retry_refused.attempts")
            return False
        if self.quotes.clock.monotonic() >= self.request.deadline:
            return False
        return self.quotes.spend(self.quotes.retries, "retry", reason)

    def _start_attempt(self, allow_tried: bool, new_connection: bool = False) -> bool:
        """Start an attempt, on a new connection if `fresh`; tell whether it was.

        A worker that was tried is used only if `again` allows it and no other
        has room.
        """
        avoid = names_of(self.tried)
        begun = self._place_attempt(avoid, new_connection)
        if isinstance(begun, result.Err) and allow_tried and avoid:
            begun = self._place_attempt(frozenset(), new_connection)
        if isinstance(begun, result.Err):
            self.not_placed = begun.err_value
            return False
        self.tried.append(begun.ok_value)
        return True

    def _place_attempt(
        self, avoid: frozenset[str], new_connection: bool
    ) -> result.Result[attempts.Attempt, placement_errors.NotPlaced]:
        return self.quotes.attempts.start(
            self.request, avoid, self.answers, new_connection, self.hedge_delay
        )

    def _to_served(self, ended: attempts.Attempt, answer: object) -> messages.Served:
        now = self.quotes.clock.monotonic()
        self.quotes.latencies.observe(self.request.kind, now - ended.started_at)
        if ended is not self.tried[0]:
            self.quotes.counters.count("front.extra_attempt_won")
        return messages.Served(
            answer, ended.owned_worker.name, ended.owned_worker.worker.data_centre
        )


def names_of(tried: cabc.Iterable[attempts.Attempt]) -> frozenset[str]:
    """Return the names of the workers that were tried."""
    return frozenset(attempt.owned_worker.name for attempt in tried)
