import pathlib
import tempfile

from tests.support import certificates, stage, teams


def before_scenario(context, scenario):
    context.folder = tempfile.TemporaryDirectory()
    context.authority = certificates.Authority(pathlib.Path(context.folder.name))
    context.stage = stage.Stage()
    context.stage.start_platform()
    context.stage.write_settings("fuel-desk", teams.example("fuel-desk"))


def after_scenario(context, scenario):
    context.stage.close()
    context.folder.cleanup()
