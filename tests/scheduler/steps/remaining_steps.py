import unittest.mock

import logbook
from behave import given, then, when
from tests.scheduler import fakes
from tests.support import memory

from mangosail import resources
from mangosail.scheduler import (
    crashes,
    estimates,
    fleet,
    health,
    messages,
    pace,
    planning,
    preemption,
    progress,
    remaining,
    reports,
    worker_speeds,
)
from mangosail.telemetry import counters

QUEUE = messages.Queue("q", "", "/", "pool", 0, 2, 3.0, stretch=2.0, target=1.0)
UPDATE_S = 0.5


@given("a step of {count:d} tasks, declared to take 1 s, that take {seconds:g} s")
def one_step(context, count, seconds):
    context.clock = memory.Clock(now=100.0)
    context.counters = counters.StatsdCounters(None, 0)
    context.estimator = estimates.DurationEstimator(context.clock.elapsed)
    context.fleet = fleet.Fleet()
    context.worker = context.fleet.add(fakes.Worker("w", context.clock).entry)
    context.seconds, context.speed, context.updated_at = seconds, 1.0, 100.0
    #: Progress of each task as a share, and as the worker lists it.
    context.done, context.listed = 0.0, 0
    context.ended = 0
    start(context, count)


def start(context, count):
    job = progress.JobProgress(fakes.job("0" * 16, fakes.step(count)))
    (context.step,) = job.ready_steps(0.0)
    context.running = context.step.tasks[context.ended :]
    for task in context.running:
        task.phase, task.run, task.worker = progress.Phase.RUNNING, 1, "w"
        task.from_beginning = True
        task.start_sent_at = task.started_at = context.clock.now
    tasks = {task.name: task for task in job.tasks()}
    context.reports = reports.ReportProcessor(
        tasks.get, lambda job: None, lambda job: None, context.fleet,
        unittest.mock.Mock(), health.Health(), crashes.CrashTracker(context.fleet),
        context.estimator, worker_speeds.WorkerSpeeds(context.estimator),
        context.clock, context.counters,
    )  # fmt: skip


@given("{count:d} further tasks of it that have ended after {seconds:g} s")
def some_ended(context, count, seconds):
    context.ended = count
    start(context, len(context.running) + count)
    for task in context.step.tasks[:count]:
        context.estimator.record(task, seconds)
        task.job.mark_done(task)


@given("an earlier leader has started them {seconds:g} s ago")
def inherited(context, seconds):
    context.done = seconds / context.seconds
    context.listed = int(100 * context.done)
    for task in context.running:
        task.start_sent_at, task.phase = None, progress.Phase.DOUBTFUL


@when("its tasks run for {seconds:g} s, polled every 0.3 s")
def run(context, seconds):
    for _ in range(round(seconds / 0.3)):
        context.clock.now += 0.3
        context.done += 0.3 * context.speed / context.seconds
        if context.clock.now >= context.updated_at + UPDATE_S:
            context.updated_at += UPDATE_S
            late = (context.clock.now - context.updated_at) * context.speed
            context.listed = int(100 * (context.done - late / context.seconds))
        poll(context, context.listed)


def poll(context, percent):
    rows = tuple(
        messages.RunningTask(task.name, 1, "", percent) for task in context.running
    )
    report = messages.WorkerReport(int(context.clock.now * 1000), rows, ())
    context.reports.process(context.worker, report, context.clock.now)


@when("they stall for {seconds:g} s")
def stall(context, seconds):
    context.clock.now += seconds
    poll(context, context.listed)


@when("they are throttled to {percent:d} percent")
def throttled(context, percent):
    context.speed = percent / 100
    for task in context.running:
        task.speed_limit, task.throttled_at = percent, context.clock.now


@when("the worker lists {percent:d} percent three times")
def invalid(context, percent):
    del context.running[1:]
    with logbook.TestHandler() as context.logged:
        for _ in range(3):
            context.clock.now += 0.1
            poll(context, percent)


@then("3 are counted as {fault}, and 1 logged")
def counted(context, fault):
    found = context.counters.snapshot()[f"reports.progress_invalid.{fault}"]
    assert found == 3, found
    lines = [r for r in context.logged.records if r.message == "invalid progress"]
    assert len(lines) == 1, lines


def near(found, wanted, percent):
    assert abs(found - wanted) <= wanted * percent / 100, (found, wanted)


@then("its estimate is {seconds:g} s within {percent:d} percent")
def estimated(context, seconds, percent):
    context.clock.now += pace.MAX_OUTLOOK_TTL_S if context.step.outlook is None else 0
    context.step.outlook = None
    near(context.estimator.estimate(context.step), seconds, percent)


@then("its tasks have {seconds:g} s left, within {percent:d} percent")
def left(context, seconds, percent):
    context.step.outlook = None
    outlook = context.estimator.outlook(context.step, context.clock.now)
    near(outlook.longest_left, seconds, percent)
    near(outlook.seconds_left, seconds * len(context.running), percent)


@then("the estimate is computed once for {count:d} calls at a time")
def kept(context, count):
    context.step.outlook = None
    with unittest.mock.patch.object(
        remaining, "outlook", side_effect=remaining.outlook
    ) as computed:
        for _ in range(count):
            context.estimator.estimate(context.step)
        assert computed.call_count == 1
        context.clock.now += pace.MAX_OUTLOOK_TTL_S
        context.estimator.estimate(context.step)
        assert computed.call_count == 2


@then("the plan counts {work:g} core-seconds and {path:g} s left, within 20 percent")
def planned(context, work, path):
    context.step.outlook = None
    planner = planning.Planner(context.fleet, context.estimator, lambda name: QUEUE)
    found = planner._remaining_work(context.step, context.clock.now)
    near(found.core_seconds, work, 20)
    near(found.critical_path, path, 20)


@given("a worker with a task of {cores:d} cores that last saved {seconds:g} s ago")
def worker_with_victim(context, cores, seconds):
    context.clock = memory.Clock(now=100.0)
    context.fleet = fleet.Fleet()
    context.worker = context.fleet.add(fakes.Worker("w", context.clock).entry)
    context.worker.record_contact(100_000, 100.0)
    context.worker.contacted = True
    context.victims = {}
    another_victim(context, cores, seconds)


@given("a task of {cores:d} cores on it that last saved {seconds:g} s ago")
def another_victim(context, cores, seconds):
    step = fakes.step(1, resources.Resources(cores, 1), checkpointing=True)
    job = fakes.job(f"{cores:016x}", step, priority=2)
    (task,) = progress.JobProgress(job).tasks()
    task.phase, task.run, task.worker = progress.Phase.RUNNING, 1, "w"
    task.started_at = 10.0
    row = messages.RunningTask(task.name, 1, "saved", 0)
    remaining.observe(task, row, context.clock.now - seconds)
    context.worker.reserve(task)
    context.victims[cores] = task


@when("the option is {state}, and a task needs the room")
def needs_room(context, state):
    need = resources.Resources(context.worker.free.cpus + 2, 1)
    job = progress.JobProgress(fakes.job("f" * 16, fakes.step(1, need)))
    (step,) = job.ready_steps(0.0)
    context.found = preemption.find_victims(
        step, 1, "pool", context.fleet, context.clock.now, state == "on"
    )


@then("the task of {cores:d} cores is preempted")
def preempted(context, cores):
    assert [victim.task for victim in context.found] == [context.victims[cores]]
