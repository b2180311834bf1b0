"""The other instances: where each can be reached, as written in the store.

An instance writes its own row again and again, and reads those of all, so that it knows
them when it can't reach the store any more.
"""

import dataclasses
import random

import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.platform import table
from mangosail.scheduler import keys, ports
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("peers")

#: Seconds between readings. Instances seldom come and go, and one that is gone costs
#: a request that is passed on to it no more than its time limit.
READ_INTERVAL_S = 10.0
#: Readings between two writings of the own row.
READS_PER_WRITE = 6
#: Seconds after which an instance whose row was not written again counts as gone: two
#: writings, and what wall clocks may differ by.
PEER_EXPIRY_S = 150.0
#: Seconds after which the row of an instance that is gone is dropped.
ROW_RETENTION_S = 3600.0
#: Seconds before a row that could not be written, or read, is tried again.
RETRY_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An instance, and the address on which it answers other instances."""

    name: str
    address: str
    #: Wall time of the instance at which it last wrote this.
    written_at: float = 0.0


class Peers:
    """Knows the other instances; `own` is this one."""

    def __init__(
        self,
        rows: ports.WatchableTable,
        own: Peer,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        rand: random.Random,
    ) -> None:
        self.rows = rows
        self.own = own
        self.clock = clock
        self.counters = counters
        self.rand = rand
        self.known: tuple[Peer, ...] = ()

    def run(self) -> None:
        """Write the own row and read all of them, again and again."""
        readings = 0
        while True:
            written = readings % READS_PER_WRITE != 0 or self.register()
            done = self.read() and written
            if done:
                readings += 1
            self.clock.sleep(READ_INTERVAL_S if done else RETRY_INTERVAL_S)

    def register(self) -> bool:
        """Write the own row, over that of an earlier run of this instance."""
        row = dataclasses.replace(self.own, written_at=self.clock.wall())
        return self._write(self.own.name, codec.to_json(row))

    def deregister(self) -> None:
        """Drop the own row; for a planned stop."""
        self._write(self.own.name, None)

    def _write(self, name: str, text: str | None) -> bool:
        write = table.Write(keys.INSTANCES + name, text)
        return isinstance(self.rows.commit(table.Transaction((), (write,))), result.Ok)

    def read(self) -> bool:
        """Read the rows of all instances."""
        found = self.rows.read_all(keys.INSTANCES)
        if isinstance(found, result.Err):
            self.counters.count("peers.read_failed")
            return False
        every = [codec.from_json(row.value, Peer) for row in found.ok_value.rows]
        now = self.clock.wall()
        known = tuple(
            peer
            for peer in every
            if peer.name != self.own.name and peer.written_at > now - PEER_EXPIRY_S
        )
        if len(known) != len(self.known):
            log.info("peers seen", count=len(known), before=len(self.known))
        self.known = known
        for peer in every:
            if peer.written_at < now - ROW_RETENTION_S:
                self._write(peer.name, None)
        return True

    def sample(self, count: int) -> list[Peer]:
        """Return up to `count` of the others, drawn at random."""
        return self.rand.sample(self.known, min(count, len(self.known)))
