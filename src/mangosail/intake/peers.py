"""Discovery of the other instances and their addresses through the store.

An instance periodically writes its own row and reads the rows of all others, so that
it still knows its peers when it can no longer reach the store.
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

#: Seconds between reads. Instances rarely change, and a peer that is gone costs a
#: request forwarded to it no more than its timeout.
READ_INTERVAL_S = 10.0
#: Reads per write of the own row.
READS_PER_WRITE = 6
#: Seconds without a write of its row after which an instance counts as gone: two write
#: intervals plus a margin for differences between wall clocks.
PEER_EXPIRY_S = 150.0
#: Seconds after which the row of an instance that is gone is deleted.
ROW_RETENTION_S = 3600.0
#: Seconds until a failed read or write is retried.
RETRY_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An instance and the address at which its peers can reach it."""

    name: str
    address: str
    #: Wall time, on the clock of the instance, at which it last wrote its row.
    written_at: float = 0.0
    #: Empty, and 0, in rows of earlier builds.
    data_centre: str = ""
    #: Processor share of the instance, in cores.
    cores: float = 0.0


class Peers:
    """Keeps track of the other instances; `own` describes this one."""

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
        """Write the own row and read those of all instances, periodically."""
        reads = 0
        while True:
            written = reads % READS_PER_WRITE != 0 or self.register()
            done = self.read() and written
            if done:
                reads += 1
            self.clock.sleep(READ_INTERVAL_S if done else RETRY_INTERVAL_S)

    def register(self) -> bool:
        """Write the own row, replacing that of an earlier run of this instance."""
        row = dataclasses.replace(self.own, written_at=self.clock.wall())
        return self._write(self.own.name, codec.to_json(row))

    def deregister(self) -> None:
        """Delete the own row before a planned stop."""
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
        all_peers = [codec.from_json(row.value, Peer) for row in found.ok_value.rows]
        now = self.clock.wall()
        known = tuple(
            peer
            for peer in all_peers
            if peer.name != self.own.name and peer.written_at > now - PEER_EXPIRY_S
        )
        if len(known) != len(self.known):
            log.info("known peers changed", count=len(known), before=len(self.known))
        self.known = known
        for peer in all_peers:
            if peer.written_at < now - ROW_RETENTION_S:
                self._write(peer.name, None)
        return True

    def sample(self, count: int) -> list[Peer]:
        """Return up to `count` random peers."""
        return self.rand.sample(self.known, min(count, len(self.known)))
