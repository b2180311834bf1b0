"""Why a job ended, as far as the logs of the instances tell.

Logs are often cut short. So what leaders counted is set beside the lines that exist,
and what is missing is said::

    for text in outcome.summarize(job_id, lines, cut_lines):
        typer.echo(text)
"""

import collections
import collections.abc as cabc
import typing as t

from mangosail.cli import log_lines

#: Maximum number of items in a line; of further ones, only the number is printed.
MAX_ITEMS = 6
#: Printed in place of a field that a line lacks: an earlier build did not log it, or it
#: is cut off.
UNKNOWN = "unknown"
#: Events, besides failed runs, of which any says something on the end of a job.
JOB_EVENTS = frozenset(
    {
        "attempt failed", "failed job restored", "failed job read", "job ended",
        "job failed for crashing workers", "job failure recorded",
        "task suspected of crash",
    }
)  # fmt: skip

Lines = cabc.Sequence[log_lines.Line]


def summarize(job_id: str, lines: Lines, cut_lines: int) -> list[str]:
    """Return why a job ended, or nothing if no line says anything on that.

    `lines` are those of all jobs, in order of time. `cut_lines` is the number of lines
    that name the job and could not be read.
    """
    own = [line for line in lines if line.about(job_id)]
    if not any(line.event in JOB_EVENTS or may_be_failed_run(line) for line in own):
        return []
    ends = events(own, "job ended")
    texts = [describe_end(end) for end in ends[:MAX_ITEMS]] or [describe_record(own)]
    texts += describe_failures(own)
    texts += describe_suspicions(own)
    texts += describe_tellers(own)
    texts += describe_tokens(lines, own, ends)
    texts += describe_gaps(lines, own, cut_lines)
    return texts


def events(lines: Lines, event: str) -> list[log_lines.Line]:
    """Return the lines of an event."""
    return [line for line in lines if line.event == event]


def is_failed_run(line: log_lines.Line) -> bool:
    """Return whether a worker listed a run that failed."""
    return line.event == "ended" and line.fields.get("outcome") == "failed"


def may_be_failed_run(line: log_lines.Line) -> bool:
    """Return whether a worker listed a run that failed, or whose outcome is cut off."""
    return is_failed_run(line) or is_without_outcome(line)


def is_without_outcome(line: log_lines.Line) -> bool:
    """Return whether the outcome of a run is cut off."""
    return line.event == "ended" and "outcome" not in line.fields


def token_of(line: log_lines.Line) -> int:
    """Return the fencing token of a line; 0 if it has none."""
    token = line.fields.get("token")
    return token if isinstance(token, int) else 0


def bounded(items: cabc.Collection[str]) -> str:
    """Return the items, or the first ones and the number of the others."""
    shown = ", ".join(list(items)[:MAX_ITEMS])
    more = len(items) - MAX_ITEMS
    return f"{shown} and {more} more" if more > 0 else shown


def run_of(line: log_lines.Line) -> str:
    """Return the run that a line is about."""
    fields = line.fields
    return f"{fields.get('task')} run {fields.get('run')} on {fields.get('worker')}"


def describe_end(end: log_lines.Line) -> str:
    """Return what a leader decided, and on what evidence."""
    fields = collections.defaultdict(lambda: UNKNOWN, end.fields)
    cause = fields["cause"]
    text = (
        f"why: {fields['state']} (cause {cause}), decided by {end.instance} with token "
        f"{fields['token']} at {end.time[11:23]}"
    )
    if cause == "attempts":
        gang = "gang of " if end.fields.get("gang") else ""
        worker = fields["worker"] or "a worker of an earlier leader"
        text += (
            f": {gang}{fields['task']} failed {fields['failures']} of "
            f"{fields['attempts']} times, last run {fields['run']} on {worker}"
        )
    elif cause == "crashes":
        text += (
            f": {fields['crashes']} crashes counted against {fields['task']}, "
            f"{fields['certain']} of them certain, last run {fields['run']}, last "
            f"crash of {fields['worker']}"
        )
    return text


def describe_record(own: Lines) -> str:
    """Return what the job's record says of its end, as instances have read it."""
    read = [line.fields for line in own if "decided_by_token" in line.fields]
    if not read:
        return "why: no line `job ended`"
    fields = collections.defaultdict(lambda: UNKNOWN, read[0])
    return (
        f"why: failed (cause {fields['cause']}), decided with token "
        f"{fields['decided_by_token']} by an instance whose line `job ended` is "
        f"missing: {fields['count']} counted against {fields['task']}, last run "
        f"{fields['run']}, last of them on {fields['worker']}"
    )


def describe_failures(own: Lines) -> list[str]:
    """Return the failed runs of each task that the logs show, beside the count."""
    # Another leader lists the same end again if it was not acknowledged.
    seen: dict[str, dict[str, None]] = {}
    counted: dict[str, tuple[t.Any, t.Any]] = {}
    for line in own:
        task = str(line.fields.get("task"))
        if is_failed_run(line) or line.event == "attempt failed":
            seen.setdefault(task, {})[run_of(line)] = None
        if "failures" in line.fields and "attempts" in line.fields:
            counted[task] = line.fields["failures"], line.fields["attempts"]
    texts = []
    tasks = list({**seen, **counted})
    for task in tasks[:MAX_ITEMS]:
        runs = seen.get(task, {})
        failures, attempts = counted.get(task, (UNKNOWN, UNKNOWN))
        texts.append(
            f"  failed runs of {task} in the logs: {len(runs)}, counted by the leader: "
            f"{failures}, attempts: {attempts}"
            + (f" ({bounded(runs)})" if runs else "")
        )
    if len(tasks) > MAX_ITEMS:
        texts.append(f"  failed runs of {len(tasks) - MAX_ITEMS} more tasks")
    return texts


def describe_suspicions(own: Lines) -> list[str]:
    """Return the crashes of workers that tasks of the job were suspected of."""
    items = [
        f"{run_of(line)}: {line.fields.get('reason')}, "
        f"{line.fields.get('verdict', 'verdict unknown')}"
        for line in events(own, "task suspected of crash")
    ]
    return [f"  suspected of crashes: {bounded(items)}"] if items else []


def describe_tellers(own: Lines) -> list[str]:
    """Return which instances recorded, restored or told the failure."""
    names = {
        "job failure recorded": "recorded",
        "failed job restored": "restored",
        "failed job read": "told to callers",
    }
    items = [
        f"{names[line.event]} by {line.instance} at {line.time[11:23]}"
        + (f" with token {token_of(line)}" if token_of(line) else "")
        for line in own
        if line.event in names
    ]
    return [f"  failure {bounded(items)}"] if items else []


def describe_tokens(lines: Lines, own: Lines, ends: Lines) -> list[str]:
    """Return signs of a leader that decided although another one led already."""
    texts = []
    for end in ends[:MAX_ITEMS]:
        token = token_of(end)
        if not token:
            continue
        before = [line for line in lines if line.time <= end.time]
        other = first_later(before, "took over", token)
        if other is not None:
            texts.append(
                f"  token {token} was out of date: {other.instance} had taken over "
                f"with token {token_of(other)} at {other.time[11:23]}"
            )
        other = first_later(own, "job taken", token)
        if other is not None:
            texts.append(
                f"  not in force: {other.instance} went on with the job with token "
                f"{token_of(other)} at {other.time[11:23]}"
            )
    return texts


def first_later(lines: Lines, event: str, token: int) -> log_lines.Line | None:
    """Return the first line of an event by a leader with a higher token."""
    found = (line for line in events(lines, event) if token_of(line) > token)
    return next(found, None)


def describe_gaps(lines: Lines, own: Lines, cut_lines: int) -> list[str]:
    """Return which lines are known to be missing."""
    gaps = []
    if not events(own, "job ended"):
        gaps.append("`job ended`")
    if not events(own, "handed in") and not events(own, "job taken"):
        gaps.append("its acceptance")
    gaps += [
        f"the outcome of {run_of(line)}" for line in own if is_without_outcome(line)
    ][:MAX_ITEMS]
    if cut_lines:
        gaps.append(f"{cut_lines} lines that name it are cut off")
    dropped = sum(
        int(line.fields.get("count", 0)) for line in events(lines, "lines left out")
    )
    if dropped:
        gaps.append(f"{dropped} lines that instances left out")
    return [f"  missing: {', '.join(gaps)}"] if gaps else []
