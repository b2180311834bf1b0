import itertools

from behave import given, then, when
from tests.support import placing

from mangosail import resources
from mangosail.dispatch import messages as dispatch_messages
from mangosail.placement import latency, messages
from mangosail.settings import schema

BATCH = messages.WorkClass.BATCH


def place(context, kind, work_class=BATCH, **options):
    options.setdefault("deadline", None)
    deadline = options.pop("deadline")
    work = context.placing.work(kind, work_class, **options)
    context.placed = context.placing.placer.place(work, deadline)
    return context.placed


@given('three workers "{a}", "{b}" and "{c}"')
def three_workers(context, a, b, c):
    context.placing = placing.Placing(a, b, c)


@given('an instance with worker "{name}", which is one of {count:d} listed')
def one_of_listed(context, name, count):
    context.placing = placing.Placing(name, listed=[placing.CAPACITY] * count)


@when('tasks of "{kind}" that declare {cpus:d} cpus are measured at {real:d} cpus')
def measured(context, kind, cpus, real):
    sizes = context.placing.placer.sizes
    for _ in range(4):
        sizes.learn(f"team/{kind}", resources.Resources(cpus=real, memory_gb=2))


@when('a "{kind}" task that declares {cpus:d} cpus is placed')
def place_sized(context, kind, cpus):
    place(context, kind, needs=resources.Resources(cpus, 2, 0, 1, 1))


@then("the ledger holds between {low:g} and {high:g} cpus")
def ledger_holds(context, low, high):
    owned = context.placed.ok_value.owned
    assert low <= owned.ledger.used.cpus <= high, owned.ledger.used


@then('"{name}" is counted')
def counted(context, name):
    assert context.placing.counters.counts[name] > 0, context.placing.counters.counts


@then('it is refused as "{reason}" permanently')
def refused_for_good(context, reason):
    assert context.placed.err_value.reason == reason, context.placed
    assert context.placed.err_value.retry_after is None


@then('it is refused as "{reason}" with a retry-after time')
def refused_for_now(context, reason):
    assert context.placed.err_value.reason == reason, context.placed
    assert 0 < context.placed.err_value.retry_after < 30


@when('"{kind}" succeeds on "{good}" and fails {count:d} times on "{bad}"')
def fails_on(context, kind, good, count, bad):
    observe = context.placing.placer.ejection.observe
    observe(good, kind, "", ok=True)
    for _ in range(count):
        observe(bad, kind, "", ok=False)


@when('"{kind}" succeeds on every worker')
def succeeds(context, kind):
    for owned in context.placing.workers:
        context.placing.placer.ejection.observe(owned.name, kind, "", ok=True)


@when('job "{job}" fails {first:d} times on "{a}" and {second:d} times on "{b}"')
def job_fails(context, job, first, a, second, b):
    observe = context.placing.placer.ejection.observe
    for worker in [a] * first + [b] * second:
        observe(worker, "batch.bad", job, ok=False)


@then('job "{job}" is poisoned as "{reason}"')
def poisoned(context, job, reason):
    assert context.placing.placer.ejection.poison_reason(job) == reason


@then('job "{job}" is not poisoned')
def not_poisoned(context, job):
    assert context.placing.placer.ejection.poison_reason(job) is None


@then('"{name}" is ejected and gets nothing')
def ejected(context, name):
    assert context.placing.placer.ejection.is_ejected(name)
    assert name not in candidate_names(context)


@then('"{name}" is not ejected')
def not_ejected(context, name):
    assert not context.placing.placer.ejection.is_ejected(name)


def candidate_names(context):
    work = context.placing.work("fuel.quote")
    return [owned.name for owned in context.placing.placer.candidates(work)]


@then('"{name}" gets one task at a time')
def one_probe(context, name):
    context.probed = name
    assert name in candidate_names(context)
    context.placing.put(name, "fuel.quote")
    assert name not in candidate_names(context)


@when("its probes succeed")
def probes_succeed(context):
    for _ in range(3):
        context.placing.placer.ejection.observe(
            context.probed, "fuel.quote", "", ok=True
        )


@given('quotas of {one:d} cpus for "{a}" and {two:d} cpus for "{b}"')
def quotas(context, one, a, two, b):
    for team, cpus in ((a, one), (b, two)):
        context.placing.quotas[team] = schema.Quota(cpus=cpus)


@when('"{team}" starts {count:d} tasks of {cpus:d} cpus')
def team_starts(context, team, count, cpus):
    needs = resources.Resources(cpus, 2, 0, 1, 1)
    answers = [
        place(context, "batch.tidy", team=team, needs=needs) for _ in range(count)
    ]
    context.started = sum(answer.is_ok() for answer in answers)


@then("{count:d} were placed")
def were_placed(context, count):
    assert context.started == count, context.started


@when('"{team}" waits for capacity')
def waits(context, team):
    context.placing.placer.fair_share.mark_waiting(team)


@then('the next team of "{a}" and "{b}" is "{team}"')
def next_team(context, a, b, team):
    assert context.placing.placer.fair_share.next_team({a: 5, b: 1}) == team


@when("quotes take {ms:d} ms everywhere")
def observe_everywhere(context, ms):
    for _ in range(40):
        for owned in context.placing.workers:
            now = context.placing.clock.monotonic()
            context.placing.placer.latencies.observe(
                "fuel.quote", latency.Colocation(owned.name, {}, 0.1), ms / 1000, now
            )
    place_late(context, 10)
    context.placing.placer.finish(context.placed.ok_value.work.task_id, ok=False)


@when("a quote with {seconds:g} seconds left is placed")
def place_late(context, seconds):
    deadline = context.placing.clock.monotonic() + seconds
    place(context, "fuel.quote", messages.WorkClass.QUOTE, deadline=deadline)


@when("the first quote takes {ms:d} ms")
def first_quote(context, ms):
    place_late(context, 1)
    context.placing.clock.sleep(ms / 1000)
    context.placing.placer.finish(context.placed.ok_value.work.task_id, ok=True)


@when("{count:d} quotes are placed, {at_once:d} at a time, each with 1 second left")
def place_together(context, count, at_once):
    context.bursts = [at_once] * (count // at_once)


@when(
    "they take {fast:d} ms, but the last {late:d} of every {period:d} take {slow:d} ms"
)
def answer_together(context, fast, late, period, slow):
    numbers = itertools.count()
    context.refused = []
    for at_once in context.bursts:
        ends = []
        for _ in range(at_once):
            place_late(context, 1)
            if context.placed.is_err():
                context.refused.append(context.placed.err_value)
                continue
            is_late = next(numbers) % period >= period - late
            ends.append(
                (slow if is_late else fast, context.placed.ok_value.work.task_id)
            )
        finish_in_order(context, ends)


def finish_in_order(context, ends):
    """Let work end, which is given as pairs of its run time in ms and its id."""
    started_at = context.placing.clock.monotonic()
    for ms, task_id in sorted(ends, key=lambda end: end[0]):
        passed = context.placing.clock.monotonic() - started_at
        context.placing.clock.sleep(ms / 1000 - passed)
        context.placing.placer.finish(task_id, ok=True)


@then("none was refused for its deadline")
def none_refused(context):
    refused = [found for found in context.refused if found.reason == "deadline"]
    assert not refused, (len(refused), refused[0])


@when('a "{kind}" task is placed that its worker says ran {seconds:g} seconds')
def place_with_run_time(context, kind, seconds):
    placed = place(context, kind).ok_value
    context.placing.clock.sleep(seconds + 1)
    task_id, done = placed.work.task_id, dispatch_messages.TaskState.DONE
    report = dispatch_messages.Report(task_id, 1, done, kind, seconds=seconds)
    snapshot = dispatch_messages.Snapshot(1, (report,))
    context.placing.placer.on_snapshot(placed.owned.name, snapshot)
    context.placing.placer.finish(task_id, ok=True)


@then('a "{kind}" task is told to retry after {seconds:g} seconds')
def retry_after(context, kind, seconds):
    refused = place(context, kind).err_value
    assert abs(refused.retry_after - seconds) < 0.01, refused
