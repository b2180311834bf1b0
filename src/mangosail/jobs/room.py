"""Room for batch tasks on own workers: found, kept for a big task, or made."""

import dataclasses

import gevent
import logbook
import result

from mangosail import clock as clocks
from mangosail import resources
from mangosail.jobs import work
from mangosail.placement import placer
from mangosail.placement import workers as placed
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages
from mangosail.work import placing

log = logbook.Logger("jobs")

#: Seconds for which smaller tasks may pass one that finds no room.
RESERVE_AFTER = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A worker that takes no other batch task until `task_id` has started."""

    worker: str
    task_id: str
    urgent: bool


class Room:
    """Looks for room on own workers, and clears some for who may not wait.

    One worker at a time is kept for a big task, so that at most one of them
    runs empty towards it; an urgent task takes the place of a big one.
    """

    def __init__(
        self,
        owned: placed.Workers,
        place: placer.Placer,
        run: work.Work,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.owned = owned
        self.placer = place
        self.run = run
        self.clock = clock
        self.counters = counters
        self.reservation: Reservation | None = None
        #: Tasks on their way here that no ledger has entered yet. Reading a row
        #: comes before the reservation; without this, all that waits would be
        #: sent to the one free place meanwhile.
        self.pending: dict[str, resources.Resources] = {}
        #: Task ids of urgent work on own workers; never cleared for others.
        self.urgent: set[str] = set()

    def workers(self) -> int:
        """Return how many workers there are to try."""
        return sum(owned.accepts() for owned in self.owned)

    def fits(self, request: work_messages.Request) -> bool:
        """Tell whether a batch task can be started here now."""
        if self.reservation and not self._stands(self.reservation, urgent=False):
            self.release()
        wanted = placing.work_of(request)
        if self.placer.obstacle(wanted) is not None:
            return False
        fitting = self.placer.candidates(wanted)
        if not fitting:
            # It can never run; its start is refused with the reason.
            return True
        self._drop_entered()
        free = {owned.name: owned.ledger.free() for owned in fitting}
        for needs in self.pending.values():
            name = max(free, key=lambda each: free[each].cpus)
            free[name] = free[name] - needs
        return any(request.needs.fits_in(left) for left in free.values())

    def started(self, request: work_messages.Request, urgent: bool) -> None:
        """Note that a task is on its way to a worker."""
        task_id = work_messages.task_id_of(request)
        self.pending[task_id] = request.needs
        if urgent:
            self.urgent.add(task_id)

    def forget(self, request: work_messages.Request) -> None:
        """Keep nothing for a task any more: it has ended, or runs elsewhere."""
        task_id = work_messages.task_id_of(request)
        self.urgent.discard(task_id)
        self.pending.pop(task_id, None)
        if self.reservation and self.reservation.task_id == task_id:
            self.release()

    def release(self) -> None:
        """Open the worker that is kept to all again."""
        kept, self.reservation = self.reservation, None
        owned = self.owned.get(kept.worker) if kept else None
        if owned is not None:
            owned.reserved_for = ""

    def make(
        self, request: work_messages.Request, urgent: bool, blocked_since: float
    ) -> None:
        """Keep a worker for a task that found no room, if it is its turn."""
        if not urgent and self.clock.monotonic() < blocked_since + RESERVE_AFTER:
            return
        kept = self.reservation
        if kept is not None and self._stands(kept, urgent):
            return
        self.release()
        owned = self._best(request.needs, urgent)
        if owned is None:
            return
        task_id = work_messages.task_id_of(request)
        self.reservation = Reservation(owned.name, task_id, urgent)
        owned.reserved_for = task_id
        self.counters.count("jobs.reserved.urgent" if urgent else "jobs.reserved.big")
        if urgent:
            self._clear(owned, request.needs)

    def _drop_entered(self) -> None:
        for owned in self.owned:
            for task_id in self.pending.keys() & owned.ledger.reserved.keys():
                del self.pending[task_id]

    def _stands(self, kept: Reservation, urgent: bool) -> bool:
        if urgent and not kept.urgent:
            return False
        owned = self.owned.get(kept.worker)
        if owned is None or not owned.accepts():
            return False
        return kept.urgent or not owned.closed_to_batch

    def _best(
        self, needs: resources.Resources, urgent: bool
    ) -> placed.OwnedWorker | None:
        """Return the worker that is closest to having room for `needs`."""
        able = [
            owned
            for owned in self.owned
            if owned.accepts()
            and needs.fits_in(owned.ledger.capacity)
            and (urgent or not owned.closed_to_batch)
        ]
        if not able:
            return None
        return min(able, key=lambda o: (len(self._victims(o, needs)), -o.free_cpus()))

    def _victims(
        self, owned: placed.OwnedWorker, needs: resources.Resources
    ) -> list[work_messages.Request]:
        """Return the fewest tasks in whose place `needs` would fit."""
        free = owned.ledger.free()
        victims: list[work_messages.Request] = []
        lower = [
            request
            for request in work.batch_on(self.run, owned.name)
            if work_messages.task_id_of(request) not in self.urgent
        ]
        for request in sorted(lower, key=lambda each: -each.needs.cpus):
            if needs.fits_in(free):
                break
            free = free + request.needs
            victims.append(request)
        return victims

    def _clear(self, owned: placed.OwnedWorker, needs: resources.Resources) -> None:
        for request in self._victims(owned, needs):
            gevent.spawn(self._evict, work_messages.task_id_of(request))

    def _evict(self, task_id: str) -> None:
        evicted = self.run.evict(task_id, "urgent")
        if isinstance(evicted, result.Err):
            self.counters.count("jobs.evict_failed")
            return
        self.counters.count("jobs.evicted.urgent")
