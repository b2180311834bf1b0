"""The peers of this instance: one task for each, beating once a second."""

import collections.abc as cabc

import gevent
import logbook
import result

from mangosail import clock as clocks
from mangosail import resources
from mangosail.membership import messages, rpc
from mangosail.platform import inventory
from mangosail.telemetry import counters as telemetry
from mangosail.tls import keys

log = logbook.Logger("membership")

#: Seconds between heartbeats to a peer.
HEARTBEAT_INTERVAL = 1.0
#: Seconds that a heartbeat may take.
HEARTBEAT_TIMEOUT = 1.0
#: Seconds after its last heartbeat for which a peer counts as reachable.
REACHABLE_TERM = 3.0


class Peer:
    """One other instance, as last heard of."""

    def __init__(
        self, listed: inventory.EntryInstance, store: keys.KeyStore | None = None
    ) -> None:
        self.listed = listed
        self.channel = rpc.Channel(listed.peer_address, listed.name, store)
        self.state: messages.Heartbeat | None = None
        #: Monotonic time until which the peer counts as reachable.
        self.reachable_deadline = 0.0
        self.dropped = False


class Peers:
    """All peers, kept in step with the platform's list."""

    def __init__(
        self,
        own_name: str,
        describe: cabc.Callable[[], messages.Heartbeat],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        store: keys.KeyStore | None = None,
    ) -> None:
        self.own_name = own_name
        self.describe = describe
        self.clock = clock
        self.counters = counters
        self.store = store
        self.by_name: dict[str, Peer] = {}

    def update(self, listed: cabc.Iterable[inventory.EntryInstance]) -> None:
        """Start a task for each new peer and end those of peers that are gone."""
        present = {entry.name: entry for entry in listed if entry.name != self.own_name}
        for name, entry in present.items():
            known = self.by_name.get(name)
            if known and known.listed.peer_address == entry.peer_address:
                continue
            if known:
                self._drop(known)
            self.by_name[name] = Peer(entry, self.store)
            gevent.spawn(self._beat, self.by_name[name])
        for name in set(self.by_name) - set(present):
            self._drop(self.by_name.pop(name))

    def heard(self, message: messages.Heartbeat) -> None:
        """Take in a heartbeat that a peer sent us."""
        peer = self.by_name.get(message.instance)
        if peer is not None:
            peer.state = message

    def reachable(self) -> list[Peer]:
        """Return the peers that answered lately."""
        now = self.clock.monotonic()
        return [p for p in self.by_name.values() if now < p.reachable_deadline]

    def with_room(self, needs: resources.Resources, data_centre: str) -> list[Peer]:
        """Return reachable peers with room, those of `data_centre` first."""
        open_peers = [
            (peer.listed.data_centre != data_centre, -peer.state.free.slots, peer)
            for peer in self.reachable()
            if peer.state is not None
            and not peer.state.draining
            and needs.fits_in(peer.state.free)
        ]
        return [peer for *_, peer in sorted(open_peers, key=lambda e: e[:2])]

    def _drop(self, peer: Peer) -> None:
        peer.dropped = True
        log.info("peer gone", peer=peer.listed.name)

    def _beat(self, peer: Peer) -> None:
        log.info("peer found", peer=peer.listed.name)
        while not peer.dropped:
            sent_at = self.clock.monotonic()
            answer = peer.channel.heartbeat(self.describe(), HEARTBEAT_TIMEOUT)
            if isinstance(answer, result.Ok):
                peer.state = answer.ok_value
                peer.reachable_deadline = sent_at + REACHABLE_TERM
            else:
                self.counters.count(f"membership.heartbeat_failed.{answer.err_value}")
            self.clock.sleep(HEARTBEAT_INTERVAL)
        peer.channel.close()
