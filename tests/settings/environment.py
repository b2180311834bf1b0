"""Starts one stage for the scenarios with processes: two data centres, no workers."""

from tests.support import stage, teams


def before_feature(context, feature):
    context.stage = None
    if "machine" in feature.filename:
        return
    context.stage = stage.Stage()
    context.stage.start_platform()
    desk = teams.example("fuel-desk")
    desk["tokens"].append({**teams.token("old-caller"), "name": "caller"})
    context.stage.write_settings("fuel-desk", desk)
    context.stage.write_settings("plegadora", teams.example("plegadora"))
    context.env = teams.admin_env()
    for name in ("shymkent-0", "shymkent-1", "taraz-0"):
        context.stage.start_instance(name, name.split("-")[0], context.env)
    for name in context.stage.instances:
        wait_for_peers(context, name, 2)


def wait_for_peers(context, name, count):
    def met():
        answer = context.stage.call(
            name, "GET", "/v1/status", headers=teams.bearer("fuel-desk-token")
        )
        return answer.status == 200 and len(answer.json()["peers"]) >= count

    stage.wait_until(met, what=f"peers of {name}")


def after_scenario(context, scenario):
    if context.stage:
        context.stage.faults(table="up", lose_answers=0.0, cut=[])


def after_feature(context, feature):
    if context.stage:
        context.stage.close()
