"""Exit statuses of ``mangosail``; docs/operations/command-line.md lists them."""

import typing as t

import typer

#: The server refused the request, or the work ended without being completed.
FAILED = 1
#: A flag, an environment variable or a file is invalid; nothing was sent.
USAGE = 2
#: The server could not be reached, or its answer was interrupted.
UNREACHABLE = 3
#: It is not known yet whether the work ran; retry under the same request id.
UNKNOWN = 4


def exit_with(status: int, message: str) -> t.NoReturn:
    """Print `message` on standard error and exit with `status`."""
    typer.echo(message, err=True)
    raise typer.Exit(status)
