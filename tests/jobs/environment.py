"""Sets up two instances of one data centre, which share the workers and jobs."""

from tests.support import stage, teams


def before_scenario(context, scenario):
    if not scenario.filename.endswith("jobs.feature"):
        return
    context.stage = stage.Stage()
    context.stage.start_platform()
    settings = {**teams.example("fuel-desk"), "urgent": True}
    context.stage.write_settings("fuel-desk", settings)
    count = 1 if "one_worker" in scenario.effective_tags else 2
    context.stage.start_workers("shymkent", count)
    for number in range(2):
        context.stage.start_instance(f"shymkent-{number}", "shymkent")
    context.stage.wait_ready()


def after_scenario(context, scenario):
    if "stage" not in context:
        return
    if scenario.status.has_failed():
        context.stage.print_diagnostics("fuel-desk-token")
        for entry in context.stage.execution_log():
            print(entry)
    context.stage.close()
