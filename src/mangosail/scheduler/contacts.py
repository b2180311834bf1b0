"""What a leader knows of a worker that is lost or no longer listed, for the log."""

import dataclasses
import enum
import typing as t

from mangosail.scheduler import fleet


class Proof(enum.StrEnum):
    """What shows that the runs on a lost worker have ended."""

    #: Another incarnation has answered at its address.
    ANOTHER_INCARNATION = "another_incarnation"
    #: The lease is over, so its runs were killed; the worker itself may still be up.
    LEASE_OVER = "lease_over"


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """The last contact with a worker, as fields of a log line."""

    #: Seconds since this leader's last contact with it; None if there was none.
    silent: float | None
    #: Seconds until runs there have been killed for want of a lease, as far as this
    #: leader knows; negative afterwards.
    lease_left: float
    #: Start of its incarnation as the worker reports it; None if it does not.
    incarnation: int | None
    listed: bool


def proof(replaced: bool) -> Proof:
    """Return what shows that the runs on a lost worker have ended."""
    return Proof.ANOTHER_INCARNATION if replaced else Proof.LEASE_OVER


def fields(worker: fleet.Worker, now: float) -> dict[str, t.Any]:
    """Return the last contact with a worker as fields of a log line."""
    silent = round(now - worker.last_contact_at, 3) if worker.contacted else None
    return dataclasses.asdict(
        Contact(
            silent,
            round(lease_left(worker, now), 3),
            worker.incarnation,
            not worker.unlisted,
        )
    )


def lease_left(worker: fleet.Worker, now: float) -> float:
    """Return the seconds until the runs on a worker have ended with its lease."""
    if not worker.contacted:
        return worker.inherited_runs_until - now
    deadline = worker.lease_deadline + fleet.KILL_MARGIN_MS
    return (deadline - worker.clock_at(now)) / 1000
