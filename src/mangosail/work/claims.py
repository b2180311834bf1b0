"""Claims: the rows whose conditional writes let a piece of work start only once."""

import collections.abc as cabc
import dataclasses
import hashlib
import secrets

import result

from mangosail import codec
from mangosail.platform import errors as platform_errors
from mangosail.platform import table
from mangosail.work import messages

#: Rows per read of the table.
READ_BATCH_SIZE = 100


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row and the version at which it was read or written."""

    row: messages.WorkRow
    version: int


def request_digest(request: messages.Request) -> str:
    """Return a digest that differs between different bodies of one request id."""
    text = codec.to_json((request.kind, request.body))
    return hashlib.sha256(text.encode()).hexdigest()


def with_new_attempt(row: messages.WorkRow) -> messages.WorkRow:
    """Return `row` with a new attempt token, by which a lost write is recognised."""
    return dataclasses.replace(row, attempt=secrets.token_hex(8))


class Claims:
    """The work rows in the table. They are never deleted.

    A write whose result was given up may still reach the table later. It fails its
    version check if anything was written at that key since; as versions are never
    reused, it can't overwrite a later write.
    """

    def __init__(self, rows: table.Table) -> None:
        self.rows = rows

    def read(
        self, team: str, request_id: str
    ) -> result.Result[StoredRow | None, platform_errors.Unavailable]:
        """Return the current row of a piece of work, or None."""
        found = self.read_keys([messages.work_key(team, request_id)])
        return found.map(lambda stored: stored[0] if stored else None)

    def read_keys(
        self, keys: cabc.Sequence[str]
    ) -> result.Result[list[StoredRow], platform_errors.Unavailable]:
        """Return the rows that exist under `keys`."""
        stored: list[StoredRow] = []
        for start in range(0, len(keys), READ_BATCH_SIZE):
            found = self.rows.read(keys[start : start + READ_BATCH_SIZE])
            if isinstance(found, result.Err):
                return found
            stored += [
                StoredRow(codec.from_json(row.value, messages.WorkRow), row.version)
                for row in found.ok_value.values()
            ]
        return result.Ok(stored)

    def placed_on(
        self, worker: str, known: cabc.Callable[[str], bool]
    ) -> result.Result[list[StoredRow], platform_errors.Unavailable]:
        """Return the work claimed for `worker` whose task id is not `known`."""
        prefix = f"placed/{worker}/"
        found = table.scan_all(self.rows, prefix)
        if isinstance(found, result.Err):
            return found
        task_ids = [row.key.removeprefix(prefix) for row in found.ok_value]
        return self.read_keys(
            [f"work/{task_id}" for task_id in task_ids if not known(task_id)]
        )

    def write(
        self, row: messages.WorkRow, version: int, moved_from: str = ""
    ) -> result.Result[StoredRow, platform_errors.CommitError]:
        """Write `row`, which has a new attempt token, if its version is `version`.

        Its listing under the worker `moved_from` is deleted.

        The same row may be written again if the result was `Uncertain`: a write that
        took effect is recognised by its attempt token, and can't take effect twice.
        """
        request = row.request
        key = messages.work_key(request.team, request.request_id)
        placed = messages.placed_key(row.worker, request.team, request.request_id)
        claimed = row.state is messages.State.CLAIMED
        writes = [table.Write(key, codec.to_json(row))]
        if row.worker:
            writes.append(table.Write(placed, "{}" if claimed else None))
        if moved_from not in ("", row.worker):
            previous = messages.placed_key(moved_from, request.team, request.request_id)
            writes.append(table.Write(previous, None))
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
        """Return the stored row if it is our own write, or else the error."""
        found = self.read(row.request.team, row.request.request_id)
        if isinstance(found, result.Err):
            return result.Err(platform_errors.Uncertain(found.err_value.reason))
        held = found.ok_value
        if held is not None and held.row.attempt == row.attempt:
            return result.Ok(held)
        # After a lost answer, an absent row proves nothing: the write may still be
        # in flight to the table, so it is not reported as failed.
        return result.Err(error)
