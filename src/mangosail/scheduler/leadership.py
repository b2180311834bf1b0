"""Which instance leads: a lease in one row, watched by those who stand by.

Safety rests on the fencing token alone, at the store and at the workers; the lease
only keeps instances from deposing each other without need. A standby judges the
holder by how long the row has not changed on its own clock, so no clocks agree.
"""

import dataclasses
import random

import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.scheduler import journal, keys, ports
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("leadership")

#: Seconds without a renewal after which a standby takes the lease: three renewals.
#: A holder that is deposed too soon costs a takeover of about 0.1 s; a lost one
#: costs all of this.
TERM = 1.5
#: Seconds between a standby's looks at the lease, drawn for each instance between
#: these: a few quick ones are enough, and each look is a call to the store.
LEAST_WATCH_INTERVAL = 0.3
MOST_WATCH_INTERVAL = 0.9
#: Most seconds that standbys wait on top, drawn at random, so that they do not
#: all claim at once.
STAGGER = 0.25
#: Seconds that an instance without any processor time would wait on top, so that one
#: with a whole core leads where there is one.
HANDICAP = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """The rows of the leadership as they were last read."""

    lease: journal.Lease | None
    lease_version: int
    chain_version: int
    #: Elapsed time at which the lease's row was first seen like this.
    since: float


class Leadership:
    """Watches the lease and takes it when nobody holds it."""

    def __init__(
        self,
        rows: ports.Rows,
        name: str,
        address: str,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        rand: random.Random,
        cores: float = 1.0,
    ) -> None:
        self.rows = rows
        self.name = name
        self.address = address
        self.clock = clock
        self.counters = counters
        self.rand = rand
        self.incarnation = f"{rand.getrandbits(64):016x}"
        self.seen: Seen | None = None
        self.handicap = HANDICAP * max(1.0 - cores, 0.0)
        self.patience = rand.uniform(0, STAGGER) + self.handicap
        self.interval = rand.uniform(LEAST_WATCH_INTERVAL, MOST_WATCH_INTERVAL)

    def watch(self) -> journal.Held | None:
        """Look at the lease once; return it if it was taken."""
        sent_at = self.clock.elapsed()
        if not self._read(sent_at) or self.seen is None:
            return None
        if not self._free(sent_at):
            return None
        return self._claim()

    def _read(self, sent_at: float) -> bool:
        found = self.rows.read_all(keys.LEADERSHIP)
        if isinstance(found, result.Err):
            self.counters.count("leadership.read_failed")
            # What went unseen meanwhile may have been renewals.
            self.seen = None
            return False
        rows = {row.key: row for row in found.ok_value.rows}
        lease_row, chain_row = rows.get(keys.LEASE), rows.get(keys.CHAIN)
        lease_version = lease_row.version if lease_row else 0
        chain_version = chain_row.version if chain_row else 0
        lease = codec.from_json(lease_row.value, journal.Lease) if lease_row else None
        same = self.seen is not None and self.seen.lease_version == lease_version
        since = self.seen.since if same and self.seen else self.clock.elapsed()
        self.seen = Seen(lease, lease_version, chain_version, since)
        return True

    def _free(self, now: float) -> bool:
        seen = self.seen
        if seen is None:
            return False
        if seen.lease is None or seen.lease.released:
            return now - seen.since >= self.handicap
        if seen.lease.holder == self.name:
            # An earlier run of this very instance: it has ended.
            return True
        return now - seen.since >= TERM + self.patience

    def _claim(self) -> journal.Held | None:
        seen = self.seen
        if seen is None:
            return None
        token = seen.lease.token + 1 if seen.lease else 1
        lease = journal.Lease(
            self.name,
            self.incarnation,
            token,
            address=self.address,
            # What all instances go by stays in force until this one knows better.
            # Without the bound, all that lasts was let in between two leaders.
            lasting_bound=seen.lease.lasting_bound if seen.lease else None,
            pending=seen.lease.pending if seen.lease else {},
        )
        link = codec.to_json(f"{token}.0.{self.incarnation}")
        version = journal.claim(
            self.rows, lease, link, seen.lease_version, seen.chain_version
        )
        self.seen = None
        if version is None:
            self.counters.count("leadership.claim_lost")
            return None
        previous = seen.lease.holder if seen.lease else ""
        age = round(self.clock.elapsed() - seen.since, 3)
        log.info("lease won", token=token, previous=previous, unchanged=age)
        self.counters.count("leadership.claimed")
        return journal.Held(lease, version, version)
