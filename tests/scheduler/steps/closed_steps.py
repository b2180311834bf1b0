import random

from behave import given, then, when
from tests.scheduler import fakes

from mangosail.scheduler import keys

IDS = ("00000000000000aa", "00000000000000bb")


@given('a leader, a worker in data centre "{first}" and one in "{second}"')
def step_world(context, first, second):
    context.world = fakes.World(random.Random(7))
    for name in (first, second):
        context.world.add_worker(f"w-{name}", data_centre=name)
    context.leader = context.world.lead("leader")


@when('the operator closes "{name}"')
def step_close(context, name):
    context.world.closed = frozenset({name})


@when('the operator opens "{name}" again')
def step_open(context, name):
    context.world.closed = frozenset()
    context.world.clock.now += 1.0
    context.leader.round(4)


@when("jobs of {count:d} tasks are submitted")
def step_jobs(context, count):
    for job_id in IDS:
        job = fakes.job(job_id, fakes.step(count // len(IDS)))
        context.world.rows.put(keys.job(job_id), job)
    context.leader.round(4)


@when("rounds go on for {seconds:d} seconds")
def step_pass(context, seconds):
    context.leader.round(seconds * 20)


def running(context):
    for worker in context.world.calls.workers.values():
        worker.expire()
    return {
        name: len(worker.running)
        for name, worker in context.world.calls.workers.items()
    }


@then('{count:d} of them run, all in "{name}"')
def step_run_there(context, count, name):
    found = running(context)
    assert found.pop(f"w-{name}") == count, found
    assert not any(found.values()), found


@then("all {count:d} of them run")
def step_all(context, count):
    assert sum(running(context).values()) == count, running(context)


@when("each of these runs ends")
def step_end(context):
    for worker in context.world.calls.workers.values():
        for task in list(worker.running):
            worker.end(task)
    context.leader.round(4)


@then("both of these jobs are completed")
def step_completed(context):
    states = [context.world.rows.state(job_id) for job_id in IDS]
    assert states == ["completed", "completed"], states
