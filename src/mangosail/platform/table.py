"""The transactional table: rows with versions, changed by checked transactions.

A version is never used twice for a key, and 0 means that the row is absent::

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
#: Bytes of a row's value at most: with base64 the 65,536 that the platform takes.
MOST_VALUE = 49_152


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read: `value` is JSON text."""

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
        """Return at most `limit` rows under `prefix`, by key, past key `after`."""

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
