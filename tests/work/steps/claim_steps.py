import json

import gevent
import gevent.event
from behave import given, then, when
from tests.support import fakes
from tests.work import interleavings

from mangosail import resources
from mangosail.dispatch import messages as dispatch
from mangosail.work import context as work_context
from mangosail.work import errors, messages

TASK_ID = "team/t"
#: Seconds for which the callers of a scenario wait for the end of their work.
CALLER_TIMEOUT_S = 0.3


class HeldCommits:
    """A table whose commits wait until the scenario lets each of them go."""

    def __init__(self, rows):
        self.rows = rows
        self.waiting = []
        #: Whether a commit takes effect before it waits, and only its answer is held.
        self.answers_late = False

    def read(self, keys):
        return self.rows.read(keys)

    def scan(self, *page):
        return self.rows.scan(*page)

    def commit(self, transaction):
        released = gevent.event.AsyncResult()
        self.waiting.append(released)
        if self.answers_late:
            done = self.rows.commit(transaction)
            released.get()
            return done
        fault = released.get()
        self.rows.world.table_fault = fault
        return self.rows.commit(transaction)

    def let_go(self, number=0, fault=""):
        self.waiting.pop(number).set(fault)
        settle()

    def let_all_go(self, number=0):
        while self.waiting:
            self.let_go(number)


def settle():
    """Let all greenlets run until each of them waits."""
    for _ in range(10):
        gevent.sleep(0)


def hold_commits(instance):
    held = HeldCommits(instance.runner.ctx.claims.rows)
    instance.runner.ctx.claims.rows = held
    return held


def order(instance, body="body"):
    request = messages.Request("team", "t", "kind", fakes.NEEDS, body)
    deadline = instance.world.clock.now + CALLER_TIMEOUT_S
    caller = gevent.spawn(instance.runner.submit, request, deadline)
    settle()
    return caller


def row(world):
    return json.loads(world.rows[f"work/{TASK_ID}"].value)


def started(world):
    return [
        (worker.name, entry[2])
        for worker in world.workers.values()
        for entry in worker.log
        if entry[0] == "start"
    ]


def reserved_on(instance):
    return [o.name for o in instance.owned if TASK_ID in o.ledger.reserved]


@given("an instance with {count:d} worker(s)")
def instance_with_workers(context, count):
    context.world = fakes.World()
    context.instance = fakes.Instance(context.world, "a")
    for number in range(count):
        worker = fakes.Worker(context.world, f"w{number}")
        context.instance.take(worker, 1)
    context.held = hold_commits(context.instance)


@when("{count:d} callers order a release, and its first claim fails")
def order_and_fail(context, count):
    context.callers = [order(context.instance) for _ in range(count)]
    assert len(context.held.waiting) == 1, context.held.waiting
    context.held.let_go(fault="down")


@when("the writes that follow are let go {which} first")
def let_go(context, which):
    context.held.let_all_go({"oldest": 0, "newest": -1}[which])
    gevent.joinall(context.callers, timeout=5)


@then("no caller meets an internal error")
def no_internal_error(context):
    assert all(caller.ready() for caller in context.callers)
    raised = [c.exception for c in context.callers if not c.successful()]
    assert not raised, raised


@then("the release has been started once, and is claimed and registered")
def started_once(context):
    assert len(started(context.world)) == 1, started(context.world)
    assert row(context.world)["state"] == "claimed", row(context.world)
    assert context.instance.runner.ctx.registry.get(TASK_ID) is not None


@then("it is reserved on its worker alone")
def reserved_once(context):
    assert reserved_on(context.instance) == [row(context.world)["worker"]]


@when("the release ends")
def release_ends(context):
    worker = context.world.workers[row(context.world)["worker"]]
    worker.end(TASK_ID, dispatch.TaskState.DONE, "whole")
    hearing = gevent.spawn(context.instance.hear, worker)
    settle()
    context.held.let_all_go()
    hearing.get(timeout=5)


@then("no claim and no reservation is left")
def nothing_left(context):
    assert row(context.world)["state"] == "completed", row(context.world)
    assert TASK_ID not in context.instance.runner.ctx.registry
    assert not reserved_on(context.instance)


@when("a release can't start, and its move to a second worker waits to be written")
def move_waits(context):
    context.callers = [order(context.instance)]
    context.instance.take(fakes.Worker(context.world, "w1"), 1)
    context.world.order_fault = "unreachable"
    context.held.let_go()
    assert len(context.held.waiting) == 1, context.held.waiting
    assert reserved_on(context.instance) == ["w1"], reserved_on(context.instance)


@when("the first worker is taken over, and the write of the move {ends}")
def take_over_first(context, ends):
    if ends.startswith("is refused"):
        context.held.let_go(fault="down")
    context.instance.owned.remove("w0")
    context.taker = fakes.Instance(context.world, "b")
    context.taker.take(context.world.workers["w0"], 2)
    context.taker.sweep()
    sweeping = gevent.spawn(context.instance.sweep)
    settle()
    context.held.let_all_go()
    gevent.joinall([*context.callers, sweeping], timeout=5)


@then("the release is not_run, and nothing has started")
def not_run(context):
    assert row(context.world)["state"] == "not_run", row(context.world)
    assert not started(context.world)


@then("no reservation for it is left at either instance")
def none_reserved(context):
    for instance in (context.instance, context.taker):
        assert not reserved_on(instance), reserved_on(instance)
        assert TASK_ID not in instance.runner.placer.active


@when("a release is claimed, and its body can't be encoded")
def claim_unencodable(context):
    caller = order(context.instance, body=object())
    assert isinstance(caller.exception, TypeError), caller


@when("a release is claimed, and its caller is stopped")
def claim_stopped(context):
    caller = order(context.instance)
    context.held.waiting.clear()
    caller.kill()


@when("a release is claimed, and the table raises")
def claim_raises(context):
    caller = order(context.instance)
    context.held.waiting.pop().set_exception(RuntimeError("the table"))
    settle()
    assert isinstance(caller.exception, RuntimeError), caller


@then("no reservation for it is left")
def none_left(context):
    assert not reserved_on(context.instance), reserved_on(context.instance)
    assert TASK_ID not in context.instance.runner.placer.active


@when("the same release is ordered again")
def order_again(context):
    context.callers = [order(context.instance)]
    context.held.let_all_go()


@when("a release {runs}, and then {change}")
def run_then_change(context, runs, change):
    caller = order(context.instance)
    context.held.let_all_go()
    caller.get(timeout=5)
    if runs == "has run":
        release_ends(context)
    if change == "its worker is taken over":
        context.instance = taken_over(context.instance)
        context.held = hold_commits(context.instance)
    else:
        forget_large_workers(context.instance)


def taken_over(instance):
    """Return another instance that owns the worker, and has scanned it for no work."""
    worker = instance.world.workers["w0"]
    instance.owned.remove("w0")
    taker = fakes.Instance(instance.world, "b")
    reports = [
        dispatch.Report(task_id, 1, worker.tasks[task_id].state, needs=fakes.NEEDS)
        for task_id in worker.running()
    ]
    taker.take(worker, 2).ledger.rebuild(reports, 2)
    return taker


def forget_large_workers(instance):
    """Let no worker be large enough, and no task be registered here."""
    instance.runner.placer.sizes.capacities = lambda: [resources.Resources(cpus=0.5)]
    for task in instance.runner.ctx.registry:
        instance.runner.transitions.abandon(task)


@then("its caller is told that it is {state}")
def told_state(context, state):
    answer = context.callers[0].get(timeout=5)
    assert answer.is_ok() and answer.ok_value.state == state, answer


@when("another body is ordered under the same id")
def order_other_body(context):
    context.callers = [order(context.instance, body="another")]
    context.held.let_all_go()


@then("its caller is refused for the body")
def refused_for_body(context):
    answer = context.callers[0].get(timeout=5)
    assert answer.is_err() and isinstance(answer.err_value, errors.BodyConflict), answer


@when("no worker is large enough, and a release is ordered while the table is down")
def order_while_down(context):
    forget_large_workers(context.instance)
    context.world.table_fault = "down"
    context.callers = [order(context.instance)]
    context.world.table_fault = ""


@then('its caller is refused as "{reason}" with a time to ask again')
def refused_for_now(context, reason):
    refusal = context.callers[0].get(timeout=5).err_value
    assert refusal.reason == reason and refusal.retry_after, refusal


@then('its caller is refused as "{reason}" for good')
def refused_for_good(context, reason):
    refusal = context.callers[0].get(timeout=5).err_value
    assert refusal.reason.value == reason and refusal.retry_after is None, refusal


@when("a release is claimed, and the table {writes} and doesn't answer")
def claim_unanswered(context, writes):
    context.held.answers_late = writes == "writes"
    context.callers = [order(context.instance)]
    context.held.answers_late = False


@when("it is cancelled, which takes longer than an order may")
def cancel_slowly(context):
    cancelling = gevent.spawn(context.instance.runner.cancel, "team", "t")
    gevent.sleep(work_context.ORDER_TIMEOUT_S + 0.1)
    context.cancelling = cancelling


@when("the table answers")
def table_answers(context):
    context.held.let_all_go()
    gevent.joinall([*context.callers, context.cancelling], timeout=5)
    context.held.let_all_go()


@then("the release is cancelled, and nothing has started")
def cancelled(context):
    assert row(context.world)["state"] == "cancelled", row(context.world)
    assert not started(context.world)
    answer = context.cancelling.get(timeout=0)
    print(answer)


@then("{count:d} random interleavings keep every guarantee")
def overlapping(context, count):
    for seed in range(count):
        print(f"seed {seed}")
        history = interleavings.Interleaving(seed)
        history.play()
        history.check()
