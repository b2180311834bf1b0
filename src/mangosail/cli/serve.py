"""``mangosail serve`` and ``mangosail check``."""

import pathlib
import typing as t

import pydantic
import typer

from mangosail import errors, instance
from mangosail.cli import exits, flags
from mangosail.settings import process, schema
from mangosail.telemetry import logs

SettingsFile = t.Annotated[
    pathlib.Path | None,
    typer.Option("--file", help="A team's settings, as JSON, to check too."),
]


@flags.of(process.ProcessSettings)
def serve(settings: process.ProcessSettings) -> None:
    """Run one entry instance until it is told to stop (SIGTERM)."""
    logs.setup(settings.instance, settings.data_centre, settings.log_level)
    try:
        instance.Instance(settings).run()
    except errors.ConfigurationError as exc:
        exits.leave(exits.USAGE, str(exc))


def check(file: SettingsFile = None) -> None:
    """Check the process settings in the environment, and a team's settings file.

    With --file alone in an environment without any process setting, only the
    file is checked.
    """
    wrong = wrong_in_environment(needed=file is None)
    if file is not None:
        wrong += wrong_in_file(file)
    if wrong:
        exits.leave(exits.USAGE, "\n".join(wrong))
    typer.echo("settings are in order")


def wrong_in_environment(needed: bool) -> list[str]:
    """Return a line for each fault of the process settings in the environment.

    Unless they are `needed`, having none at all is no fault.
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
        return flags.complaints(exc)
    return []


def wrong_in_file(file: pathlib.Path) -> list[str]:
    """Return a line for each fault of a team's settings in `file`."""
    try:
        schema.TeamSettings.model_validate_json(file.read_bytes())
    except OSError as exc:
        return [f"--file: {str(file)!r}: expected a readable file: {exc.strerror}"]
    except pydantic.ValidationError as exc:
        return [
            f"--file: {file}: {'.'.join(map(str, error['loc']))}: "
            f"{error['input']!r}: {error['msg']}"
            for error in exc.errors()
        ]
    return []
