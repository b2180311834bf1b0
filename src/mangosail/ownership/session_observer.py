"""Detects expired sessions by how long their rows have not changed on our own clock."""

import collections.abc as cabc
import dataclasses

from mangosail import clock as clocks
from mangosail import codec
from mangosail.ownership import messages
from mangosail.platform import table

#: Seconds after the lease duration before a session is considered expired, because
#: clocks run at different rates.
CLOCK_RATE_MARGIN_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedSession:
    """A session row, and the monotonic time from which it is considered expired."""

    row: messages.SessionRow
    version: int
    expires_at: float


class SessionObserver:
    """The sessions of a data centre as observed by this instance."""

    def __init__(self, clock: clocks.Clock, lease_duration: float) -> None:
        self.clock = clock
        self.lease_duration = lease_duration
        self.by_instance: dict[str, ObservedSession] = {}
        #: True from a failed read until the next successful one.
        self.missed_read = False

    def mark_unreadable(self) -> None:
        """Record that the rows could not be read.

        During an outage of the table no holder can renew its lease either. Rows that
        have not changed meanwhile must be observed for a full lease duration again:
        otherwise the first instance to read after the outage would end every session.
        """
        self.missed_read = True

    def update(self, rows: cabc.Iterable[table.Row]) -> None:
        """Process the result of a scan of the session rows."""
        observed: dict[str, ObservedSession] = {}
        for row in rows:
            session = codec.from_json(row.value, messages.SessionRow)
            known = self.by_instance.get(session.instance)
            unchanged = known is not None and known.version == row.version
            if known is not None and unchanged and not self.missed_read:
                observed[session.instance] = known
                continue
            expires_at = (
                self.clock.monotonic() + self.lease_duration + CLOCK_RATE_MARGIN_S
            )
            observed[session.instance] = ObservedSession(
                session, row.version, expires_at
            )
        self.by_instance = observed
        self.missed_read = False

    def live(self) -> list[messages.SessionRow]:
        """Return the sessions that have not expired."""
        return [s.row for s in self.by_instance.values() if not self._has_expired(s)]

    def expired(self) -> list[ObservedSession]:
        """Return the sessions that have expired but are not marked as ended."""
        return [
            s
            for s in self.by_instance.values()
            if self._has_expired(s) and not s.row.ended
        ]

    def may_hold_leases(self, instance: str, incarnation: str) -> bool:
        """Return whether this run of `instance` may still hold leases."""
        observed = self.by_instance.get(instance)
        if observed is None or observed.row.incarnation != incarnation:
            return False
        return not observed.row.ended

    def has_stopped(self, instance: str, incarnation: str) -> bool:
        """Return whether this run of `instance` is certain to have stopped.

        Either it has released everything, or a later run is registered, which happens
        only once the earlier one is dead or has given up everything.
        """
        observed = self.by_instance.get(instance)
        if observed is None:
            return False
        return observed.row.incarnation != incarnation or observed.row.released

    def active_incarnations(self) -> set[str]:
        """Return the incarnations of runs that may still hold leases."""
        rows = [observed.row for observed in self.by_instance.values()]
        return {row.incarnation for row in rows if not row.ended}

    def _has_expired(self, observed: ObservedSession) -> bool:
        return observed.row.ended or self.clock.monotonic() >= observed.expires_at
