import random

from behave import given, then, when
from tests.scheduler import fakes

from mangosail import codec
from mangosail.scheduler import backlog, journal, keys, options, ordering


@given("the waiting jobs of priority 0 and 2, of which some can end in time")
def waiting(context):
    def jobs(count, size):
        names = [f"{size:g}-{number}" for number in range(count)]
        return {n: ordering.RemainingWork(n, 0.0, size, size, 1.0) for n in names}

    by_priority = {2: jobs(40, 100.0), 0: jobs(10, 5.0)}
    plans = {
        priority: ordering.Plan({name: i for i, name in enumerate(of_priority)}, 10)
        for priority, of_priority in by_priority.items()
    }
    context.backlog = backlog.measure(by_priority, plans, 320.0)


def ahead(context, size):
    found = context.backlog.of(2)
    work = ordering.RemainingWork("new", 0.0, size, size, 1.0)
    return found.ahead(ordering.value_rate(work, found.mean))


@then("a small job of priority 2 has only the urgent work ahead")
def small(context):
    assert ahead(context, 1.0) == (50.0, 1050.0), ahead(context, 1.0)


@then("a large one has all work ahead")
def large(context):
    assert ahead(context, 5000.0) == (1050.0, 4050.0), ahead(context, 5000.0)
    assert context.backlog.of(1) is None


@then("the published text has less than {most:d} bytes, and is read as it was written")
def published(context, most):
    text = backlog.encode(context.backlog)
    assert len(text) < most, len(text)
    assert backlog.decode(text) == context.backlog


@given('workers "w1" and a leader that refuses late jobs')
def leader(context):
    context.world = fakes.World(random.Random(1))
    context.world.options = options.Options(refuse_late_jobs=True)
    context.world.add_worker("w1")
    context.world.leader = fakes.Leader(context.world, "i0")


@when("{count:d} jobs of 4 tasks are waiting, and {rounds:d} rounds pass")
def jobs_wait(context, count, rounds, label=""):
    for number in range(count):
        job = fakes.job(f"{number:016x}", fakes.step(4, label=label))
        context.world.rows.put(keys.job(job.job_id), job)
    context.world.leader.round(rounds)


@when("{count:d} jobs wait for a label that no worker has, and {rounds:d} rounds pass")
def jobs_wait_for_label(context, count, rounds):
    jobs_wait(context, count, rounds, "none")


@when("it writes for 2 s without planning")
def only_writes(context):
    for _ in range(40):
        context.world.clock.now += 0.05
        context.world.leader.write()


@then("the lease row tells of no waiting work")
def no_work(context):
    assert backlog.decode(lease_row(context)["backlog"]) == backlog.Backlog()


@when("another leader takes over")
def takes_over(context):
    context.world.clock.now += 5.0
    context.world.leader = fakes.Leader(context.world, "i1")
    context.world.leader.round(2)


def lease_row(context):
    return codec.from_json(context.world.rows.kept[keys.LEASE].value, dict)


@then("the lease row has no backlog")
def none(context):
    assert "backlog" not in lease_row(context), lease_row(context)


@then("the lease row tells of more than {least:d} core-seconds")
def tells(context, least):
    found = backlog.decode(lease_row(context)["backlog"]).of(0)
    assert found.core_seconds > least, found
    assert found.cores > 0
    held = codec.from_json(context.world.rows.kept[keys.LEASE].value, journal.Lease)
    assert held.backlog
