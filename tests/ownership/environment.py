def after_scenario(context, scenario):
    if "load" in context:
        context.load.stop()
    if "stage" in context:
        context.stage.close()
