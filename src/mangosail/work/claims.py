"""Claims: the rows that let a piece of work be started, once."""

import collections.abc as cabc
import dataclasses
import hashlib
import secrets

import result

from mangosail import codec
from mangosail.platform import errors as platform_errors
from mangosail.platform import table
from mangosail.work import messages

#: Rows fetched by one read.
READ_BATCH_SIZE = 100


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row and the version it was read or written at."""

    row: messages.WorkRow
    version: int


def request_digest(request: messages.Request) -> str:
    """Return what tells two bodies under one request id apart."""
    text = codec.to_json((request.kind, request.body))
    return hashlib.sha256(text.encode()).hexdigest()


def with_new_attempt(row: messages.WorkRow) -> messages.WorkRow:
    """Return `row` with a new attempt, by which a lost write is recognised."""
    return dataclasses.replace(row, attempt=secrets.token_hex(8))


class Claims:
    """The work rows in the table. They are never removed.

    A write that was given up may still reach the table later. It then fails
    its check as soon as anything else was written at that key, and as versions
    never come back, it can't undo what was written since.
    """

    def __init__(self, rows: table.Table) -> None:
        self.rows = rows

    def read(
        self, team: str, request_id: str
    ) -> result.Result[StoredRow | None, platform_errors.Unavailable]:
        """Return the present row of a piece of work, or None."""
        found = self.read_keys([messages.work_key(team, request_id)])
        return found.map(lambda held: held[0] if held else None)

    def read_keys(
        self, keys: cabc.Sequence[str]
    ) -> result.Result[list[StoredRow], platform_errors.Unavailable]:
        """Return those of the rows that exist."""
        held: list[StoredRow] = []
        for start in range(0, len(keys), READ_BATCH_SIZE):
            found = self.rows.read(keys[start : start + READ_BATCH_SIZE])
            if isinstance(found, result.Err):
                return found
            held += [
                StoredRow(codec.from_json(row.value, messages.WorkRow), row.version)
                for row in found.ok_value.values()
            ]
        return result.Ok(held)

    def placed_on(
        self, worker: str, known: cabc.Callable[[str], bool]
    ) -> result.Result[list[StoredRow], platform_errors.Unavailable]:
        """Return the work claimed for `worker` that is not `known` by task id."""
        prefix = f"placed/{worker}/"
        found = table.scan_all(self.rows, prefix)
        if isinstance(found, result.Err):
            return found
        task_ids = [row.key.removeprefix(prefix) for row in found.ok_value]
        return self.read_keys([f"work/{each}" for each in task_ids if not known(each)])

    def write(
        self, row: messages.WorkRow, version: int, moved_from: str = ""
    ) -> result.Result[StoredRow, platform_errors.CommitError]:
        """Write the stamped `row` if the present version is `version`.

        A row that was with the worker `moved_from` is no longer listed there.

        The same row may be written again when the result was `Uncertain`: once
        it stands, its stamp tells so, and it can't stand twice.
        """
        request = row.request
        key = messages.work_key(request.team, request.request_id)
        placed = messages.placed_key(row.worker, request.team, request.request_id)
        bound = row.state is messages.State.CLAIMED
        writes = [table.Write(key, codec.to_json(row))]
        if row.worker:
            writes.append(table.Write(placed, "{}" if bound else None))
        if moved_from not in ("", row.worker):
            left = messages.placed_key(moved_from, request.team, request.request_id)
            writes.append(table.Write(left, None))
        transaction = table.Transaction((table.Check(key, version),), tuple(writes))
        committed = self.rows.commit(transaction)
        if isinstance(committed, result.Ok):
            return result.Ok(StoredRow(row, committed.ok_value))
        if isinstance(committed.err_value, platform_errors.Unavailable):
            return committed
        return self._resolve_write(row, committed.err_value)

    def _resolve_write(
        self,
        row: messages.WorkRow,
        error: platform_errors.Conflict | platform_errors.Uncertain,
    ) -> result.Result[StoredRow, platform_errors.CommitError]:
        """Tell a write of our own that stands from one that does not."""
        found = self.read(row.request.team, row.request.request_id)
        if isinstance(found, result.Err):
            return result.Err(platform_errors.Uncertain(found.err_value.reason))
        held = found.ok_value
        if held is not None and held.row.attempt == row.attempt:
            return result.Ok(held)
        # After a lost answer, an absent row is no proof: the write may still be
        # on its way to the table, so the caller is not told that it failed.
        return result.Err(error)
