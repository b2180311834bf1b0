"""What peers are asked and told about the ends of work.

`EndPeers` is what the rest of this package needs; `NoPeers` serves an instance without.
"""

import dataclasses
import typing as t

import gevent
import result

from mangosail.membership import peers as membership
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages, methods

#: Timeout of a call to a peer.
CALL_TIMEOUT_S = 1.0
#: Statuses of peers that know of no end: of an older build, or not listed any more.
KNOW_NOTHING = frozenset({"unimplemented", "cancelled"})
#: Stands for the peers that are not known yet, before the platform's list was read.
UNLISTED = "unlisted"


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


class NoPeers:
    """The peers of an instance that has none."""

    def ask(self, work: messages.Generation) -> Findings:
        """Return that nobody knows an end."""
        return Findings()


class PeerInstances:
    """The peers that the platform lists."""

    def __init__(self, peers: membership.Peers, counters: telemetry.Counters) -> None:
        self.peers = peers
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

    def _ask(
        self, peer: membership.Peer, work: messages.Generation
    ) -> result.Result[messages.End | None, str]:
        answer = peer.channel.call(methods.FIND_END, work, CALL_TIMEOUT_S)
        if isinstance(answer, result.Ok):
            return result.Ok(answer.ok_value.end)
        self.counters.count(f"work.peer_lost.{answer.err_value}")
        return result.Ok(None) if answer.err_value in KNOW_NOTHING else answer
