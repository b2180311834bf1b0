"""The transactional table: versioned rows, changed by transactions with checks.

A version is never reused for a key, and 0 means that the row does not exist::

    table.commit(Transaction(
        checks=(Check("owner/w1", 0),),
        writes=(Write("owner/w1", "{}"),),
    ))
"""

import dataclasses
import typing as t

import result

from mangosail.platform import errors

#: The version of a row that does not exist.
ABSENT = 0
#: Maximum size of a row's value in bytes: in base64 the platform's limit of 65,536.
MAX_VALUE_BYTES = 49_152


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read; `value` is JSON text."""

    key: str
    value: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """The version that a row must have for the transaction to take effect."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A new value of a row; None removes it."""

    key: str
    value: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together, and only if all checks hold."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class Table(t.Protocol):
    """The platform's table service."""

    def read(
        self, keys: t.Sequence[str]
    ) -> result.Result[dict[str, Row], errors.Unavailable]:
        """Return the rows of `keys` that exist."""

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> result.Result[list[Row], errors.Unavailable]:
        """Return up to `limit` rows under `prefix` with keys past `after`, by key."""

    def commit(
        self, transaction: Transaction
    ) -> result.Result[int, errors.CommitError]:
        """Apply `transaction` and return the version that its writes got."""


def scan_all(
    table: Table, prefix: str, limit: int = 1000
) -> result.Result[list[Row], errors.Unavailable]:
    """Return every row under `prefix`, read `limit` at a time."""
    rows: list[Row] = []
    after = ""
    while True:
        page = table.scan(prefix, after, limit)
        if isinstance(page, result.Err):
            return page
        rows.extend(page.ok_value)
        if len(page.ok_value) < limit:
            return result.Ok(rows)
        after = page.ok_value[-1].key
