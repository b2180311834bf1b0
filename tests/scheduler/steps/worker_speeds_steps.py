import math
import random

from behave import given, then, when
from tests.scheduler import fakes

from mangosail.scheduler import estimates, fleet, messages, progress, worker_speeds

SEEDS = range(5)
WIDTH = 8
POLL_INTERVAL_S = 0.5
BEGAN_AT = 100.0


class Replay:
    """A fleet under load; its slow workers are those with the first names."""

    def __init__(self, seed, count, slow, times):
        self.rand = random.Random(seed)
        self.fleet = fleet.Fleet()
        self.estimator = estimates.DurationEstimator()
        self.speeds = worker_speeds.WorkerSpeeds(self.estimator)
        self.now = BEGAN_AT
        self.slow = {f"w{number}" for number in range(slow)}
        self.times = times
        self.running = []
        self.jobs = 0
        for number in range(count):
            entry = fakes.Worker(f"w{number}", None).entry
            worker = self.fleet.add(entry)
            worker.record_contact(0, self.now)
            worker.contacted = True

    def start_job(self):
        """Start the next job, with each task on a random worker."""
        self.jobs += 1
        seconds = self.rand.uniform(0.5, 3.0)
        declared = seconds * self.rand.lognormvariate(0, 0.7)
        step = messages.Step(WIDTH, fakes.NEED, estimate=declared, checkpointing=True)
        job = progress.JobProgress(fakes.job(f"{self.jobs:016x}", step))
        for task in job.tasks():
            worker = self.rand.choice(list(self.fleet))
            task.phase, task.run, task.worker = progress.Phase.RUNNING, 1, worker.name
            task.started_at, task.from_beginning = self.now, True
            duration = seconds * self.rand.lognormvariate(0, 0.26)
            duration *= self.times if worker.name in self.slow else 1
            self.running.append((task, worker, duration))

    def poll(self):
        while len(self.running) < 4 * len(self.fleet):
            self.start_job()
        for task, worker, duration in list(self.running):
            elapsed = self.now - task.started_at
            if elapsed >= duration:
                self.running.remove((task, worker, duration))
                self.estimator.record(task, duration)
                continue
            percent = int(100 * elapsed / duration)
            row = messages.RunningTask(task.name, 1, "", percent)
            self.speeds.record(worker, task, row, self.now)
        self.now += POLL_INTERVAL_S

    def detected(self):
        return worker_speeds.slow_workers(self.fleet, self.now)


@given("{count:d} workers, of which {slow:d} take {times:g} times as long, under load")
def loaded_fleets(context, count, slow, times):
    context.replays = [Replay(seed, count, slow, times) for seed in SEEDS]


@when("they are polled for {seconds:d} s")
def looked_at(context, seconds):
    for replay in context.replays:
        for _ in range(int(seconds / POLL_INTERVAL_S)):
            replay.poll()


@when("{seconds:d} s pass without a poll")
def unseen(context, seconds):
    for replay in context.replays:
        replay.now += seconds


@then("at least {least:d} of the slow ones of 5 seeds get no short tasks")
def found_least(context, least):
    counts = [len(replay.detected() & replay.slow) for replay in context.replays]
    assert sum(counts) >= least, counts


@then("all workers get short tasks on each of 5 seeds")
def found_none(context):
    assert not any(replay.detected() for replay in context.replays)


@then("no more than {most:d} normal ones are taken for slow on any seed")
def found_wrong(context, most):
    counts = [len(replay.detected() - replay.slow) for replay in context.replays]
    assert max(counts) <= most, counts


@given("a task that is {done:d} percent done on a worker of a quarter of the speed")
def slow_task(context, done):
    context.replay = Replay(1, 1, 0, 1)
    context.replay.now += 2
    (context.worker,) = context.replay.fleet
    context.worker.log_speed = math.log(0.25)
    context.worker.speed_updated_at = context.replay.now
    context.done = done


@then("it is {verdict} if it {saves} its progress")
def judged(context, verdict, saves):
    step = messages.Step(1, fakes.NEED, checkpointing=saves == "keeps")
    (task,) = progress.JobProgress(fakes.job("0" * 16, step)).tasks()
    task.phase, task.progress_percent, task.started_at = (
        progress.Phase.RUNNING, context.done, BEGAN_AT,
    )  # fmt: skip
    moved = context.replay.speeds.worth_moving(task, context.worker, context.replay.now)
    assert moved == (verdict == "moved")
