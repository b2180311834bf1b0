import collections
import random

from behave import given, then, when
from tests.scheduler import fakes

from mangosail import resources
from mangosail.platform import workers
from mangosail.scheduler import keys, messages, worker_limit

JOB = "00000000000000aa"
PER_RACK = 8


def entry(number):
    rack = f"r{number // PER_RACK}"
    capacity = resources.Resources(cpus=32, memory_gb=125)
    name = f"w{number * 7919 % 10007}"
    return messages.WorkerEntry(name, "p", "a:1", "dc", capacity, frozenset({rack}))


@then(
    "a leader of {cores:g} cores and {descriptors:d} descriptors "
    "polls {count:d} workers"
)
def step_bound(context, cores, descriptors, count):
    assert (
        worker_limit.max_workers(cores, workers.HttpWorkers(descriptors).max_workers)
        == count
    )


@then(
    "of {count:d} workers in {racks:d} racks the {most:d} that are selected "
    "are {low:d} or {high:d} in each rack"
)
def step_spread(context, count, racks, most, low, high):
    chosen = worker_limit.select([entry(number) for number in range(count)], most)
    found = collections.Counter(rack for each in chosen for rack in each.labels)
    assert len(chosen) == most and len(found) == racks, (len(chosen), len(found))
    assert set(found.values()) == {low, high}, set(found.values())


@given("{count:d} workers in {racks:d} racks, of which a leader polls {most:d}")
def step_world(context, count, racks, most):
    context.world = fakes.World(random.Random(9))
    context.world.most_workers = most
    context.racks = racks
    for number in range(count):
        add_worker(context, number)
    context.leader = context.world.lead("first")


def add_worker(context, number):
    labels = (f"r{number % context.racks}",)
    context.world.add_worker(f"w{number}", labels=labels)


@when("a job of {count:d} tasks is submitted")
def step_job(context, count):
    context.world.rows.put(keys.job(JOB), fakes.job(JOB, fakes.step(count)))
    context.leader.round(8)


def busy(context):
    found = context.world.calls.workers.values()
    for worker in found:
        worker.expire()
    return [worker for worker in found if worker.running]


@then("{count:d} tasks run on {most:d} workers of {racks:d} racks")
def step_run(context, count, most, racks):
    found = busy(context)
    assert sum(len(worker.running) for worker in found) == count, found
    assert len(found) == most, [worker.entry.name for worker in found]
    assert len({worker.entry.labels for worker in found}) == racks


@when("{added:d} of the workers without tasks are added, and {lost:d} with tasks crash")
def step_crash(context, added, lost):
    for number in range(100, 100 + added):
        add_worker(context, number)
    for worker in busy(context)[:lost]:
        worker.fault = "replaced"
        worker.running.clear()
    pass_time(context, 1.0)


def pass_time(context, seconds):
    for _ in range(round(seconds / 0.25)):
        context.leader.scheduler.listing.rebalance()
        context.leader.round(5)


@when("a leader that polls {most:d} workers takes over, and {seconds:d} s pass")
def step_take_over(context, most, seconds):
    context.world.most_workers = most
    context.leader = context.world.lead("second")
    pass_time(context, seconds)


@when("each of these tasks ends")
def step_end(context):
    for worker in busy(context):
        for task in list(worker.running):
            worker.end(task)


@then("{most:d} workers are polled, and the job ends")
def step_attended(context, most):
    for _ in range(4):
        step_end(context)
        pass_time(context, 1.0)
    assert len(context.leader.scheduler.workers) == most
    assert context.world.rows.state(JOB) == "completed"


@then("with {count:d} workers listed, {most:d} are polled, and none of the others")
def step_looks(context, count, most):
    context.racks = count // PER_RACK
    context.world = fakes.World(random.Random(9))
    context.world.most_workers = most
    for number in range(count):
        add_worker(context, number)
    polled = set()
    poll = context.world.calls.poll

    def counted(worker, *args, **kwargs):
        polled.add(worker.name)
        return poll(worker, *args, **kwargs)

    context.world.calls.poll = counted
    context.world.lead("first").round(2)
    assert len(polled) == most, len(polled)
