"""Claims: the rows that let a piece of work be started, once."""

import dataclasses
import hashlib
import secrets

import result

from mangosail import codec
from mangosail.platform import errors as platform_errors
from mangosail.platform import table
from mangosail.work import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A row and the version it was read or written at."""

    row: messages.WorkRow
    version: int


def digest_of(request: messages.Request) -> str:
    """Return what tells two bodies under one request id apart."""
    text = codec.to_json((request.kind, request.body))
    return hashlib.sha256(text.encode()).hexdigest()


class Claims:
    """The work rows in the table."""

    def __init__(self, rows: table.Table) -> None:
        self.rows = rows

    def read(
        self, team: str, request_id: str
    ) -> result.Result[Held | None, platform_errors.Unavailable]:
        """Return the present row of a piece of work, or None."""
        key = messages.work_key(team, request_id)
        found = self.rows.read([key])
        if isinstance(found, result.Err):
            return found
        row = found.ok_value.get(key)
        if row is None:
            return result.Ok(None)
        return result.Ok(
            Held(codec.from_json(row.value, messages.WorkRow), row.version)
        )

    def write(
        self, row: messages.WorkRow, version: int
    ) -> result.Result[Held, platform_errors.CommitError]:
        """Write `row` if the present version is `version`.

        The row is stamped with a new attempt; when the answer is lost, it is
        read back and recognised by that stamp.
        """
        row = dataclasses.replace(row, attempt=secrets.token_hex(8))
        request = row.request
        key = messages.work_key(request.team, request.request_id)
        placed = messages.placed_key(row.worker, request.team, request.request_id)
        bound = row.state is messages.State.CLAIMED
        transaction = table.Transaction(
            checks=(table.Check(key, version),),
            writes=(
                table.Write(key, codec.to_json(row)),
                table.Write(placed, "{}" if bound else None),
            ),
        )
        committed = self.rows.commit(transaction)
        if isinstance(committed, result.Ok):
            return result.Ok(Held(row, committed.ok_value))
        if isinstance(committed.err_value, platform_errors.Uncertain):
            return self._settle(row, committed.err_value)
        return committed

    def _settle(
        self, row: messages.WorkRow, uncertain: platform_errors.Uncertain
    ) -> result.Result[Held, platform_errors.CommitError]:
        found = self.read(row.request.team, row.request.request_id)
        if isinstance(found, result.Err):
            return result.Err(uncertain)
        held = found.ok_value
        if held is not None and held.row.attempt == row.attempt:
            return result.Ok(held)
        # Absent is no proof: the write may still be on its way to the table.
        return result.Err(uncertain)
