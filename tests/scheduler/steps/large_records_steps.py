import random

import gevent
from behave import given, then, when
from tests.scheduler import fakes

from mangosail import resources
from mangosail.scheduler import keys, progress, recording, records, sizes

LARGE, SMALL = "00000000000000aa", "00000000000000bb"
#: Number of workers, whose names have 40 characters, and the tasks that fit on each.
WORKERS, TASKS_EACH = 60, 60
#: Time-out in seconds of real time for the rounds of the leader.
TERM = 20
MOST_ROUNDS = 200


@given(
    "a store that refuses rows of over {most:d} bytes, and capacity for {count:d} tasks"
)
def step_world(context, most, count):
    context.world = fakes.World(random.Random(7))
    context.world.rows.most_value = most
    assert WORKERS * TASKS_EACH == count
    capacity = fakes.NEED
    for _ in range(TASKS_EACH - 1):
        capacity += fakes.NEED
    for number in range(WORKERS):
        name = f"worker-{number:033d}"
        context.world.add_worker(name, capacity=capacity)
    context.leader = context.world.lead("a")


def submit(context, job):
    context.world.rows.put(keys.job(job.job_id), job)


def rounds(context, times):
    """Run rounds of the leader; if a write blocks it, the later assertions fail."""
    with gevent.Timeout(TERM, False):
        context.leader.round(times)


def running(context, job_id):
    return [
        task
        for worker in context.world.calls.workers.values()
        for task in worker.running
        if task.startswith(job_id)
    ]


def end_all(context, outcome):
    for worker in context.world.calls.workers.values():
        for task in list(worker.running):
            worker.end(task, outcome, "saved" if outcome == "stopped" else "")


@when("a job of {large:d} tasks is submitted, then one of {small:d} task")
def step_jobs(context, large, small):
    submit(context, fakes.job(LARGE, fakes.step(large)))
    rounds(context, 3)
    submit(context, fakes.job(SMALL, fakes.step(small)))
    rounds(context, 3)


@when("a gang of {members:d} is submitted with {count:d} tasks beside it")
def step_gang(context, members, count):
    gang = fakes.step(members, gang=True)
    submit(context, fakes.job(LARGE, fakes.step(count), gang))
    rounds(context, 3)


@when("the leader has learned how {count:d} images interfere with another one")
def step_learned(context, count):
    model = context.leader.scheduler.model
    for number in range(count):
        model.base[f"serving-{number}"] = 20.0
        model.pressure[f"serving-{number}", f"filling-{number}"] = 2.5
    context.last = f"serving-{count - 1}"


@when("the leader works for {times:d} rounds")
def step_rounds(context, times):
    rounds(context, times)


@then("a new leader knows the interference with the image learned last")
def step_knows(context):
    model = context.world.lead("b").scheduler.model
    assert context.last in model.base
    assert context.last in {serving for serving, _ in model.pressure}
    assert len(model.pressure) > 100, len(model.pressure)


@when("each run is stopped, {times:d} times")
def step_stopped(context, times):
    for _ in range(times):
        end_all(context, "stopped")
        rounds(context, 3)


@then("the task of the small job runs, and hundreds of the large one")
def step_run(context):
    assert len(running(context, SMALL)) == 1
    assert len(running(context, LARGE)) >= 200, len(running(context, LARGE))


@when("each run ends, until nothing runs")
def step_end(context):
    context.together = 0
    for _ in range(MOST_ROUNDS):
        members = running(context, f"{LARGE}.0.1.")
        context.together = max(context.together, len(members))
        end_all(context, "done")
        rounds(context, 3)
        if not running(context, ""):
            return
    raise AssertionError(f"{len(running(context, ''))} tasks still run")


@then("both jobs are completed")
def step_completed(context):
    found = [context.world.rows.state(job_id) for job_id in (LARGE, SMALL)]
    assert found == ["completed", "completed"], found


@then("the gang started together, and the job is completed")
def step_gang_completed(context):
    assert context.together == 400, context.together
    assert context.world.rows.state(LARGE) == "completed"


@given("{count:d} running tasks of a job, with checkpoints of {size:d} bytes")
def step_long(context, count, size):
    context.job = progress.JobProgress(fakes.job(LARGE, fakes.step(count)))
    for number, task in enumerate(context.job.tasks()):
        task.run = number + 1
        task.phase = progress.Phase.RUNNING
        task.worker = f"w{number}"
        task.checkpoint = "x" * size


@then("the encoded record takes less than {most:d} bytes")
def step_small(context, most):
    context.encoded = recording.encode(context.job)
    assert len(context.encoded) < most, len(context.encoded)


@then("another leader restores each run and its worker")
def step_found(context):
    found = progress.JobProgress(context.job.job)
    found.restore(records.decode(context.encoded))
    before = [(task.run, task.worker) for task in context.job.tasks()]
    assert [(task.run, task.worker) for task in found.tasks()] == before


@given("the description of a job of {what}")
def step_what(context, what):
    need = resources.Resources(cpus=1)
    context.job = {
        "5000 tasks": fakes.job(LARGE, fakes.step(5000)),
        "1 task that repeats 3000 times": repeating(3000),
        "1 task that repeats 5000 times": repeating(5000),
        "a gang of 400 tasks": fakes.job(LARGE, fakes.step(400, gang=True)),
        "a gang of 600 tasks": fakes.job(LARGE, fakes.step(600, gang=True)),
        "400 continuous tasks": fakes.job(LARGE, fakes.step(400, continuous=True)),
        "600 continuous tasks": fakes.job(LARGE, fakes.step(600, continuous=True)),
        "100 steps": fakes.job(LARGE, *[fakes.step(1, need)] * 100),
        "300 steps": fakes.job(LARGE, *[fakes.step(1, need)] * 300),
    }[what]


def repeating(times):
    return fakes.job(LARGE, fakes.step(1), occurrences=times)


@when("the size of its record is checked")
def step_check_size(context):
    context.fault = sizes.rejection_reason(context.job)


@then('the answer is "{answer}"')
def step_answer(context, answer):
    assert bool(context.fault) == (answer == "refused"), context.fault
