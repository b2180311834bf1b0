import random

import gevent
from behave import given, then, when
from tests.scheduler import fakes
from tests.support import memory

from mangosail import codec
from mangosail.scheduler import errors, journal, keys, leadership
from mangosail.telemetry import counters

#: Seconds that one measurement of speed takes at full speed.
FULL_SPEED_S = 0.0001


def instance(context, name, cores):
    world = context.world
    return leadership.Leadership(
        world.rows, name, world.clock, world.counters, world.rand, cores
    )


def begin(context):
    context.interval = context.renewed_at = 0.0
    context.world = fakes.World(random.Random(11))


def claim(context, candidate):
    held = None
    while held is None:
        held = candidate.check()
        context.world.clock.now += 0.3
    return held


@given("an instance of {cores:g} core leads and renews its lease")
@given("an instance of {cores:g} cores leads and renews its lease")
def step_leads(context, cores):
    begin(context)
    held = claim(context, instance(context, "first", cores))
    context.journal = journal.Journal(
        context.world.rows, held, context.world.clock, context.world.counters
    )


@given("an instance of {cores:g} cores leads and renews its lease each {interval:g} s")
def step_leads_late(context, cores, interval):
    step_leads(context, cores)
    context.interval = interval
    for _ in range(6):
        context.world.clock.now += interval
        renew(context)


@given("a standby of {cores:g} cores saw another instance take over {count:d} workers")
def step_saw(context, cores, count):
    context.count = count
    step_died(context, cores)
    context.standby = instance(context, "second", cores)
    context.standby.check()
    held = claim(context, instance(context, "third", cores))
    context.standby.check()
    context.journal = journal.Journal(
        context.world.rows, held, context.world.clock, context.world.counters
    )
    context.journal.worker_count = lambda: count
    renew(context)
    context.standby.check()
    crash(context)


@when("the holder is {seconds:g} s late once")
def step_late_once(context, seconds):
    context.interval = seconds
    context.leads = watch(context, [context.standby], seconds + 0.1)


@when("the holder has led for {seconds:d} seconds before it crashes")
def step_led(context, seconds):
    step_saw(context, context.standby.cores, context.count)
    context.journal = context.last
    assert watch(context, [context.standby], seconds) is None
    crash(context)


@when("it crashes, observed by a standby of {cores:g} cores")
def step_dies(context, cores):
    context.standby = instance(context, "second", cores)
    assert watch(context, [context.standby], 5) is None
    crash(context)


def crash(context):
    """Stop the renewals of the holder."""
    context.last, context.journal = context.journal, None


@then("the standby leads {least:g} to {most:g} s after the holder's last renewal")
def step_leads_after(context, least, most):
    assert watch(context, [context.standby], 8) is context.standby
    passed = context.world.clock.now - context.renewed_at
    assert least <= passed <= most, passed


@given("an instance of {cores:g} cores led and crashed")
def step_died(context, cores):
    step_leads(context, cores)
    context.journal = None


@then("it has checked the lease {most:d} times at most")
def step_checks(context, most):
    assert context.checks <= most, context.checks


def watch(context, candidates, seconds):
    """Let each candidate check the lease at its intervals, while the holder renews."""
    clock = context.world.clock
    end = clock.now + seconds
    due = {candidate: clock.now for candidate in candidates}
    while clock.now < end:
        for candidate in candidates:
            if clock.now >= due[candidate]:
                context.checks = getattr(context, "checks", 0) + 1
                if candidate.check() is not None:
                    return candidate
                due[candidate] = clock.now + candidate.next_check_delay()
        if context.journal is not None:
            renew(context)
        clock.now += 0.05
    return None


def renew(context):
    """Let the holder renew the lease if its interval has passed."""
    now = context.world.clock.now
    if now >= context.renewed_at + context.interval:
        context.journal.write()
        context.renewed_at = now


@when("a standby of {cores:g} cores checks the lease for {seconds:d} seconds")
def step_watch(context, cores, seconds):
    context.standby = instance(context, "second", cores)
    context.leads = watch(context, [context.standby], seconds)


@when("a standby of {low:g} cores and one of {high:g} cores check the lease together")
def step_both(context, low, high):
    slower, context.standby = (
        instance(context, "slower", low),
        instance(context, "faster", high),
    )
    context.leads = watch(context, [slower, context.standby], 8)


@then("the standby leads")
@then("the faster standby leads")
def step_standby_leads(context):
    assert context.leads is context.standby
    row = context.world.rows.kept[keys.LEASE]
    assert codec.from_json(row.value, journal.Lease).holder == context.standby.name


@then("the standby does not lead")
def step_not(context):
    assert context.leads is None


@then("the first holder is deposed by its next write")
def step_deposed(context):
    try:
        context.journal.write()
    except errors.DeposedError:
        return
    raise AssertionError("the first holder can still write")


def leading(context, slow):
    context.rounds = 0
    clock = memory.Clock()
    context.clock = clock
    lead = leadership.Leadership(
        None, "one", clock, counters.StatsdCounters(None, 0), random.Random(3)
    )
    for _ in range(8):
        lead.speed.record(FULL_SPEED_S)
    if slow:
        for _ in range(8):
            lead.speed.record(5 * FULL_SPEED_S)
    context.lead = lead


@given("an instance of 1 core leads and works at full speed")
def step_fair(context):
    leading(context, False)


@given("an instance of 1 core leads and was slow when it claimed the lease")
def step_slow_already(context):
    leading(context, True)


def monitor(context, measurements):
    """Let the leader take these measurements; note whether it releases the lease."""
    remaining = iter(measurements)
    released = []

    def measure():
        took = next(remaining, None)
        if took is None:
            raise gevent.GreenletExit
        context.lead.speed.record(took)

    context.lead.speed.measure = measure
    gevent.spawn(context.lead.release_when_slow, lambda: released.append(True)).join()
    context.released = bool(released)


@when("its work takes 5 times as long")
def step_turns_slow(context):
    monitor(context, [5 * FULL_SPEED_S] * 10)


@when("one measurement of its work takes 50 times as long")
def step_once(context):
    monitor(context, [FULL_SPEED_S, 50 * FULL_SPEED_S, *[FULL_SPEED_S] * 8])


@then("it releases the lease")
def step_gives_up(context):
    assert context.released


@then("it keeps the lease")
def step_keeps(context):
    assert not context.released


@then("it lets others claim the lease first for a while")
def step_backs_off(context):
    assert context.lead.back_off_until > context.clock.now
