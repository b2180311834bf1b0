"""The session of this instance: one row whose renewal keeps all its leases."""

import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.ownership import messages
from mangosail.platform import errors, table

#: Seconds for which a renewal holds, counted from before it was sent.
TERM = 3.0
#: Seconds between renewals.
RENEWAL_INTERVAL = 1.0


class Session:
    """This run's lease in the table.

    The holder counts its term from before the renewal was sent, others from
    when they saw it, so that the holder's view of the lease always ends first.
    """

    def __init__(
        self,
        rows: table.Table,
        clock: clocks.Clock,
        row: messages.SessionRow,
        term: float = TERM,
    ) -> None:
        self.rows = rows
        self.clock = clock
        self.row = row
        self.term = term
        self.version: int | None = None
        #: Monotonic time at which the lease ends; 0 before the first renewal.
        self.deadline = 0.0

    @property
    def key(self) -> str:
        """Return the key of the session's row."""
        return messages.session_key(self.row.data_centre, self.row.instance)

    def valid(self) -> bool:
        """Tell whether the lease holds now; ask before each side effect."""
        return self.clock.monotonic() < self.deadline

    def open(self) -> result.Result[None, errors.CommitError]:
        """Write the row for the first time, over that of an earlier run."""
        found = self.rows.read([self.key])
        if isinstance(found, result.Err):
            return found
        earlier = found.ok_value.get(self.key)
        return self._write(earlier.version if earlier else table.ABSENT)

    def renew(self) -> result.Result[None, errors.CommitError]:
        """Move the lease on; `Conflict` means that it was taken away for good."""
        if self.version is None:
            return self.open()
        renewed = self._write(self.version)
        if isinstance(renewed, result.Err) and isinstance(
            renewed.err_value, errors.Conflict
        ):
            return self._settle(renewed.err_value)
        return renewed

    def _settle(
        self, conflict: errors.Conflict
    ) -> result.Result[None, errors.CommitError]:
        """Tell a lost answer of our own from a lease that was taken away.

        A renewal whose answer was lost has moved the version on; the next one
        then conflicts with ourselves. The row still carries our incarnation.
        """
        found = self.rows.read([self.key])
        if isinstance(found, result.Err):
            return found
        row = found.ok_value.get(self.key)
        if row is None:
            return result.Err(conflict)
        present = codec.from_json(row.value, messages.SessionRow)
        if present.ended or present.incarnation != self.row.incarnation:
            return result.Err(conflict)
        return self._write(row.version)

    def _write(self, version: int) -> result.Result[None, errors.CommitError]:
        sent_at = self.clock.monotonic()
        row = messages.SessionRow(
            self.row.instance,
            self.row.incarnation,
            self.row.data_centre,
            self.row.peer_address,
            self.clock.wall() + self.term,
        )
        transaction = table.Transaction(
            checks=(table.Check(self.key, version),),
            writes=(table.Write(self.key, codec.to_json(row)),),
        )
        committed = self.rows.commit(transaction)
        if isinstance(committed, result.Err):
            return committed
        self.version = committed.ok_value
        self.deadline = sent_at + self.term
        return result.Ok(None)
