"""One test deployment for all end-to-end scenarios, with two data centres."""

from tests.support import stage, teams


def before_all(context):
    context.stage = stage.Stage()
    context.stage.start_platform()
    context.stage.write_settings("fuel-desk", teams.example("fuel-desk"))
    context.stage.write_settings("plegadora", teams.example("plegadora"))
    for data_centre in ("shymkent", "taraz"):
        context.stage.start_workers(data_centre, 2)
        for number in range(2):
            context.stage.start_instance(f"{data_centre}-{number}", data_centre)
    context.stage.wait_ready()


def after_all(context):
    context.stage.close()
