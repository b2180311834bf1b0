"""Taking workers into ownership and giving them up."""

import collections.abc as cabc
import typing as t

import logbook
import result

from mangosail import codec
from mangosail.ownership import messages, session, shares, sightings
from mangosail.placement import workers as placed
from mangosail.platform import errors, inventory, table
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("ownership")

#: Makes the handle of a worker that was taken, from it and its generation.
Adopt = t.Callable[[inventory.Worker, int], placed.OwnedWorker]


class Owners:
    """The owner rows of this instance's data centre."""

    def __init__(
        self,
        rows: table.Table,
        lease: session.Session,
        seen: sightings.Sightings,
        owned: placed.Workers,
        adopt: Adopt,
        counters: telemetry.Counters,
    ) -> None:
        self.rows = rows
        self.lease = lease
        self.seen = seen
        self.owned = owned
        self.adopt = adopt
        self.counters = counters
        self.by_worker: dict[str, messages.OwnerRow] = {}

    def refresh(
        self, listed: cabc.Sequence[inventory.Worker]
    ) -> result.Result[None, errors.Unavailable]:
        """Read sessions and owners, end lapsed sessions, take what is ours to take."""
        data_centre = self.lease.row.data_centre
        sessions = table.scan_all(self.rows, f"session/{data_centre}/")
        if isinstance(sessions, result.Err):
            return sessions
        self.seen.see(sessions.ok_value)
        for lapsed in self.seen.lapsed():
            self._end(lapsed)
        found = table.scan_all(self.rows, f"owner/{data_centre}/")
        if isinstance(found, result.Err):
            return found
        versions = {row.key: row.version for row in found.ok_value}
        self.by_worker = {
            owner.worker: owner
            for owner in (
                codec.from_json(row.value, messages.OwnerRow) for row in found.ok_value
            )
        }
        self._drop_lost()
        self._take(listed, versions)
        return result.Ok(None)

    def _end(self, lapsed: sightings.Sighting) -> None:
        """Mark a lapsed session ended, so that its holder can't renew it."""
        row = lapsed.row
        ended = messages.SessionRow(
            row.instance,
            row.incarnation,
            row.data_centre,
            row.peer_address,
            row.lease_deadline,
            ended=True,
        )
        key = messages.session_key(row.data_centre, row.instance)
        transaction = table.Transaction(
            checks=(table.Check(key, lapsed.version),),
            writes=(table.Write(key, codec.to_json(ended)),),
        )
        if isinstance(self.rows.commit(transaction), result.Ok):
            self.counters.count("ownership.session_ended")
            log.info("session ended", other=row.instance)

    def _drop_lost(self) -> None:
        for owned in self.owned:
            owner = self.by_worker.get(owned.name)
            if owner is None or owner.generation != owned.generation:
                self.owned.remove(owned.name)
                self.counters.count("ownership.lost")
                log.warning("worker lost", worker=owned.name)

    def _take(
        self, listed: cabc.Sequence[inventory.Worker], versions: dict[str, int]
    ) -> None:
        live = [row.instance for row in self.seen.live()]
        if self.lease.row.instance not in live:
            return
        assigned = shares.assign([worker.name for worker in listed], live)
        for worker in listed:
            owner = self.by_worker.get(worker.name)
            key = messages.owner_key(worker.data_centre, worker.name)
            version = versions.get(key, table.ABSENT)
            if assigned[worker.name] != self.lease.row.instance:
                self._hand_over(worker, version)
            elif owner is None or not self.seen.holds(
                owner.instance, owner.incarnation
            ):
                self._claim(worker, owner, version)

    def _hand_over(self, worker: inventory.Worker, version: int) -> None:
        """Give up a worker that is another's share, once nothing runs on it."""
        owned = self.owned.get(worker.name)
        if owned is None or owned.ledger.reserved:
            return
        self.owned.remove(worker.name)
        row = messages.OwnerRow(worker.name, "", "", owned.generation)
        key = messages.owner_key(worker.data_centre, worker.name)
        transaction = table.Transaction(
            checks=(table.Check(key, version),),
            writes=(table.Write(key, codec.to_json(row)),),
        )
        self.rows.commit(transaction)
        self.counters.count("ownership.handed_over")

    def _claim(
        self,
        worker: inventory.Worker,
        previous: messages.OwnerRow | None,
        version: int,
    ) -> None:
        generation = previous.generation + 1 if previous else 1
        row = messages.OwnerRow(
            worker.name,
            self.lease.row.instance,
            self.lease.row.incarnation,
            generation,
        )
        key = messages.owner_key(worker.data_centre, worker.name)
        transaction = table.Transaction(
            checks=(table.Check(key, version),),
            writes=(table.Write(key, codec.to_json(row)),),
        )
        if isinstance(self.rows.commit(transaction), result.Ok):
            self.owned.add(self.adopt(worker, generation))
            self.counters.count("ownership.taken")
            log.info("worker taken", worker=worker.name, generation=generation)
