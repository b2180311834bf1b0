"""Starts two data centres of one instance each for all scenarios."""

from tests.support import stage, teams


def before_all(context):
    context.stage = stage.Stage()
    context.stage.start_platform()
    settings = teams.example("fuel-desk")
    settings["tokens"].append(teams.token("reader-token"))
    context.stage.write_settings("fuel-desk", settings)
    for data_centre in ("shymkent", "taraz"):
        context.stage.start_workers(data_centre, 1)
        name = f"{data_centre}-0"
        context.stage.start_instance(name, data_centre, teams.admin_env())
    context.stage.wait_ready()
    for name in context.stage.instances:
        stage.wait_until(lambda n=name: knows_all(context, n), what="peers known")


def knows_all(context, name):
    bearer = teams.bearer("fuel-desk-token")
    answer = context.stage.call(name, "GET", "/v1/instances", headers=bearer)
    found = answer.json()["instances"]
    return len(found) == 2 and all(one.get("workers") for one in found)


def before_scenario(context, scenario):
    context.token = "fuel-desk-token"
    context.variables = {}


def after_all(context):
    context.stage.close()
