"""What instances tell each other about settings.

Each heartbeat carries the number of the last change in force. An instance that
hears a higher one asks that peer for the subtrees it lacks, so a change reaches
instances that can't read the table, and those that start while it is down.
"""

import dataclasses
import typing as t

import result

from mangosail.membership import peers as membership
from mangosail.settings import messages, methods, state
from mangosail.telemetry import counters as telemetry

#: Seconds between looks at what peers have in force.
LEARN_INTERVAL = 0.5
#: Seconds that a peer may take to tell its settings.
LEARN_TIMEOUT_S = 2.0
#: Seconds after its start that an instance makes no change while it has heard
#: of no peer; one that is alone makes changes after them.
PEER_WAIT_S = 3.0
#: Peers that are asked in one look.
MAX_PEERS_ASKED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceRollout:
    """An instance, and whether a change is in force there."""

    instance: str
    data_centre: str
    in_force: bool
    #: Whether it answered a heartbeat lately.
    reachable: bool
    #: Seconds since the table last answered there; None if it never did.
    settings_age: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """Where a team's present revision is in force."""

    team: str
    revision: int
    #: Each data centre, and whether every reachable instance there has it.
    data_centres: dict[str, bool]
    instances: tuple[InstanceRollout, ...]


class Spread:
    """Learns from peers, and tells how far a change has come."""

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

    def learn(self) -> None:
        """Ask the peers that are furthest on for what we lack."""
        ahead = sorted(
            (-peer.state.settings_sequence, peer.listed.name, peer)
            for peer in self.peers.reachable()
            if peer.state is not None
        )
        # Of peers reachable now only: one that is gone writes nothing back.
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

    def tell(self, message: messages.Since) -> messages.Delta:
        """Return the settings changed past what a peer has in force."""
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
                # One that nobody hears from must not pass for a data centre
                # that has the change.
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
            told = peer.state
            yield InstanceRollout(
                name,
                peer.listed.data_centre,
                told is not None and told.settings_sequence >= sequence,
                name in reachable,
                told.settings_age if told else None,
            )
