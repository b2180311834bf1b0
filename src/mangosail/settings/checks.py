"""Validates a subtree's content and reports all faults at once, without secrets.

Example::

    >>> check({"quota": {"cpus": -1}}).err_value.faults
    (Fault(path='quota.cpus', value=-1, expected='greater than 0'),)
"""

import typing as t

import pydantic
import result

from mangosail import codec
from mangosail.settings import errors, schema

#: Size limit of a subtree's content as JSON.
MAX_CONTENT_BYTES = 64 * 1024
#: Characters of an invalid text value that are shown.
MAX_SHOWN_LENGTH = 80
#: Placeholder for a value that must not be shown.
HIDDEN = "hidden"


def check(
    content: t.Any,
) -> result.Result[schema.TeamSettings, errors.BadSettings]:
    """Return `content` as typed settings, or all of its faults."""
    size = len(codec.to_json(content))
    if size > MAX_CONTENT_BYTES:
        fault = errors.Fault("", f"{size} bytes", f"at most {MAX_CONTENT_BYTES} bytes")
        return result.Err(errors.BadSettings((fault,)))
    try:
        return result.Ok(schema.TeamSettings.model_validate(content))
    except pydantic.ValidationError as exc:
        found = exc.errors(include_url=False, include_context=False)
        return result.Err(errors.BadSettings(tuple(to_fault(e) for e in found)))


def to_fault(error: t.Any) -> errors.Fault:
    """Convert a pydantic error to a path, a value and what was expected."""
    path = ".".join(str(part) for part in error["loc"] if part != "[key]")
    return errors.Fault(path, redacted(path, error["input"]), expected(error))


def expected(error: t.Any) -> str:
    """Return the expected value or type that a pydantic error names."""
    if error["type"] == "missing":
        return "a value"
    if error["type"] == "extra_forbidden":
        return "no such field"
    text: str = error["msg"]
    for prefix in ("Input should be ", "Value error, ", "Input should "):
        text = text.removeprefix(prefix)
    return text


def redacted(path: str, value: t.Any) -> t.Any:
    """Return `value` shortened for display, with anything in a token hidden."""
    if path.split(".")[0] == "tokens":
        return HIDDEN
    if isinstance(value, dict):
        return f"object of {len(value)} fields"
    if isinstance(value, list | tuple):
        return f"list of {len(value)} items"
    if isinstance(value, str):
        return value[:MAX_SHOWN_LENGTH]
    return value


def restore_token_hashes(content: t.Any, current: dict[str, t.Any]) -> t.Any:
    """Return `content` with the current hash added to each token that lacks one.

    Answers never contain hashes, so an operator who edits settings that were read
    sends the tokens back without them. Those tokens keep their hash.
    """
    if not isinstance(content, dict) or not isinstance(content.get("tokens"), list):
        return content
    hashes = {e["name"]: e["sha256"] for e in current.get("tokens", [])}
    return {
        **content,
        "tokens": [_with_known_hash(e, hashes) for e in content["tokens"]],
    }


def _with_known_hash(entry: t.Any, hashes: dict[str, str]) -> t.Any:
    if not isinstance(entry, dict) or "sha256" in entry:
        return entry
    known = hashes.get(str(entry.get("name")))
    return {**entry, "sha256": known} if known else entry


def without_token_hashes(content: dict[str, t.Any]) -> dict[str, t.Any]:
    """Return `content` without token hashes, as operators may see it."""
    if "tokens" not in content:
        return content
    kept = [
        {k: v for k, v in entry.items() if k != "sha256"} for entry in content["tokens"]
    ]
    return {**content, "tokens": kept}
