import collections
import dataclasses
import re

from behave import given, then, when
from tests.scheduler import fakes

from mangosail import resources
from mangosail.scheduler import (
    failure_domains,
    fleet,
    interference,
    placing,
    progress,
)
from mangosail.telemetry import counters

NOW = 10.0
KINDS = {
    "short": {},
    "continuous": {"continuous": True},
    "best-effort": {"best_effort": True, "need": resources.Resources(3, 1)},
    "one-per-worker": {"most_per_worker": 1},
    "gang": {"gang": True},
    "one-rack": {"gang": True, "same_rack": True},
    "near-a": {"data_rack": "rack-a"},
    "near-c": {"data_rack": "rack-c"},
}


def workers_of(context, name):
    return [worker for worker in context.fleet if worker.entry.data_centre == name]


def fill(context, name, count, **facts):
    """Reserve a core for each of some tasks, on the emptiest workers."""
    step = fakes.step(count, resources.Resources(1, 0), **facts)
    context.jobs += 1
    job = progress.JobProgress(fakes.job(f"{context.jobs:016x}", step))
    for task in job.tasks():
        max(workers_of(context, name), key=lambda w: w.free.cpus).reserve(task)


def lead(context):
    homes = failure_domains.JobHomes(context.fleet, counters.StatsdCounters(None, 0))
    context.placer = placing.Placer(context.fleet, interference.Model(), homes)


@given("data centres {names}, with {used}")
def step_fleet(context, names, used):
    context.jobs, context.tasks, context.closed = 0, [], set()
    context.fleet = fleet.Fleet(lambda: frozenset(context.closed))
    for name in names.split(", "):
        for number in range(12):
            facts = {"labels": (f"rack-{name}",), "data_centre": name}
            entry = fakes.Worker(f"{name}{number}", None, **facts).entry
            worker = context.fleet.add(entry)
            worker.contacted = worker.reachable = True
    for count, name in re.findall(r"(\d+)[^\d]* in (\w)", used):
        fill(context, name, int(count))
    lead(context)


@given("{count:d} workers with latency-critical tasks in {name}")
def step_critical(context, count, name):
    fill(context, name, count, continuous=True, latency_target=18.0)


def place(context, step_run, now=NOW):
    placements = context.placer.place(step_run, step_run.tasks, "pool", now)
    assert len(placements) == len(step_run.tasks), placements
    for placement in placements:
        task = placement.task
        task.worker, task.phase = placement.worker.name, progress.Phase.DOUBTFUL
        context.tasks.append(task)


@when("a job of {counts} {kind} tasks is placed")
@when("{jobs:d} jobs of {counts} {kind} tasks are placed")
def step_place(context, counts, kind, jobs=1):
    steps = [fakes.step(int(count), **KINDS[kind]) for count in counts.split("+")]
    for _ in range(jobs):
        context.jobs += 1
        job = progress.JobProgress(fakes.job(f"{context.jobs:016x}", *steps))
        context.step_run = job.steps[0, 0]
        place(context, context.step_run)


@when("the next step of {count:d} tasks is placed")
def step_next(context, count):
    later = list(context.step_run.job.steps.values())[1:]
    place(context, next(s for s in later if s.step.count == count), NOW + 1)


@when("its home {event}")
def step_event(context, event):
    home = workers_of(context, "b")
    number = int((re.findall(r"\d+", event) or [0])[0])
    if "in use" in event:
        fill(context, "b", number)
    elif "unreachable" in event:
        for worker in home[:number]:
            worker.reachable = False
    elif "draining" in event:
        for worker in home:
            worker.entry = dataclasses.replace(worker.entry, draining=True)
    elif "closed" in event:
        context.closed.add("b")
    elif "leader" in event:
        fill(context, "b", 24)
        lead(context)


@then("the tasks are in: {where}")
def step_where(context, where):
    found = collections.Counter(task.worker[0] for task in context.tasks)
    shown = ", ".join(f"{found[name]} {name}" for name in sorted(found))
    assert shown == where, shown


@then("they are on {count:d} workers")
def step_workers(context, count):
    found = {task.worker for task in context.tasks}
    assert len(found) == count, found


@then("{count:d} of them are beside latency-critical tasks")
def step_beside(context, count):
    used = [context.fleet.get(task.worker) for task in context.tasks]
    assert sum(bool(worker.latency_critical_count) for worker in used) == count


@then("its tasks are placed as without the option")
def step_same(context):
    found = [task.worker for task in context.tasks]
    for task in context.tasks:
        context.fleet.get(task.worker).release(task)
    context.tasks, context.placer.homes = [], None
    place(context, context.step_run)
    assert [task.worker for task in context.tasks] == found, found
