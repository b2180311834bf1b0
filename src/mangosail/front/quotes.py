"""Quotes: latency-critical, idempotent requests that are answered synchronously."""

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

#: Maximum number of attempts at one quote on this instance's workers.
MAX_ATTEMPTS = 3
#: Retry budget: retries earned per request, and the most that may accumulate.
RETRY_SHARE = 0.10
RETRY_BURST = 10.0
#: The same for hedges: attempts started while the first one is still running.
HEDGE_SHARE = 0.05
HEDGE_BURST = 5.0
#: Share of a worker's slots that must be free for a hedge. Additional attempts must not
#: take slots that first attempts need, or those would be refused.
HEDGE_FREE_SLOT_SHARE = 0.25
#: Seconds that a first attempt waits at most for slots held by additional attempts, and
#: the polling interval. Those attempts end within milliseconds, and a refusal would
#: cost the caller more than the wait.
SLOT_WAIT_S = 0.05
SLOT_POLL_INTERVAL_S = 0.005
#: Minimum delay in seconds before a hedge, however fast answers are.
MIN_HEDGE_DELAY_S = 0.01
#: Share of the caller's time after which an unanswered attempt is considered lost.
LOST_AFTER_SHARE = 0.5
#: Retry-After in seconds for callers refused for lack of capacity.
RETRY_AFTER_S = 1.0
#: Number of workers, and of peers, listed in the log line that is written for each
#: refusal.
MAX_LOGGED = 8
#: Reasons for which a request is forwarded: a peer may still have capacity.
FORWARDABLE_REASONS = frozenset(
    {placement_errors.Reason.NO_CAPACITY, placement_errors.Reason.DEADLINE}
)

#: Initial refusal of a quote, before any placement was attempted.
NO_CAPACITY = placement_errors.NotPlaced(
    placement_errors.Reason.NO_CAPACITY, RETRY_AFTER_S
)

UNAVAILABLE = 503
TIMED_OUT = 504


class Quotes:
    """Serves quotes on this instance's workers, or else through a peer."""

    def __init__(
        self,
        task_placer: placer.Placer,
        peers: membership.Peers,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        tail_latencies: tails.Tails,
    ) -> None:
        self.placer = task_placer
        self.lease = lease
        self.clock = clock
        self.counters = counters
        self.attempts = attempts.Attempts(
            task_placer, lease, clock, counters, tail_latencies
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
        """Answer `request` here, or through a peer if `forward` is set."""
        self.retries.earn()
        self.hedges.earn()
        hedged = HedgedRequest(self, request)
        answer = hedged.run()
        if answer is not None:
            return answer
        # An attempt that failed, or whose answer was lost, may have run.
        outcome = messages.UNKNOWN if hedged.tried else messages.NOT_RUN
        if self.clock.monotonic() >= request.deadline:
            return self.refuse(TIMED_OUT, "deadline", outcome)
        if forward and hedged.not_placed.reason in FORWARDABLE_REASONS:
            forwarded = self.forwarding.forward(request, outcome)
            if forwarded is not None:
                return forwarded
        return self._refuse_not_placed(hedged.not_placed, outcome)

    def candidates(
        self, request: messages.ServiceRequest, tried: cabc.Sequence[attempts.Attempt]
    ) -> list[workers.OwnedWorker]:
        """Return the untried workers that have capacity for an attempt."""
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
        """Log the free capacity of own workers, and what peers last reported."""
        log.info(
            "no capacity",
            lease_holds=self.lease.valid(),
            workers=[
                owned.summary()
                for owned in itertools.islice(self.placer.owned, MAX_LOGGED)
            ],
            peers=self.forwarding.peers.reported_slots(MAX_LOGGED),
            extra=len(self.attempts.extra),
        )

    def spend(self, attempt_budget: budget.Budget, kind: str, reason: str) -> bool:
        """Spend one attempt from a budget; count it, or the refusal if none is left."""
        if not attempt_budget.spend():
            self.counters.count(f"front.{kind}_refused.budget")
            return False
        self.counters.count(f"front.{kind}.{reason}")
        return True


class HedgedRequest:
    """The attempts at one quote on own workers; the first successful answer wins.

    A second attempt is started on another worker (a hedge) once the first one takes
    longer than nearly all answers of its kind. Once half of the caller's time is over,
    another attempt is started on a new connection, to the same worker if there is no
    other one: the first connection may have gone silent.
    """

    def __init__(self, quotes: Quotes, request: messages.ServiceRequest) -> None:
        self.quotes = quotes
        self.request = request
        self.answers: gevent.queue.SimpleQueue[attempts.Attempt] = (
            gevent.queue.SimpleQueue()
        )
        self.tried: list[attempts.Attempt] = []
        #: Why the last attempt could not be placed.
        self.not_placed = NO_CAPACITY
        now = self.started_at = quotes.clock.monotonic()
        self.hedge_delay = max(quotes.latencies.p95(request.kind), MIN_HEDGE_DELAY_S)
        self.hedge_at = now + self.hedge_delay
        self.lost_at = now + (request.deadline - now) * LOST_AFTER_SHARE

    def run(self) -> messages.Answer | None:
        """Return the answer, or None if own workers can't provide one."""
        self._wait_for_slot()
        try:
            if not self._start_attempt(allow_tried=False):
                return None
            return self._await_answer()
        finally:
            for attempt in self.tried:
                self.quotes.attempts.cancel(attempt)

    def _wait_for_slot(self) -> None:
        """Wait for a slot while additional attempts hold those that this one needs."""
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
        """Log where the caller's time went: this instance, or which worker."""
        now = self.quotes.clock.monotonic()
        log.info(
            "deadline exceeded",
            request=self.request.request_id,
            taken=round(now - self.started_at, 3),
            over=round(now - self.request.deadline, 3),
            patience=round(self.hedge_delay, 3),
            attempts=[attempt.summary(self.started_at) for attempt in self.tried],
        )

    def _next_ended(self) -> attempts.Attempt | None:
        """Return the next attempt that ends, or None when another one is due."""
        until = min(self.hedge_at, self.lost_at, self.request.deadline)
        left = until - self.quotes.clock.monotonic()
        try:
            return self.answers.get(timeout=max(left, 0.0))
        except gevent.queue.Empty:
            return None

    def _add_attempt(self) -> int:
        """Start another attempt if due and allowed; return the number started."""
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
        """Return whether the retry budget and the caller's time allow an attempt."""
        if len(self.tried) >= MAX_ATTEMPTS:
            self.quotes.counters.count("front.retry_refused.attempts")
            return False
        if self.quotes.clock.monotonic() >= self.request.deadline:
            return False
        return self.quotes.spend(self.quotes.retries, "retry", reason)

    def _start_attempt(self, allow_tried: bool, new_connection: bool = False) -> bool:
        """Start an attempt, and return whether it could be placed.

        A worker that was tried before is used only if `allow_tried` is set and no other
        one has capacity.
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
    """Return the names of the workers used by the attempts."""
    return frozenset(attempt.owned_worker.name for attempt in tried)
