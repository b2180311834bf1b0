def after_scenario(context, scenario):
    if "stage" in context:
        context.stage.close()
