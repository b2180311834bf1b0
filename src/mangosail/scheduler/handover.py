"""Hand-over of the lease by a leader that the store refuses to a peer that it serves.

Otherwise the leader goes on polling and places nothing until a standby has watched the
lease row for 0.9 to 2 s. The leader asks peers to claim the lease::

    handover = LeaseHandover(journal, successors, give_up, clock, counters)
    gevent.spawn(handover.run)

and a peer decides on such a request::

    answer = Successor(leadership, counters).handle(Request(token=7, lease_version=41))

Two leaders cannot both start the same task, whatever requests and answers are lost,
late or repeated, because nothing depends on them:

- The claim is a transaction that checks the version of the lease row, so of several
  claims against one version a single one takes effect, with a higher token.
- Each transaction of the earlier leader checks the same row, so none takes effect after
  the claim. A run is started only once its record or its assignment is durable. The new
  leader reads all records after its claim, and so knows each run that the earlier one
  may have started or may still start.
- It treats such a run as doubtful until its worker was polled. From that poll on the
  worker refuses the earlier leader's lower token; until then the task starts nowhere.

A leader that was told that the lease is taken stops at once. That only saves workers
from refusing its orders: its next write would fail in any case.
"""

import collections
import collections.abc as cabc
import dataclasses
import enum
import typing as t

import logbook
import result

from mangosail import clock as clocks
from mangosail.scheduler import errors, journal, leadership, lease_observation
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("handover")

#: Seconds without success of a transaction after which peers are asked. Commits take
#: 5 ms; a late answer is found out about after 0.25 s and one read
#: (`commits.ANSWER_TIMEOUT_S`).
ASK_AFTER_S = 0.4
#: The same if the store has answered a read of the outcome since: it serves this
#: instance, and a single write was lost or is late. It is sent again after 0.55 s.
ASK_AFTER_READ_S = 0.9
#: Peers asked per round at most, and seconds from the last answer to the next round.
#: Where the store is away for all, that is three vain reads a second at most.
MAX_PEERS_PER_ROUND = 3
ROUND_INTERVAL_S = 1.0
#: Timeout of one request in seconds: a peer's read (0.2 s at most) and its claim, or a
#: refusal by a peer in another data centre.
ANSWER_TIMEOUT_S = 0.3
#: Seconds for which a peer is not asked that does not serve such requests, or that has
#: too few cores. Both change only when its process is replaced.
UNSUITABLE_PERIOD_S = 60.0
#: Seconds between checks of the present transaction.
CHECK_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Request of a leader to a peer to claim the lease."""

    #: Fencing token of the leader.
    token: int
    #: Version of the lease row as last confirmed to the leader.
    lease_version: int


class Outcome(enum.StrEnum):
    """What became of a request."""

    CLAIMED = "claimed"
    #: The lease has a later leader already.
    SUPERSEDED = "superseded"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer of a peer."""

    outcome: Outcome
    #: Why the lease was not claimed.
    reason: errors.ClaimRefusal | None = None
    #: Token of the claimed lease, or the highest one that the peer has seen.
    token: int = 0


class NoAnswer(enum.StrEnum):
    """Why there is no valid answer of a peer."""

    SILENT = "silent"
    NOT_SENT = "not_sent"
    #: The peer is of a build without hand-overs, or they are switched off there.
    NOT_SERVED = "not_served"
    UNREADABLE = "unreadable"


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A peer that may take the lease."""

    name: str
    address: str
    #: Empty if the peer's build does not tell.
    data_centre: str = ""
    #: Processor share in cores; 0 if the peer's build does not tell.
    cores: float = 0.0


class Successors(t.Protocol):
    """The peers of this instance."""

    #: Data centre of this instance.
    data_centre: str

    def candidates(self) -> cabc.Sequence[Candidate]:
        """Return the known peers."""

    def ask(
        self, candidate: Candidate, request: Request
    ) -> result.Result[Answer, NoAnswer]:
        """Ask a peer to claim the lease, and wait `ANSWER_TIMEOUT_S` at most."""


class LeaseHandover:
    """Asks peers to claim the lease while the leader's own writes fail."""

    def __init__(
        self,
        job_journal: journal.Journal,
        successors: Successors,
        give_up: cabc.Callable[[], None],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.journal = job_journal
        self.successors = successors
        #: Ends the leadership at once.
        self.give_up = give_up
        self.clock = clock
        self.counters = counters
        self.began_at = clock.elapsed()
        #: When the transaction that the latest check found late was first sent.
        self.late_since: float | None = None
        self.rounds = 0
        #: Elapsed time before which no round begins.
        self.next_round_at = 0.0
        #: Number of the round in which each peer was last asked.
        self.asked_in_round: dict[str, int] = {}
        #: Elapsed time before which each unsuitable peer is not asked.
        self.unsuitable_until: dict[str, float] = {}

    def run(self) -> None:
        """Watch the present transaction until the lease is handed over."""
        while not self.journal.deposed:
            self.clock.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Ask peers if that is due.

        A transaction must be late at two checks in a row: after a pause of this
        process, its answer may have arrived and not been read yet.
        """
        before, self.late_since = self.late_since, self._late_since()
        now = self.clock.elapsed()
        if self.late_since is None or self.late_since != before:
            return
        if now < self.next_round_at:
            return
        self.rounds += 1
        for candidate in self._next_candidates(now):
            if self._late_since() != before:
                # The transaction succeeded in the meantime, or the lease is released.
                break
            if self._ask(candidate):
                self.give_up()
                return
        # Also after a round that was cut short: where each write is late but succeeds,
        # peers would be asked about each of them.
        self.next_round_at = self.clock.elapsed() + ROUND_INTERVAL_S

    def _late_since(self) -> float | None:
        """Return when the present transaction was first sent, if it is late."""
        since = self.journal.unconfirmed_since
        if since is None or self.journal.releasing or self.journal.deposed:
            return None
        now = self.clock.elapsed()
        # A new leader is busy, and where the store is slow for all, it is late like the
        # one before. Without these bounds, each would hand the lease over to the next.
        if now < self.began_at + leadership.MIN_TENURE_S:
            return None
        late_at = since + ASK_AFTER_S
        if self.journal.outcome_read:
            late_at = since + ASK_AFTER_READ_S
        if now < self.began_at + lease_observation.TAKEOVER_PERIOD_S:
            late_at += lease_observation.takeover_allowance(self.journal.held.lease)
        return since if now >= late_at else None

    def _next_candidates(self, now: float) -> list[Candidate]:
        """Return the peers of this round, in the order in which they are asked.

        Those asked longest ago come first, then other data centres, as the store may
        refuse all of this one. Peers of one data centre do not follow each other, as it
        may be partitioned off. Of these the fastest comes first: all starts go through
        the leader.
        """
        own_cores = self.journal.held.lease.cores
        candidates = [
            candidate
            for candidate in self.successors.candidates()
            if self.unsuitable_until.get(candidate.name, 0.0) <= now
            and not 0 < candidate.cores < leadership.MIN_CORES_SHARE * own_cores
        ]
        candidates.sort(key=lambda candidate: -candidate.cores)
        ranks = {}
        seen: collections.Counter[tuple[int, str]] = collections.Counter()
        for candidate in candidates:
            asked = self.asked_in_round.get(candidate.name, 0)
            place = (asked, candidate.data_centre)
            near = candidate.data_centre == self.successors.data_centre
            ranks[candidate.name] = (asked, near, seen[place])
            seen[place] += 1
        candidates.sort(key=lambda candidate: ranks[candidate.name])
        return candidates[:MAX_PEERS_PER_ROUND]

    def _ask(self, candidate: Candidate) -> bool:
        """Ask one peer; return whether another instance has the lease."""
        held = self.journal.held
        asked_at = self.clock.elapsed()
        self.asked_in_round[candidate.name] = self.rounds
        request = Request(held.lease.token, held.lease_version)
        found = self.successors.ask(candidate, request)
        taken, outcome = judge(found, request)
        now = self.clock.elapsed()
        if outcome in (NoAnswer.NOT_SERVED, errors.ClaimRefusal.SMALL):
            self.unsuitable_until[candidate.name] = now + UNSUITABLE_PERIOD_S
        self.counters.count(f"handover.asked.{outcome}")
        log.info(
            "peer asked to take the lease", peer=candidate.name,
            data_centre=candidate.data_centre, outcome=str(outcome),
            token=request.token, version=request.lease_version, round=self.rounds,
            unconfirmed=round(now - self.journal.confirmed_at, 3),
            seconds=round(now - asked_at, 3),
        )  # fmt: skip
        return taken


def judge(
    found: result.Result[Answer, NoAnswer], request: Request
) -> tuple[bool, enum.StrEnum]:
    """Return whether another instance has the lease, and the outcome by name.

    Only a higher token shows that::

        >>> judge(result.Ok(Answer(Outcome.CLAIMED, token=8)), Request(7, 41))
        (True, <Outcome.CLAIMED: 'claimed'>)
        >>> judge(result.Ok(Answer(Outcome.CLAIMED, token=7)), Request(7, 41))
        (False, <NoAnswer.UNREADABLE: 'unreadable'>)
    """
    if isinstance(found, result.Err):
        return False, found.err_value
    answer = found.ok_value
    if answer.outcome is Outcome.REFUSED:
        return False, answer.reason or errors.ClaimRefusal.OTHER
    if answer.token <= request.token:
        return False, NoAnswer.UNREADABLE
    return True, answer.outcome


class Successor:
    """Handles requests of the leader to claim the lease."""

    def __init__(
        self, claimant: leadership.Leadership, counters: telemetry.Counters
    ) -> None:
        self.claimant = claimant
        self.counters = counters

    def handle(self, request: Request) -> Answer:
        """Claim the lease if the leader still holds it and the store answers."""
        done = self.claimant.claim_from(request.token)
        if isinstance(done, result.Ok):
            answer = Answer(Outcome.CLAIMED, token=done.ok_value.lease.token)
        else:
            refused = done.err_value
            superseded = refused.reason is errors.ClaimRefusal.SUPERSEDED
            outcome = Outcome.SUPERSEDED if superseded else Outcome.REFUSED
            answer = Answer(outcome, refused.reason, refused.token)
        reason = answer.reason or answer.outcome
        self.counters.count(f"handover.requested.{reason}")
        log.info(
            "asked to take the lease", outcome=answer.outcome.value, reason=str(reason),
            token=request.token, version=request.lease_version, found=answer.token,
        )  # fmt: skip
        return answer
