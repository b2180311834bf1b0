"""Compares two contents of a subtree path by path.

Example::

    >>> between({"quota": {"cpus": 8}}, {"quota": {"cpus": 9}})
    (Difference(path='quota.cpus', old=8, new=9),)
"""

import collections.abc as cabc
import typing as t

from mangosail.settings import checks, messages


def between(
    old: dict[str, t.Any], new: dict[str, t.Any]
) -> tuple[messages.Difference, ...]:
    """Return the differing paths in order, with token hashes hidden."""
    before, after = dict(_leaves("", old)), dict(_leaves("", new))
    return tuple(
        messages.Difference(path, _shown(path, before), _shown(path, after))
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    )


def warnings(old: dict[str, t.Any], new: dict[str, t.Any]) -> tuple[str, ...]:
    """Return warnings about effects of a valid change."""
    found = [
        f"services.{service}.{operation}: removed; work already accepted runs to "
        "its end, new requests are refused"
        for service, operations in old.get("services", {}).items()
        for operation in operations
        if operation not in new.get("services", {}).get(service, {})
    ]
    if not any(entry.get("operator") for entry in new.get("tokens", [])):
        found.append(
            "tokens: no operator left; only the platform's administrator can "
            "change these settings"
        )
    return tuple(found)


def _leaves(path: str, value: t.Any) -> cabc.Iterator[tuple[str, t.Any]]:
    if path == "tokens" and isinstance(value, list):
        value = {entry["name"]: entry for entry in value}
    if not isinstance(value, dict) or (path and not value):
        yield path, value
        return
    for name, inner in value.items():
        yield from _leaves(f"{path}.{name}" if path else name, inner)


def _shown(path: str, leaves: dict[str, t.Any]) -> t.Any:
    value = leaves.get(path)
    if value is not None and path.endswith(".sha256"):
        return checks.HIDDEN
    return value
