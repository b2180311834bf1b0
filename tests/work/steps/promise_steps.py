import hypothesis
from behave import then
from hypothesis import stateful
from tests.work import machine


@then("{count:d} random histories of up to {steps:d} steps keep every promise")
def histories(context, count, steps):
    stateful.run_state_machine_as_test(
        machine.Work,
        settings=hypothesis.settings(
            max_examples=count,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
