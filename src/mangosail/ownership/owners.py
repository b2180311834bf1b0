"""Acquisition, handover and loss of workers."""

import collections.abc as cabc
import dataclasses
import typing as t

import gevent
import logbook
import result

from mangosail import clock as clocks
from mangosail import codec, resources
from mangosail.dispatch import messages as dispatch_messages
from mangosail.ownership import messages, session, session_observer, shares, takeover
from mangosail.placement import workers as placed
from mangosail.platform import errors, inventory, table
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("ownership")

#: Seconds to wait for work in flight before a worker is handed over anyway.
HANDOVER_TIMEOUT_S = 5.0
#: Seconds for which an instance that the platform never listed must be missing from its
#: list before it is considered gone; the list lags behind.
ABSENCE_TIMEOUT_S = 30.0
#: Seconds between checks for quotes in flight.
POLL_INTERVAL_S = 0.02


class Listener(t.Protocol):
    """Is notified of workers that are acquired and lost."""

    def on_taken(self, owned: placed.OwnedWorker) -> None:
        """Start monitoring an acquired worker; its ledger is not ready yet."""

    def on_lost(self, owned: placed.OwnedWorker) -> None:
        """Stop monitoring a worker that was lost or given up."""


class WorkerConnector(t.Protocol):
    """Connects to workers."""

    def connect(self, worker: inventory.Worker, generation: int) -> placed.OwnedWorker:
        """Return the handle of a worker that was acquired."""

    def fetch_snapshot(
        self, worker: inventory.Worker
    ) -> dispatch_messages.Snapshot | None:
        """Return the snapshot of a worker that is not owned, or None if unreachable."""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedOwnerRow:
    """An owner row with the version at which it was read."""

    row: messages.OwnerRow
    version: int


class Absences:
    """Tracks how long instances have been missing from the platform's list."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.present: set[str] = set()
        self.ever_listed: set[str] = set()
        #: Monotonic time from which a missing instance is considered gone, by name.
        self.gone_from: dict[str, float] = {}

    def update(self, listed: cabc.Iterable[str]) -> None:
        """Process the names in a list that was just fetched."""
        self.present = set(listed)
        self.ever_listed |= self.present
        for name in self.present:
            self.gone_from.pop(name, None)

    def is_gone(self, name: str) -> bool:
        """Return whether the platform no longer lists the instance `name`."""
        if not self.present or name in self.present:
            return False
        if name in self.ever_listed:
            return True
        now = self.clock.monotonic()
        return now >= self.gone_from.setdefault(name, now + ABSENCE_TIMEOUT_S)


class Owners:
    """The owner rows of this instance's data centre."""

    def __init__(
        self,
        rows: table.Table,
        lease: session.Session,
        sessions: session_observer.SessionObserver,
        owned_workers: placed.Workers,
        connector: WorkerConnector,
        listeners: cabc.Sequence[Listener],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.rows = rows
        self.lease = lease
        self.sessions = sessions
        self.owned_workers = owned_workers
        self.connector = connector
        self.listeners = listeners
        self.clock = clock
        self.counters = counters
        self.absences = Absences(clock)
        self.by_worker: dict[str, VersionedOwnerRow] = {}
        #: Version of the epoch row when `by_worker` was read.
        self.epoch: int | None = None
        #: True once a planned shutdown has begun: no workers are acquired any more.
        self.releasing = False
        #: True while everything is given up because the session was lost.
        self.losing_session = False

    @property
    def data_centre(self) -> str:
        """Return the data centre whose workers this instance may own."""
        return self.lease.row.data_centre

    def refresh(
        self, listed: cabc.Sequence[inventory.Worker]
    ) -> result.Result[None, errors.Unavailable]:
        """Read owners and sessions, end expired sessions, and acquire our share.

        Owner rows are read before sessions: a run registers before it owns anything, so
        a session that names a different run is of a later one.
        """
        found = self._read_owners()
        if isinstance(found, result.Err):
            self.sessions.mark_unreadable()
            return found
        session_rows = table.scan_all(self.rows, f"session/{self.data_centre}/")
        if isinstance(session_rows, result.Err):
            self.sessions.mark_unreadable()
            return session_rows
        self.sessions.update(session_rows.ok_value)
        for expired in self.sessions.expired():
            self._end_session(expired)
        self._give_up_lost()
        if not self.lease.valid() or self.releasing:
            return result.Ok(None)
        self._reclaim_retained()
        self._rebalance(listed)
        return result.Ok(None)

    def handle_session_loss(self) -> None:
        """Stop using every worker, after the session was ended or replaced.

        Waits for the quotes in flight before a new run is registered, because peers
        treat the new run as the release of everything that this one retained.
        """
        self.counters.count("ownership.session_lost")
        log.warning("session lost")
        self.losing_session = True
        try:
            given_up = list(self.owned_workers)
            for owned in given_up:
                self._give_up(owned, "ownership.lost")
            self._await_quotes(given_up, self.clock.monotonic() + HANDOVER_TIMEOUT_S)
            self.lease.restart()
        finally:
            self.losing_session = False

    def release_all(self, deadline: float) -> result.Result[None, errors.CommitError]:
        """Hand over all workers for a planned shutdown; peers can acquire them at once.

        Nothing new is started from now on. Waits for quotes in flight until the
        monotonic `deadline`; durable work continues on its workers.
        """
        self.releasing = True
        given_up = list(self.owned_workers)
        for owned in given_up:
            owned.handover_deadline = deadline
        self._await_quotes(given_up, deadline)
        for owned in given_up:
            self._give_up(owned, "ownership.handed_over")
        closed = self.lease.release(deadline)
        if isinstance(closed, result.Ok):
            log.info("session released", workers=len(given_up))
        else:
            self.counters.count("ownership.session_unreleased")
            log.warning("session not released", why=repr(closed.err_value))
        return closed

    def _await_quotes(
        self, given_up: cabc.Sequence[placed.OwnedWorker], deadline: float
    ) -> None:
        while any(owned.ledger.idempotent for owned in given_up):
            if self.clock.monotonic() >= deadline:
                self.counters.count("ownership.quotes_outlast_handover")
                return
            self.clock.sleep(POLL_INTERVAL_S)

    def _read_owners(self) -> result.Result[None, errors.Unavailable]:
        """Read the owner rows if any of them has changed since the last read."""
        key = messages.epoch_key(self.data_centre)
        epochs = self.rows.read([key])
        if isinstance(epochs, result.Err):
            return epochs
        epoch = epochs.ok_value.get(key)
        version = epoch.version if epoch else table.ABSENT
        if version == self.epoch:
            return result.Ok(None)
        found = table.scan_all(self.rows, f"owner/{self.data_centre}/")
        if isinstance(found, result.Err):
            return found
        self.by_worker = {}
        for row in found.ok_value:
            owner = codec.from_json(row.value, messages.OwnerRow)
            self.by_worker[owner.worker] = VersionedOwnerRow(owner, row.version)
        self.epoch = version
        return result.Ok(None)

    def _end_session(self, expired: session_observer.ObservedSession) -> None:
        """Mark an expired session as ended, so that its holder can't renew it."""
        ended = dataclasses.replace(expired.row, ended=True)
        key = messages.session_key(ended.data_centre, ended.instance)
        transaction = table.Transaction(
            checks=(table.Check(key, expired.version),),
            writes=(table.Write(key, codec.to_json(ended)),),
        )
        if isinstance(self.rows.commit(transaction), result.Ok):
            self.counters.count("ownership.session_ended")
            log.info("session ended", other=ended.instance)

    def _give_up_lost(self) -> None:
        for owned in self.owned_workers:
            known = self.by_worker.get(owned.name)
            if known is None or known.row.generation != owned.generation:
                self._give_up(owned, "ownership.lost")

    def _give_up(self, owned: placed.OwnedWorker, reason: str) -> None:
        owned.ledger.closed = True
        self.owned_workers.remove(owned.name)
        for listener in self.listeners:
            listener.on_lost(owned)
        self.counters.count(reason)
        log.info("worker given up", worker=owned.name, why=reason)

    def _reclaim_retained(self) -> None:
        """Reclaim what earlier owners retained, once they are known to have stopped.

        The row is written first: if this instance's lease expired in between, the next
        owner would otherwise assume that more was withheld from this one than was, and
        so underestimate what it retains.
        """
        for owned in self.owned_workers:
            known = self.by_worker.get(owned.name)
            if known is None:
                continue
            left = self._still_retained(known.row)
            if left == known.row.retained:
                owned.ledger.promised = known.row.promised()
                continue
            snapshot = self.connector.fetch_snapshot(owned.worker)
            if snapshot is None:
                continue
            # A stopped run may have left running quotes that were started after the
            # last snapshot. They must be in the ledger before its budget is reclaimed,
            # or their capacity would be used twice.
            owned.ledger.follow(takeover.running_reports(snapshot), owned.generation)
            row = dataclasses.replace(known.row, retained=left)
            if isinstance(self._write(row, known), result.Ok):
                owned.ledger.promised = row.promised()
                self.counters.count("ownership.retention_ended")

    def _still_retained(self, row: messages.OwnerRow) -> tuple[messages.Retention, ...]:
        return tuple(
            retention
            for retention in row.retained
            if not self._has_stopped(retention.instance, retention.incarnation)
        )

    def _has_stopped(self, instance: str, incarnation: str) -> bool:
        """Return whether this run is certain not to start anything any more."""
        if self.sessions.has_stopped(instance, incarnation):
            return True
        return self.absences.is_gone(instance)

    def _rebalance(self, listed: cabc.Sequence[inventory.Worker]) -> None:
        own_name = self.lease.row.instance
        live = [row.instance for row in self.sessions.live()]
        if own_name not in live:
            return
        assigned = shares.assign([worker.name for worker in listed], live)
        claims = []
        for worker in listed:
            known = self.by_worker.get(worker.name)
            if known is not None and self._is_own(known.row):
                self._keep_or_hand_over(
                    worker, known, assigned[worker.name] == own_name
                )
            elif assigned[worker.name] == own_name and self._is_free(known):
                claims.append(gevent.spawn(self._claim, worker, known))
        gevent.joinall(claims)

    def _is_own(self, row: messages.OwnerRow) -> bool:
        own = self.lease.row
        return (row.instance, row.incarnation) == (own.instance, own.incarnation)

    def _is_free(self, known: VersionedOwnerRow | None) -> bool:
        if known is None:
            return True
        return not self.sessions.may_hold_leases(
            known.row.instance, known.row.incarnation
        )

    def _keep_or_hand_over(
        self, worker: inventory.Worker, known: VersionedOwnerRow, ours: bool
    ) -> None:
        """Keep an owned worker, or hand it over to the instance whose share it is."""
        owned = self.owned_workers.get(worker.name)
        if owned is None:
            # The answer to our claim was lost after the write had taken effect. Without
            # this, no instance would ever use the worker.
            self.counters.count("ownership.claim_recovered")
            self._adopt(worker, known.row)
            return
        if ours:
            owned.handover_deadline = None
            return
        if owned.handover_deadline is None:
            owned.handover_deadline = self.clock.monotonic() + HANDOVER_TIMEOUT_S
        over = self.clock.monotonic() >= owned.handover_deadline
        if owned.ledger.reserved and not over:
            return
        if owned.ledger.idempotent:
            # Quotes end by their deadlines and are never interrupted.
            return
        self._give_up(owned, "ownership.handed_over")
        row = dataclasses.replace(known.row, instance="", incarnation="")
        if isinstance(self._write(row, known), result.Err):
            self.counters.count("ownership.handover_unwritten")

    def _claim(self, worker: inventory.Worker, known: VersionedOwnerRow | None) -> None:
        row = messages.OwnerRow(
            worker.name,
            self.lease.row.instance,
            self.lease.row.incarnation,
            known.row.generation + 1 if known else 1,
            self._retained_after(worker, known.row) if known else (),
        )
        version = VersionedOwnerRow(row, known.version if known else table.ABSENT)
        if not self.lease.valid():
            return
        if isinstance(self._write(row, version), result.Ok):
            self._adopt(worker, row)

    def _retained_after(
        self, worker: inventory.Worker, previous: messages.OwnerRow
    ) -> tuple[messages.Retention, ...]:
        """Return what earlier owners may continue to use after we take over."""
        left = self._still_retained(previous)
        if not previous.instance:
            return left
        if self._has_stopped(previous.instance, previous.incarnation):
            return left
        snapshot = self.connector.fetch_snapshot(worker)
        reports = takeover.running_reports(snapshot) if snapshot else None
        # Everything withheld for owners before it counts, even what has ended since:
        # the previous owner may not have known that when its lease expired.
        kept = takeover.retention_of(previous, worker.capacity, reports)
        if kept.budget == resources.Resources():
            return left
        return (*left, kept)

    def _write(
        self, row: messages.OwnerRow, known: VersionedOwnerRow
    ) -> result.Result[int, errors.CommitError]:
        """Replace the owner row that was read, and advance the epoch."""
        key = messages.owner_key(self.data_centre, row.worker)
        epoch = messages.epoch_key(self.data_centre)
        transaction = table.Transaction(
            checks=(table.Check(key, known.version),),
            writes=(
                table.Write(key, codec.to_json(row)),
                table.Write(epoch, codec.to_json(row.generation)),
            ),
        )
        return self.rows.commit(transaction)

    def _adopt(self, worker: inventory.Worker, row: messages.OwnerRow) -> None:
        """Use a worker whose row names this run, unless that has given up everything.

        The session may have been lost, or a shutdown begun, since the claim was sent.
        Peers may then own the worker, and take it for unused by this instance.
        """
        if self.releasing or self.losing_session or not self._is_own(row):
            self.counters.count("ownership.claim_outdated")
            log.info(
                "claim outdated", worker=worker.name, generation=row.generation,
                releasing=self.releasing,
            )  # fmt: skip
            return
        owned = self.connector.connect(worker, row.generation)
        owned.ledger.promised = row.promised()
        self.owned_workers.add(owned)
        self.counters.count("ownership.taken")
        log.info("worker taken", worker=worker.name, generation=row.generation)
        for listener in self.listeners:
            listener.on_taken(owned)
