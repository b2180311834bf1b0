"""Leader election by a lease in one row, which standbys check regularly.

Safety depends only on the fencing token, which the store and the workers check; the
lease merely avoids needless leader changes. A standby measures on its own clock for
how long the row has not changed, so clocks need not be synchronized.

All starts go through the leader, so the fastest instance should lead: a faster standby
takes the lease from a slower holder, and a holder that becomes slow releases it.
"""

import collections.abc as cabc
import random

import gevent
import gevent.event
import gevent.lock
import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.platform import table
from mangosail.scheduler import errors, journal, keys, lease_observation, ports, speed
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("leadership")

#: Multiple of a standby's own read time that is added to the time-out, since a slow
#: store also delays renewals: a renewal takes about three times as long as a read.
READ_TIME_FACTOR = 4.0
#: Bounds of the random interval, in seconds, at which an instance checks the lease. A
#: few instances with short intervals are enough, and each check is a call to the store.
MIN_CHECK_INTERVAL_S = 0.3
MAX_CHECK_INTERVAL_S = 0.9
#: Factor on the check interval of an instance that is so much slower than the holder
#: that a faster one should take over first. In a fleet of 97 instances, 79 are, and
#: their checks were 130 calls a second to the store.
SLOW_STANDBY_FACTOR = 3.0
#: Seconds without a renewal after which such an instance checks as often as the
#: others: two renewal intervals.
OVERDUE_AFTER_S = 0.6
#: Seconds between checks of a lease that nobody holds.
CLAIM_INTERVAL_S = 0.1
#: Upper bound of a random delay, in seconds, that keeps standbys from claiming the
#: lease all at once.
MAX_STAGGER_S = 0.25
#: Additional delay, in seconds, of an instance with no processor share at all, in
#: favour of one as fast as the last holder; slower instances wait a proportional part.
#: It is about the longest check interval, so that a fast instance has checked by then:
#: a small leader starts too little.
MAX_CLAIM_DELAY_S = 0.9
#: Additional delay, in seconds, of an instance that is slow at present.
SLOW_CLAIM_DELAY_S = 1.0
#: Speed ratio at which a standby takes the lease from a live holder. It exceeds the
#: variation of measurements, as a leader change delays starts by about 0.2 s.
MIN_SPEED_RATIO = 1.5
#: Seconds for which a holder must have led before a faster standby replaces it, which
#: limits how often the leader changes.
MIN_TENURE_S = 2.0
#: Seconds between measurements of the leader's own speed.
SPEED_CHECK_INTERVAL_S = 0.3
#: Seconds for which an instance that released the lease because it was slow, or lost
#: it, lets others claim it first.
BACK_OFF_S = 8.0
#: Seconds within which the lease must have been read for a claim on request. On a slow
#: store a read takes 0.24 s and more, and another leader would be as slow.
REQUESTED_READ_TIMEOUT_S = 0.2
#: Seconds between two reads on request, so that a flood of requests costs the store
#: little.
REQUESTED_READ_INTERVAL_S = 0.2
#: Smallest share of the holder's cores with which an instance claims on request. All
#: starts go through the leader, and one with fewer is soon replaced by a faster one.
MIN_CORES_SHARE = 0.5


class Leadership:
    """Checks the lease and claims it when nobody holds it."""

    def __init__(
        self,
        rows: ports.WatchableTable,
        name: str,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        rand: random.Random,
        cores: float = 1.0,
    ) -> None:
        self.rows = rows
        self.name = name
        self.clock = clock
        self.counters = counters
        self.rand = rand
        self.incarnation = f"{rand.getrandbits(64):016x}"
        self.observed: lease_observation.ObservedLease | None = None
        #: Processor share of this instance, in cores.
        self.cores = cores
        self.speed = speed.SpeedProbe(clock)
        self.stagger = rand.uniform(0, MAX_STAGGER_S)
        #: Seconds that the latest read took.
        self.read_time = 0.0
        #: Elapsed time until which others may claim the lease first.
        self.back_off_until = 0.0
        self.check_interval = rand.uniform(MIN_CHECK_INTERVAL_S, MAX_CHECK_INTERVAL_S)
        #: Held while the lease is claimed, by a check or on request.
        self.claiming = gevent.lock.BoundedSemaphore()
        #: The lease that was claimed on request, until the next check returns it. The
        #: row then names this instance, which to a check looks like an earlier process.
        self.taken_over: journal.HeldLease | None = None
        #: Set once a check is due early.
        self.check_now = gevent.event.Event()
        #: Elapsed time before which no request to claim is served.
        self.next_request_at = 0.0
        #: Token by which this instance leads; 0 if it does not.
        self.held_token = 0
        #: True once requests to claim are refused.
        self.closed = False

    def check(self) -> journal.HeldLease | None:
        """Check the lease once; return it if this instance has claimed it."""
        self.check_now.clear()
        if self.taken_over is not None:
            return self._take_claimed()
        sent_at = self.clock.elapsed()
        found = self._read(sent_at)
        with self.claiming:
            if self.taken_over is not None:
                return self._take_claimed()
            if not found or self.observed is None:
                return None
            self.speed.measure()
            if not self._may_claim(sent_at) and not self._should_replace_holder(
                sent_at
            ):
                return None
            return self._claim(self.observed)

    @property
    def backlog_observed(self) -> bool:
        """Return whether the lease row had a backlog when it was last checked."""
        observed = self.observed
        return (
            observed is not None
            and observed.lease is not None
            and bool(observed.lease.backlog)
        )

    def wait_for_check(self) -> None:
        """Wait until the next check is due, or the lease was claimed on request."""
        self.check_now.wait(self.next_check_delay())

    def close(self) -> journal.HeldLease | None:
        """Refuse requests from now on; return a lease that was claimed meanwhile."""
        self.closed = True
        with self.claiming:
            return self._take_claimed()

    def ended(self) -> None:
        """Record that this instance no longer leads."""
        self.held_token = 0

    def claim_from(
        self, token: int
    ) -> result.Result[journal.HeldLease, errors.NotClaimed]:
        """Claim the lease from its live holder, who leads by `token` and asks for it.

        The next check returns the claimed lease. The claim checks the version of the
        row that was just read, so of several instances that were asked one succeeds.
        """
        now = self.clock.elapsed()
        if now < self.next_request_at or not self.claiming.acquire(blocking=False):
            return result.Err(errors.NotClaimed(errors.ClaimRefusal.BUSY))
        try:
            refused = self._refusal(token, now)
            if refused is not None:
                return result.Err(refused)
            self.next_request_at = now + REQUESTED_READ_INTERVAL_S
            return self._claim_from(token)
        finally:
            self.claiming.release()

    def _refusal(self, token: int, now: float) -> errors.NotClaimed | None:
        """Return why this instance should not lead now; None if it may."""
        held = self.held_token
        if held > token:
            return errors.NotClaimed(errors.ClaimRefusal.SUPERSEDED, held)
        if held:
            return errors.NotClaimed(errors.ClaimRefusal.LEADING, held)
        if self.closed:
            return errors.NotClaimed(errors.ClaimRefusal.STOPPING)
        if self.speed.slow:
            return errors.NotClaimed(errors.ClaimRefusal.SLOW)
        if now < self.back_off_until:
            return errors.NotClaimed(errors.ClaimRefusal.BACKING_OFF)
        return None

    def _claim_from(
        self, token: int
    ) -> result.Result[journal.HeldLease, errors.NotClaimed]:
        found = self._read_claimable(token)
        if isinstance(found, result.Err):
            return found
        held = self._claim(found.ok_value)
        if held is not None:
            self.taken_over = held
            self.check_now.set()
            return result.Ok(held)
        # The failed claim has read the chain, and the lease is read once more.
        self.next_request_at += 2 * REQUESTED_READ_INTERVAL_S
        again = self._read_claimable(token)
        if isinstance(again, result.Err) and again.err_value.token > token:
            return again
        return result.Err(errors.NotClaimed(errors.ClaimRefusal.CLAIM_FAILED, token))

    def _read_claimable(
        self, token: int
    ) -> result.Result[lease_observation.ObservedLease, errors.NotClaimed]:
        """Read the lease, which the holder by `token` must still have."""
        rows = self._read_rows_on_request()
        if rows is None:
            return result.Err(errors.NotClaimed(errors.ClaimRefusal.STORE_AWAY))
        row = rows.get(keys.LEASE)
        try:
            lease = codec.from_json(row.value, journal.Lease) if row else None
        except codec.DecodeError:
            lease = None
        if row is None or lease is None or lease.token < token:
            seen = lease.token if lease else 0
            return result.Err(errors.NotClaimed(errors.ClaimRefusal.ROW_UNUSABLE, seen))
        if lease.token > token:
            refusal = errors.NotClaimed(errors.ClaimRefusal.SUPERSEDED, lease.token)
            return result.Err(refusal)
        if self.cores < MIN_CORES_SHARE * lease.cores:
            return result.Err(errors.NotClaimed(errors.ClaimRefusal.SMALL, token))
        now = self.clock.elapsed()
        return result.Ok(lease_observation.ObservedLease(lease, row.version, now, now))

    def _read_rows_on_request(self) -> cabc.Mapping[str, table.Row] | None:
        """Return the row of the lease by key; None without an answer in time."""
        read = gevent.spawn(self.rows.read, [keys.LEASE])
        read.join(REQUESTED_READ_TIMEOUT_S)
        if not read.ready():
            read.kill(block=False)
            return None
        found = read.get()
        return None if isinstance(found, result.Err) else found.ok_value

    def _take_claimed(self) -> journal.HeldLease | None:
        """Return the lease that was claimed on request, once."""
        held, self.taken_over = self.taken_over, None
        return held

    def next_check_delay(self) -> float:
        """Return the seconds until the next check; short while the lease is free."""
        observed = self.observed
        if observed is None:
            return self.check_interval
        if observed.lease is None or observed.lease.released:
            return CLAIM_INTERVAL_S
        overdue = self.clock.elapsed() - observed.unchanged_since >= OVERDUE_AFTER_S
        if not overdue and observed.lease.cores >= MIN_SPEED_RATIO * self.cores:
            return self.check_interval * SLOW_STANDBY_FACTOR
        return self.check_interval

    def release_when_slow(self, release: cabc.Callable[[], None]) -> None:
        """Measure the speed of this instance while it leads; release once it is slow.

        An instance that was already slow when it claimed the lease keeps it until it
        has been fast: it is the only one left, or all others are as slow.
        """
        was_fast = not self.speed.slow
        while True:
            self.clock.sleep(SPEED_CHECK_INTERVAL_S)
            self.speed.measure()
            slow = self.speed.slow
            if slow and was_fast:
                break
            was_fast = was_fast or not slow
        log.warning(
            "instance slow; releasing the lease",
            best=self.speed.best,
            recent=[*self.speed.recent],
        )
        self.counters.count("leadership.turned_slow")
        self.back_off()
        release()

    def back_off(self) -> None:
        """Let others claim the lease first for a while."""
        self.back_off_until = self.clock.elapsed() + BACK_OFF_S

    def _read(self, sent_at: float) -> bool:
        # Read only this row: the row with learned interference is much longer.
        found = self.rows.read([keys.LEASE])
        if isinstance(found, result.Err):
            self.counters.count("leadership.read_failed")
            # Renewals may have been missed in the meantime.
            self.observed = None
            return False
        lease_row = found.ok_value.get(keys.LEASE)
        lease_version = lease_row.version if lease_row else 0
        lease = codec.from_json(lease_row.value, journal.Lease) if lease_row else None
        now = self.clock.elapsed()
        self.read_time = now - sent_at
        self.observed = lease_observation.observe(
            self.observed, lease, lease_version, now
        )
        return True

    def _may_claim(self, now: float) -> bool:
        observed = self.observed
        if observed is None:
            return False
        delay = self._claim_delay(observed.lease, now)
        if observed.lease is None or observed.lease.released:
            return now - observed.unchanged_since >= delay
        if observed.lease.holder == self.name:
            # The holder is an earlier process of this instance, which has ended.
            return True
        timeout = lease_observation.lease_timeout(
            observed.lease, observed.just_taken_over(now)
        )
        timeout += READ_TIME_FACTOR * self.read_time + self.stagger + delay
        return now - observed.unchanged_since >= timeout

    def _claim_delay(self, lease: journal.Lease | None, now: float) -> float:
        """Return the seconds for which faster instances may claim the lease first."""
        fastest = lease.cores if lease else 1.0
        deficit = max(fastest - self.cores, 0.0) / max(fastest, self.cores)
        delay = MAX_CLAIM_DELAY_S * deficit
        if self.speed.slow or now < self.back_off_until:
            delay += SLOW_CLAIM_DELAY_S
        return delay

    def _should_replace_holder(self, now: float) -> bool:
        """Return whether this instance should replace a live holder."""
        observed = self.observed
        if (
            observed is None
            or observed.lease is None
            or now - observed.led_since < MIN_TENURE_S
        ):
            return False
        if self.speed.slow or now < self.back_off_until:
            return False
        return self.cores >= MIN_SPEED_RATIO * observed.lease.cores

    def _claim(
        self, observed: lease_observation.ObservedLease
    ) -> journal.HeldLease | None:
        previous = observed.lease or journal.Lease(holder="", incarnation="", token=0)
        token = previous.token + 1
        lease = journal.Lease(
            self.name,
            self.incarnation,
            token,
            cores=self.cores,
            interval=previous.interval,
            workers=previous.workers,
            # Carry over the published values until this leader has its own. Without
            # the bound, continuous jobs were admitted without limit during a takeover.
            continuous_bound=previous.continuous_bound,
            pending=previous.pending,
        )
        link = codec.to_json(f"{token}.0.{self.incarnation}")
        version = journal.claim_lease(self.rows, lease, link, observed.lease_version)
        self.observed = None
        if version is None:
            self.counters.count("leadership.claim_lost")
            return None
        age = round(self.clock.elapsed() - observed.unchanged_since, 3)
        log.info("lease acquired", token=token, previous=previous.holder, unchanged=age)
        self.counters.count("leadership.claimed")
        self.held_token = token
        return journal.HeldLease(lease, version, version)
