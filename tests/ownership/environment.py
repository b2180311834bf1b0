def after_scenario(context, scenario):
    if "load" in context:
        context.load.stop()
    if "stage" in context:
        if scenario.status.has_failed():
            context.stage.print_diagnostics("fuel-desk-token")
        context.stage.close()
