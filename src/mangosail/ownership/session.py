"""The session of this instance: one table row whose renewal extends all its leases."""

import dataclasses
import secrets

import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.ownership import messages
from mangosail.platform import errors, table

#: Duration of the lease in seconds, counted from just before a renewal is sent.
LEASE_DURATION_S = 3.0
#: Seconds between renewals.
RENEWAL_INTERVAL_S = 1.0
#: Seconds until a failed release is repeated.
RELEASE_RETRY_INTERVAL_S = 0.05


def new_session_row(
    instance: str, data_centre: str, peer_address: str
) -> messages.SessionRow:
    """Return the session row of a new run of `instance`, before its first renewal."""
    return messages.SessionRow(
        instance, secrets.token_hex(8), data_centre, peer_address, 0.0
    )


class Session:
    """This run's lease in the table.

    The holder counts the lease from before the renewal was sent, others from when they
    saw it, so the lease always expires first from the holder's point of view.
    """

    def __init__(
        self,
        rows: table.Table,
        clock: clocks.Clock,
        row: messages.SessionRow,
        lease_duration: float = LEASE_DURATION_S,
    ) -> None:
        self.rows = rows
        self.clock = clock
        self.row = row
        self.lease_duration = lease_duration
        self.version: int | None = None
        #: Monotonic time at which the lease expires; 0 before the first renewal.
        self.deadline = 0.0
        #: True if the table was unreachable at the latest renewal.
        self.table_unreachable = False
        #: True after a planned shutdown: the row is never written again.
        self.closed = False

    @property
    def key(self) -> str:
        """Return the key of the session row."""
        return messages.session_key(self.row.data_centre, self.row.instance)

    def valid(self) -> bool:
        """Return whether the lease is valid now; check before each side effect."""
        return self.clock.monotonic() < self.deadline

    def renewed_after(self, moment: float) -> bool:
        """Return whether a renewal that was sent after `moment` has succeeded."""
        return self.deadline >= moment + self.lease_duration

    def may_claim(self) -> bool:
        """Return whether workers may be acquired, now or once the lease is renewed."""
        return self.valid() or not self.table_unreachable

    def start_deadline(self) -> float:
        """Return the wall time until which a worker may act on a start sent now.

        The process may be frozen between checking the lease and sending; the worker
        then refuses the start. 0 means that the lease has expired: such a start uses
        only the retained budget, and needs no deadline.
        """
        left = self.deadline - self.clock.monotonic()
        if left <= 0:
            return 0.0
        return self.clock.wall() + left

    def restart(self) -> None:
        """Start a new run; call only after everything owned was given up."""
        incarnation = secrets.token_hex(8)
        self.row = dataclasses.replace(self.row, incarnation=incarnation)
        self.version = None
        self.deadline = 0.0

    def open(self) -> result.Result[None, errors.CommitError]:
        """Write the row for the first time, replacing that of an earlier run."""
        found = self.rows.read([self.key])
        if isinstance(found, result.Err):
            return found
        earlier = found.ok_value.get(self.key)
        return self._write(earlier.version if earlier else table.ABSENT)

    def renew(self) -> result.Result[None, errors.CommitError]:
        """Extend the lease; `Conflict` means that the session was ended or replaced."""
        renewed = self._renew()
        if self.closed:
            # Released while the renewal was in flight: a conflict is no loss.
            return result.Ok(None)
        self.table_unreachable = isinstance(renewed, result.Err) and not isinstance(
            renewed.err_value, errors.Conflict
        )
        return renewed

    def _renew(self) -> result.Result[None, errors.CommitError]:
        if self.closed:
            return result.Ok(None)
        if self.version is None:
            return self.open()
        renewed = self._write(self.version)
        if isinstance(renewed, result.Err) and isinstance(
            renewed.err_value, errors.Conflict
        ):
            return self._resolve_conflict(renewed.err_value)
        return renewed

    def release(self, deadline: float) -> result.Result[None, errors.CommitError]:
        """End the session, once nothing that it owned is in use any more.

        Repeated until the monotonic `deadline` if it fails: a renewal may be in flight,
        which changes the row's version, and otherwise peers would wait for the lease.
        """
        self.closed = True
        self.deadline = 0.0
        while True:
            released = self._write_released()
            if isinstance(released, result.Ok) or self.clock.monotonic() >= deadline:
                return released
            self.clock.sleep(RELEASE_RETRY_INTERVAL_S)

    def _write_released(self) -> result.Result[None, errors.CommitError]:
        found = self.rows.read([self.key])
        if isinstance(found, result.Err):
            return found
        stored = found.ok_value.get(self.key)
        if stored is None:
            return result.Ok(None)
        present = codec.from_json(stored.value, messages.SessionRow)
        if present.released or present.incarnation != self.row.incarnation:
            return result.Ok(None)
        row = dataclasses.replace(self.row, ended=True, released=True)
        return self._commit(row, stored.version).map(lambda _: None)

    def _resolve_conflict(
        self, conflict: errors.Conflict
    ) -> result.Result[None, errors.CommitError]:
        """Distinguish a lost answer to our own renewal from the loss of the session.

        A renewal whose answer was lost has changed the version, so that the next one
        conflicts with it. In that case the row still has our incarnation.
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
        lease_deadline = self.clock.wall() + self.lease_duration
        row = dataclasses.replace(self.row, lease_deadline=lease_deadline)
        committed = self._commit(row, version)
        if isinstance(committed, result.Err):
            return committed
        self.version = committed.ok_value
        if not self.closed:
            self.deadline = sent_at + self.lease_duration
        return result.Ok(None)

    def _commit(
        self, row: messages.SessionRow, version: int
    ) -> result.Result[int, errors.CommitError]:
        transaction = table.Transaction(
            checks=(table.Check(self.key, version),),
            writes=(table.Write(self.key, codec.to_json(row)),),
        )
        return self.rows.commit(transaction)
