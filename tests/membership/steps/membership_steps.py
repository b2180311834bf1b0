import json

import gevent
import gevent.event
import result
from behave import given, then, when
from tests.support import memory, stage, teams

from mangosail import clock, resources
from mangosail.membership import messages, peers
from mangosail.platform import inventory
from mangosail.telemetry import counters


def status(context, name):
    headers = teams.bearer("fuel-desk-token")
    return context.stage.call(name, "GET", "/v1/status", headers=headers).json()


def counted(context, prefix):
    """Return the sum of the counters that start with `prefix`, by instance."""
    return {
        name: sum(
            count
            for counter, count in status(context, name)["counters"].items()
            if counter.startswith(prefix)
        )
        for name in context.stage.instances
    }


def others(context, name):
    return set(context.stage.instances) - {name}


def all_reachable(context):
    return all(
        set(status(context, name)["peers"]) == others(context, name)
        for name in context.stage.instances
    )


@given(
    '{count:d} instances in "{first}" and {more:d} in "{second}" that reach each other'
)
def found(context, count, first, more, second):
    context.stage = stage.Stage()
    context.stage.start_platform()
    context.stage.write_settings("fuel-desk", teams.example("fuel-desk"))
    for data_centre, number in ((first, count), (second, more)):
        context.stage.start_workers(data_centre, number)
        for index in range(number):
            context.stage.start_instance(f"{data_centre}-{index}", data_centre)
    context.stage.wait_ready()
    stage.wait_until(lambda: all_reachable(context), 15, "all peers reachable")
    context.earlier = counted(context, "membership.heartbeat_failed.unavailable")
    context.beats = counted(context, "membership.heartbeat_sent")


@when("each has sent {count:d} more heartbeats to each peer")
def beat_on(context, count):
    peers = len(context.stage.instances) - 1
    stage.wait_until(
        lambda: all(
            sent >= context.beats[name] + count * peers
            for name, sent in counted(context, "membership.heartbeat_sent").items()
        ),
        20,
        "heartbeats sent",
    )


@then("every instance reaches every other and no heartbeat was refused meanwhile")
def still(context):
    assert all_reachable(context)
    assert (
        counted(context, "membership.heartbeat_failed.unavailable") == context.earlier
    )


@given(
    "an instance that is told of {near:d} local peers and {far:d} in each of "
    "{count:d} other data centres"
)
def told(context, near, far, count):
    context.peers = peers.Peers(
        "a", "dc0", lambda _: None, clock.SystemClock(), counters.StatsdCounters("", 0)
    )
    context.peers.start_heartbeats = lambda peer: None
    entries = [
        inventory.EntryInstance(f"n{i}", "dc0", "127.0.0.1:9") for i in range(near)
    ]
    entries += [
        inventory.EntryInstance(f"f{d}-{i}", f"dc{d}", f"127.0.0.1:{d * 100 + i}")
        for d in range(1, count + 1)
        for i in range(far)
    ]
    context.peers.update(entries)


@then(
    "it sends heartbeats to {recipients:d} of them and knows the addresses of all "
    "{known:d}"
)
def few(context, recipients, known):
    chosen = [
        peer for peer in context.peers.by_name.values() if peer.receives_heartbeats
    ]
    assert len(chosen) == recipients, len(chosen)
    assert len(context.peers.by_name) == known


@when('"{name}" starts cut off from the platform')
def start_cut(context, name):
    context.stage.faults(cut=[name])
    context.stage.start_instance(name, "shymkent")


@then('"{name}" reaches every other instance')
def reaches(context, name):
    stage.wait_until(
        lambda: context.stage.call(name, "GET", "/healthz").status == 200, 10
    )
    # It has no settings, so it can't authenticate callers of its status. Its log has
    # one line for each peer that it reached.
    log = context.stage.logs / f"{name}.log"

    def found():
        lines = [json.loads(line) for line in log.read_text().splitlines()]
        return {e.get("peer") for e in lines if e.get("event") == "peer reached"}

    stage.wait_until(lambda: found() == others(context, name), 15, "all peers")


@when('"{name}" is replaced and sends a heartbeat from "{address}"')
def replaced(context, name, address):
    free = resources.Resources()
    context.peers.record_heartbeat(
        messages.Heartbeat(name, "later", "dc0", free, peer_address=address)
    )


@then(
    'it sends heartbeats to "{name}" at "{address}", and knows {count:d} peers as '
    "before"
)
def beats_at(context, name, address, count):
    peer = context.peers.by_name[name]
    assert (peer.listed.peer_address, peer.receives_heartbeats) == (address, True), (
        peer.listed
    )
    assert len(context.peers.by_name) == count


class SteppedClock(memory.Clock):
    """A clock whose sleepers wait until the test lets them run."""

    def __init__(self):
        super().__init__()
        self.woken = gevent.event.Event()

    def sleep(self, seconds):
        self.woken.wait()

    def wake(self):
        self.woken.set()
        self.woken.clear()
        gevent.sleep(0)


class CountingChannel:
    """Counts the heartbeats sent over it."""

    def __init__(self):
        self.sent = 0

    def call(self, method, message, timeout):
        self.sent += 1
        return result.Err("unavailable")

    def close(self):
        pass


@given("an instance that sends heartbeats to 2 of 3 peers in another data centre")
def two_of_three(context):
    context.clock = SteppedClock()
    context.peers = peers.Peers(
        "a", "dc0", lambda _: None, context.clock, counters.StatsdCounters("", 0)
    )
    context.entries = [
        inventory.EntryInstance(f"f{i}", "dc1", f"127.0.0.1:{i + 1}") for i in range(3)
    ]
    context.peers.update(context.entries)
    by_name = context.peers.by_name
    (context.third,) = (p for p in by_name.values() if not p.receives_heartbeats)
    for peer in by_name.values():
        peer.channel = CountingChannel()


@when("one of the 2 is missing from the list {count:d} times within a second")
def missing(context, count):
    chosen = next(e for e in context.entries if e != context.third.listed)
    for _ in range(count):
        context.peers.update(e for e in context.entries if e != chosen)
        gevent.sleep(0)
        context.peers.update(context.entries)
        context.peers.by_name[chosen.name].channel = CountingChannel()
    context.peers.update(e for e in context.entries if e != chosen)
    gevent.sleep(0)


@then("the third peer is sent {count:d} heartbeat in each interval")
def sent_in_interval(context, count):
    for _ in range(3):
        before = context.third.channel.sent
        context.clock.wake()
        assert context.third.channel.sent - before == count, context.third.channel.sent
