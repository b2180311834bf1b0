def after_scenario(context, scenario):
    if "load" in context:
        context.load.stop()
    if "stage" in context:
        if scenario.status.has_failed():
            context.stage.tell("fuel-desk-token")
        context.stage.close()
