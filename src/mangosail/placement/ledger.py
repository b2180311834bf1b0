"""Reservation ledger of one worker: its capacity and what is reserved on it.

A task is entered before it is started and removed only once it is certain to have
ended, so the sum never understates the load of the worker.

While the lease of the owner is valid, it may use the whole worker except what
previous owners may still use. After the lease has expired, it keeps half of the
capacity not taken by durable work, for idempotent quotes only; see
`kept_after_expiry`.
"""

import collections.abc as cabc

from mangosail import resources
from mangosail.dispatch import messages

ZERO_RESOURCES = resources.Resources()


def kept_after_expiry(
    budget: resources.Resources, durable: resources.Resources
) -> resources.Resources:
    """Return the resources that an owner may use after its lease has expired.

    Durable work only shrinks after the expiry, so computing this later from the
    list of tasks of the worker yields at least as much as the owner keeps::

        >>> kept_after_expiry(Resources(slots=8), Resources(slots=2)).slots
        3
    """
    return (budget - durable).largest(ZERO_RESOURCES).halved()


class Ledger:
    """Reservations against the capacity of one worker.

    `lease_holds` returns whether the lease of the owner is valid. Methods check it
    first, so that the kept resources are computed from the durable work at the time
    of expiry. An owner that resumes after a freeze must not use capacity released by
    durable work in the meantime, because the next owner may already be using it.
    """

    def __init__(
        self,
        capacity: resources.Resources,
        lease_holds: cabc.Callable[[], bool] = lambda: True,
    ) -> None:
        self.capacity = capacity
        self.lease_holds = lease_holds
        self.reserved: dict[str, resources.Resources] = {}
        self.used = ZERO_RESOURCES
        #: Idempotent tasks in `reserved`, and the sum of their needs.
        self.idempotent: set[str] = set()
        self.idempotent_used = ZERO_RESOURCES
        #: Tasks that were added from a report of the worker.
        self.reported: set[str] = set()
        #: What each previous owner may use, by generation, from the owner row.
        self.promised: dict[int, resources.Resources] = {}
        #: Resources used by quotes of previous owners, by generation, as reported.
        self.previous_used: dict[int, resources.Resources] = {}
        #: Resources kept since the lease expired, or None while it is valid.
        self.kept: resources.Resources | None = None
        #: True once ownership has ended: no more tasks are started.
        self.closed = False

    def reserve(
        self, task_id: str, needs: resources.Resources, durable: bool = True
    ) -> bool:
        """Reserve `needs` for `task_id` and return whether they fit."""
        free = self.free(durable)
        if self.closed or (durable and self.kept is not None):
            return False
        if task_id in self.reserved or not needs.fits_in(free):
            return False
        self.add(task_id, needs, durable)
        return True

    def add(
        self, task_id: str, needs: resources.Resources, durable: bool = True
    ) -> None:
        """Add a task that is already running, whether or not it fits."""
        self.release(task_id)
        self.reserved[task_id] = needs
        self.used = self.used + needs
        if not durable:
            self.idempotent.add(task_id)
            self.idempotent_used = self.idempotent_used + needs

    def release(self, task_id: str) -> None:
        """Remove `task_id` if it is present."""
        self._update_kept()
        needs = self.reserved.pop(task_id, None)
        if needs is None:
            return
        self.reported.discard(task_id)
        self.used = self.used - needs
        if task_id in self.idempotent:
            self.idempotent.remove(task_id)
            self.idempotent_used = self.idempotent_used - needs
        # Floating-point sums drift, so an empty ledger is reset to exactly zero.
        if not self.idempotent:
            self.idempotent_used = ZERO_RESOURCES
        if not self.reserved:
            self.used = ZERO_RESOURCES

    def free(self, durable: bool = True) -> resources.Resources:
        """Return the resources available to new durable or idempotent work."""
        self._update_kept()
        if self.closed:
            return ZERO_RESOURCES
        if self.kept is None:
            return self.budget() - self.used
        if durable:
            return ZERO_RESOURCES
        return self.kept - self.idempotent_used

    def budget(self) -> resources.Resources:
        """Return the capacity minus what previous owners may use."""
        return self.capacity - self.withheld()

    def withheld(self) -> resources.Resources:
        """Return the resources withheld for previous owners.

        A previous owner can use what it was promised, and may have more in flight if
        it held more when its lease expired. The excess of one owner cannot be covered
        by the promise to another, so the larger of both is taken for each owner
        rather than for the sums.
        """
        withheld = ZERO_RESOURCES
        for generation in self.promised.keys() | self.previous_used.keys():
            promised = self.promised.get(generation, ZERO_RESOURCES)
            used = self.previous_used.get(generation, ZERO_RESOURCES)
            withheld = withheld + promised.largest(used)
        return withheld

    def within_capacity(self) -> bool:
        """Return whether all reservations fit in the capacity."""
        return self.used.fits_in(self.capacity)

    def rebuild(self, running: cabc.Iterable[messages.Report], generation: int) -> None:
        """Replace all reservations by the tasks that the worker reports as running."""
        self._update_kept()
        for task_id in list(self.reserved):
            self.release(task_id)
        running = list(running)
        for report in running:
            if not report.idempotent:
                self.add(report.task_id, report.needs)
                self.reported.add(report.task_id)
        self.follow(running, generation)

    def follow(self, running: cabc.Iterable[messages.Report], generation: int) -> None:
        """Remove reported tasks that ended; update the usage of previous owners."""
        self._update_kept()
        running = list(running)
        for task_id in self.reported - {report.task_id for report in running}:
            self.release(task_id)
        used: dict[int, resources.Resources] = {}
        for report in running:
            owner = report.owner_generation
            if report.idempotent and owner < generation:
                used[owner] = used.get(owner, ZERO_RESOURCES) + report.needs
        self.previous_used = used

    def _update_kept(self) -> None:
        """Set `kept` once the lease has expired; clear it when it is valid again."""
        if self.lease_holds():
            self.kept = None
        elif self.kept is None:
            durable = self.used - self.idempotent_used
            self.kept = kept_after_expiry(self.budget(), durable)
