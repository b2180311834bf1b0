"""How long other instances' session rows have gone unchanged, by our own clock."""

import collections.abc as cabc
import dataclasses

from mangosail import clock as clocks
from mangosail import codec
from mangosail.ownership import messages
from mangosail.platform import table

#: Seconds past the term before a session is found lapsed: clocks' rates differ.
CLOCK_RATE_MARGIN_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedSession:
    """A session row, and the monotonic time past which it has lapsed."""

    row: messages.SessionRow
    version: int
    expires_at: float


class SessionObserver:
    """The sessions of a data centre as this instance has seen them."""

    def __init__(self, clock: clocks.Clock, lease_duration: float) -> None:
        self.clock = clock
        self.lease_duration = lease_duration
        self.by_instance: dict[str, ObservedSession] = {}
        #: True since a look failed, until the next one.
        self.missed_read = False

    def mark_unreadable(self) -> None:
        """Note that the rows could not be read.

        While the table is out no holder can renew either. Rows that have not
        changed meanwhile must be watched for a whole term again: else whoever
        looks first after an outage would end everybody's lease.
        """
        self.missed_read = True

    def update(self, rows: cabc.Iterable[table.Row]) -> None:
        """Take in what a scan of the sessions returned."""
        seen: dict[str, ObservedSession] = {}
        for row in rows:
            session = codec.from_json(row.value, messages.SessionRow)
            known = self.by_instance.get(session.instance)
            unchanged = known is not None and known.version == row.version
            if known is not None and unchanged and not self.missed_read:
                seen[session.instance] = known
                continue
            lapse = self.clock.monotonic() + self.lease_duration + CLOCK_RATE_MARGIN_S
            seen[session.instance] = ObservedSession(session, row.version, lapse)
        self.by_instance = seen
        self.missed_read = False

    def live(self) -> list[messages.SessionRow]:
        """Return the sessions that have not lapsed."""
        return [s.row for s in self.by_instance.values() if not self._has_expired(s)]

    def expired(self) -> list[ObservedSession]:
        """Return the sessions that have lapsed and are not marked ended."""
        return [
            s
            for s in self.by_instance.values()
            if self._has_expired(s) and not s.row.ended
        ]

    def may_hold_leases(self, instance: str, incarnation: str) -> bool:
        """Tell whether this run of `instance` may still hold leases."""
        sighting = self.by_instance.get(instance)
        if sighting is None or sighting.row.incarnation != incarnation:
            return False
        return not sighting.row.ended

    def has_stopped(self, instance: str, incarnation: str) -> bool:
        """Tell whether this run of `instance` has stopped for certain.

        It released all it held, or a later run of the name is registered,
        which happens only once the earlier one is dead or has given all up.
        """
        sighting = self.by_instance.get(instance)
        if sighting is None:
            return False
        return sighting.row.incarnation != incarnation or sighting.row.released

    def active_incarnations(self) -> set[str]:
        """Return the runs of instances that may still hold leases."""
        rows = [sighting.row for sighting in self.by_instance.values()]
        return {row.incarnation for row in rows if not row.ended}

    def _has_expired(self, sighting: ObservedSession) -> bool:
        return sighting.row.ended or self.clock.monotonic() >= sighting.expires_at
