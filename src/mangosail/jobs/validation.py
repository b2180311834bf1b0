"""Validation of submitted jobs.

An error names the field, its value and what was expected::

    tasks: 0: expected an integer from 1 to 100000
"""

import collections.abc as cabc
import dataclasses
import re
import typing as t

import msgspec
import result

from mangosail import codec, resources
from mangosail.jobs import errors, messages

#: Maximum number of tasks of one job.
MAX_TASKS = 100_000
#: Maximum size of the body as JSON; the row of each task contains a copy.
MAX_BODY_BYTES = 64 * 1024
#: Job ids contain no dots: a dot separates the job id from the task index.
JOB_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,99}")
KIND_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,99}")
#: Resources that may be omitted or 0.
OPTIONAL_RESOURCES = ("memory_gb", "accelerators", "slots", "connections")


def parse_job(
    team: str, declared: t.Any
) -> result.Result[messages.Job, errors.Malformed]:
    """Return the job that the decoded JSON value `declared` describes."""
    if not isinstance(declared, dict):
        return malformed("job", declared, "an object")
    known = {field.name for field in dataclasses.fields(messages.Job)} - {"team"}
    for name in declared:
        if name not in known:
            return malformed(str(name), declared[name], f"one of {sorted(known)}")
    for name, kind in (("job_id", JOB_ID_PATTERN), ("kind", KIND_PATTERN)):
        value = declared.get(name)
        if not isinstance(value, str) or not kind.fullmatch(value):
            return malformed(name, value, f"text that matches {kind.pattern}")
    tasks = declared.get("tasks")
    if type(tasks) is not int or not 1 <= tasks <= MAX_TASKS:
        return malformed("tasks", tasks, f"an integer from 1 to {MAX_TASKS}")
    size = len(codec.to_json(declared.get("body")).encode())
    if size > MAX_BODY_BYTES:
        return malformed("body", f"{size} bytes", f"at most {MAX_BODY_BYTES} bytes")
    if type(declared.get("urgent", False)) is not bool:
        return malformed("urgent", declared["urgent"], "true or false")
    needs = _parse_needs(declared.get("needs"))
    if isinstance(needs, result.Err):
        return needs
    return result.Ok(
        messages.Job(
            team,
            declared["job_id"],
            declared["kind"],
            tasks,
            needs.ok_value,
            declared.get("body"),
            declared.get("urgent", False),
        )
    )


def check_size(
    needs: resources.Resources, capacities: cabc.Sequence[resources.Resources]
) -> result.Result[None, errors.TooLarge]:
    """Refuse `needs` that no listed worker can satisfy.

    Nothing is refused while no worker is listed, since this refusal is final and
    the workers that will be listed are not known yet.
    """
    if not capacities or any(needs.fits_in(capacity) for capacity in capacities):
        return result.Ok(None)
    for field in dataclasses.fields(resources.Resources):
        most = max(getattr(capacity, field.name) for capacity in capacities)
        value = getattr(needs, field.name)
        if value > most:
            expected = f"at most {most:g}, what the largest worker has"
            return result.Err(errors.TooLarge(f"needs.{field.name}", value, expected))
    expected = "no more than some one worker has"
    return result.Err(errors.TooLarge("needs", needs, expected))


def _parse_needs(
    declared: t.Any,
) -> result.Result[resources.Resources, errors.Malformed]:
    if not isinstance(declared, dict):
        return malformed("needs", declared, "an object with cpus and memory_gb")
    known = ("cpus", *OPTIONAL_RESOURCES)
    for name in declared:
        if name not in known:
            return malformed(f"needs.{name}", declared[name], f"one of {known}")
    try:
        needs = msgspec.convert(declared, resources.Resources)
    except msgspec.ValidationError:
        return malformed("needs", declared, "numbers, whole ones for counts")
    if not needs.cpus > 0:
        return malformed("needs.cpus", declared.get("cpus"), "a number above 0")
    for name in OPTIONAL_RESOURCES:
        if not getattr(needs, name) >= 0:
            return malformed(f"needs.{name}", declared[name], "0 or more")
    # A task occupies at least one slot of its worker, whatever was declared.
    return result.Ok(dataclasses.replace(needs, slots=max(needs.slots, 1)))


def malformed(field: str, value: t.Any, expected: str) -> result.Err[errors.Malformed]:
    """Return the error for a malformed `field`."""
    return result.Err(errors.Malformed(field, value, expected))
