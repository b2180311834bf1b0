"""Starts one instance with four workers; clears all faults after each scenario."""

from tests.support import stage, teams

TOKEN = "fuel-desk-token"
HEALTHY = {
    "fail_all": False,
    "slow": 1.0,
    "black_hole": False,
    "answers": "whole",
}


def before_all(context):
    context.stage = stage.Stage()
    context.stage.start_platform()
    context.stage.write_settings("fuel-desk", teams.example("fuel-desk"))
    context.stage.start_workers("shymkent", 4)
    context.stage.start_instance("shymkent-0", "shymkent")
    context.stage.wait_ready()
    stage.wait_until(lambda: len(status(context)["workers"]) == 4, what="workers")
    context.status = lambda: status(context)


def after_scenario(context, scenario):
    if scenario.status.has_failed():
        context.stage.print_diagnostics(TOKEN)
    for worker in context.stage.workers:
        context.stage.worker_faults(worker, **HEALTHY)


def status(context):
    return context.stage.call(
        "shymkent-0", "GET", "/v1/status", headers=teams.bearer(TOKEN)
    ).json()


def after_all(context):
    context.stage.close()
