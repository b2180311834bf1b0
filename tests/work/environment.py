"""Sets up two instances and two workers, shared by the multi-process scenarios."""

import random

from tests.support import stage, teams


def before_feature(context, feature):
    if not feature.filename.endswith("faults.feature"):
        return
    context.random = random.Random(4)
    context.stage = stage.Stage()
    context.stage.start_platform()
    context.stage.write_settings("fuel-desk", teams.example("fuel-desk"))
    context.stage.start_workers("shymkent", 2)
    context.pair = ["shymkent-0", "shymkent-1"]
    for name in context.pair:
        context.stage.start_instance(name, "shymkent")
    context.stage.wait_ready()


def before_scenario(context, scenario):
    if "stage" not in context:
        return
    context.stage.faults(table="up", lose_answers=0.0)
    for name in context.pair:
        if context.stage.processes[name].poll() is not None:
            context.stage.start_instance(name, "shymkent")
    context.stage.wait_ready(*context.pair)


def after_feature(context, feature):
    if "stage" in context:
        context.stage.close()
