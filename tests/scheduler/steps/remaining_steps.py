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
    planning,
    preemption,
    progress,
    remaining,
    reports,
    worker_speeds,
)
from mangosail.telemetry import counters

QUEUE = messages.Queue("q", "", "/", "pool", 0, 2, 3.0, stretch=2.0, target=1.0)
UPDATE_S, POLL_S = 0.5, 0.3


class Run:
    """Equal tasks on one worker, which updates their progress every half second."""

    def __init__(self, count, seconds):
        self.clock = memory.Clock(now=100.0)
        self.seconds, self.done, self.speed, self.listed = seconds, 0.0, 1.0, 0
        self.updated_at = self.clock.now
        self.counters = counters.StatsdCounters(None, 0)
        self.estimator = estimates.DurationEstimator(self.clock.elapsed)
        self.fleet = fleet.Fleet()
        self.worker = self.fleet.add(fakes.Worker("w", self.clock).entry)
        # As many further tasks of the step may have ended before.
        job = progress.JobProgress(fakes.job("0" * 16, fakes.step(2 * count)))
        (self.step,) = job.ready_steps(0.0)
        self.tasks, self.others = self.step.tasks[:count], self.step.tasks[count:]
        for task in self.others:
            job.mark_done(task)
        for task in self.tasks:
            task.phase, task.run, task.worker = progress.Phase.RUNNING, 1, "w"
            task.from_beginning = True
            task.start_sent_at = task.started_at = self.clock.now
        self.reports = reports.ReportProcessor(
            {task.name: task for task in job.tasks()}.get, None, None, self.fleet,
            None, health.Health(), crashes.CrashTracker(self.fleet), self.estimator,
            worker_speeds.WorkerSpeeds(self.estimator), self.clock, self.counters,
        )  # fmt: skip

    def run(self, seconds):
        for _ in range(round(seconds / POLL_S)):
            self.clock.now += POLL_S
            self.done += POLL_S * self.speed / self.seconds
            if self.clock.now >= self.updated_at + UPDATE_S:
                self.updated_at += UPDATE_S
                late = (self.clock.now - self.updated_at) * self.speed / self.seconds
                self.listed = int(100 * (self.done - late))
            self.poll(self.listed)

    def poll(self, percent):
        rows = (messages.RunningTask(task.name, 1, "", percent) for task in self.tasks)
        report = messages.WorkerReport(int(self.clock.now * 1000), tuple(rows), ())
        self.reports.process(self.worker, report, self.clock.now)

    def list(self, percent):
        self.poll(int(percent))

    def stall(self, seconds):
        self.clock.now += seconds
        self.poll(self.listed)

    def throttle(self, percent):
        self.speed = percent / 100
        for task in self.tasks:
            task.speed_limit, task.throttled_at = int(percent), self.clock.now

    def inherit(self, seconds):
        self.done = seconds / self.seconds
        self.listed = int(100 * self.done)
        for task in self.tasks:
            task.start_sent_at, task.phase = None, progress.Phase.DOUBTFUL

    def ended(self, seconds):
        for task in self.others:
            self.estimator.record(task, seconds)


@given("{count:d} running tasks, declared to take 1 s, that take {seconds:g} s")
def running(context, count, seconds):
    context.run = Run(count, seconds)


@when("they are seen for: {events}")
def seen(context, events):
    with logbook.TestHandler() as context.logged:
        for event in events.split(", "):
            name, amount = event.split()
            getattr(context.run, name)(float(amount))
    context.run.step.outlook = None


def near(found, wanted):
    assert abs(found - wanted) <= 0.2 * wanted, (found, wanted)


@then("the estimate is {estimate:g} s and {left:g} s are left, within 20 percent")
def estimated(context, estimate, left):
    run = context.run
    near(run.estimator.estimate(run.step), estimate)
    outlook = run.estimator.outlook(run.step, run.clock.now)
    near(outlook.longest_left, left)
    near(remaining.seconds_left(run.tasks[0], outlook.duration, run.clock.now), left)
    near(outlook.seconds_left, left * len(run.tasks))


@then("{out:d} count as out_of_range, {back:d} as decreasing, {lines:d} are logged")
def counted(context, out, back, lines):
    found = context.run.counters.snapshot()
    assert found["reports.progress_invalid.out_of_range"] == out, found
    assert found["reports.progress_invalid.decreasing"] == back, found
    logged = [r for r in context.logged.records if r.message == "invalid progress"]
    assert len(logged) == lines, logged


@then(
    "the plan counts {work:g} core-seconds and {path:g} s left, and {count:d} calls "
    "at a time compute once"
)
def planned(context, work, path, count):
    run = context.run
    planner = planning.Planner(run.fleet, run.estimator, lambda name: QUEUE)
    with unittest.mock.patch.object(
        remaining, "outlook", side_effect=remaining.outlook
    ) as computed:
        for _ in range(count):
            found = planner._remaining_work(run.step, run.clock.now)
    near(found.core_seconds, work)
    near(found.critical_path, path)
    assert computed.call_count == 1


@given(
    "a worker with a task of {small:d} cores that last saved {long:g} s ago, and one "
    "of {large:d} cores {short:g} s ago"
)
def victims(context, small, long, large, short):
    clock = memory.Clock(now=100.0)
    context.fleet, context.victims = fleet.Fleet(), {}
    context.worker = context.fleet.add(fakes.Worker("w", clock).entry)
    context.worker.record_contact(100_000, 100.0)
    context.worker.contacted = True
    for cores, seconds in ((small, long), (large, short)):
        step = fakes.step(1, resources.Resources(cores, 1), checkpointing=True)
        job = fakes.job(f"{cores:016x}", step, priority=2)
        (task,) = progress.JobProgress(job).tasks()
        task.phase, task.run, task.worker = progress.Phase.RUNNING, 1, "w"
        row = messages.RunningTask(task.name, 1, "saved", 0)
        remaining.observe(task, row, clock.now - seconds)
        context.worker.reserve(task)
        context.victims[cores] = task


@when("the option is {state}, and a task needs the room")
def needs_room(context, state):
    need = resources.Resources(context.worker.free.cpus + 2, 1)
    job = progress.JobProgress(fakes.job("f" * 16, fakes.step(1, need)))
    (step,) = job.ready_steps(0.0)
    context.found = preemption.find_victims(
        step, 1, "pool", context.fleet, 100.0, state == "on"
    )


@then("the task of {cores:d} cores is preempted")
def preempted(context, cores):
    assert [victim.task for victim in context.found] == [context.victims[cores]]
