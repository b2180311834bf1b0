"""Workers listed by the platform, and which of them may get tasks.

A worker whose entry was removed or became invalid gets no new tasks. What runs there
continues, and is polled, until the worker itself is gone: the entry may have been
overwritten by someone else while the worker is healthy. Once it has a valid entry
again, the worker is used again.

If there are more workers than the leader can poll, those beyond the limit are kept here
until there is capacity for them.
"""

import collections.abc as cabc
import typing as t

import logbook
import result

from mangosail import clock as clocks
from mangosail.scheduler import (
    contacts,
    errors,
    fleet,
    messages,
    ports,
    worker_limit,
    yielding,
)
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("listing")

#: Decodes the entry of a worker from its name and text.
Decode = cabc.Callable[[str, str], result.Result[messages.WorkerEntry, errors.BadEntry]]


class WorkerManager(t.Protocol):
    """Is notified of workers that appear, change and leave."""

    def add(self, entry: messages.WorkerEntry) -> fleet.Worker:
        """Start tracking a worker."""

    def start_polling(self, worker: fleet.Worker) -> None:
        """Start polling a worker whose address has become known."""

    def check_same_address(self, entry: messages.WorkerEntry) -> None:
        """Find out which of several workers with one address is alive."""

    def check_incarnation(
        self, worker: fleet.Worker, entry: messages.WorkerEntry
    ) -> None:
        """Find out which incarnation of a worker answers at the address of an entry."""

    def stop_polling(self, worker: fleet.Worker) -> None:
        """Stop polling a healthy worker that runs nothing."""

    def evacuate(self, worker: fleet.Worker) -> None:
        """Move tasks that would be cut off when a draining worker leaves."""


class Listing:
    """Processes the rows under `prefix`, in which workers describe themselves."""

    def __init__(
        self,
        prefix: str,
        decode: Decode,
        workers: fleet.Fleet,
        manager: WorkerManager,
        catalog: cabc.Callable[[], messages.Catalog | None],
        clock: clocks.Clock,
        counters: telemetry.Counters,
        max_workers: int,
    ) -> None:
        self.prefix = prefix
        #: Maximum number of polled workers; those that run something are polled
        #: regardless.
        self.max_workers = max_workers
        #: Entries of the workers beyond this limit.
        self.unpolled: dict[str, messages.WorkerEntry] = {}
        #: True once it is known where tasks run, so that idle workers may be left out.
        self.limit_enforced = False
        self.decode = decode
        self.workers = workers
        self.manager = manager
        self.catalog = catalog
        self.clock = clock
        self.counters = counters
        #: Entries of pools that the configuration does not name, or not yet.
        self.unknown_pool: dict[str, messages.WorkerEntry] = {}
        #: Version of the configuration against which these were last checked.
        self.checked_version = 0
        #: Fault of each invalid entry, so that only a change is logged.
        self.entry_faults: dict[str, errors.Fault] = {}

    def apply_changes(self, changes: ports.Changes, whole: bool) -> None:
        """Process changed rows, or all of them if `whole`."""
        accepted = set()
        yielder = yielding.CooperativeYielder(self.clock)
        for row in changes.rows:
            yielder.yield_if_due()
            name = row.key.removeprefix(self.prefix)
            decoded = self.decode(name, row.value)
            if isinstance(decoded, result.Err):
                self._reject_entry(name, decoded.err_value.fault)
            elif self._accept_entry(decoded.ok_value):
                accepted.add(name)
        for key in changes.removed:
            self._remove(key.removeprefix(self.prefix))
        if whole:
            names = [*self.unpolled, *(worker.name for worker in self.workers)]
            for name in names:
                if name not in accepted:
                    self._remove(name)

    def enforce_limit(self) -> None:
        """Poll no more than `max_workers` workers from now on.

        A worker on which something may run is polled regardless of the limit; otherwise
        its lease would expire, and the ends of its runs would never be seen.
        """
        self.limit_enforced = True
        self.rebalance()

    def rebalance(self) -> None:
        """Start or stop polling workers, as the limit requires."""
        room = self.max_workers - len(self.workers)
        if not self.limit_enforced or not room or (room > 0 and not self.unpolled):
            return
        if room > 0:
            self._poll_more(room)
        elif not self._stop_polling_idle(-room):
            return
        log.info(
            "poll limit applied", most=self.max_workers, attended=len(self.workers),
            beyond=len(self.unpolled),
        )  # fmt: skip

    def _poll_more(self, count: int) -> None:
        polled = [worker.entry for worker in self.workers]
        for entry in worker_limit.select(self.unpolled.values(), count, polled):
            self._apply_entry(entry)

    def _stop_polling_idle(self, count: int) -> int:
        """Stop polling up to `count` idle workers; return how many were stopped."""
        idle = {w.name: w for w in self.workers if not w.busy and not w.unlisted}
        busy = [w.entry for w in self.workers if w.name not in idle]
        entries = [worker.entry for worker in idle.values()]
        kept = worker_limit.select(entries, len(entries) - count, busy)
        for entry in kept:
            del idle[entry.name]
        for worker in idle.values():
            self.unpolled[worker.name] = worker.entry
            self.manager.stop_polling(worker)
        return len(idle)

    def recheck_pools(self) -> None:
        """Use workers whose pool a newer configuration names."""
        catalog = self.catalog()
        version = catalog.version if catalog else 0
        if version == self.checked_version:
            return
        self.checked_version = version
        entries, self.unknown_pool = self.unknown_pool, {}
        for entry in entries.values():
            self._accept_entry(entry)

    def _accept_entry(self, entry: messages.WorkerEntry) -> bool:
        """Use the worker of an entry if its pool is known, and return whether it is."""
        catalog = self.catalog()
        pools = {service.name for service in catalog.services} if catalog else set()
        if entry.service not in pools:
            self.unknown_pool[entry.name] = entry
            self._reject_entry(entry.name, errors.Fault.SERVICE)
            return False
        self.unknown_pool.pop(entry.name, None)
        if self.entry_faults.pop(entry.name, None) is not None:
            log.info("worker entry valid again", worker=entry.name)
        self._apply_entry(entry)
        return True

    def _reject_entry(self, name: str, fault: errors.Fault) -> None:
        """Record that an entry describes no usable worker."""
        self.counters.count(f"listing.bad_entry.{fault.value}")
        if fault is not errors.Fault.SERVICE:
            self.unknown_pool.pop(name, None)
        if self.entry_faults.get(name) is not fault:
            self.entry_faults[name] = fault
            log.warning("invalid worker entry", worker=name, reason=fault.value)
        self._unlist(name, "bad_entry")

    def _remove(self, name: str) -> None:
        self.unknown_pool.pop(name, None)
        self.entry_faults.pop(name, None)
        self._unlist(name, "removed")

    def _unlist(self, name: str, reason: str) -> None:
        self.unpolled.pop(name, None)
        worker = self.workers.get(name)
        if worker is not None and not worker.unlisted:
            worker.unlisted = True
            log.info(
                "worker unlisted", worker=name, reason=reason, tasks=len(worker.tasks),
                **contacts.fields(worker, self.clock.elapsed()),
            )  # fmt: skip

    def _apply_entry(self, entry: messages.WorkerEntry) -> None:
        worker = self.workers.get(entry.name)
        if worker is None:
            if self.limit_enforced and len(self.workers) >= self.max_workers:
                self.unpolled[entry.name] = entry
                self.counters.count("listing.beyond_reach")
                return
            self.unpolled.pop(entry.name, None)
            self.manager.check_same_address(entry)
            self.manager.start_polling(self.manager.add(entry))
            return
        if entry.draining and not worker.entry.draining:
            log.info("worker drains", worker=entry.name, remaining=entry.remaining)
        if entry.incarnation in worker.earlier_incarnations:
            self.counters.count("listing.earlier_life")
            return
        if worker.contacted and not fleet.same_incarnation(
            entry.incarnation, worker.incarnation
        ):
            # Only the worker itself can tell which incarnation is the later one.
            worker.conflicting_entry = entry
            worker.unlisted = False
            self.manager.check_incarnation(worker, entry)
            return
        address_was_unknown = not worker.entry.address
        if entry.capacity != worker.entry.capacity:
            log.info(
                "worker capacity changed", worker=entry.name, cpus=entry.capacity.cpus,
                before=worker.entry.capacity.cpus, free=round(worker.free.cpus, 1),
            )  # fmt: skip
        worker.update_entry(entry)
        if not worker.contacted or worker.incarnation is None:
            worker.incarnation = entry.incarnation
        worker.unlisted = False
        if address_was_unknown:
            self.manager.start_polling(worker)
        if entry.draining:
            self.manager.evacuate(worker)
