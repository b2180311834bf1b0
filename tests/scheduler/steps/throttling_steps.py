import gevent
import gevent.event
from behave import given, then, when
from tests.scheduler import fakes
from tests.scheduler.steps import scheduler_steps as common

from mangosail import resources
from mangosail.scheduler import interference, polling

#: Seconds of simulated time that a round takes.
ROUND_S = 0.05
#: Seconds of simulated time that pass until a second poll has been answered.
LATE_POLL_S = 0.85
#: Tail latency in milliseconds at which best-effort work is neither paused nor resumed.
MIDDLE_TAIL = 11.0


def only_worker(context):
    (worker,) = common.workers(context)
    return worker


def pass_seconds(context, seconds):
    context.world.leader.round(round(seconds / ROUND_S))


def begin_best_effort(context):
    worker = only_worker(context)
    worker.millicores[common.TASK] = fakes.NEED.cpus * 1000
    # Without checkpoints it stays where it is while it is paused.
    step = fakes.step(best_effort=True, image="filler")
    common.submit(context, fakes.job(common.ID, step, priority=2))
    context.world.leader.round(3)
    assert common.TASK in worker.running, worker.running


@given("a latency-critical task on a worker")
def step_critical(context):
    common.step_world(context, "w1")
    common.step_critical(context, 1)
    context.world.leader.round(3)
    common.set_tails(context, common.LOW_TAIL)
    context.world.leader.round(3)


@given("a latency-critical and a best-effort task on a worker")
def step_both(context):
    step_critical(context)
    begin_best_effort(context)


@given("a best-effort task there whose start gets no answer")
def step_unanswered(context):
    worker = only_worker(context)
    worker.fault = "lost"
    begin_best_effort(context)
    worker.fault = ""
    context.world.leader.round(2)


@given("a latency-critical and {count:d} best-effort tasks on a worker")
def step_many(context, count):
    step_critical(context)
    need = resources.Resources(cpus=1, memory_gb=1)
    step = fakes.step(count, need, best_effort=True, image="filler")
    common.submit(context, fakes.job(common.ID, step, priority=2))
    context.world.leader.round(3)
    assert len(only_worker(context).running) == count + 1, only_worker(context).running


@given("a model that blames none of them")
def step_wrong_model(context):
    model = context.world.leader.scheduler.model
    model.pressure["server", "filler"] = 0.0
    model.learn = lambda worker, running, now: None


@when("the tail latency rises too high while another instance comes to lead")
def step_high_at_takeover(context):
    common.set_tails(context, common.HIGH_TAIL)
    common.step_other(context)


@when("the tail latency is too high for {seconds:g} s")
def step_high(context, seconds):
    common.set_tails(context, common.HIGH_TAIL)
    pass_seconds(context, seconds)


@when("the tail latency is low for {seconds:g} s")
def step_low(context, seconds):
    common.set_tails(context, common.LOW_TAIL)
    pass_seconds(context, seconds)


@when("the tail latency is too high for {seconds:g} s, and orders are answered late")
def step_high_answered_late(context, seconds):
    only_worker(context).held_answers = gevent.event.Event()
    step_high(context, seconds)


@when(
    "the tail latency is too high for {seconds:g} s, and each first poll gets no answer"
)
def step_high_polled_twice(context, seconds):
    common.set_tails(context, common.HIGH_TAIL)
    until = context.world.clock.now + seconds
    while context.world.clock.now < until:
        only_worker(context).ignore_next_poll = True
        context.world.leader.round(1)
        context.world.clock.now += LATE_POLL_S


@when("the late answers come")
def step_late_answers(context):
    worker = only_worker(context)
    worker.held_answers.set()
    worker.held_answers = None
    gevent.sleep(0)
    context.world.leader.round(2)


@when("the best-effort task ends stopped")
def step_stopped(context):
    common.step_end(context, "stopped")
    context.world.leader.round(1)


@when("the latency-critical task ends stopped")
def step_critical_stopped(context):
    common.end_all(context, common.SERVING, "stopped")
    context.world.leader.round(1)


@when("the best-effort task ends stopped, and starts again")
def step_stopped_and_started(context):
    worker = only_worker(context)
    held, worker.held_answers = worker.held_answers, None
    stop_and_restart(context)
    worker.held_answers = held


@when("the best-effort task ends stopped, and its next start is answered late")
def step_start_answered_late(context):
    only_worker(context).held_answers = gevent.event.Event()
    stop_and_restart(context)
    step_late_answers(context)


def stop_and_restart(context):
    """End the best-effort task; it starts again beside a tail latency in between."""
    worker = only_worker(context)
    first = worker.running[common.TASK]
    common.step_end(context, "stopped")
    common.set_tails(context, MIDDLE_TAIL)
    context.world.leader.scheduler.model.pressure["server", "filler"] = 0.0
    pass_seconds(context, 1)
    assert worker.running.get(common.TASK, first) > first, worker.running


@when("the next throttling order is carried out late")
def step_late_throttle(context):
    only_worker(context).late_throttles = 1


@then("it counts at full speed on the worker that it is placed on")
def step_counts(context):
    leader = context.world.leader
    task, worker = leader.task(common.TASK), leader.worker("w1")
    assert not task.live, task.phase
    worker.reserve(task)
    shares = interference.planned_shares(worker)
    assert shares == {"filler": fakes.NEED.cpus / fakes.CAPACITY.cpus}, shares


@then("no tail on the worker that it is placed on counts as too high")
def step_no_high_tail(context):
    leader = context.world.leader
    task, worker = leader.task(f"{common.SERVING}.0.0.0"), leader.worker("w1")
    worker.reserve(task)
    assert not interference.has_high_latency(worker), task.latency_high_since


@then("the last poll waited {seconds:g} s at most")
def step_short_poll(context, seconds):
    assert only_worker(context).waits[-1] <= seconds, only_worker(context).waits


@then("the last poll waited as long as usual")
def step_usual_poll(context):
    waits = only_worker(context).waits
    assert waits[-1] == polling.POLL_WAIT_S, waits


@then("the best-effort task is paused")
def step_paused(context):
    worker = only_worker(context)
    assert common.TASK in worker.running, worker.running
    assert worker.speed_of(common.TASK) == 0, worker.speed_limits


@then("all of the {count:d} best-effort tasks are paused")
def step_all_paused(context, count):
    worker = only_worker(context)
    paused = [task for task in worker.running if worker.speed_of(task) == 0]
    assert len(paused) == count, worker.speed_limits


@then("the best-effort task works at full speed")
def step_works(context):
    worker = only_worker(context)
    assert common.TASK in worker.running, worker.running
    assert worker.speed_of(common.TASK) == 100, worker.speed_limits
