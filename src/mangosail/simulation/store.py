"""A table in memory, whose calls succeed at once, or fail while it is away."""

import collections.abc as cabc

import result

from mangosail.platform import errors, table
from mangosail.scheduler import ports


class MemoryTable:
    """Implements `ports.WatchableTable`, for one caller at a time."""

    def __init__(self) -> None:
        self.rows: dict[str, table.Row] = {}
        self.version = 0
        #: True while it takes no transactions.
        self.away = False
        #: Version and key of each change of a row whose prefix is watched.
        self.history: list[tuple[int, str]] = []

    def read(
        self, keys: cabc.Sequence[str]
    ) -> result.Result[dict[str, table.Row], errors.Unavailable]:
        """Return the rows of `keys` that exist."""
        return result.Ok({key: self.rows[key] for key in keys if key in self.rows})

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> result.Result[list[table.Row], errors.Unavailable]:
        """Return up to `limit` rows under `prefix` with keys past `after`, by key."""
        names = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return result.Ok([self.rows[name] for name in names[:limit]])

    def commit(
        self, transaction: table.Transaction
    ) -> result.Result[int, errors.CommitError]:
        """Apply `transaction` and return the version that its writes got."""
        if self.away:
            return result.Err(errors.Unavailable("away"))
        for check in transaction.checks:
            row = self.rows.get(check.key)
            if (row.version if row else table.ABSENT) != check.version:
                return result.Err(errors.Conflict(check.key))
        self.version += 1
        for write in transaction.writes:
            self.rows.pop(write.key, None)
            if write.value is not None:
                row = table.Row(write.key, write.value, self.version)
                self.rows[write.key] = row
            self.history.append((self.version, write.key))
        return result.Ok(self.version)

    def read_all(
        self, prefix: str, on_data: ports.OnData = ports.ignore_data
    ) -> result.Result[ports.Changes, errors.Unavailable]:
        """Return every row under `prefix` and the version to read changes from."""
        rows = tuple(row for key, row in self.rows.items() if key.startswith(prefix))
        return result.Ok(ports.Changes(rows, (), self.version))

    def changes(
        self,
        prefix: str,
        after: int,
        wait: float,
        on_data: ports.OnData = ports.ignore_data,
        max_bytes: int | None = None,
    ) -> result.Result[
        ports.Changes, errors.Unavailable | ports.HistoryLost | ports.TooLong
    ]:
        """Return the changes under `prefix` after a version, without waiting."""
        changed: dict[str, None] = {}
        for version, key in reversed(self.history):
            if version <= after:
                break
            if key.startswith(prefix):
                changed[key] = None
        names = list(reversed(changed))
        rows = tuple(self.rows[name] for name in names if name in self.rows)
        removed = tuple(name for name in names if name not in self.rows)
        return result.Ok(ports.Changes(rows, removed, self.version))
