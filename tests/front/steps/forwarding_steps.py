import result
from behave import given, then, when

from mangosail import clock, codec, resources
from mangosail.front import forwarding, messages
from mangosail.membership import messages as membership_messages
from mangosail.membership import peers, rpc
from mangosail.platform import inventory
from mangosail.settings import schema
from mangosail.telemetry import counters

#: Timeout of the callers' quotes in seconds.
TIMEOUT = 1.0
#: Free capacity of a peer, by the wording of the scenarios.
FREE_CAPACITY = {
    "with capacity": resources.Resources(
        cpus=8.0, memory_gb=64.0, slots=8, connections=8
    ),
    "with less capacity": resources.Resources(
        cpus=4.0, memory_gb=32.0, slots=4, connections=4
    ),
    "without": resources.Resources(),
}


class FakeChannel:
    """Returns the configured answer, and records each call."""

    def __init__(self, name, asked):
        self.name = name
        self.asked = asked
        self.answer = None

    def call(self, method, message, timeout):
        self.asked.append(self.name)
        if self.answer is None:
            return result.Err("deadline_exceeded")
        return result.Ok(self.answer)


def served_by(name):
    return messages.ForwardedAnswer(
        "q-1", 200, codec.to_json({}), worker=f"{name}-w0", data_centre="shymkent"
    )


def add_peer(context, name, capacity):
    listed = inventory.EntryInstance(name, "shymkent", "127.0.0.1:1")
    peer = peers.Peer(listed)
    peer.channel = FakeChannel(name, context.asked)
    peer.state = heartbeat(name, capacity)
    peer.reachable_deadline = context.clock.monotonic() + 60.0
    context.peers.by_name[name] = peer


def heartbeat(name, capacity):
    return membership_messages.Heartbeat(name, "1", "shymkent", FREE_CAPACITY[capacity])


@given('a peer "{first}" {capacity} and a peer "{second}" {other_capacity}')
def two_peers(context, first, capacity, second, other_capacity):
    context.asked = []
    context.clock = clock.SystemClock()
    counts = counters.StatsdCounters(None, 0)
    context.peers = peers.Peers("own", "taraz", None, context.clock, counts)
    add_peer(context, first, capacity)
    add_peer(context, second, other_capacity)
    context.has_no_workers = context.retries_left = True
    context.forwarding = forwarding.Forwarding(
        context.peers,
        "taraz",
        lambda: context.has_no_workers,
        lambda reason: context.retries_left,
        lambda *refusal: result.Err(
            messages.Refusal(refusal[0], refusal[1], 1.0, refusal[2])
        ),
        context.clock,
        counts,
    )


@given('a peer "{name}" that is sent no heartbeats')
def far_peer(context, name):
    add_peer(context, name, "without")
    peer = context.peers.by_name[name]
    peer.state = None
    peer.reachable_deadline = 0.0


@when('"{silent}" answers nothing and "{other}" serves')
def one_serves(context, silent, other):
    context.peers.by_name[silent].channel.answer = None
    context.peers.by_name[other].channel.answer = served_by(other)


@when('"{silent}" answers nothing and "{gone}" is removed from the list meanwhile')
def removed_meanwhile(context, silent, gone):
    known = context.peers
    known.start_heartbeats = lambda peer: None
    known.by_name[gone].channel = rpc.Channel("127.0.0.1:1", gone)
    left = known.by_name[silent]

    def call(method, message, timeout):
        known.update([left.listed])
        assert list(known.by_name) == [silent]
        return result.Err("deadline_exceeded")

    left.channel.call = call


@given("own workers that are full, and an exhausted retry budget")
def own_workers_full(context):
    context.has_no_workers = context.retries_left = False


@when('"{full}" refuses "{reason}" as "{outcome}" and "{other}" serves')
def one_refuses(context, full, reason, outcome, other):
    by_name = context.peers.by_name
    by_name[full].channel.answer = messages.ForwardedAnswer(
        "q-1", 503, reason, outcome=outcome
    )
    by_name[other].channel.answer = served_by(other)


@then("a quote is forwarded to no peer")
def forwarded_to_no_peer(context):
    assert ask(context) is None
    assert context.asked == [], context.asked


@when('"{name}" serves and sends a heartbeat')
def serves_and_sends_heartbeat(context, name):
    context.peers.by_name[name].channel.answer = served_by(name)
    send_heartbeat(context, name)


@when('"{name}" sends a heartbeat')
def send_heartbeat(context, name):
    context.peers.record_heartbeat(heartbeat(name, "with less capacity"))


@when(
    '"{first}" refuses "{reason}" as "{outcome}" and "{second}" refuses '
    '"{other_reason}" as "{other_outcome}"'
)
def both_refuse(context, first, reason, outcome, second, other_reason, other_outcome):
    by_name = context.peers.by_name
    by_name[first].channel.answer = messages.ForwardedAnswer(
        "q-1", 503, reason, outcome=outcome
    )
    by_name[second].channel.answer = messages.ForwardedAnswer(
        "q-1", 503, other_reason, outcome=other_outcome
    )


def ask(context):
    """Forward a quote, and return its answer."""
    context.asked.clear()
    declared = schema.Operation(mode=schema.Mode.QUOTE)
    deadline = context.clock.monotonic() + TIMEOUT
    request = messages.ServiceRequest(
        "q-1", "fuel-desk", "fuel", "quote", declared, {}, deadline
    )
    return context.forwarding.forward(request, messages.NOT_RUN)


@then('a quote is served by "{name}" after "{other}" was asked')
def served_second(context, name, other):
    answer = ask(context)
    assert answer.is_ok(), answer
    assert answer.ok_value.worker == f"{name}-w0", answer
    assert context.asked == [other, name], context.asked


@then('a quote is served by "{name}" at once')
def served_first(context, name):
    answer = ask(context)
    assert answer.is_ok(), answer
    assert context.asked == [name], context.asked


@then('a quote is refused "{reason}" with outcome "{outcome}"')
def refused(context, reason, outcome):
    answer = ask(context)
    assert answer.is_err(), answer
    assert answer.err_value.reason == reason, answer
    assert answer.err_value.outcome == outcome, answer
