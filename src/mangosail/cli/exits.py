"""Exit statuses of ``mangosail``; docs/operations/command-line.md lists them."""

import typing as t

import typer

#: The server refused, or the work ended without being completed.
FAILED = 1
#: A flag, a variable or a file is wrong; nothing was sent.
USAGE = 2
#: The server could not be reached, or broke off its answer.
UNREACHABLE = 3
#: Whether the work ran is not known yet; ask again under the same request id.
UNKNOWN = 4


def exit_with(status: int, message: str) -> t.NoReturn:
    """Print `message` on standard error and end the program with `status`."""
    typer.echo(message, err=True)
    raise typer.Exit(status)
