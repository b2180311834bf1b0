"""The peers of this instance, and the heartbeats sent to them.

All peers in the own data centre are sent a heartbeat each second. In every other data
centre only a few are, and less often: requests go there only when there is no capacity
locally, and heartbeats between all pairs would make the cost for each instance grow
with the total number of instances.
"""

import collections.abc as cabc
import dataclasses
import hashlib

import gevent
import logbook
import result

from mangosail import clock as clocks
from mangosail import resources
from mangosail.membership import messages, methods, rpc
from mangosail.platform import inventory
from mangosail.telemetry import counters as telemetry
from mangosail.tls import keys

log = logbook.Logger("membership")

#: Seconds between heartbeats to a peer.
HEARTBEAT_INTERVAL_S = 1.0
#: Timeout of a heartbeat in seconds.
HEARTBEAT_TIMEOUT_S = 1.0
#: Heartbeat intervals after the last heartbeat for which a peer counts as reachable.
REACHABLE_INTERVALS = 3
#: Seconds between heartbeats to a peer in another data centre.
REMOTE_HEARTBEAT_INTERVAL_S = 4.0
#: Number of peers in each other data centre that are sent heartbeats.
REMOTE_PEERS = 2


class Peer:
    """Another instance, with the state that it last reported."""

    def __init__(
        self, listed: inventory.EntryInstance, store: keys.KeyStore | None = None
    ) -> None:
        self.listed = listed
        self.channel = rpc.Channel(listed.peer_address, listed.name, store)
        self.state: messages.Heartbeat | None = None
        #: Monotonic time until which the peer is considered reachable.
        self.reachable_deadline = 0.0
        #: True if it left a request unanswered and no heartbeat has succeeded since.
        self.unresponsive = False
        #: True if it had no capacity for the last request forwarded to it.
        self.at_capacity = False
        #: True while heartbeats are sent to the peer.
        self.receives_heartbeats = False
        #: True while a greenlet sends them; it outlasts the above by one interval.
        self.has_sender = False
        self.dropped = False


class Peers:
    """All peers, kept in sync with the platform's list."""

    def __init__(
        self,
        own_name: str,
        data_centre: str,
        make_heartbeat: cabc.Callable[[bool], messages.Heartbeat],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        store: keys.KeyStore | None = None,
    ) -> None:
        self.own_name = own_name
        self.data_centre = data_centre
        self.make_heartbeat = make_heartbeat
        self.clock = clock
        self.counters = counters
        self.store = store
        self.by_name: dict[str, Peer] = {}
        #: True once the platform's list was received: peers are not asked any more.
        self.has_list = False

    def update(self, listed: cabc.Iterable[inventory.EntryInstance]) -> None:
        """Update the peers from the platform's list."""
        self.has_list = True
        self._update_peers(listed)

    def _update_peers(self, listed: cabc.Iterable[inventory.EntryInstance]) -> None:
        """Add new peers and drop those that are not listed."""
        present = {entry.name: entry for entry in listed if entry.name != self.own_name}
        for name, entry in present.items():
            known = self.by_name.get(name)
            if known and known.listed.peer_address == entry.peer_address:
                continue
            if known:
                self._drop(known)
            self.by_name[name] = Peer(entry, self.store)
        for name in set(self.by_name) - set(present):
            self._drop(self.by_name.pop(name))
        chosen = self._heartbeat_recipients()
        for peer in self.by_name.values():
            if peer.listed.name not in chosen:
                peer.receives_heartbeats = False
            elif not peer.receives_heartbeats:
                peer.receives_heartbeats = True
                self.start_heartbeats(peer)

    def start_heartbeats(self, peer: Peer) -> None:
        """Start the greenlet that sends heartbeats to `peer`, unless it still runs.

        One that was to end notices that only after its pause, and goes on if the peer
        is to be sent heartbeats again by then. A second one would never end.
        """
        if not peer.has_sender:
            peer.has_sender = True
            gevent.spawn(self._heartbeat_loop, peer)

    def _heartbeat_recipients(self) -> set[str]:
        """Return the names of the peers that are sent heartbeats.

        Each instance ranks peers in other data centres in a different order, so that
        all of them receive about the same number of heartbeats.
        """
        by_data_centre: dict[str, list[str]] = {}
        for name, peer in self.by_name.items():
            by_data_centre.setdefault(peer.listed.data_centre, []).append(name)
        chosen = set(by_data_centre.pop(self.data_centre, ()))
        for names in by_data_centre.values():
            chosen.update(sorted(names, key=self._rank)[:REMOTE_PEERS])
        return chosen

    def _rank(self, name: str) -> bytes:
        pair = f"{self.own_name}|{name}".encode()
        return hashlib.blake2b(pair, digest_size=8).digest()

    def listed(self) -> tuple[inventory.EntryInstance, ...]:
        """Return all known peers, for an instance that asks for them."""
        return tuple(peer.listed for peer in self.by_name.values())

    def record_heartbeat(self, message: messages.Heartbeat) -> None:
        """Process a heartbeat received from a peer."""
        peer = self.by_name.get(message.instance)
        if self._is_new_address(message, peer):
            self._update_peers([*self.listed(), entry_of(message)])
            peer = self.by_name.get(message.instance)
        if peer is None:
            return
        peer.state = message
        if not peer.receives_heartbeats:
            # This peer is not sent heartbeats, so its own are the only source: a data
            # centre without workers reached only two of three peers elsewhere, and
            # refused quotes for which the third one had capacity.
            now = self.clock.monotonic()
            peer.reachable_deadline = (
                now + REACHABLE_INTERVALS * REMOTE_HEARTBEAT_INTERVAL_S
            )
            peer.unresponsive = peer.at_capacity = False

    def handle_heartbeat(self, message: messages.Heartbeat) -> messages.Heartbeat:
        """Process a peer's state and return our own."""
        self.record_heartbeat(message)
        own = self.make_heartbeat(not self.has_list)
        if not message.asks_for_peers:
            return own
        return dataclasses.replace(own, known=self.listed())

    def _is_new_address(self, message: messages.Heartbeat, peer: Peer | None) -> bool:
        """Return whether `message` comes from an unknown peer or address.

        While this instance is cut off from the platform, the list does not give the new
        address of a replaced peer, and calls to the old one would keep failing.
        """
        if peer is None:
            return not self.has_list
        return message.peer_address not in ("", peer.listed.peer_address)

    def reachable(self) -> list[Peer]:
        """Return the peers that are considered reachable."""
        now = self.clock.monotonic()
        return [p for p in self.by_name.values() if now < p.reachable_deadline]

    def with_capacity(self, needs: resources.Resources, data_centre: str) -> list[Peer]:
        """Return reachable peers with enough capacity, those in `data_centre` first."""
        peers = self._available_peers(data_centre)
        return [peer for peer in peers if has_capacity(peer, needs)]

    def without_capacity(
        self, needs: resources.Resources, data_centre: str
    ) -> list[Peer]:
        """Return reachable peers without enough capacity, in the same order."""
        peers = self._available_peers(data_centre)
        return [peer for peer in peers if not has_capacity(peer, needs)]

    def reported_slots(self, limit: int) -> dict[str, int]:
        """Return the free slots last reported by up to `limit` reachable peers."""
        return {
            peer.listed.name: free.slots
            for peer in self.reachable()[:limit]
            if (free := free_capacity(peer)) is not None
        }

    def _available_peers(self, data_centre: str) -> list[Peer]:
        """Return the peers that accept new work, in the order in which to try them.

        Unresponsive peers come last: a frozen peer is considered reachable for up to
        12 s, and every request that tried it first waited in vain. Before them come
        those that had no capacity for the last request forwarded to them.
        """
        open_peers = [
            (
                preference_key(peer),
                peer.listed.data_centre != data_centre,
                -free.slots,
                peer,
            )
            for peer in self.reachable()
            if (free := free_capacity(peer)) is not None
        ]
        return [peer for *_, peer in sorted(open_peers, key=lambda e: e[:3])]

    def _add_known(self, known: cabc.Iterable[inventory.EntryInstance]) -> None:
        """Add peers reported by a peer, unless the platform's list was received."""
        if not self.has_list:
            self._update_peers([*self.listed(), *known])

    def _drop(self, peer: Peer) -> None:
        peer.dropped = True
        if not peer.receives_heartbeats:
            peer.channel.close()
        log.info("peer removed", peer=peer.listed.name)

    def _heartbeat_loop(self, peer: Peer) -> None:
        log.info("heartbeats started", peer=peer.listed.name)
        near = peer.listed.data_centre == self.data_centre
        interval = HEARTBEAT_INTERVAL_S if near else REMOTE_HEARTBEAT_INTERVAL_S
        while peer.receives_heartbeats and not peer.dropped:
            self._send_heartbeat(peer, interval)
            self.clock.sleep(interval)
        peer.has_sender = False
        if peer.dropped:
            peer.channel.close()

    def _send_heartbeat(self, peer: Peer, interval: float) -> None:
        now = self.clock.monotonic()
        self.counters.count("membership.heartbeat_sent")
        own = self.make_heartbeat(not self.has_list)
        answer = peer.channel.call(methods.HEARTBEAT, own, HEARTBEAT_TIMEOUT_S)
        if isinstance(answer, result.Err):
            self.counters.count(f"membership.heartbeat_failed.{answer.err_value}")
            return
        if now >= peer.reachable_deadline:
            log.info("peer reached", peer=peer.listed.name)
        peer.state = dataclasses.replace(answer.ok_value, known=())
        peer.unresponsive = peer.at_capacity = False
        peer.reachable_deadline = now + REACHABLE_INTERVALS * interval
        if answer.ok_value.known:
            self._add_known(answer.ok_value.known)


def preference_key(peer: Peer) -> tuple[bool, bool]:
    """Return the sort key that orders peers by how likely they are to serve."""
    return peer.unresponsive, peer.at_capacity


def free_capacity(peer: Peer) -> resources.Resources | None:
    """Return a peer's reported free capacity; None if it accepts no new work."""
    if peer.state is None or peer.state.draining:
        return None
    return peer.state.free


def has_capacity(peer: Peer, needs: resources.Resources) -> bool:
    """Return whether `needs` fit into the free capacity that a peer last reported."""
    free = free_capacity(peer)
    return free is not None and needs.fits_in(free)


def entry_of(message: messages.Heartbeat) -> inventory.EntryInstance:
    """Return the sender of `message` as an entry of the instance list."""
    return inventory.EntryInstance(
        message.instance, message.data_centre, message.peer_address
    )
