import hypothesis
from behave import given, then, when
from hypothesis import stateful
from tests.scheduler import machine


@then(
    "{count:d} random histories of up to {steps:d} steps keep every promise of the "
    "scheduler"
)
def histories(context, count, steps, kind=machine.Scheduling):
    stateful.run_state_machine_as_test(
        kind,
        settings=hypothesis.settings(
            max_examples=count, stateful_step_count=steps, derandomize=True,
            deadline=None, database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
            # Shrinking a failure takes minutes; CI must stay bounded.
            phases=(hypothesis.Phase.generate,),
        ),
    )  # fmt: skip


@then(
    "{count:d} random histories of up to {steps:d} steps keep them too where leaders "
    "poll two of three workers"
)
def short_reach(context, count, steps):
    histories(context, count, steps, machine.BeyondReach)


@then(
    "{count:d} random histories of up to {steps:d} steps keep them too where workers "
    "restart"
)
def second_lives(context, count, steps):
    histories(context, count, steps, machine.SecondLives)


@then(
    "{count:d} random histories of up to {steps:d} steps keep them too where leaders "
    "hand over"
)
def handing_over(context, count, steps):
    histories(context, count, steps, machine.HandingOver)


@then(
    "{count:d} random histories of up to {steps:d} steps keep them too with estimates "
    "from progress"
)
def progress_based(context, count, steps):
    histories(context, count, steps, machine.ProgressBased)


@then(
    "{count:d} random histories of up to {steps:d} steps keep them too where leaders "
    "assign ahead"
)
def assign_ahead(context, count, steps):
    histories(context, count, steps, machine.AssignAhead)


@then(
    "{count:d} random histories of up to {steps:d} steps keep them too where they do "
    "and workers restart"
)
def assign_ahead_second_lives(context, count, steps):
    histories(context, count, steps, machine.AssignAheadSecondLives)


@then(
    "{count:d} random histories of up to {steps:d} steps keep them too where leaders "
    "copy tasks, and {copied:d} tasks are copied at least"
)
def copies(context, count, steps, copied):
    machine.COPIED.clear()
    histories(context, count, steps, machine.Copies)
    assert len(machine.COPIED) >= copied, len(machine.COPIED)


#: Turns of a leader per second.
SECOND = round(1 / machine.TURN)


@given("a task whose start is late at one worker")
def late_start(context):
    history = context.history = machine.Scheduling()
    history.lead_on(2)
    for worker in history.living():
        worker.fault = "late"
    history.hand_in([1])
    history.lead_on(2)
    (context.worker,) = [worker for worker in history.living() if worker.late]
    for worker in history.living():
        if worker is not context.worker:
            worker.fault = ""


@when("that worker answers again and 1 s passes")
def answers_again(context):
    context.worker.fault = ""
    context.history.lead_on(SECOND)


@when("that worker goes on answering only polls and 1 s passes")
def only_polls(context):
    context.history.lead_on(SECOND)


@when("the late start arrives")
def start_arrives(context):
    context.worker.late.pop(0)(context.worker)


@given("a task that has ended done at its worker")
def ended_done(context):
    history = context.history = machine.Scheduling()
    history.hand_in([1])
    history.lead_on(2)
    (context.worker,) = [worker for worker in history.living() if worker.running]
    (context.task,) = context.worker.running
    context.worker.end(context.task)


@when("{writes:d} writes of its end are {fault}, and the leader goes on for {term:g} s")
def writes_fail(context, writes, fault, term):
    for _ in range(writes):
        context.history.break_store(fault)
    context.history.lead_on(round(term / machine.TURN))


@then("its worker still reports the end")
def lists_end(context):
    (end,) = context.worker.ended
    assert end.task == context.task, end


@when("1 s passes")
def second_passes(context):
    context.history.lead_on(SECOND)


@then("its end is recorded, and its worker has dropped it")
def kept_and_forgotten(context):
    assert context.history.kept_as_done(context.task)
    (end,) = context.worker.noted
    assert end.task == context.task, end
    context.history.teardown()


def places(context):
    """Return the names of the workers that run the task of the first job."""
    job_id = min(context.history.jobs)
    return context.history.world.runs(f"{job_id}.0.0.0")


@then("its run is on one worker")
def on_one_worker(context):
    context.history.one_run_at_a_time()
    assert len(places(context)) == 1, places(context)


@then("its run is nowhere")
def nowhere(context):
    assert not places(context), places(context)


@then("no task runs twice and the job ends")
def ends(context):
    context.history.one_run_at_a_time()
    context.history.teardown()
