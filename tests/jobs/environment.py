"""Two instances of one data centre, which share the jobs between them."""

from tests.support import stage, teams


def before_scenario(context, scenario):
    context.stage = stage.Stage()
    context.stage.start_platform()
    settings = {**teams.example("fuel-desk"), "urgent": True}
    context.stage.write_settings("fuel-desk", settings)
    context.stage.start_workers("shymkent", 2)
    for number in range(2):
        context.stage.start_instance(f"shymkent-{number}", "shymkent")
    context.stage.wait_ready()


def after_scenario(context, scenario):
    context.stage.close()
