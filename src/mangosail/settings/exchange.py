"""Exchanges settings between instances.

Each heartbeat carries the sequence number of the last change in force. An instance
that receives a higher number than its own fetches the missing subtrees from that
peer. Changes thus reach instances that cannot read the table, or that start while
it is down.
"""

import dataclasses
import typing as t

import result

from mangosail.membership import peers as membership
from mangosail.settings import messages, methods, state
from mangosail.telemetry import counters as telemetry

#: Seconds between checks whether a peer has later settings.
LEARN_INTERVAL_S = 0.5
#: Seconds after which a peer's answer is no longer awaited.
LEARN_TIMEOUT_S = 2.0
#: Seconds after its start for which an instance that has heard from no peer makes
#: no change. After that it makes changes also without peers.
PEER_WAIT_S = 3.0
#: Peers that are asked in one check.
MAX_PEERS_ASKED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceRollout:
    """Whether a change is in force on an instance."""

    instance: str
    data_centre: str
    in_force: bool
    #: Whether it answered a recent heartbeat.
    reachable: bool
    #: Seconds since the table last answered that instance; None if it never did.
    settings_age: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """Where a team's current revision is in force."""

    team: str
    revision: int
    #: For each data centre, whether all its reachable instances have the revision.
    data_centres: dict[str, bool]
    instances: tuple[InstanceRollout, ...]


class SettingsExchange:
    """Fetches settings from peers and reports the rollout of changes."""

    def __init__(
        self,
        in_force: state.Settings,
        peers: membership.Peers,
        data_centre: str,
        counters: telemetry.Counters,
    ) -> None:
        self.in_force = in_force
        self.peers = peers
        self.data_centre = data_centre
        self.counters = counters
        in_force.peers_deadline = in_force.clock.monotonic() + PEER_WAIT_S

    def fetch_from_peers(self) -> None:
        """Fetch missing changes from the peers with the highest sequence numbers."""
        ahead = sorted(
            (-peer.state.settings_sequence, peer.listed.name, peer)
            for peer in self.peers.reachable()
            if peer.state is not None
        )
        # Only reachable peers count: one that is gone cannot write changes back.
        self.in_force.peers_sequence = -ahead[0][0] if ahead else 0
        self._learn_from(ahead)
        if ahead and self.in_force.sequence >= self.in_force.peers_sequence:
            self.in_force.peers_deadline = 0.0

    def _learn_from(self, ahead: list[tuple[int, str, membership.Peer]]) -> None:
        for negative, _, peer in ahead[:MAX_PEERS_ASKED]:
            if -negative <= self.in_force.sequence:
                return
            since = messages.Since(self.in_force.sequence)
            answer = peer.channel.call(methods.SINCE, since, LEARN_TIMEOUT_S)
            if isinstance(answer, result.Ok):
                self.in_force.learn(answer.ok_value)
            else:
                self.counters.count(f"settings.learn_failed.{answer.err_value}")

    def handle_since(self, message: messages.Since) -> messages.Delta:
        """Return the settings changed after a peer's sequence number."""
        return self.in_force.since(message.sequence)

    def rollout(self, team: str, revision: int, sequence: int) -> Rollout:
        """Return where the change numbered `sequence` is in force."""
        holders = [self._own_rollout(sequence), *self._peer_rollouts(sequence)]
        data_centres: dict[str, bool] = {}
        for holder in holders:
            if holder.reachable:
                so_far = data_centres.get(holder.data_centre, True)
                data_centres[holder.data_centre] = so_far and holder.in_force
            else:
                # A data centre whose instances are all unreachable must not count
                # as one where the change is in force.
                data_centres.setdefault(holder.data_centre, False)
        return Rollout(team, revision, data_centres, tuple(holders))

    def _own_rollout(self, sequence: int) -> InstanceRollout:
        return InstanceRollout(
            self.peers.own_name,
            self.data_centre,
            self.in_force.sequence >= sequence,
            True,
            self.in_force.age(),
        )

    def _peer_rollouts(self, sequence: int) -> t.Iterator[InstanceRollout]:
        reachable = {peer.listed.name for peer in self.peers.reachable()}
        for name, peer in sorted(self.peers.by_name.items()):
            peer_state = peer.state
            yield InstanceRollout(
                name,
                peer.listed.data_centre,
                peer_state is not None and peer_state.settings_sequence >= sequence,
                name in reachable,
                peer_state.settings_age if peer_state else None,
            )
