"""``mangosail serve`` and ``mangosail check``."""

import pathlib
import typing as t

import pydantic
import result
import typer

from mangosail import codec, errors, instance
from mangosail.cli import exits, flags
from mangosail.settings import checks, process
from mangosail.telemetry import logs

SettingsFile = t.Annotated[
    pathlib.Path | None,
    typer.Option("--file", help="A JSON file of a team's settings to check too."),
]


@flags.from_model(process.ProcessSettings)
def serve(settings: process.ProcessSettings) -> None:
    """Run one entry instance until it receives SIGTERM."""
    handler = logs.setup(settings.instance, settings.data_centre, settings.log_level)
    try:
        instance.Instance(settings).run()
    except errors.ConfigurationError as exc:
        exits.exit_with(exits.USAGE, str(exc))
    finally:
        handler.flush()


def check(file: SettingsFile = None) -> None:
    """Check the process settings in the environment, and a team's settings file.

    With --file in an environment without any process setting, only the file is
    checked.
    """
    wrong = environment_faults(needed=file is None)
    if file is not None:
        wrong += file_faults(file)
    if wrong:
        exits.exit_with(exits.USAGE, "\n".join(wrong))
    typer.echo("settings are in order")


def environment_faults(needed: bool) -> list[str]:
    """Return one line for each fault of the process settings in the environment.

    Unless they are `needed`, it is not a fault if all are missing.
    """
    try:
        process.ProcessSettings()  # type: ignore[call-arg]
    except pydantic.ValidationError as exc:
        missing = {e["loc"][0] for e in exc.errors() if e["type"] == "missing"}
        required = {
            name
            for name, field in process.ProcessSettings.model_fields.items()
            if field.is_required()
        }
        if missing == required and not needed:
            return []
        return flags.error_lines(exc)
    return []


def file_faults(file: pathlib.Path) -> list[str]:
    """Return one line for each fault of a team's settings in `file`."""
    try:
        content = codec.from_json(file.read_bytes(), object)
    except OSError as exc:
        return [f"--file: {str(file)!r}: expected a readable file: {exc.strerror}"]
    except codec.DecodeError as exc:
        return [f"--file: {str(file)!r}: expected JSON: {exc}"]
    checked = checks.check(content)
    if isinstance(checked, result.Ok):
        return []
    return [f"--file: {file}: {fault}" for fault in checked.err_value.faults]
