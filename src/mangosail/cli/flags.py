"""Generates the flags of a command from the fields of a settings class.

A field ``http_address`` becomes ``--http-address`` and is also read from
``MANGOSAIL_HTTP_ADDRESS``. Only the settings class validates the values::

    @app.command()
    @flags.from_model(process.ProcessSettings)
    def serve(settings: process.ProcessSettings) -> None: ...
"""

import collections.abc as cabc
import functools
import inspect
import typing as t

import pydantic
import typer

from mangosail.cli import exits

#: Prefix of all environment variables.
PREFIX = "MANGOSAIL_"

Model = t.TypeVar("Model", bound=pydantic.BaseModel)


def flag_of(field: str) -> str:
    """Return the flag for the settings field `field`."""
    return "--" + field.replace("_", "-")


def variable_of(field: str) -> str:
    """Return the environment variable for the settings field `field`."""
    return PREFIX + field.upper()


def from_model(
    model: type[Model],
) -> cabc.Callable[[cabc.Callable[[Model], None]], cabc.Callable[..., None]]:
    """Give a command one flag for each field of `model`."""

    def decorate(command: cabc.Callable[[Model], None]) -> cabc.Callable[..., None]:
        @functools.wraps(command)
        def run(**values: t.Any) -> None:
            command(validate(model, values))

        parameters = [_parameter(*item) for item in model.model_fields.items()]
        # Typer reads signature and annotations; otherwise it finds only ``**values``.
        run.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
        run.__annotations__ = {p.name: p.annotation for p in parameters}
        return run

    return decorate


def validate(model: type[Model], values: cabc.Mapping[str, t.Any]) -> Model:
    """Return the settings, or exit and name each invalid flag."""
    given = {name: value for name, value in values.items() if value is not None}
    try:
        return model(**given)
    except pydantic.ValidationError as exc:
        exits.exit_with(exits.USAGE, "\n".join(error_lines(exc)))


def error_lines(exc: pydantic.ValidationError) -> list[str]:
    """Return one line for each error: flag, value and what was expected."""
    lines = []
    for error in exc.errors():
        field = str(error["loc"][0]) if error["loc"] else ""
        named = f"{flag_of(field)} ({variable_of(field)})" if field else "settings"
        message = error["msg"].removeprefix("Value error, ")
        # The value may be a token given by mistake instead of its hash.
        value = "hidden" if "token" in field else repr(error["input"])
        if error["type"] == "missing" or not field:
            lines.append(f"{named}: {message}")
        else:
            lines.append(f"{named}: {value}: {message}")
    return lines


def _parameter(name: str, field: pydantic.fields.FieldInfo) -> inspect.Parameter:
    # All flags except switches are text here; the settings class converts them.
    kind: t.Any = bool | None if field.annotation is bool else str | None
    option = typer.Option(
        flag_of(name),
        envvar=variable_of(name),
        help=field.description,
        show_default=False,
    )
    return inspect.Parameter(
        name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=t.Annotated[kind, option],
    )
