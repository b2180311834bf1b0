"""Ends what a scenario started, and prints its logs if it failed."""


def after_scenario(context, scenario):
    if scenario.status.has_failed() and "stage" in context:
        context.stage.print_diagnostics("")
