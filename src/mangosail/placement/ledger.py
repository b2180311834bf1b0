"""The ledger of one worker: what it can carry and what is reserved on it.

Everything that may run on the worker is entered before it is started and
removed only when it certainly has ended, so the sum never understates the
worker's load.

While the owner's lease holds, it may use all of the worker but what earlier
owners may still use. Once the lease has lapsed it keeps half of what durable
work did not take, for idempotent quotes only; see `kept_after_expiry`.
"""

import collections.abc as cabc

from mangosail import resources
from mangosail.dispatch import messages

ZERO_RESOURCES = resources.Resources()


def kept_after_expiry(
    budget: resources.Resources, durable: resources.Resources
) -> resources.Resources:
    """Return what an owner may go on using once its lease has lapsed.

    Durable work only shrinks after the lapse, so whoever computes this later
    from the worker's own list gets at least as much as the owner keeps::

        >>> kept_after_expiry(Resources(slots=8), Resources(slots=2)).slots
        3
    """
    return (budget - durable).largest(ZERO_RESOURCES).halved()


class Ledger:
    """Reservations against one worker's capacity.

    `lease_holds` tells whether the owner's lease holds now. Each method asks it
    first, so what is kept is fixed from the durable work as it was at the
    lapse: an owner that wakes from a freeze must not count on room that durable
    work left meanwhile, because the next owner has counted on it as well.
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
        #: Tasks in `reserved` that are idempotent, and their sum.
        self.idempotent: set[str] = set()
        self.idempotent_used = ZERO_RESOURCES
        #: Tasks that were entered from the worker's own list.
        self.reported: set[str] = set()
        #: What each earlier owner may use, by generation, as the owner row says.
        self.promised: dict[int, resources.Resources] = {}
        #: What the worker says that earlier owners' quotes use, by generation.
        self.previous_used: dict[int, resources.Resources] = {}
        #: What is kept since the lapse, or None while the lease holds.
        self.kept: resources.Resources | None = None
        #: True once ownership ended: nothing is started any more.
        self.closed = False

    def reserve(
        self, task_id: str, needs: resources.Resources, durable: bool = True
    ) -> bool:
        """Enter `task_id` if it fits, and tell whether it did."""
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
        """Enter a task that runs already, whether it fits or not."""
        self.release(task_id)
        self.reserved[task_id] = needs
        self.used = self.used + needs
        if not durable:
            self.idempotent.add(task_id)
            self.idempotent_used = self.idempotent_used + needs

    def release(self, task_id: str) -> None:
        """Remove `task_id`; nothing happens if it is not there."""
        self._update_kept()
        needs = self.reserved.pop(task_id, None)
        if needs is None:
            return
        self.reported.discard(task_id)
        self.used = self.used - needs
        if task_id in self.idempotent:
            self.idempotent.remove(task_id)
            self.idempotent_used = self.idempotent_used - needs
        # Sums of fractions drift; an empty ledger is exactly zero again.
        if not self.idempotent:
            self.idempotent_used = ZERO_RESOURCES
        if not self.reserved:
            self.used = ZERO_RESOURCES

    def free(self, durable: bool = True) -> resources.Resources:
        """Return what may be started now, of durable or idempotent work."""
        self._update_kept()
        if self.closed:
            return ZERO_RESOURCES
        if self.kept is None:
            return self.budget() - self.used
        if durable:
            return ZERO_RESOURCES
        return self.kept - self.idempotent_used

    def budget(self) -> resources.Resources:
        """Return the capacity without what earlier owners may use."""
        return self.capacity - self.withheld()

    def withheld(self) -> resources.Resources:
        """Return what is kept back for earlier owners.

        Each can use what it was promised, and has more in flight if it lapsed
        with more; one's excess does not fit into another's promise, so the
        larger of the two is taken for each, not for their sums.
        """
        withheld = ZERO_RESOURCES
        for generation in self.promised.keys() | self.previous_used.keys():
            promised = self.promised.get(generation, ZERO_RESOURCES)
            used = self.previous_used.get(generation, ZERO_RESOURCES)
            withheld = withheld + promised.largest(used)
        return withheld

    def within_capacity(self) -> bool:
        """Tell whether all that is reserved fits in the capacity."""
        return self.used.fits_in(self.capacity)

    def rebuild(self, running: cabc.Iterable[messages.Report], generation: int) -> None:
        """Replace all reservations by what the worker itself says it runs."""
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
        """Remove listed tasks that ended; see what earlier owners' quotes use."""
        self._update_kept()
        running = list(running)
        for task_id in self.reported - {report.task_id for report in running}:
            self.release(task_id)
        used: dict[int, resources.Resources] = {}
        for report in running:
            earlier = report.owner_generation
            if report.idempotent and earlier < generation:
                used[earlier] = used.get(earlier, ZERO_RESOURCES) + report.needs
        self.previous_used = used

    def _update_kept(self) -> None:
        """Fix what is kept when the lease lapsed; be whole when it holds again."""
        if self.lease_holds():
            self.kept = None
        elif self.kept is None:
            durable = self.used - self.idempotent_used
            self.kept = kept_after_expiry(self.budget(), durable)
