from behave import given, then, when
from tests.scheduler import fakes, machine

from mangosail.scheduler import keys

FIRST = "00000000000000aa"
LATER = "00000000000000bb"


class OneWorker(machine.Scheduling):
    """A history of one worker."""

    def add_worker(self, address):
        if not self.world.calls.workers:
            super().add_worker(address)


def submit(context, job_id, count):
    job = fakes.job(job_id, fakes.step(count))
    context.history.jobs[job_id] = job
    context.history.world.rows.put(keys.job(job_id), job)


def resize(context, cpus):
    context.worker.resize(cpus)
    context.history.world.list(context.worker)


@given("a worker of {cores:d} cores")
def step_worker(context, cores):
    context.history = OneWorker()
    (context.worker,) = context.history.living()
    resize(context, cores)
    # The next leader has never seen it with another capacity.
    context.history.depose()
    context.history.lead_on(2)


@when(
    "it runs {count:d} tasks of 2 cores, shrinks to {cores:d} cores, "
    "and {more:d} tasks more come"
)
@when(
    "it runs {count:d} tasks of 2 cores, grows to {cores:d} cores, "
    "and {more:d} tasks more come"
)
def step_resize(context, count, cores, more):
    submit(context, FIRST, count)
    context.history.lead_for(1.0)
    assert len(context.worker.running) == count
    resize(context, cores)
    context.history.lead_on(1)
    submit(context, LATER, more)
    context.history.lead_for(1.0)


@when("{count:d} tasks wait for the store, the worker shrinks to {cores:d} cores, and "
      "the store is back")  # fmt: skip
def step_waits(context, count, cores):
    history = context.history
    history.world.rows.fault = "lost"
    submit(context, FIRST, count)
    history.world.rows.once.extend(["down"] * 20)
    history.lead_on(4)
    assert not context.worker.running
    resize(context, cores)
    history.lead_on(2)
    history.world.rows.once.clear()
    history.world.rows.fault = ""
    history.lead_for(1.0)


@when("it grows to {cores:d} cores, and 1 s passes")
def step_grow(context, cores):
    resize(context, cores)
    context.history.lead_for(1.0)


@then("it runs {count:d} tasks")
def step_runs(context, count):
    assert len(context.worker.running) == count, context.worker.running
    assert not context.worker.overfilled
