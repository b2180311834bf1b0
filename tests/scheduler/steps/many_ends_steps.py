import random

from behave import given, then, when
from tests.scheduler import fakes, machine

from mangosail import resources
from mangosail.scheduler import keys, messages

JOB, LATER_JOB = "00000000000000aa", "00000000000000bb"
ROUND_S = 0.05
SMALL = resources.Resources(cpus=0.5, memory_gb=1)


@given(
    "a worker that reports {ends:d} ends at a time, and {count:d} tasks that run there"
)
def step_running(context, ends, count, uptime=1000.0):
    world = context.world = fakes.World(random.Random(7))
    world.max_reported_ends = ends
    context.worker = world.add_worker("a")
    context.worker.began_at = world.clock.now - uptime
    context.leader = world.lead("first")
    submit(context, JOB, count)
    context.leader.round(3)
    assert len(context.worker.running) == count, context.worker.running


@given(
    "a new worker that reports {ends:d} ends at a time, and {count:d} tasks that run "
    "there"
)
def step_running_on_new(context, ends, count):
    step_running(context, ends, count, uptime=1.0)


@given(
    "workers that report {ends:d} end at a time, and a job whose next step has "
    "{count:d} tasks"
)
def step_next_step(context, ends, count):
    history = context.history = machine.AssignAhead()
    for worker in history.living():
        worker.max_reported_ends = ends
    job = fakes.job(JOB, fakes.step(2), fakes.step(count, after=(0,)))
    history.jobs[JOB] = job
    history.world.rows.put(keys.job(JOB), job)
    history.lead_on(6)


def submit(context, job_id, count):
    job = fakes.job(job_id, fakes.step(count, need=SMALL))
    context.world.rows.put(keys.job(job_id), job)


@given("one more task whose start the worker never got")
def step_lost_start(context):
    context.worker.fault = "silent"
    submit(context, LATER_JOB, 1)
    for feed in context.leader.feeds:
        feed.read_once(0)
    context.leader.scheduler.rounds.place()
    context.leader.write()
    context.worker.fault = ""
    assert not context.world.starts(f"{LATER_JOB}.0.0.0")


def end_all(context, kept=0):
    for task in sorted(context.worker.running)[kept:]:
        context.worker.end(task)


@when("all tasks end done, and another instance leads")
def step_takeover(context):
    end_all(context)
    take_over(context)


@when(
    "all tasks but {kept:d} end done, another instance leads, and {more:d} more tasks "
    "come"
)
def step_takeover_with_more(context, kept, more):
    end_all(context, kept)
    submit(context, LATER_JOB, more)
    take_over(context)


def take_over(context):
    context.world.clock.now += 5.0
    context.worker.deadline = context.worker.clock + fakes.MAX_LEASE_MS
    context.worker.waits.clear()
    context.leader = context.world.lead("second")


@when("all tasks end done while the store is down for {seconds:g} s")
def step_store_down(context, seconds):
    context.world.rows.fault = "down"
    end_all(context)
    context.leader.round(round(seconds / ROUND_S))
    context.world.rows.fault = ""


@when("that step starts while the store is down, ends done, and another instance leads")
def step_assigned_starts(context):
    history = context.history
    history.world.rows.fault = "down"
    history.lead_for(0.25)
    history.end_all()
    history.lead_for(0.25)
    started = [task for worker in history.living() for task in worker.running]
    assert len(started) == 9, started
    history.end_all()
    history.leaders.pop().end()
    history.reach_store()
    history.leaders.append(machine.Leader(history.world, "second"))


@then(
    "each of its tasks was started once, and the job is completed within {seconds:g} s"
)
def step_history_started_once(context, seconds):
    history = context.history
    history.lead_for(seconds)
    assert history.world.rows.state(JOB) == messages.State.COMPLETED
    for index in range(9):
        starts = history.world.starts(f"{JOB}.0.1.{index}")
        assert len(starts) == 1, starts


@then("each task was started once, and the job is completed within {seconds:g} s")
def step_started_once(context, seconds):
    lead_for(context, seconds)
    assert_completed(context, JOB)
    started = [task for task, _, _ in context.worker.starts]
    assert len(started) == len(set(started)), started


@then("that task was started once, and the job is completed within {seconds:g} s")
def step_lost_started(context, seconds):
    lead_for(context, seconds)
    assert_completed(context, JOB)
    (start,) = context.world.starts(f"{LATER_JOB}.0.0.0")
    assert start[1] > 1, start


@then(
    "no start exceeded the worker's capacity, and all jobs are completed within "
    "{seconds:g} s"
)
def step_no_excess(context, seconds):
    capacity = context.worker.entry.capacity.cpus
    for _ in range(round(seconds / ROUND_S)):
        context.leader.round()
        assert len(context.worker.running) * SMALL.cpus <= capacity
        end_all(context)
    assert_completed(context, JOB)
    assert_completed(context, LATER_JOB)


@then("no task was suspected of a crash, and the job is completed within {seconds:g} s")
def step_no_suspects(context, seconds):
    lead_for(context, seconds)
    assert_completed(context, JOB)
    suspected = context.world.counters.snapshot().get("reports.suspected.young_life")
    assert not suspected, suspected


@then("no poll waited for an end before all were reported")
def step_no_wait(context):
    lead_for(context, 0.5)
    assert_completed(context, JOB)
    # The second one acknowledges the ends, and finds that there are no more.
    assert context.worker.waits[:2] == [0.0, 0.0], context.worker.waits


def lead_for(context, seconds):
    context.leader.round(round(seconds / ROUND_S))


def assert_completed(context, job_id):
    state = context.world.rows.state(job_id)
    assert state == messages.State.COMPLETED, state
