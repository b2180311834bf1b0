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
MOST_ATTEMPTS = 3
#: Retries that requests earn, as a share of them, and how many may be saved up.
RETRY_SHARE = 0.10
RETRY_BURST = 10.0
#: The same for attempts started while the first one is still waited for.
HEDGE_SHARE = 0.05
HEDGE_BURST = 5.0
#: Share of a worker's slots that must be free for a hedge: extra attempts must
#: not take the room that first attempts need, which would then be refused.
HEDGE_ROOM = 0.25
#: Seconds that a first attempt waits at most for places that extra ones hold,
#: and between looks; those end within milliseconds, a refusal costs a caller more.
ROOM_WAIT = 0.05
ROOM_INTERVAL = 0.005
#: Seconds that a hedge waits at least, however fast answers are.
SHORTEST_PATIENCE = 0.01
#: Share of the caller's time after which a silent first attempt counts as lost.
LOST_SHARE = 0.5
#: Seconds after which a caller that found no room should come back.
COME_BACK = 1.0
#: Own workers, and peers, that the line of a refusal tells of; it comes with each one.
MOST_TOLD = 8
#: Refusals after which a peer may still have room.
FORWARDED_REASONS = frozenset(
    {placement_errors.Reason.NO_CAPACITY, placement_errors.Reason.DEADLINE}
)

#: What a quote is told that found no owner to ask.
NO_ROOM = placement_errors.NotPlaced(placement_errors.Reason.NO_CAPACITY, COME_BACK)

UNAVAILABLE = 503
TIMED_OUT = 504


class Quotes:
    """Serves quotes from own workers, else from a peer's."""

    def __init__(
        self,
        place: placer.Placer,
        peers: membership.Peers,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        seen: tails.Tails,
    ) -> None:
        self.placer = place
        self.lease = lease
        self.clock = clock
        self.counters = counters
        self.attempts = attempts.Attempts(place, lease, clock, counters, seen)
        self.latencies = answer_times.AnswerTimes()
        self.retries = budget.Budget(RETRY_SHARE, RETRY_BURST)
        self.hedges = budget.Budget(HEDGE_SHARE, HEDGE_BURST)
        self.forwarding = forwarding.Forwarding(
            peers,
            lease.row.data_centre,
            lambda: not any(owned.accepts() for owned in place.owned),
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
        race = Race(self, request)
        answer = race.run()
        if answer is not None:
            return answer
        # An attempt that failed, or whose answer was lost, may have run.
        outcome = messages.UNKNOWN if race.tried else messages.NOT_RUN
        if self.clock.monotonic() >= request.deadline:
            return self.refuse(TIMED_OUT, "deadline", outcome)
        if forward and race.refused.reason in FORWARDED_REASONS:
            passed_on = self.forwarding.forward(request, outcome)
            if passed_on is not None:
                return passed_on
        return self._not_placed(race.refused, outcome)

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
        retry_after: float | None = COME_BACK,
    ) -> messages.Answer:
        """Return a refusal, and count it."""
        self.counters.count(f"front.refused.{reason}")
        return result.Err(messages.Refusal(status, reason, retry_after, outcome))

    def _not_placed(
        self, refused: placement_errors.NotPlaced, outcome: str
    ) -> messages.Answer:
        late = refused.reason is placement_errors.Reason.DEADLINE
        status = TIMED_OUT if late else UNAVAILABLE
        if refused.reason is placement_errors.Reason.NO_CAPACITY:
            self._log_no_room()
        return self.refuse(status, refused.reason.value, outcome, refused.retry_after)

    def _log_no_room(self) -> None:
        """Say what own workers have left, and what peers last told of theirs."""
        log.info(
            "no room",
            lease_holds=self.lease.valid(),
            workers=[
                owned.summary()
                for owned in itertools.islice(self.placer.owned, MOST_TOLD)
            ],
            peers=self.forwarding.peers.told_slots(MOST_TOLD),
            extra=len(self.attempts.extra),
        )

    def spend(self, extra: budget.Budget, what: str, reason: str) -> bool:
        """Take an extra attempt from a budget, and count it or its refusal."""
        if not extra.spend():
            self.counters.count(f"front.{what}_refused.budget")
            return False
        self.counters.count(f"front.{what}.{reason}")
        return True


class Race:
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
        self.refused = NO_ROOM
        now = self.began_at = quotes.clock.monotonic()
        self.patience = max(quotes.latencies.p95(request.kind), SHORTEST_PATIENCE)
        self.hedge_at = now + self.patience
        self.lost_at = now + (request.deadline - now) * LOST_SHARE

    def run(self) -> messages.Answer | None:
        """Return the answer; None if none can be had from own workers."""
        self._await_extra()
        try:
            if not self._begin(again=False):
                return None
            return self._wait()
        finally:
            for attempt in self.tried:
                self.quotes.attempts.cancel(attempt)

    def _await_extra(self) -> None:
        """Wait for a place while extra attempts hold what this one needs."""
        clock = self.quotes.clock
        until = min(clock.monotonic() + ROOM_WAIT, self.request.deadline)
        while self.quotes.attempts.extra and clock.monotonic() < until:
            if self.quotes.candidates(self.request, ()):
                return
            self.quotes.counters.count("front.waited.extra_attempts")
            clock.sleep(ROOM_INTERVAL)

    def _wait(self) -> messages.Answer | None:
        waiting = 1
        while True:
            ended = self._next()
            if ended is None:
                if self.quotes.clock.monotonic() >= self.request.deadline:
                    self._log_out_of_time()
                    return self.quotes.refuse(TIMED_OUT, "deadline", messages.UNKNOWN)
                waiting += self._add()
                continue
            waiting -= 1
            answer = ended.answer
            if isinstance(answer, result.Ok):
                return result.Ok(self._served(ended, answer.ok_value.answer))
            assert answer is not None
            reason = type(answer.err_value).__name__.lower()
            if waiting:
                continue
            if not self._another(reason):
                return self.quotes.refuse(
                    UNAVAILABLE, f"target_{reason}", messages.UNKNOWN
                )
            if not self._begin(again=True):
                return None
            waiting += 1

    def _log_out_of_time(self) -> None:
        """Say where the caller's time went: to this instance, or to which worker."""
        now = self.quotes.clock.monotonic()
        log.info(
            "out of time",
            request=self.request.request_id,
            taken=round(now - self.began_at, 3),
            over=round(now - self.request.deadline, 3),
            patience=round(self.patience, 3),
            attempts=[attempt.summary(self.began_at) for attempt in self.tried],
        )

    def _next(self) -> attempts.Attempt | None:
        """Return the next attempt that ended, or None when it takes too long."""
        until = min(self.hedge_at, self.lost_at, self.request.deadline)
        left = until - self.quotes.clock.monotonic()
        try:
            return self.answers.get(timeout=max(left, 0.0))
        except gevent.queue.Empty:
            return None

    def _add(self) -> int:
        """Start another attempt beside those that run, and return their number."""
        now = self.quotes.clock.monotonic()
        never = self.request.deadline
        if now >= self.lost_at:
            self.lost_at = self.hedge_at = never
            if not self._another("silent"):
                return 0
            return int(self._begin(again=True, fresh=True))
        if now < self.hedge_at:
            return 0
        self.hedge_at = never
        if not self._room_for_hedge():
            self.quotes.counters.count("front.hedge_refused.room")
            return 0
        if not self.quotes.spend(self.quotes.hedges, "hedge", "slow"):
            return 0
        return int(self._begin(again=False))

    def _room_for_hedge(self) -> bool:
        return any(
            owned.ledger.free().slots > HEDGE_ROOM * owned.worker.capacity.slots
            for owned in self.quotes.candidates(self.request, self.tried)
        )

    def _another(self, reason: str) -> bool:
        """Tell whether the retry budget and the caller's time allow an attempt."""
        if len(self.tried) >= MOST_ATTEMPTS:
            self.quotes.counters.count("front.retry_refused.attempts")
            return False
        if self.quotes.clock.monotonic() >= self.request.deadline:
            return False
        return self.quotes.spend(self.quotes.retries, "retry", reason)

    def _begin(self, again: bool, fresh: bool = False) -> bool:
        """Start an attempt, on a new connection if `fresh`; tell whether it was.

        A worker that was tried is used only if `again` allows it and no other
        has room.
        """
        avoid = names_of(self.tried)
        begun = self._attempt(avoid, fresh)
        if isinstance(begun, result.Err) and again and avoid:
            begun = self._attempt(frozenset(), fresh)
        if isinstance(begun, result.Err):
            self.refused = begun.err_value
            return False
        self.tried.append(begun.ok_value)
        return True

    def _attempt(
        self, avoid: frozenset[str], fresh: bool
    ) -> result.Result[attempts.Attempt, placement_errors.NotPlaced]:
        return self.quotes.attempts.begin(
            self.request, avoid, self.answers, fresh, self.patience
        )

    def _served(self, ended: attempts.Attempt, answer: object) -> messages.Served:
        now = self.quotes.clock.monotonic()
        self.quotes.latencies.observe(self.request.kind, now - ended.started_at)
        if ended is not self.tried[0]:
            self.quotes.counters.count("front.extra_attempt_won")
        return messages.Served(answer, ended.owned.name, ended.owned.worker.data_centre)


def names_of(tried: cabc.Iterable[attempts.Attempt]) -> frozenset[str]:
    """Return the names of the workers that were tried."""
    return frozenset(attempt.owned.name for attempt in tried)
