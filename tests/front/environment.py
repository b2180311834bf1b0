"""Three instances of one data centre behind a load balancer, with two workers each."""

from tests.support import stage, teams


def before_all(context):
    context.stage = stage.Stage()
    context.stage.start_platform()
    context.stage.write_settings("fuel-desk", teams.example("fuel-desk"))
    for _ in range(6):
        # One process for each worker, so that one can be killed.
        context.stage.start_workers("shymkent", 1)
    for number in range(3):
        context.stage.start_instance(f"shymkent-{number}", "shymkent")
    context.stage.wait_ready()
    context.stage.start_balancer()


def after_scenario(context, scenario):
    if scenario.status.has_failed():
        context.stage.print_diagnostics("fuel-desk-token")


def after_all(context):
    context.stage.close()
