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
RESERVE_AFTER_S = 3.0
#: Seconds for which a worker is kept. A task that waits asks again four times a
#: second; a round that waits for silent peers takes a few seconds.
RESERVATION_TERM_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A worker that takes no other batch task until `task_id` has started."""

    worker: str
    task_id: str
    urgent: bool
    #: Monotonic time until which the worker is kept, unless it is asked for again.
    deadline: float


class Room:
    """Looks for room on own workers, and clears some for who may not wait.

    One worker at a time is kept for a big task, so that at most one of them
    runs empty towards it; an urgent task takes the place of a big one.
    """

    def __init__(
        self,
        owned: placed.Workers,
        task_placer: placer.Placer,
        runner: work.WorkRunner,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.owned = owned
        self.placer = task_placer
        self.runner = runner
        self.clock = clock
        self.counters = counters
        self.reservation: Reservation | None = None
        #: Tasks on their way here that no ledger has entered yet. Reading a row
        #: comes before the reservation; without this, all that waits would be
        #: sent to the one free place meanwhile.
        self.pending: dict[str, resources.Resources] = {}
        #: Task ids of urgent work on own workers; never cleared for others.
        self.urgent: set[str] = set()
        #: Task ids of batch tasks whose eviction is under way.
        self.evicting: set[str] = set()

    def worker_count(self) -> int:
        """Return how many workers there are to try."""
        return sum(owned.accepts() for owned in self.owned)

    def fits(self, request: work_messages.Request) -> bool:
        """Tell whether a batch task can be started here now."""
        if self.reservation and not self._still_valid(self.reservation, urgent=False):
            self.cancel_reservation()
        wanted = placing.placement_work(request)
        if self.placer.wait_reason(wanted) is not None:
            return False
        fitting = self.placer.candidates(wanted)
        if not fitting:
            # It can never run; its start is refused with the reason.
            return True
        self._drop_placed()
        free = {owned.name: owned.ledger.free() for owned in fitting}
        for needs in self.pending.values():
            name = max(free, key=lambda each: free[each].cpus)
            free[name] = free[name] - needs
        return any(request.needs.fits_in(left) for left in free.values())

    def add_pending(self, request: work_messages.Request, urgent: bool) -> None:
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
            self.cancel_reservation()

    def cancel_reservation(self) -> None:
        """Open the worker that is kept to all again."""
        kept, self.reservation = self.reservation, None
        owned = self.owned.get(kept.worker) if kept else None
        if owned is not None:
            owned.reserved_for = ""

    def make_room(
        self, request: work_messages.Request, urgent: bool, blocked_since: float
    ) -> bool:
        """Keep a worker for a task that found no room, if it is its turn.

        For an urgent task, what is lacking there is evicted; True tells that this
        is under way. Call again while the task finds no room: an eviction may fail,
        the tasks on a worker that was just taken are known only later, and a worker
        is not kept for a task that waits no longer.
        """
        now = self.clock.monotonic()
        if not urgent and now < blocked_since + RESERVE_AFTER_S:
            return False
        task_id = work_messages.task_id_of(request)
        kept = self.reservation
        if kept is not None and self._still_valid(kept, urgent):
            if kept.task_id != task_id:
                # Its turn comes in a moment, if the other one is about to start.
                return bool(self.evicting) or kept.task_id in self.pending
            if not urgent:
                self.reservation = dataclasses.replace(
                    kept, deadline=now + RESERVATION_TERM_S
                )
                return False
        needs = self._effective_needs(request)
        owned = self._best_worker(task_id, needs, urgent)
        if owned is None:
            self.cancel_reservation()
            return False
        self._reserve(
            owned, Reservation(owned.name, task_id, urgent, now + RESERVATION_TERM_S)
        )
        return urgent and self._evict_for(owned, needs)

    def _reserve(self, owned: placed.OwnedWorker, reservation: Reservation) -> None:
        kept = self.reservation
        if kept is None or (kept.worker, kept.task_id) != (
            owned.name,
            reservation.task_id,
        ):
            self.cancel_reservation()
            urgency = "urgent" if reservation.urgent else "big"
            self.counters.count(f"jobs.reserved.{urgency}")
            log.info(
                "worker kept", worker=owned.name, task=reservation.task_id, why=urgency
            )
        self.reservation = reservation
        owned.reserved_for = reservation.task_id

    def _effective_needs(self, request: work_messages.Request) -> resources.Resources:
        """Return what the task is given: its kind may take more than it declared."""
        wanted = placing.placement_work(request)
        return self.placer.sizes.needs(placer.size_key(wanted), wanted.needs)

    def _drop_placed(self) -> None:
        for owned in self.owned:
            for task_id in self.pending.keys() & owned.ledger.reserved.keys():
                del self.pending[task_id]

    def _still_valid(self, reservation: Reservation, urgent: bool) -> bool:
        if urgent and not reservation.urgent:
            return False
        if self.clock.monotonic() >= reservation.deadline or self._is_placed(
            reservation.task_id
        ):
            return False
        owned = self.owned.get(reservation.worker)
        if owned is None or not owned.accepts():
            return False
        return reservation.urgent or not owned.closed_to_batch

    def _is_placed(self, task_id: str) -> bool:
        """Tell whether a task has its place; while it runs, others have their turn."""
        return any(task_id in owned.ledger.reserved for owned in self.owned)

    def _best_worker(
        self, task_id: str, needs: resources.Resources, urgent: bool
    ) -> placed.OwnedWorker | None:
        """Return the worker that is closest to having room for `needs`.

        The one that is kept for the task comes before others as good: of those that
        can't be cleared, it is the one that runs empty.
        """
        able = [
            owned
            for owned in self.owned
            if owned.accepts()
            and needs.fits_in(owned.ledger.capacity)
            and (urgent or not owned.closed_to_batch)
        ]
        if not able:
            return None
        return min(able, key=lambda owned: self._eviction_cost(owned, task_id, needs))

    def _eviction_cost(
        self, owned: placed.OwnedWorker, task_id: str, needs: resources.Resources
    ) -> tuple[bool, bool, int, float]:
        victims, enough = self._victims(owned, needs)
        others = owned.reserved_for != task_id
        return (not enough, others, len(victims), -owned.free_cpus())

    def _victims(
        self, owned: placed.OwnedWorker, needs: resources.Resources
    ) -> tuple[list[str], bool]:
        """Return the fewest tasks in whose place `needs` would fit, and if it would.

        Room that evictions under way are about to make counts as made.
        """
        reserved = owned.ledger.reserved
        free = owned.ledger.free()
        lower: list[str] = []
        for request in work.batch_tasks_on(self.runner, owned.name):
            task_id = work_messages.task_id_of(request)
            if task_id not in reserved or task_id in self.urgent:
                continue
            if task_id in self.evicting:
                free = free + reserved[task_id]
            else:
                lower.append(task_id)
        victims: list[str] = []
        for task_id in sorted(lower, key=lambda each: -reserved[each].cpus):
            if needs.fits_in(free):
                break
            free = free + reserved[task_id]
            victims.append(task_id)
        return victims, needs.fits_in(free)

    def _evict_for(self, owned: placed.OwnedWorker, needs: resources.Resources) -> bool:
        """Evict what is in the way of `needs`, unless it would not be enough."""
        victims, enough = self._victims(owned, needs)
        if not enough:
            # The evicted would lose their places, and the task would wait as before.
            return False
        for task_id in victims:
            self.evicting.add(task_id)
            log.info("evicting", worker=owned.name, task=task_id, why="urgent")
            gevent.spawn(self._evict, task_id)
        return True

    def _evict(self, task_id: str) -> None:
        try:
            evicted = self.runner.evict(task_id, "urgent")
        finally:
            self.evicting.discard(task_id)
        if isinstance(evicted, result.Err):
            self.counters.count("jobs.evict_failed")
            log.info("not evicted", task=task_id, why=evicted.err_value.reason)
            return
        self.counters.count("jobs.evicted.urgent")
