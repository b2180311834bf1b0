import types

import gevent
import result
from behave import given, then, when
from tests.support import fakes

from mangosail import codec
from mangosail.platform import errors as platform_errors
from mangosail.work import errors, forwarding, messages

#: Seconds after which a call to a peer that does not answer is given up.
LOST_AFTER_S = 5.0


def over_the_wire(message, kind):
    return codec.from_msgpack(codec.to_msgpack(message), kind)


class Peer:
    """A peer reached over the wire's encoding; `fault` says how it fails."""

    def __init__(self, instance, fault=""):
        self.instance, self.world, self.fault = instance, instance.world, fault
        self.listed = types.SimpleNamespace(name=instance.name, data_centre="dc")
        self.channel = self

    def call(self, method, message, timeout):
        message = over_the_wire(message, method.request_type)
        if self.fault == "loses the order at once":
            return result.Err("unavailable")
        if self.fault == "loses the order after a time":
            self.world.clock.sleep(min(timeout, LOST_AFTER_S))
            return result.Err("deadline_exceeded")
        if self.fault == "can't reach the table":
            self.world.table_fault = "down"
        if self.fault == "doesn't know whether its claim stands":
            return self.unsure(method, message)
        if self.fault == "is of the build that tells no reason":
            return self.of_old_build(method)
        answer = self.instance.runner.submit_for_peer(message)
        self.world.table_fault = ""
        if self.fault == "claims, and its answer is lost":
            return result.Err("deadline_exceeded")
        return result.Ok(over_the_wire(answer, method.response_type))

    def unsure(self, method, message):
        """Answer after a claim whose both writes were lost on their way."""
        claims = self.instance.runner.ctx.claims
        written, claims.write = claims.write, lose_write
        answer = self.instance.runner.submit_for_peer(message)
        claims.write = written
        return result.Ok(over_the_wire(answer, method.response_type))

    def of_old_build(self, method):
        """Answer as an earlier build, which told of want of room alone."""
        return result.Ok(over_the_wire({"refused": False}, method.response_type))


def lose_write(row, version, moved_from=""):
    return result.Err(platform_errors.Uncertain("lost"))


class Peers:
    def __init__(self, peers):
        self.peers = peers

    def with_capacity(self, needs, data_centre):
        return list(self.peers)


def without_workers(context, *peers):
    """Set up an instance without workers beside peers that fail as told."""
    context.world = world = fakes.World()
    context.peers = []
    for number, fault in enumerate(peers):
        instance = fakes.Instance(world, f"p{number}")
        if fault != "has no room":
            instance.take(fakes.Worker(world, f"w{number}"), 1)
        context.peers.append(Peer(instance, fault))
    context.instance = asked = fakes.Instance(world, "a")
    asked.runner.submissions.forwarding = forwarding.Forwarding(
        Peers(context.peers), "dc", world.clock, asked.counters
    )


@given("an instance without workers and a peer that claims")
def beside_claiming(context):
    without_workers(context, "")


@given("an instance without workers and a peer where the id is in use")
def beside_conflict(context):
    without_workers(context, "")
    (peer,) = context.peers
    plain = peer.call

    def call(method, message, timeout):
        other = messages.Request("team", "o", "kind", fakes.NEEDS, {"id": "other"})
        peer.instance.runner.submit(other, context.world.clock.now)
        return plain(method, message, timeout)

    peer.call = call


@given("an instance without workers, a peer that {fails} and one that claims")
def beside_two(context, fails):
    without_workers(context, fails, "")


@given("an instance without workers and a peer that {fails}")
def beside_failing(context, fails):
    without_workers(context, fails)


def order(restartable=False):
    return messages.Request(
        "team", "o", "kind", fakes.NEEDS, {"id": "o"}, restartable=restartable
    )


@when("an order with {seconds:g} seconds is sent to the instance")
def sent(context, seconds):
    clock = context.world.clock
    before = clock.now
    context.answer = context.instance.runner.submit(order(), before + seconds)
    context.took = clock.now - before


class Reads:
    """The table as one instance sees it, which fails reads after the first `count`."""

    def __init__(self, rows, count):
        self.rows, self.left = rows, count

    def read(self, keys):
        self.left -= 1
        if self.left < 0:
            return result.Err(platform_errors.Unavailable("down"))
        return self.rows.read(keys)

    def commit(self, transaction):
        return self.rows.commit(transaction)


def sent_with_reads(context, seconds, count):
    claims = context.instance.runner.ctx.claims
    claims.rows = Reads(claims.rows, count)
    sent(context, seconds)


@when(
    "an order with {seconds:g} seconds is sent to the instance, "
    "and it can't read the table"
)
def sent_unreadable(context, seconds):
    # The first read, before the order is passed on, finds no row.
    sent_with_reads(context, seconds, 1)


@when(
    "an order with {seconds:g} seconds is sent to the instance, "
    "and the table goes down later"
)
def sent_then_down(context, seconds):
    sent_with_reads(context, seconds, 2)


@then('it is refused as "{reason}", unknown, with a time to ask again')
def refused(context, reason):
    assert isinstance(context.answer, result.Err), context.answer
    error = context.answer.err_value
    assert error.reason == reason, error
    assert error.retry_after > 0, error


@then("that took less than {seconds:g} seconds")
def took(context, seconds):
    assert context.took < seconds, context.took


@then("no row of it was written")
def unwritten(context):
    assert "work/team/o" not in context.world.rows, context.world.rows


@then("it is told as open, and was started once")
def told_open(context):
    assert isinstance(context.answer, result.Ok), context.answer
    outcome = context.answer.ok_value
    assert (outcome.outcome, outcome.retry_after) == ("unknown", 1.0), outcome
    started_once(context)


@then("the order was started once")
def started_once(context):
    logs = [entry for worker in context.world.workers.values() for entry in worker.log]
    starts = [entry for entry in logs if entry[:2] == ("start", "team/o")]
    assert len(starts) == 1, logs


@then("it is refused for its body")
def refused_body(context):
    assert context.answer == result.Err(errors.BodyConflict("o")), context.answer


class SlowWrites:
    """A table whose commits take time, and then fail if `fails`."""

    def __init__(self, rows, seconds, fails):
        self.rows, self.seconds, self.fails = rows, seconds, fails

    def read(self, keys):
        gevent.sleep(0.001)
        return self.rows.read(keys)

    def commit(self, transaction):
        gevent.sleep(self.seconds)
        if self.fails:
            return result.Err(platform_errors.Unavailable("down"))
        return self.rows.commit(transaction)


def with_slow_writes(context, seconds, fails):
    claims = context.instance.runner.ctx.claims
    claims.rows = SlowWrites(claims.rows, seconds, fails)


def with_worker(context):
    context.world = fakes.World()
    context.instance = fakes.Instance(context.world, "a")
    context.instance.take(fakes.Worker(context.world, "w0"), 1)


@given(
    "an instance whose table is so slow that it fails a claim after {seconds:g} seconds"
)
def slow_and_failing(context, seconds):
    with_worker(context)
    with_slow_writes(context, seconds, fails=True)


@given(
    "an instance with an evicted task, whose table takes {seconds:g} seconds "
    "for a write"
)
def evicted_and_slow(context, seconds):
    with_worker(context)
    context.instance.runner.submit(order(True), context.world.clock.now)
    assert context.instance.runner.evict("team/o", "pressure").is_ok()
    with_slow_writes(context, seconds, fails=False)


def two_callers(context, request, first, second):
    """Submit `request` twice at once; the callers wait for `first` and `second` s."""
    now, submit = context.world.clock.now, context.instance.runner.submit
    callers = [
        gevent.spawn(submit, request, now + first),
        gevent.spawn(submit, request, now + second),
    ]
    gevent.joinall(callers, timeout=5, raise_error=True)
    return [caller.get() for caller in callers]


@when("two callers send an order there, the second with {seconds:g} seconds")
def two_order(context, seconds):
    _, context.answer = two_callers(context, order(), 1, seconds)


@when("two callers send the task there, the first with {seconds:g} seconds")
def two_resume(context, seconds):
    context.answer, _ = two_callers(context, order(True), seconds, 1)


@then('the second is refused as "{reason}", unknown, with a time to ask again')
def second_refused(context, reason):
    refused(context, reason)


@then('the first is told that the task is "{state}", with a time to ask again')
def first_told(context, state):
    outcome = context.answer.ok_value
    assert (outcome.state, outcome.retry_after) == (state, 1.0), outcome


@given("an instance that has owned its worker for {seconds:d} seconds")
def owned_for_long(context, seconds):
    with_worker(context)
    until = context.world.clock.now + seconds
    while context.world.clock.now < until:
        context.instance.sweep()


@when("an order is sent there, and the answers to its claim are lost")
def answers_lost(context):
    claims = context.instance.runner.ctx.claims
    written = claims.write

    def write(row, version, moved_from=""):
        written(row, version, moved_from)
        return result.Err(platform_errors.Uncertain("lost"))

    claims.write = write
    sent(context, 8)
    claims.write = written


@when("{count:d} sweep has passed")
def swept(context, count):
    for _ in range(count):
        context.instance.sweep()


@then('it is told as "{outcome}" for good, and was never started')
def told_for_good(context, outcome):
    told = context.instance.runner.look_up("team", "o").ok_value
    assert (told.outcome, told.retry_after) == (outcome, None), told
    assert not context.world.workers["w0"].log
