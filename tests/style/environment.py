def before_scenario(context, scenario):
    context.stage = None


def after_scenario(context, scenario):
    if context.stage:
        context.stage.close()
