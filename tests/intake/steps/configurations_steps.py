import hypothesis
from behave import then
from hypothesis import stateful
from tests.intake import machine


@then(
    "{count:d} random histories of up to {steps:d} steps keep every promise about "
    "configurations"
)
def step_histories(context, count, steps):
    machine.Configurations.answered.clear()
    stateful.run_state_machine_as_test(
        machine.Configurations,
        settings=hypothesis.settings(
            max_examples=count, stateful_step_count=steps, derandomize=True,
            deadline=None, database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
            # Shrinking a failure takes minutes; CI must stay bounded.
            phases=(hypothesis.Phase.generate,),
        ),
    )  # fmt: skip


@then("some callers were answered 200, 404 and 503")
def step_answered(context):
    answered = machine.Configurations.answered
    assert min(answered.get(status, 0) for status in (200, 404, 503)) > 100, answered
