from tests.support import stage


def before_all(context):
    context.stage = stage.Stage()
    context.stage.start_platform()


def after_all(context):
    context.stage.close()
