import dataclasses

from behave import given, then, when
from tests.scheduler import fakes

from mangosail.scheduler import estimates, fleet, messages, planning, progress

WALL = 1000.0
NOW = 50.0
QUEUE = messages.Queue("q", "", "/", "pool", 0, 2, 3.0, stretch=2.0, target=1.0)


@given("3 jobs, of which the first has the most work left")
def three_jobs(context):
    context.fleet = fleet.Fleet()
    context.fleet.add(fakes.Worker("w", None).entry)
    context.planner = planning.Planner(
        context.fleet, estimates.DurationEstimator(), lambda name: QUEUE
    )
    context.steps = []
    for number, count in enumerate((30, 2, 2)):
        context.steps.append(step_of(number, count))
    context.now = NOW


def step_of(number, count):
    """Return the step, ready to run, of a job with one step."""
    job = fakes.job(f"{number:016x}", fakes.step(count))
    job = dataclasses.replace(job, accepted_at=WALL)
    (ready,) = progress.JobProgress(job).ready_steps(WALL)
    return ready


@when("none of their tasks has waited for room")
def none_blocked(context):
    context.planner.refresh(context.steps, context.now, WALL)


@when("a task has waited for room, and 8 cores are there")
def one_blocked(context):
    context.steps[1].blocked_since = NOW
    context.planner.refresh(context.steps, context.now, WALL)


@when("{seconds:d} s pass without a new job")
def quiet(context, seconds):
    context.now += seconds
    context.planner.refresh(context.steps, context.now, WALL)


@then("none is deferred, and all have the same rank")
def equal(context):
    none_deferred(context)
    assert len({context.planner.sort_key(step) for step in context.steps}) == 1


@then("none is deferred")
def none_deferred(context):
    deferred = [
        context.planner.is_deferred(step, context.now) for step in context.steps
    ]
    assert not any(deferred), deferred


@then("the first goes last and is deferred")
def first_last(context):
    order = sorted(context.steps, key=context.planner.sort_key)
    assert order[-1] is context.steps[0]
    deferred = [
        context.planner.is_deferred(step, context.now) for step in context.steps
    ]
    assert deferred == [True, False, False], deferred


@when("a job with hardly any work comes {seconds:g} s later")
def one_more(context, seconds):
    context.late = step_of(9, 1)
    context.steps.append(context.late)
    context.now += seconds
    context.planner.refresh(context.steps, context.now, WALL)


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.now += seconds
    context.planner.refresh(context.steps, context.now, WALL)


@then("it goes last")
def goes_last(context):
    assert max(context.steps, key=context.planner.sort_key) is context.late


@then("it goes first")
def goes_first(context):
    assert min(context.steps, key=context.planner.sort_key) is context.late
