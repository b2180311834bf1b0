"""Entry point of ``mangosail``, with its commands."""

import typer

import mangosail
from mangosail.cli import explain, report, serve, settings, status, watch, work

#: Environment variables for flags that name none, as MANGOSAIL_SUBMIT_REQUEST_ID.
CONTEXT = {"auto_envvar_prefix": "MANGOSAIL"}

app = typer.Typer(
    name="mangosail",
    no_args_is_help=True,
    add_completion=True,
    pretty_exceptions_enable=False,
    context_settings=CONTEXT,
)


@app.callback()
def program() -> None:
    """Schedule latency-critical services and batch work on shared workers."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(mangosail.__version__)


for command in (
    serve.serve,
    serve.check,
    status.status,
    status.drain,
    work.submit,
    work.cancel,
    work.jobs,
    watch.watch,
    explain.explain,
    report.report,
):
    app.command()(command)

app.add_typer(settings.app, name="settings")
