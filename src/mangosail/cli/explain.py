"""``mangosail explain``: the history of one job, from the logs of all instances."""

import typing as t

import typer

from mangosail.cli import exits, log_lines, outcome

Job = t.Annotated[str, typer.Argument(help="The job's id, or that of a request.")]
Around = t.Annotated[
    bool,
    typer.Option(
        "--around/--alone",
        help="Also changes that instances observed meanwhile: leases, workers, "
        "the configuration.",
    ),
]


def explain(
    request_id: Job, files: log_lines.Files = None, around: Around = False
) -> None:
    """Print what happened to a job, in order of time, from logs of any instances.

    A summary of why the job ended comes last. Text before a line's JSON is removed, and
    of a line whose end is cut off the complete fields are used, so that the output of
    log collectors can be read unchanged. Other lines are skipped.
    """
    texts = list(log_lines.read(files or []))
    lines = sorted(log_lines.parse(texts, use_cut=True), key=lambda line: line.time)
    own = [line for line in lines if line.about(request_id)]
    if not own:
        exits.exit_with(exits.USAGE, f"{request_id}: no line of the logs is about it")
    first, last = own[0].time, own[-1].time
    for line in lines:
        if line.about(request_id):
            typer.echo(line.formatted("*"))
        elif around and first <= line.time <= last and line.is_state_change():
            typer.echo(line.formatted(" "))
    unread = log_lines.count_unread(texts, request_id)
    for text in outcome.summarize(request_id, lines, unread):
        typer.echo(text)
