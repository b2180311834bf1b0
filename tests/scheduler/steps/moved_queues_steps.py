import dataclasses
import random

import logbook
from behave import given, then, when
from tests.scheduler import fakes

from mangosail import codec
from mangosail.scheduler import keys, messages

JOB = "00000000000000aa"
NEW_JOB = "00000000000000bb"
FIRST_STEP, SECOND_STEP = f"{JOB}.0.0.", f"{JOB}.0.1."
ROUND_S = 0.05
SERVICES = ("A", "B", "C")


@given("a queue with advice at service A, and service B, with 2 workers each")
def step_world(context):
    context.log = logbook.TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)
    world = context.world = fakes.World(random.Random(7))
    context.versions = iter(range(1, 100))
    for service in ("A", "B"):
        for number in range(2):
            add_worker(context, f"{service}{number}", service)
    configure(context, "A")
    context.leader = world.lead("first")


@given("a job of 2 steps of 3 tasks, of which the first one runs")
def step_job(context):
    steps = fakes.step(3), fakes.step(3, after=(0,))
    job = fakes.job(JOB, *steps, service="A", needs_advice=True)
    context.world.calls.advised.add(JOB)
    context.world.rows.put(keys.job(JOB), job)
    lead_for(context, 0.2)
    assert len(running(context, FIRST_STEP)) == 3
    context.asked_before = len(context.world.advisor.asked)


def add_worker(context, name, service):
    context.world.advisor.may.add(name)
    context.world.add_worker(name, service=service)


def configure(context, service, needs_advice=True):
    """Put a configuration in force that sends the queue to a service, or nowhere."""
    queues = ()
    if service:
        queue = messages.Queue("q", "h", "/", service, 0, 2, 3.0)
        queues = (dataclasses.replace(queue, needs_advice=needs_advice),)
    services = tuple(messages.Service(name) for name in SERVICES)
    context.world.catalog = messages.Catalog(next(context.versions), queues, services)


def lead_for(context, seconds):
    context.leader.round(round(seconds / ROUND_S))


def take_over(context):
    # No periodic write of the earlier leader is missing.
    lead_for(context, 1.0)
    context.world.clock.now += 5.0
    for worker in workers(context):
        worker.deadline = worker.clock + fakes.MAX_LEASE_MS
    context.leader = context.world.lead("second")


def workers(context):
    return context.world.calls.workers.values()


def running(context, prefix):
    """Return the workers of running tasks by name."""
    return {
        task: worker
        for worker in workers(context)
        for task in worker.running
        if task.startswith(prefix)
    }


@when("the queue moves to service B")
def step_moved(context):
    configure(context, "B")
    lead_for(context, 0.1)


@when("the queue moves to service C, which has no workers")
def step_moved_to_none(context):
    configure(context, "C")


@when("the queue moves to service B, and needs no advice there")
def step_moved_without_advice(context):
    context.world.calls.advised.clear()
    configure(context, "B", needs_advice=False)
    lead_for(context, 0.1)


@when("the queue needs no advice any more")
def step_no_advice(context):
    context.world.calls.advised.clear()
    configure(context, "A", needs_advice=False)
    context.world.advisor.may.clear()


@when("the queue moves to service B and back")
def step_moved_back(context):
    step_moved(context)
    configure(context, "A")


@when("the queue moves to service B while the advice service is asked")
def step_moved_during_call(context):
    context.world.advisor.on_ask = lambda: configure(context, "B")


@when("the queue is removed")
def step_removed(context):
    configure(context, "")
    lead_for(context, 0.1)


@when("the queue is removed, and another instance leads")
def step_removed_takeover(context):
    step_removed(context)
    take_over(context)


@when("the queue moves to service B and is removed")
def step_moved_removed(context):
    step_moved(context)
    step_removed(context)


@when("the queue moves to service B and is removed, and another instance leads")
def step_moved_removed_takeover(context):
    step_moved_removed(context)
    take_over(context)


@when("the queue is removed and added again at service B")
def step_added_again(context):
    step_removed(context)
    step_moved(context)


@when("the queue moves to service B, needs no advice there, and is removed")
def step_moved_without_advice_removed(context):
    step_moved_without_advice(context)
    step_removed(context)


@when("the queue is removed, and its jobs don't tell that it needs advice")
def step_removed_untold(context):
    row = context.world.rows.kept[keys.job(JOB)]
    job = codec.from_json(row.value, messages.Job)
    old = dataclasses.replace(job, needs_advice=False)
    context.world.rows.put(keys.job(JOB), old)
    configure(context, "")
    take_over(context)


@when(
    "a job is handed in after the queue moved to service B, "
    "which the leader has not read"
)
def step_handed_in_elsewhere(context):
    version = next(context.versions)
    facts = {"service": "B", "needs_advice": True, "catalog_version": version}
    context.world.calls.advised.add(NEW_JOB)
    job = fakes.job(NEW_JOB, fakes.step(3), **facts)
    context.world.rows.put(keys.job(NEW_JOB), job)


@when("the leader reads that it moved back to service A")
def step_reads_moved_back(context):
    configure(context, "A")


@then("the new job is done by workers of service {service} within {seconds:g} s")
def step_new_done(context, service, seconds):
    lead_for(context, seconds)
    assert_run_by(context, f"{NEW_JOB}.0.0.", service)


@when("the workers of service A that run the second step leave, and another one comes")
def step_workers_left(context):
    lead_for(context, 0.3)
    assert len(running(context, SECOND_STEP)) == 3
    for name in ("A0", "A1"):
        worker = context.world.calls.workers[name]
        worker.running.clear()
        worker.fault = "replaced"
        context.world.unlist(worker)
    add_worker(context, "A2", "A")


@when("the workers of service A that were approved drain, and another one comes")
def step_workers_drain(context):
    context.world.advisor.on_ask = lambda: drain(context, ("A0", "A1"))


def drain(context, names):
    """Let workers drain while advice on them is asked for; another one comes."""
    context.world.advisor.on_ask = lambda: None
    for name in names:
        worker = context.world.calls.workers[name]
        worker.entry = dataclasses.replace(worker.entry, draining=True)
        context.world.list(worker)
    add_worker(context, "A2", "A")


@when("the first step ends")
def step_first_ends(context):
    for worker in workers(context):
        end(worker, FIRST_STEP)


def end(worker, prefix, outcome="done"):
    for task in [task for task in worker.running if task.startswith(prefix)]:
        worker.end(task, outcome)


def assert_run_by(context, prefix, service):
    found = running(context, prefix)
    assert len(found) == 3, found
    services = {worker.entry.service for worker in found.values()}
    assert services == {service}, services


@when("the first step ends, and {seconds:g} s pass")
def step_first_ends_and_wait(context, seconds):
    step_first_ends(context)
    lead_for(context, seconds)


@when("a worker of service C comes")
def step_worker_of_c(context):
    add_worker(context, "C0", "C")


@when("the tasks of the first step fail")
def step_first_fails(context):
    for worker in workers(context):
        end(worker, FIRST_STEP, "failed")


@when("the first step ends, and workers reject all tickets for {seconds:g} s")
def step_tickets_rejected(context, seconds):
    context.world.calls.ticket_is_valid = lambda step, name, ticket: False
    step_first_ends_and_wait(context, seconds)


@then("advice on the second step was asked for {least:d} to {most:d} times")
def step_asked(context, least, most):
    asked = len(context.world.advisor.asked) - context.asked_before
    assert least <= asked <= most, asked


@then("the first step is done by workers of service {service} within {seconds:g} s")
def step_first_done(context, service, seconds):
    lead_for(context, seconds)
    assert_run_by(context, FIRST_STEP, service)


@then("the second step is done by workers of service {service} within {seconds:g} s")
def step_second_done(context, service, seconds):
    lead_for(context, seconds)
    assert_run_by(context, SECOND_STEP, service)
    for worker in workers(context):
        end(worker, SECOND_STEP)
    lead_for(context, 0.2)
    state = context.world.rows.state(JOB)
    assert state == messages.State.COMPLETED, state


@then("no start was rejected")
def step_no_rejection(context):
    assert not context.world.calls.without_ticket


@then("at most one start of each task was rejected")
def step_few_rejections(context):
    rejected = context.world.calls.without_ticket
    assert len(rejected) == len(set(rejected)), rejected


@then("the advice service was not asked, and one line tells why the step waits")
def step_not_asked(context):
    asked = context.world.advisor.asked[context.asked_before :]
    assert not asked, asked
    lines = [
        record
        for record in context.log.records
        if record.message == "no worker to ask about"
    ]
    assert len(lines) == 1, lines
