"""Changes of a team's subtree, each made once or not at all.

A change names the revision it is based on and carries an id chosen by the
operator. It takes effect in one transaction, checked against the subtree's row
and the row of its id; a lost answer is cleared up by that id.
"""

import dataclasses
import hashlib
import random
import typing as t

import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.platform import errors as platform_errors
from mangosail.platform import table
from mangosail.settings import checks, differences, errors, messages, schema, state
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("settings")

#: Seconds that a change may take until it is answered.
CHANGE_TIMEOUT_S = 5.0
#: Longest pause in seconds before a change that lost a race tries again.
MAX_RETRY_INTERVAL_S = 0.05
#: Revisions of a team, and their change ids, that are kept.
MAX_REVISIONS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class TableState:
    """What the table held when a change was tried."""

    subtree: messages.Subtree | None
    version: int
    changes: messages.Changes
    changes_version: int
    #: The change, if its id is known.
    record: messages.ChangeRecord | None
    #: The revision whose content is asked for, if any.
    earlier: messages.Subtree | None
    #: The revision that is dropped from the history when this change is made.
    dropped: messages.Subtree | None

    @property
    def revision(self) -> int:
        """Return the present revision, 0 if there is none."""
        return self.subtree.revision if self.subtree else 0

    @property
    def content(self) -> dict[str, t.Any]:
        """Return the present content."""
        return self.subtree.content if self.subtree else {}


class Changes:
    """Makes changes in the table and puts them in force here."""

    def __init__(
        self,
        rows: table.Table,
        in_force: state.Settings,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        seed: int = 0,
    ) -> None:
        self.rows = rows
        self.in_force = in_force
        self.clock = clock
        self.counters = counters
        self.random = random.Random(seed)

    def change(
        self, team: str, change: messages.Change, author: str
    ) -> result.Result[messages.Accepted, errors.ChangeError]:
        """Make `change`; accepted means that it stands."""
        deadline = self.clock.monotonic() + CHANGE_TIMEOUT_S
        reason, lost = "contended", False
        while self.clock.monotonic() < deadline:
            present = self._read(team, change)
            if isinstance(present, result.Err):
                return self._undecided(change, "store_unavailable", lost)
            done = self._previous_answer(team, change, present.ok_value)
            if done is not None:
                return done
            if self.clock.monotonic() < self.in_force.peers_deadline:
                reason = "peers_not_heard"
                self.clock.sleep(MAX_RETRY_INTERVAL_S)
                continue
            if self.in_force.sequence < present.ok_value.changes.sequence:
                # Whether a token is another team's is told by what is in force.
                self.in_force.refresh()
            if present.ok_value.changes.sequence < self.in_force.max_sequence:
                # Read before a change that we know of, or the table lost
                # changes, which are being written back: this one, based on
                # its content, would undo them.
                reason = "table_behind"
                self.clock.sleep(MAX_RETRY_INTERVAL_S)
                continue
            planned = self._plan(team, change, author, present.ok_value)
            if isinstance(planned, result.Err):
                return planned
            committed = self._commit(change, planned.ok_value, present.ok_value)
            if isinstance(committed, result.Ok):
                return self._accept(planned.ok_value, present.ok_value)
            if isinstance(committed.err_value, platform_errors.Unavailable):
                return self._undecided(change, "store_unavailable", lost)
            # An answer that was lost is cleared up by trying again: the checks
            # on the subtree and on the change id let only one of them through.
            if isinstance(committed.err_value, platform_errors.Uncertain):
                self.counters.count("settings.retry.answer_lost")
                lost = True
            else:
                self.counters.count("settings.retry.raced")
            reason = "contended"
            self.clock.sleep(self.random.uniform(0, MAX_RETRY_INTERVAL_S))
        return self._undecided(change, reason, lost)

    def preview(
        self, team: str, change: messages.Change, author: str
    ) -> result.Result[messages.Accepted, errors.ChangeError]:
        """Return what `change` would do, without making it."""
        present = self._read(team, change)
        if isinstance(present, result.Err):
            return self._undecided(change, "store_unavailable")
        planned = self._plan(team, change, author, present.ok_value)
        if isinstance(planned, result.Err):
            return planned
        return result.Ok(accepted_answer(planned.ok_value, present.ok_value))

    def read(
        self, team: str
    ) -> result.Result[messages.Subtree | None, platform_errors.Unavailable]:
        """Return a team's subtree as the table holds it now.

        An administration read asks the table each time (close-to-open), so an
        operator sees an accepted change through any instance at once.
        """
        found = state.read_teams(self.rows, [team])
        if isinstance(found, result.Err):
            return found
        subtree = found.ok_value.get(team)
        if subtree is not None:
            self.in_force.apply(subtree)
        return result.Ok(subtree)

    def history(
        self, team: str, limit: int
    ) -> result.Result[list[messages.Subtree], platform_errors.Unavailable]:
        """Return the last `limit` revisions that are kept, the latest first."""
        present = self.read(team)
        if isinstance(present, result.Err):
            return present
        last = present.ok_value.revision if present.ok_value else 0
        wanted = range(max(last - limit, 0) + 1, last + 1)
        found = self.rows.read([messages.history_key(team, n) for n in wanted])
        return found.map(
            lambda rows: [
                codec.from_json(rows[key].value, messages.Subtree)
                for key in sorted(rows, reverse=True)
            ]
        )

    def _read(
        self, team: str, change: messages.Change
    ) -> result.Result[TableState, platform_errors.Unavailable]:
        team_key = messages.team_key(team)
        change_key = messages.change_key(team, change.change_id)
        earlier_key = messages.history_key(team, change.content_of or 0)
        next_revision = change.revision + 1
        dropped_key = messages.history_key(team, next_revision - MAX_REVISIONS)
        keys = [team_key, messages.CHANGES_KEY, change_key]
        if change.content_of is not None:
            keys.append(earlier_key)
        if next_revision > MAX_REVISIONS:
            keys.append(dropped_key)
        found = self.rows.read(keys)
        if isinstance(found, result.Err):
            return found
        rows = found.ok_value
        changes, changes_version = state.changes_of(rows)
        return result.Ok(
            TableState(
                subtree_at(rows, team_key),
                rows[team_key].version if team_key in rows else table.ABSENT,
                changes,
                changes_version,
                codec.from_json(rows[change_key].value, messages.ChangeRecord)
                if change_key in rows
                else None,
                subtree_at(rows, earlier_key),
                subtree_at(rows, dropped_key),
            )
        )

    def _previous_answer(
        self, team: str, change: messages.Change, present: TableState
    ) -> result.Result[messages.Accepted, errors.ChangeError] | None:
        """Return the first answer if the change id is known."""
        record = present.record
        if record is None:
            return None
        if record.digest != change_digest(change):
            self.counters.count("settings.refused.change_id_conflict")
            return result.Err(errors.ChangeIdConflict(record.revision))
        first = self.rows.read([messages.history_key(team, record.revision)])
        subtree = None
        if isinstance(first, result.Ok):
            key = messages.history_key(team, record.revision)
            subtree = subtree_at(first.ok_value, key)
        if present.subtree is not None:
            self.in_force.apply(present.subtree)
        return result.Ok(
            messages.Accepted(
                team,
                record.revision,
                change.change_id,
                record.changed_at,
                subtree.changed if subtree else (),
            )
        )

    def _plan(
        self, team: str, change: messages.Change, author: str, present: TableState
    ) -> result.Result[messages.Subtree, errors.ChangeError]:
        """Return the subtree that the change would write."""
        if change.revision != present.revision:
            self.counters.count("settings.refused.superseded")
            by = present.subtree
            return result.Err(
                errors.Superseded(
                    present.revision,
                    by.author if by else "",
                    by.changed_at if by else 0.0,
                )
            )
        content = self._new_content(change, present)
        if isinstance(content, result.Err):
            return content
        checked = checks.check(content.ok_value)
        if isinstance(checked, result.Err):
            self.counters.count("settings.refused.bad_settings")
            return checked
        taken = self._foreign_token_faults(team, checked.ok_value)
        if taken:
            self.counters.count("settings.refused.bad_settings")
            return result.Err(errors.BadSettings(taken))
        return result.Ok(
            messages.Subtree(
                team,
                present.revision + 1,
                present.changes.sequence + 1,
                change.change_id,
                author,
                self.clock.wall(),
                content.ok_value,
                differences.between(present.content, content.ok_value),
            )
        )

    def _foreign_token_faults(
        self, team: str, settings: schema.TeamSettings
    ) -> tuple[errors.Fault, ...]:
        """Return a fault for each token whose hash is another team's."""
        known = self.in_force.identity_by_digest
        return tuple(
            errors.Fault(f"tokens.{n}.sha256", checks.HIDDEN, "a token of this team")
            for n, token in enumerate(settings.tokens)
            if token.sha256 in known and known[token.sha256].team != team
        )

    def _new_content(
        self, change: messages.Change, present: TableState
    ) -> result.Result[t.Any, errors.ChangeError]:
        if change.content_of is None:
            return result.Ok(
                checks.restore_token_hashes(change.content, present.content)
            )
        if present.earlier is None:
            self.counters.count("settings.refused.unknown_revision")
            return result.Err(errors.UnknownRevision(change.content_of))
        # Tokens stay as they are: an earlier content must not bring a token
        # back that was withdrawn since.
        content = dict(present.earlier.content)
        content["tokens"] = present.content.get("tokens", [])
        return result.Ok(content)

    def _commit(
        self, change: messages.Change, subtree: messages.Subtree, present: TableState
    ) -> result.Result[int, platform_errors.CommitError]:
        team = subtree.team
        change_key = messages.change_key(team, change.change_id)
        record = messages.ChangeRecord(
            subtree.revision, change_digest(change), subtree.changed_at
        )
        moved = present.changes.with_change(subtree.sequence, team)
        text = codec.to_json(subtree)
        writes = [
            table.Write(messages.team_key(team), text),
            table.Write(messages.history_key(team, subtree.revision), text),
            table.Write(change_key, codec.to_json(record)),
            table.Write(messages.CHANGES_KEY, codec.to_json(moved)),
        ]
        if present.dropped is not None:
            old = present.dropped
            writes += [
                table.Write(messages.history_key(team, old.revision), None),
                table.Write(messages.change_key(team, old.change_id), None),
            ]
        # The check on the row of changes puts all changes in one order. The other
        # two hold also where the table reads several rows at different moments.
        checked = (
            table.Check(messages.team_key(team), present.version),
            table.Check(messages.CHANGES_KEY, present.changes_version),
            table.Check(change_key, table.ABSENT),
        )
        return self.rows.commit(table.Transaction(checked, tuple(writes)))

    def _accept(
        self, subtree: messages.Subtree, present: TableState
    ) -> result.Result[messages.Accepted, errors.ChangeError]:
        self.counters.count("settings.accepted")
        log.info(
            "accepted",
            team=subtree.team,
            revision=subtree.revision,
            author=subtree.author,
            change_id=subtree.change_id,
        )
        if present.changes.sequence == self.in_force.sequence:
            self.in_force.learn(messages.Delta(subtree.sequence, (subtree,)))
        else:
            self.in_force.apply(subtree)
        return result.Ok(accepted_answer(subtree, present))

    def _undecided(
        self, change: messages.Change, reason: str, lost: bool = False
    ) -> result.Result[messages.Accepted, errors.ChangeError]:
        if lost:
            reason = "undecided"
        self.counters.count(f"settings.unknown.{reason}")
        return result.Err(errors.Undecided(change.change_id, reason))


def accepted_answer(
    subtree: messages.Subtree, present: TableState
) -> messages.Accepted:
    """Return the answer to a change that wrote `subtree`."""
    return messages.Accepted(
        subtree.team,
        subtree.revision,
        subtree.change_id,
        subtree.changed_at,
        subtree.changed,
        differences.warnings(present.content, subtree.content),
    )


def change_digest(change: messages.Change) -> str:
    """Return what tells two changes under one id apart."""
    text = codec.to_json((change.revision, change.content, change.content_of))
    return hashlib.sha256(text.encode()).hexdigest()


def subtree_at(rows: dict[str, table.Row], key: str) -> messages.Subtree | None:
    """Return the subtree in the row `key`, or None if there is no such row."""
    row = rows.get(key)
    return codec.from_json(row.value, messages.Subtree) if row else None
