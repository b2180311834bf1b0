import json

from behave import given, then, when
from tests.support import stage, teams

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
