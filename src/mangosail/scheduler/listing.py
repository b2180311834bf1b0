"""Which workers the platform lists, and which of them may get tasks.

A worker whose entry is gone, or is no longer one, gets nothing new. What runs there
goes on, and is looked at, until the worker itself is gone: the entry may have been
overwritten by somebody else while the worker is well. Once a good entry stands there
again the worker is used again.

Of more workers than the leader can attend to, those beyond its reach wait here until
there is room for them.
"""

import collections.abc as cabc
import typing as t

import logbook
import result

from mangosail import clock as clocks
from mangosail.scheduler import errors, fleet, messages, ports, worker_limit, yielding
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("listing")

#: Returns the worker that an entry describes, by its name and text.
Decode = cabc.Callable[[str, str], result.Result[messages.WorkerEntry, errors.BadEntry]]


class WorkerManager(t.Protocol):
    """Told of workers that come, change and leave."""

    def add(self, entry: messages.WorkerEntry) -> fleet.Worker:
        """Begin to know a worker."""

    def start_polling(self, worker: fleet.Worker) -> None:
        """Begin to look at a worker whose address is known now."""

    def check_same_address(self, entry: messages.WorkerEntry) -> None:
        """Find out which of several workers with one address lives."""

    def check_incarnation(
        self, worker: fleet.Worker, entry: messages.WorkerEntry
    ) -> None:
        """Find out which life of a worker answers where an entry says."""

    def stop_polling(self, worker: fleet.Worker) -> None:
        """Attend no longer to a worker that is well and runs nothing."""

    def evacuate(self, worker: fleet.Worker) -> None:
        """Move what would be cut off when a draining worker leaves."""


class Listing:
    """Takes in the rows under `prefix`, in which workers describe themselves."""

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
        #: Workers that the leader attends to at most, but for those that run something.
        self.max_workers = max_workers
        #: Entries of the workers beyond these.
        self.unpolled: dict[str, messages.WorkerEntry] = {}
        #: True once it is known where something runs, so that some may be left out.
        self.limit_enforced = False
        self.decode = decode
        self.workers = workers
        self.manager = manager
        self.catalog = catalog
        self.clock = clock
        self.counters = counters
        #: Entries of pools that the configuration does not name, or not yet.
        self.unknown_pool: dict[str, messages.WorkerEntry] = {}
        #: Version of the configuration by which they were judged last.
        self.checked_version = 0
        #: What was wrong with each bad entry, so that a change is logged once.
        self.entry_faults: dict[str, errors.Fault] = {}

    def apply_changes(self, changes: ports.Changes, whole: bool) -> None:
        """Take in what changed, or all there is."""
        good = set()
        shared = yielding.CooperativeYielder(self.clock)
        for row in changes.rows:
            shared.yield_if_due()
            name = row.key.removeprefix(self.prefix)
            found = self.decode(name, row.value)
            if isinstance(found, result.Err):
                self._reject_entry(name, found.err_value.fault)
            elif self._accept_entry(found.ok_value):
                good.add(name)
        for key in changes.removed:
            self._remove(key.removeprefix(self.prefix))
        if whole:
            names = [*self.unpolled, *(worker.name for worker in self.workers)]
            for name in names:
                if name not in good:
                    self._remove(name)

    def enforce_limit(self) -> None:
        """Attend to no more than `most_workers` from now on; some may run nothing.

        A worker on which something may run is attended to whatever the bound: its lease
        would run out, and its ends would never be seen.
        """
        self.limit_enforced = True
        self.rebalance()

    def rebalance(self) -> None:
        """Take in workers from beyond the reach, or set some aside, by the bound."""
        room = self.max_workers - len(self.workers)
        if not self.limit_enforced or not room or (room > 0 and not self.unpolled):
            return
        if room > 0:
            self._poll_more(room)
        elif not self._stop_polling_idle(-room):
            return
        log.info(
            "reach", most=self.max_workers, attended=len(self.workers),
            beyond=len(self.unpolled),
        )  # fmt: skip

    def _poll_more(self, count: int) -> None:
        attended = [worker.entry for worker in self.workers]
        for entry in worker_limit.select(self.unpolled.values(), count, attended):
            self._apply_entry(entry)

    def _stop_polling_idle(self, count: int) -> int:
        """Set aside up to `count` workers that run nothing; return how many were."""
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
        unnamed, self.unknown_pool = self.unknown_pool, {}
        for entry in unnamed.values():
            self._accept_entry(entry)

    def _accept_entry(self, entry: messages.WorkerEntry) -> bool:
        """Use the worker of an entry, unless its pool is unknown."""
        catalog = self.catalog()
        pools = {service.name for service in catalog.services} if catalog else set()
        if entry.service not in pools:
            self.unknown_pool[entry.name] = entry
            self._reject_entry(entry.name, errors.Fault.SERVICE)
            return False
        self.unknown_pool.pop(entry.name, None)
        if self.entry_faults.pop(entry.name, None) is not None:
            log.info("entry good again", worker=entry.name)
        self._apply_entry(entry)
        return True

    def _reject_entry(self, name: str, fault: errors.Fault) -> None:
        """Take note that an entry names no worker to use."""
        self.counters.count(f"listing.bad_entry.{fault.value}")
        if fault is not errors.Fault.SERVICE:
            self.unknown_pool.pop(name, None)
        if self.entry_faults.get(name) is not fault:
            self.entry_faults[name] = fault
            log.warning("bad entry", worker=name, reason=fault.value)
        self._unlist(name, "bad_entry")

    def _remove(self, name: str) -> None:
        self.unknown_pool.pop(name, None)
        self.entry_faults.pop(name, None)
        self._unlist(name, "removed")

    def _unlist(self, name: str, why: str) -> None:
        self.unpolled.pop(name, None)
        worker = self.workers.get(name)
        if worker is not None and not worker.unlisted:
            worker.unlisted = True
            log.info(
                "worker unlisted", worker=name, reason=why, tasks=len(worker.tasks)
            )

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
            # Which of the two is the later one only the worker itself can tell.
            worker.conflicting_entry = entry
            worker.unlisted = False
            self.manager.check_incarnation(worker, entry)
            return
        first = not worker.entry.address
        if entry.capacity != worker.entry.capacity:
            log.info(
                "capacity", worker=entry.name, cpus=entry.capacity.cpus,
                before=worker.entry.capacity.cpus, free=round(worker.free.cpus, 1),
            )  # fmt: skip
        worker.update_entry(entry)
        if not worker.contacted or worker.incarnation is None:
            worker.incarnation = entry.incarnation
        worker.unlisted = False
        if first:
            self.manager.start_polling(worker)
        if entry.draining:
            self.manager.evacuate(worker)
