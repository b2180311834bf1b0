import random

from behave import given, then, when
from tests.support import placing

from mangosail.placement import latency, messages

QUOTE = "fuel.quote"


@given('workers "{first}" and "{second}"')
def two_workers(context, first, second):
    context.placing = placing.Placing(first, second)
    context.latencies = context.placing.placer.latencies


@given('{count:d} "{kind}" run on "{name}" and {other_count:d} "{other}" on "{second}"')
def run_tasks(context, count, kind, name, other_count, other, second):
    for _ in range(count):
        context.placing.put(name, kind)
    for _ in range(other_count):
        context.placing.put(second, other)


@given(
    "quotes took {noisy:d} ms beside the scan and {quiet:d} ms beside the tidy tasks"
)
def observed(context, noisy, quiet):
    for _ in range(60):
        for others, ms in (({}, 20), ({"batch.scan": 1}, noisy)):
            observe_quote(context, others, "a", ms)
        observe_quote(context, {"batch.tidy": 4}, "b", quiet)


def observe_quote(context, others, worker, ms):
    now = context.placing.clock.monotonic()
    context.latencies.observe(
        QUOTE, latency.Colocation(worker, others, 0.3), ms / 1000, now
    )


@when("a quote is placed")
def place_quote(context):
    context.placed = context.placing.placer.place(context.placing.work(QUOTE))


@when('a "{kind}" task is placed')
def place_batch(context, kind):
    place_quote(context)
    context.placing.placer.finish(context.placed.ok_value.work.task_id, ok=False)
    work = context.placing.work(kind, messages.WorkClass.BATCH)
    context.placed = context.placing.placer.place(work)


@when("batch tasks are placed until none fits")
def place_all(context):
    while True:
        work = context.placing.work("batch.tidy", messages.WorkClass.BATCH)
        if context.placing.placer.place(work).is_err():
            return


@then('it goes to "{name}"')
def goes_to(context, name):
    assert context.placed.ok_value.owned.name == name, context.placed


@then("it is placed")
def is_placed(context):
    assert context.placed.is_ok(), context.placed


@when('quotes take {fast:d} ms on "{good}" and {slow:d} ms on "{bad}"')
def slow_worker(context, fast, good, slow, bad):
    for _ in range(40):
        observe_quote(context, {}, good, fast)
        observe_quote(context, {}, bad, slow)


@when("{seconds:d} seconds pass")
def pass_time(context, seconds):
    context.placing.clock.sleep(seconds)


@then('quotes are predicted to take less than {ms:d} ms on "{name}"')
def predicted(context, ms, name):
    now = context.placing.clock.monotonic()
    found = context.latencies.predict(QUOTE, latency.Colocation(name, {}, 0.3), now)
    assert found < ms / 1000, found


@when("{count:d} quotes are seen beside neighbours that add {a:g}, {b:g} and {c:g}")
def mixed(context, count, a, b, c):
    random_source = random.Random(1)
    context.latencies = latency.Latencies()
    context.true_slowdowns = dict(zip("abc", (a, b, c), strict=True))
    for number in range(count):
        others = {kind: random_source.randrange(4) for kind in context.true_slowdowns}
        slowdown = 1 + sum(
            n * context.true_slowdowns[kind] for kind, n in others.items()
        )
        seconds = 0.02 * slowdown * random_source.uniform(0.9, 1.1)
        context.latencies.observe(
            QUOTE, latency.Colocation("w", others, 0.6), seconds, number / 50
        )


@then("the learned slowdowns are within {margin:g} of that")
def within_margin(context, margin):
    found = {
        kind: context.latencies.pair_slowdown(QUOTE, kind, 0.6, 60)
        for kind in context.true_slowdowns
    }
    for kind, true in context.true_slowdowns.items():
        assert abs(found[kind] - true) <= margin, found


@then('a "{kind}" task has to wait')
def waits(context, kind):
    work = context.placing.work(kind, messages.WorkClass.BATCH)
    reason = context.placing.placer.wait_reason(work)
    assert reason is not None and reason.retry_after > 0, reason


@then('a "{kind}" task does not')
def waits_not(context, kind):
    work = context.placing.work(kind, messages.WorkClass.BATCH)
    assert context.placing.placer.wait_reason(work) is None
