"""The commands of ``mangosail``."""

import typing as t

import pydantic
import typer

import mangosail
from mangosail import instance
from mangosail.placement import choice
from mangosail.settings import process
from mangosail.telemetry import logs

app = typer.Typer(no_args_is_help=True, add_completion=True)

#: Exit status when a flag, a variable or a file is wrong.
EXIT_USAGE = 2


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(mangosail.__version__)


@app.command()
def serve(
    name: t.Annotated[str, typer.Option("--instance", envvar="MANGOSAIL_INSTANCE")],
    data_centre: t.Annotated[str, typer.Option(envvar="MANGOSAIL_DATA_CENTRE")],
    http_address: t.Annotated[str, typer.Option(envvar="MANGOSAIL_HTTP_ADDRESS")],
    peer_address: t.Annotated[str, typer.Option(envvar="MANGOSAIL_PEER_ADDRESS")],
    platform_address: t.Annotated[
        str, typer.Option(envvar="MANGOSAIL_PLATFORM_ADDRESS")
    ],
    statsd_address: t.Annotated[
        str | None, typer.Option(envvar="MANGOSAIL_STATSD_ADDRESS")
    ] = None,
    log_level: t.Annotated[str, typer.Option(envvar="MANGOSAIL_LOG_LEVEL")] = "INFO",
    chooser: t.Annotated[
        choice.Policy, typer.Option(envvar="MANGOSAIL_CHOOSER")
    ] = choice.Policy.LEARNED,
) -> None:
    """Run one entry instance."""
    try:
        settings = process.ProcessSettings(
            instance=name,
            data_centre=data_centre,
            http_address=http_address,
            peer_address=peer_address,
            platform_address=platform_address,
            statsd_address=statsd_address,
            log_level=log_level,
            chooser=chooser,
        )
    except pydantic.ValidationError as exc:
        for error in exc.errors():
            flag = "--" + str(error["loc"][0]).replace("_", "-")
            typer.echo(f"{flag}: {error['input']!r}: {error['msg']}", err=True)
        raise typer.Exit(EXIT_USAGE) from exc
    logs.setup(settings.instance, settings.data_centre, settings.log_level)
    instance.Instance(settings).run()
