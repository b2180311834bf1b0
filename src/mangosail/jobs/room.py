"""Capacity for batch tasks on own workers: free, reserved, or made by eviction."""

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

#: Time for which smaller tasks may overtake one that does not fit.
RESERVE_AFTER_S = 3.0
#: Time after which a reservation ends unless it is renewed. A waiting task renews it
#: four times a second; a placement round that waits for silent peers takes a few
#: seconds.
RESERVATION_TERM_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A worker that accepts no other batch task until `task_id` has started."""

    worker: str
    task_id: str
    urgent: bool
    #: Monotonic time at which the reservation ends unless it is renewed.
    deadline: float


class Room:
    """Finds capacity on own workers, reserves it, and evicts for urgent tasks.

    One worker at a time is reserved, so that at most one drains for a big task;
    an urgent task replaces the reservation of one that is not urgent.
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
        #: Needs of tasks sent to the runner that no ledger contains yet. The runner
        #: reads a row before it reserves capacity; without this, all waiting tasks
        #: would be sent to the one free place in the meantime.
        self.pending: dict[str, resources.Resources] = {}
        #: Task ids of urgent work on own workers; never evicted for other tasks.
        self.urgent: set[str] = set()
        #: Task ids of batch tasks whose eviction is in progress.
        self.evicting: set[str] = set()

    def listed_workers(self, needs: resources.Resources) -> int:
        """Return the number of listed workers, of all instances, that `needs` fit in.

        It is 0 while the platform's list is unknown.
        """
        return self.placer.sizes.count_fitting(needs)

    def fits_listed_worker(self, needs: resources.Resources) -> bool:
        """Return whether `needs` fit in a listed worker of any instance, as if empty.

        True while the platform's list is unknown.
        """
        return self.placer.sizes.fits_any(needs)

    def fits(self, request: work_messages.Request) -> bool:
        """Return whether a batch task can be started on an own worker now."""
        if self.reservation and not self._still_valid(self.reservation, urgent=False):
            self.cancel_reservation()
        work_request = placing.placement_work(request)
        if self.placer.wait_reason(work_request) is not None:
            return False
        fitting = self.placer.candidates(work_request)
        if not fitting:
            # It can never run here; submitting it returns the reason.
            return True
        self._drop_placed()
        free = {owned.name: owned.ledger.free() for owned in fitting}
        for needs in self.pending.values():
            name = max(free, key=lambda each: free[each].cpus)
            free[name] = free[name] - needs
        return any(request.needs.fits_in(left) for left in free.values())

    def add_pending(self, request: work_messages.Request, urgent: bool) -> None:
        """Record that a task has been sent to the runner."""
        task_id = work_messages.task_id_of(request)
        self.pending[task_id] = request.needs
        if urgent:
            self.urgent.add(task_id)

    def forget(self, request: work_messages.Request) -> None:
        """Drop all state of a task that has ended or runs on another instance."""
        task_id = work_messages.task_id_of(request)
        self.urgent.discard(task_id)
        self.pending.pop(task_id, None)
        if self.reservation and self.reservation.task_id == task_id:
            self.cancel_reservation()

    def cancel_reservation(self) -> None:
        """Open the reserved worker to all tasks again."""
        reservation, self.reservation = self.reservation, None
        owned = self.owned.get(reservation.worker) if reservation else None
        if owned is not None:
            owned.reserved_for = ""

    def make_room(
        self, request: work_messages.Request, urgent: bool, blocked_since: float
    ) -> bool:
        """Reserve a worker for a task that does not fit, and evict for an urgent one.

        Returns whether room is being made by eviction. The call is repeated for as
        long as the task does not fit: an eviction may fail, the tasks on a worker
        taken over a moment ago become known later, and a reservation that is not
        renewed ends.
        """
        now = self.clock.monotonic()
        if not urgent and now < blocked_since + RESERVE_AFTER_S:
            return False
        task_id = work_messages.task_id_of(request)
        current = self.reservation
        if current is not None and self._still_valid(current, urgent):
            if current.task_id != task_id:
                # The worker is reserved for another task, which may be about to start.
                return bool(self.evicting) or current.task_id in self.pending
            if not urgent:
                self.reservation = dataclasses.replace(
                    current, deadline=now + RESERVATION_TERM_S
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
        current = self.reservation
        if current is None or (current.worker, current.task_id) != (
            owned.name,
            reservation.task_id,
        ):
            self.cancel_reservation()
            urgency = "urgent" if reservation.urgent else "big"
            self.counters.count(f"jobs.reserved.{urgency}")
            log.info(
                "worker reserved",
                worker=owned.name,
                task=reservation.task_id,
                why=urgency,
            )
        self.reservation = reservation
        owned.reserved_for = reservation.task_id

    def _effective_needs(self, request: work_messages.Request) -> resources.Resources:
        """Return the needs that placement uses; learned may exceed declared ones."""
        work_request = placing.placement_work(request)
        return self.placer.sizes.needs(
            placer.size_key(work_request), work_request.needs
        )

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
        """Return whether a ledger contains the task, so its reservation is over."""
        return any(task_id in owned.ledger.reserved for owned in self.owned)

    def _best_worker(
        self, task_id: str, needs: resources.Resources, urgent: bool
    ) -> placed.OwnedWorker | None:
        """Return the worker on which room for `needs` costs the fewest evictions.

        The worker that is reserved for the task wins ties: where evictions would not
        make enough room, it is the one that is already draining.
        """
        eligible = [
            owned
            for owned in self.owned
            if owned.accepts()
            and needs.fits_in(owned.ledger.capacity)
            and (urgent or not owned.closed_to_batch)
        ]
        if not eligible:
            return None
        return min(
            eligible, key=lambda owned: self._eviction_cost(owned, task_id, needs)
        )

    def _eviction_cost(
        self, owned: placed.OwnedWorker, task_id: str, needs: resources.Resources
    ) -> tuple[bool, bool, int, float]:
        victims, enough = self._victims(owned, needs)
        reserved_for_other = owned.reserved_for != task_id
        return (not enough, reserved_for_other, len(victims), -owned.free_cpus())

    def _victims(
        self, owned: placed.OwnedWorker, needs: resources.Resources
    ) -> tuple[list[str], bool]:
        """Return the fewest tasks to evict for `needs`, and whether that is enough.

        Capacity that evictions in progress will free counts as free.
        """
        reserved = owned.ledger.reserved
        free = owned.ledger.free()
        evictable: list[str] = []
        for request in work.batch_tasks_on(self.runner, owned.name):
            task_id = work_messages.task_id_of(request)
            if task_id not in reserved or task_id in self.urgent:
                continue
            if task_id in self.evicting:
                free = free + reserved[task_id]
            else:
                evictable.append(task_id)
        victims: list[str] = []
        for task_id in sorted(evictable, key=lambda each: -reserved[each].cpus):
            if needs.fits_in(free):
                break
            free = free + reserved[task_id]
            victims.append(task_id)
        return victims, needs.fits_in(free)

    def _evict_for(self, owned: placed.OwnedWorker, needs: resources.Resources) -> bool:
        """Evict tasks to make room for `needs`, unless that would not be enough."""
        victims, enough = self._victims(owned, needs)
        if not enough:
            # Tasks would be evicted, and this one would still have to wait.
            return False
        for task_id in victims:
            self.evicting.add(task_id)
            log.info("evicting task", worker=owned.name, task=task_id, why="urgent")
            gevent.spawn(self._evict, task_id)
        return True

    def _evict(self, task_id: str) -> None:
        try:
            evicted = self.runner.evict(task_id, "urgent")
        finally:
            self.evicting.discard(task_id)
        if isinstance(evicted, result.Err):
            self.counters.count("jobs.evict_failed")
            log.info("eviction failed", task=task_id, why=evicted.err_value.reason)
            return
        self.counters.count("jobs.evicted.urgent")
