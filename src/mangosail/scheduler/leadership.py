"""Which instance leads: a lease in one row, watched by those who stand by.

Safety rests on the fencing token alone, at the store and at the workers; the lease
only keeps instances from deposing each other without need. A standby judges the
holder by how long the row has not changed on its own clock, so no clocks agree.

The fastest instance should lead, as all starts go through the leader: a faster
standby takes the lease from a slower holder, and a holder that turns slow gives it up.
"""

import collections.abc as cabc
import dataclasses
import random

import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.scheduler import journal, keys, ports, speed
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("leadership")

#: Seconds without a renewal after which a standby takes the lease: three renewals.
#: A holder that is deposed too soon costs a takeover of about 0.1 s; a lost one
#: costs all of this.
LEASE_TIMEOUT_S = 0.9
#: The same where the holder's own renewals were further apart of late, in multiples of
#: that: it lives and has much to do, and its successor would have as much and more.
MISSED_RENEWALS = 3.0
#: Seconds that are added for a holder that has just taken over, for each worker that it
#: attends to with each of its cores: they are all looked at at once, the most that a
#: leader has to do at a time. And for how many seconds from then on.
TAKEOVER_TERM = 0.0028
TAKEOVER_SPAN = 5.0
#: The same at most, whatever the holder says: with it and a takeover, leases of workers
#: go on.
LONGEST_TERM = 2.0
#: How often the time of a standby's own reading is added: a renewal takes about three
#: times as long, and where the store is slow it is the store that is late.
READ_FACTOR = 4.0
#: Seconds between a standby's looks at the lease, drawn for each instance between
#: these: a few quick ones are enough, and each look is a call to the store.
LEAST_WATCH_INTERVAL = 0.3
MOST_WATCH_INTERVAL = 0.9
#: How many times as long an instance waits between looks that is so much slower than
#: the holder that a faster one should take over before it. Of 97 instances 79 are, and
#: their looks were 130 calls a second to the store.
BEHIND_FACTOR = 3.0
#: Seconds for which the lease's row is unchanged when such an instance looks as often
#: as the others: two renewals.
OVERDUE_TERM = 0.6
#: Seconds between looks at a lease that nobody holds.
CLAIM_INTERVAL = 0.1
#: Most seconds that standbys wait on top, drawn at random, so that they do not
#: all claim at once.
STAGGER = 0.25
#: Seconds that an instance without any processor time would wait on top for one as
#: fast as the last holder: about the longest time between two looks, so that one
#: of them has looked by then. With leaders of 0.3 cores instead of 2 a day with 480
#: starts a second was worth 0.20 to 0.43 instead of 0.75.
HANDICAP = 0.9
#: Seconds that an instance which is slow at present waits on top.
SLOW_HANDICAP = 1.0
#: How much faster than the holder a standby must be to take the lease from it: more
#: than measurements differ, as a change of leader costs starts about 0.2 s.
FASTER_FACTOR = 1.5
#: Seconds for which the holder has led by then, so that leaders change seldom.
SETTLED_TERM = 2.0
#: Seconds between measurements of the leader's own speed.
SPEED_INTERVAL = 0.3
#: Seconds for which an instance that gave the lease up as it was slow, or lost it,
#: leaves it to others.
SHUN_TERM = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedLease:
    """The rows of the leadership as they were last read."""

    lease: journal.Lease | None
    lease_version: int
    #: Elapsed time at which the lease's row was first seen like this.
    unchanged_since: float
    #: Elapsed time at which its holder was first seen to lead.
    led_since: float
    #: Elapsed time at which it was seen to take over from another; None if it was not.
    taken_over_at: float | None = None


class Leadership:
    """Watches the lease and takes it when nobody holds it."""

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
        self.observed: ObservedLease | None = None
        #: Speed of this instance, in cores.
        self.cores = cores
        self.speed = speed.SpeedProbe(clock)
        self.stagger = rand.uniform(0, STAGGER)
        #: Seconds that the latest reading took.
        self.read_term = 0.0
        #: Elapsed time until which the lease is left to others.
        self.back_off_until = 0.0
        self.check_interval = rand.uniform(LEAST_WATCH_INTERVAL, MOST_WATCH_INTERVAL)

    def check(self) -> journal.HeldLease | None:
        """Look at the lease once; return it if it was taken."""
        sent_at = self.clock.elapsed()
        if not self._read(sent_at) or self.observed is None:
            return None
        self.speed.measure()
        if not self._may_claim(sent_at) and not self._faster(sent_at):
            return None
        return self._claim()

    def next_check_delay(self) -> float:
        """Return the seconds until the next look; short while a claim is due."""
        seen = self.observed
        if seen is None:
            return self.check_interval
        if seen.lease is None or seen.lease.released:
            return CLAIM_INTERVAL
        overdue = self.clock.elapsed() - seen.unchanged_since >= OVERDUE_TERM
        if not overdue and seen.lease.cores >= FASTER_FACTOR * self.cores:
            return self.check_interval * BEHIND_FACTOR
        return self.check_interval

    def release_when_slow(self, release: cabc.Callable[[], None]) -> None:
        """Give the lease up once this instance has turned slow; while it leads.

        One that was slow already when it took the lease keeps it: it was the only
        one left, or all are as slow, and giving it up would help nobody.
        """
        fair = not self.speed.slow
        while True:
            self.clock.sleep(SPEED_INTERVAL)
            self.speed.measure()
            slow = self.speed.slow
            if slow and fair:
                break
            fair = fair or not slow
        log.warning("turned slow", best=self.speed.best, recent=[*self.speed.recent])
        self.counters.count("leadership.turned_slow")
        self.shun()
        release()

    def shun(self) -> None:
        """Leave the lease to others for a while."""
        self.back_off_until = self.clock.elapsed() + SHUN_TERM

    def _read(self, sent_at: float) -> bool:
        # This row alone: what was learned stands beside it, and is much longer.
        found = self.rows.read([keys.LEASE])
        if isinstance(found, result.Err):
            self.counters.count("leadership.read_failed")
            # What went unseen meanwhile may have been renewals.
            self.observed = None
            return False
        lease_row = found.ok_value.get(keys.LEASE)
        lease_version = lease_row.version if lease_row else 0
        lease = codec.from_json(lease_row.value, journal.Lease) if lease_row else None
        same = (
            self.observed is not None and self.observed.lease_version == lease_version
        )
        now = self.clock.elapsed()
        self.read_term = now - sent_at
        since = self.observed.unchanged_since if same and self.observed else now
        led_since, taken_at = now, None
        if self.observed and self.observed.lease and lease:
            if self.observed.lease.token == lease.token:
                led_since, taken_at = (
                    self.observed.led_since,
                    self.observed.taken_over_at,
                )
            else:
                taken_at = now
        self.observed = ObservedLease(lease, lease_version, since, led_since, taken_at)
        return True

    def _may_claim(self, now: float) -> bool:
        seen = self.observed
        if seen is None:
            return False
        handicap = self._handicap(seen.lease, now)
        if seen.lease is None or seen.lease.released:
            return now - seen.unchanged_since >= handicap
        if seen.lease.holder == self.name:
            # An earlier run of this very instance: it has ended.
            return True
        fresh = (
            seen.taken_over_at is not None and now < seen.taken_over_at + TAKEOVER_SPAN
        )
        term = lease_timeout(seen.lease, fresh)
        term += READ_FACTOR * self.read_term + self.stagger + handicap
        return now - seen.unchanged_since >= term

    def _handicap(self, lease: journal.Lease | None, now: float) -> float:
        """Return the seconds for which faster instances may take the lease first."""
        fastest = lease.cores if lease else 1.0
        behind = max(fastest - self.cores, 0.0) / max(fastest, self.cores)
        handicap = HANDICAP * behind
        if self.speed.slow or now < self.back_off_until:
            handicap += SLOW_HANDICAP
        return handicap

    def _faster(self, now: float) -> bool:
        """Tell whether this instance should lead in place of a live holder."""
        seen = self.observed
        if seen is None or seen.lease is None or now - seen.led_since < SETTLED_TERM:
            return False
        if self.speed.slow or now < self.back_off_until:
            return False
        return self.cores >= FASTER_FACTOR * seen.lease.cores

    def _claim(self) -> journal.HeldLease | None:
        seen = self.observed
        if seen is None:
            return None
        token = seen.lease.token + 1 if seen.lease else 1
        lease = journal.Lease(
            self.name,
            self.incarnation,
            token,
            cores=self.cores,
            interval=seen.lease.interval if seen.lease else journal.RENEWAL_INTERVAL_S,
            workers=seen.lease.workers if seen.lease else 0,
            # What all instances go by stays in force until this one knows better.
            # Without the bound, all continuous work was let in between two leaders.
            continuous_bound=seen.lease.continuous_bound if seen.lease else None,
            pending=seen.lease.pending if seen.lease else {},
        )
        link = codec.to_json(f"{token}.0.{self.incarnation}")
        version = journal.claim_lease(self.rows, lease, link, seen.lease_version)
        self.observed = None
        if version is None:
            self.counters.count("leadership.claim_lost")
            return None
        previous = seen.lease.holder if seen.lease else ""
        age = round(self.clock.elapsed() - seen.unchanged_since, 3)
        log.info("lease won", token=token, previous=previous, unchanged=age)
        self.counters.count("leadership.claimed")
        return journal.HeldLease(lease, version, version)


def lease_timeout(lease: journal.Lease, after_takeover: bool) -> float:
    """Return the seconds without a renewal after which a holder counts as lost.

    `fresh` tells that it has just taken over. Leaders of large fleets were deposed for
    being a little late, and their successors too; nobody looked at workers meanwhile::

        >>> lease = journal.Lease("a", "", 7, cores=2.0, workers=800)
        >>> term_of(lease, fresh=False), term_of(lease, fresh=True)
        (0.9, 2.0)
    """
    term = max(LEASE_TIMEOUT_S, MISSED_RENEWALS * lease.interval)
    if after_takeover:
        term = max(term, LEASE_TIMEOUT_S + TAKEOVER_TERM * lease.workers / lease.cores)
    return min(term, LONGEST_TERM)
