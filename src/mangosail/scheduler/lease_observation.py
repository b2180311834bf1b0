"""What a standby observes of the leader's lease, and when it counts as lost.

Clocks of instances need not agree: a standby measures on its own for how long the row
of the lease has not changed::

    observed = observe(observed, lease, row.version, now)
    lost = now - observed.unchanged_since >= lease_timeout(
        lease, observed.just_taken_over(now)
    )
"""

import dataclasses

from mangosail.scheduler import journal

#: Seconds without a renewal after which a standby takes the lease: three renewal
#: intervals. Deposing a live holder costs a takeover of about 0.1 s, while a lost
#: holder costs this whole time.
LEASE_TIMEOUT_S = 0.9
#: The same in multiples of the holder's recent renewal interval, if that is longer: a
#: busy holder is alive, and its successor would be at least as busy.
MAX_MISSED_RENEWALS = 3.0
#: Seconds added after a takeover for each worker, divided by the cores of the holder:
#: it polls all workers at once then, which is the peak load of a leader. The second
#: constant is the number of seconds after the takeover for which they are added.
TAKEOVER_ALLOWANCE_S = 0.0028
TAKEOVER_PERIOD_S = 5.0
#: Upper bound of the lease time-out, whatever the holder reports. With it, leases of
#: workers outlast the time-out and a takeover.
MAX_LEASE_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedLease:
    """The lease row as last read, and since when it has been that way."""

    lease: journal.Lease | None
    lease_version: int
    #: Elapsed time at which this version of the row was first read.
    unchanged_since: float
    #: Elapsed time at which this holder was first seen.
    led_since: float
    #: Elapsed time at which it was seen to replace another holder; None if it was not.
    taken_over_at: float | None = None

    def just_taken_over(self, now: float) -> bool:
        """Return whether the holder has replaced another one a short while ago."""
        return (
            self.taken_over_at is not None
            and now < self.taken_over_at + TAKEOVER_PERIOD_S
        )


def observe(
    previous: ObservedLease | None,
    lease: journal.Lease | None,
    lease_version: int,
    now: float,
) -> ObservedLease:
    """Return the observation of a row that was just read, after the previous one."""
    if previous is None:
        return ObservedLease(lease, lease_version, now, now)
    same = previous.lease_version == lease_version
    unchanged_since = previous.unchanged_since if same else now
    led_since, taken_over_at = now, None
    if previous.lease is not None and lease is not None:
        if previous.lease.token == lease.token:
            led_since, taken_over_at = previous.led_since, previous.taken_over_at
        else:
            taken_over_at = now
    return ObservedLease(
        lease, lease_version, unchanged_since, led_since, taken_over_at
    )


def lease_timeout(lease: journal.Lease, after_takeover: bool) -> float:
    """Return the seconds without a renewal after which a holder counts as lost.

    Right after a takeover the time-out is longer. Otherwise leaders of large fleets
    were deposed for being slightly late, and so were their successors, while nobody
    polled the workers::

        >>> lease = journal.Lease("a", "", 7, cores=2.0, workers=800)
        >>> (
        ...     lease_timeout(lease, after_takeover=False),
        ...     lease_timeout(lease, after_takeover=True),
        ... )
        (0.9, 2.0)
    """
    timeout = max(LEASE_TIMEOUT_S, MAX_MISSED_RENEWALS * lease.interval)
    if after_takeover:
        timeout = max(timeout, LEASE_TIMEOUT_S + takeover_allowance(lease))
    return min(timeout, MAX_LEASE_TIMEOUT_S)


def takeover_allowance(lease: journal.Lease) -> float:
    """Return the seconds by which a new holder may be late right after its takeover."""
    return TAKEOVER_ALLOWANCE_S * lease.workers / lease.cores
