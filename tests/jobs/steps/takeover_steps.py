import types

import gevent
from behave import given, then, when
from tests.support import fakes

from mangosail import resources
from mangosail.dispatch import messages as dispatch
from mangosail.jobs import messages, offers, queue, records, room, takeover


class Sessions:
    """The sessions as seen by the only instance."""

    def active_incarnations(self):
        return {"1"}

    def may_hold_leases(self, instance, incarnation):
        return True

    def live(self):
        return []


@given("an instance that creates a job of {count:d} tasks, and is answered late")
def creates(context, count):
    context.world = world = fakes.World()
    context.worker = fakes.Worker(world, "w0")
    context.instance = instance = fakes.Instance(world, "a")
    instance.take(context.worker, 1)
    rows = fakes.Table(world)
    clock, counters = world.clock, instance.counters
    runner = instance.runner
    task_room = room.Room(instance.owned, runner.placer, runner, clock, counters)
    instance.lease.row = types.SimpleNamespace(
        instance="a", incarnation="1", data_centre="dc"
    )
    context.queue = queue.JobQueue(
        records.Records(rows),
        runner,
        task_room,
        offers.TaskOffers(
            types.SimpleNamespace(with_capacity=lambda needs, data_centre: []),
            runner,
            task_room,
            instance.lease,
            clock,
            counters,
        ),
        instance.lease,
        lambda team: resources.Resources(cpus=100),
        clock,
        counters,
    )
    runner.end_listeners.append(context.queue.on_end)
    context.takeover = takeover.Takeover(
        rows, context.queue, Sessions(), instance.lease, clock, counters
    )
    context.job = messages.Job("team", "j", "kind", count, fakes.NEEDS, None)


def run_greenlets():
    for _ in range(10):
        gevent.sleep(0)


def place(context):
    context.queue.place()
    run_greenlets()


def record(context, count):
    for _ in range(count):
        context.queue.recorder.record()
        run_greenlets()


def complete(context, count):
    for task_id in context.worker.running()[:count]:
        context.worker.end(task_id, dispatch.TaskState.DONE, "whole")
    context.instance.hear(context.worker)
    run_greenlets()


def submit(context, before_answer):
    """Submit the job; its write takes effect, and its answer waits for the function."""
    context.world.on_pause = before_answer
    context.world.table_fault = "paused"
    assert context.queue.submit(context.job).is_ok()


def progress(context):
    return context.queue.look_up("team", "j").ok_value


@when("it is submitted again and looked for, and tasks that run complete meanwhile")
def some_complete(context):
    def before_answer():
        _, new = context.queue.submit(context.job).ok_value
        assert not new
        context.takeover.refresh()
        place(context)
        complete(context, 2)
        context.completed = progress(context).completed

    submit(context, before_answer)


@then("no fewer tasks are completed once the submission has returned")
def progress_kept(context):
    assert progress(context).completed >= context.completed, progress(context)


@then("it ends as completed, and each task was started once")
def ends_completed(context):
    place(context)
    complete(context, context.job.tasks)
    record(context, 2)
    assert progress(context).state is messages.State.COMPLETED, progress(context)
    begun = [task_id for event, task_id, *_ in context.worker.log if event == "start"]
    assert sorted(begun) == ["team/j.0", "team/j.1", "team/j.2"], begun


@when("jobs are looked for to be taken over, and the job is cancelled meanwhile")
def cancelled(context):
    def before_answer():
        context.takeover.refresh()
        assert context.queue.cancel("team", "j").is_ok()
        record(context, 2)

    submit(context, before_answer)


@then(
    "it ends as cancelled, and nothing runs {count:d} recordings after the submission"
)
def nothing_runs(context, count):
    place(context)
    record(context, count)
    assert progress(context).state is messages.State.CANCELLED, progress(context)
    assert not context.worker.running(), context.worker.log
