"""Instances that know each other as peers, each with its own reach of the table."""

import types

import result

from mangosail import codec
from mangosail.platform import errors
from mangosail.telemetry import counters
from mangosail.work import keepers
from tests.support import fakes

#: Data centre of each instance.
DATA_CENTRES = {"a": "near", "b": "near", "c": "far", "d": "near"}
#: Method of `Ends` by the name of the call.
HANDLERS = {"find_end": "find_for_peer", "keep_end": "keep_for_peer"}


class Reach:
    """The table as one instance sees it, which may be cut off from it."""

    def __init__(self, rows):
        self.rows = rows
        self.cut = self.is_deadly = False

    def __getattr__(self, name):
        if name == "commit" and self.is_deadly:
            raise fakes.Crash
        if self.cut:
            return lambda *args: result.Err(errors.Unavailable("cut off"))
        return getattr(self.rows, name)


def over_the_wire(message, kind):
    return codec.from_msgpack(codec.to_msgpack(message), kind)


class Peer:
    """An instance as its peers see it; `fault` is the status of calls to it."""

    def __init__(self, instance, incarnation):
        self.instance, self.fault = instance, ""
        self.listed = types.SimpleNamespace(
            name=instance.name, data_centre=DATA_CENTRES[instance.name]
        )
        self.state = types.SimpleNamespace(incarnation=incarnation, draining=False)
        self.unresponsive, self.is_reachable = False, True
        self.channel = self

    def call(self, method, message, timeout):
        if self.fault:
            return result.Err(self.fault)
        handler = getattr(self.instance.runner.ends, HANDLERS[method.name])
        answer = handler(over_the_wire(message, method.request_type))
        return result.Ok(over_the_wire(answer, method.response_type))


class Peers:
    """The peers of one instance."""

    def __init__(self):
        self.by_name = {}
        self.has_list = True

    def reachable(self):
        return [peer for peer in self.by_name.values() if peer.is_reachable]


def add(world, others, name, incarnation="1"):
    """Add an instance to `others`, by name, and make it known to them."""
    peers = Peers()
    end_peers = keepers.PeerInstances(
        peers, DATA_CENTRES[name], counters.StatsdCounters(None, 0)
    )
    instance = fakes.Instance(world, name, incarnation, end_peers)
    claims = instance.runner.ctx.claims
    claims.rows = instance.reach = Reach(claims.rows)
    instance.peers, instance.as_peer = peers, Peer(instance, incarnation)
    for other in others.values():
        other.peers.by_name[name] = instance.as_peer
        if other is not instance:
            peers.by_name[other.name] = other.as_peer
    others[name] = instance
    return instance
