"""What peers are asked and told about the ends of work.

`EndPeers` is what the rest of this package needs; `NoPeers` serves an instance without.
"""

import dataclasses
import typing as t

import gevent
import result

from mangosail.membership import peers as membership
from mangosail.membership import rpc
from mangosail.ownership import shares
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages, methods

#: Timeout of a call to a peer.
CALL_TIMEOUT_S = 1.0
#: Statuses of peers that know of no end: of an older build, or not listed any more.
KNOW_NOTHING = frozenset({"unimplemented", "cancelled"})
#: Stands for the peers that are not known yet, before the platform's list was read.
UNLISTED = "unlisted"
#: Peers that keep an end. One is in another data centre, if there is any: it may reach
#: the table while the own data centre is cut off.
KEEPER_COUNT = 2
#: Peers told of an end at a time; silent ones cost a timeout each.
MAX_TOLD = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Keeper:
    """The run of a peer that keeps an end."""

    name: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Findings:
    """What peers answered that were asked for an end."""

    end: messages.End | None = None
    #: Names of the peers that did not answer.
    silent: tuple[str, ...] = ()


class EndPeers(t.Protocol):
    """Instances that may know ends which the table does not have."""

    def ask(self, work: messages.Generation) -> Findings:
        """Ask all peers how `work` ended."""

    def tell(self, end: messages.End, known: frozenset[Keeper]) -> frozenset[Keeper]:
        """Have `KEEPER_COUNT` peers keep `end`; return those that do.

        `known` are those that were told before; some of them may be gone.
        """

    def running(self) -> frozenset[Keeper]:
        """Return the reachable peers that don't stop, as keepers."""


class NoPeers:
    """The peers of an instance that has none."""

    def ask(self, work: messages.Generation) -> Findings:
        """Return that nobody knows an end."""
        return Findings()

    def tell(self, end: messages.End, known: frozenset[Keeper]) -> frozenset[Keeper]:
        """Return that nobody keeps `end`."""
        return frozenset()

    def running(self) -> frozenset[Keeper]:
        """Return that nobody is there."""
        return frozenset()


class PeerInstances:
    """The peers that the platform lists."""

    def __init__(
        self,
        peers: membership.Peers,
        data_centre: str,
        counters: telemetry.Counters,
    ) -> None:
        self.peers = peers
        self.data_centre = data_centre
        self.counters = counters

    def ask(self, work: messages.Generation) -> Findings:
        """Ask all peers at once; takes at most `CALL_TIMEOUT_S`."""
        listed = list(self.peers.by_name.values())
        calls = [gevent.spawn(self._ask, peer, work) for peer in listed]
        gevent.joinall(calls)
        silent = [] if self.peers.has_list else [UNLISTED]
        for peer, call in zip(listed, calls, strict=True):
            answer = call.get()
            if isinstance(answer, result.Err):
                silent.append(peer.listed.name)
            elif answer.ok_value is not None:
                return Findings(answer.ok_value)
        return Findings(None, tuple(silent))

    def tell(self, end: messages.End, known: frozenset[Keeper]) -> frozenset[Keeper]:
        """Have `KEEPER_COUNT` peers keep `end`; return those that do."""
        keeping = set(known & self.running())
        candidates = self._candidates()
        for _ in range(MAX_TOLD):
            names = {keeper.name for keeper in keeping}
            candidates = [p for p in candidates if p.listed.name not in names]
            if len(keeping) >= KEEPER_COUNT or not candidates:
                break
            peer = self._choose(candidates, names, end)
            candidates.remove(peer)
            if self._keeps(peer, end):
                keeping.add(keeper_of(peer))
        return frozenset(keeping)

    def running(self) -> frozenset[Keeper]:
        """Return the reachable peers that don't stop, as keepers."""
        return frozenset(keeper_of(peer) for peer in self._candidates())

    def _candidates(self) -> list[membership.Peer]:
        """Return the peers that may keep an end."""
        return [
            peer
            for peer in self.peers.reachable()
            if peer.state is not None and not peer.state.draining
        ]

    def _choose(
        self, candidates: list[membership.Peer], keeping: set[str], end: messages.End
    ) -> membership.Peer:
        """Return the next peer to tell: of a data centre of which none keeps the end.

        Other data centres come first; the end's id spreads the ends over the peers.
        """
        reachable = self.peers.reachable()
        sides = {self._is_near(p) for p in reachable if p.listed.name in keeping}
        return min(
            candidates,
            key=lambda p: (
                p.unresponsive,
                self._is_near(p) in sides,
                self._is_near(p),
                shares.score(end.work.task_id, p.listed.name),
            ),
        )

    def _is_near(self, peer: membership.Peer) -> bool:
        return peer.listed.data_centre == self.data_centre

    def _keeps(self, peer: membership.Peer, end: messages.End) -> bool:
        answer = self._call(peer, methods.KEEP_END, end)
        return isinstance(answer, result.Ok) and answer.ok_value.kept

    def _ask(
        self, peer: membership.Peer, work: messages.Generation
    ) -> result.Result[messages.End | None, str]:
        answer = self._call(peer, methods.FIND_END, work)
        if isinstance(answer, result.Ok):
            return result.Ok(answer.ok_value.end)
        return result.Ok(None) if answer.err_value in KNOW_NOTHING else answer

    def _call(
        self,
        peer: membership.Peer,
        method: rpc.Method[rpc.RequestT, rpc.ResponseT],
        message: rpc.RequestT,
    ) -> result.Result[rpc.ResponseT, str]:
        """Call a peer, and count the status of a failure."""
        answer = peer.channel.call(method, message, CALL_TIMEOUT_S)
        if isinstance(answer, result.Err):
            self.counters.count(f"work.peer_lost.{answer.err_value}")
        return answer


def keeper_of(peer: membership.Peer) -> Keeper:
    """Return the run of a peer according to its last heartbeat."""
    incarnation = peer.state.incarnation if peer.state is not None else ""
    return Keeper(peer.listed.name, incarnation)
