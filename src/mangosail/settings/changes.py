"""Applies changes to a team's subtree, each exactly once or not at all.

A change names the revision it is based on and carries an id chosen by the
operator. It is committed in one transaction that checks the versions of the
subtree's row and of the row of the change id. When the answer to a commit is lost,
a retry under the same id tells whether the change was made.
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

#: Seconds after which a change that is still retried is answered as undecided.
CHANGE_TIMEOUT_S = 5.0
#: Longest delay in seconds before a change is retried.
MAX_RETRY_INTERVAL_S = 0.05
#: Revisions of a team, and their change ids, that the history keeps.
MAX_REVISIONS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class TableState:
    """The rows that a change depends on, as read from the table."""

    subtree: messages.Subtree | None
    version: int
    changes: messages.Changes
    changes_version: int
    #: The record of the change id if it was used before.
    record: messages.ChangeRecord | None
    #: The revision to restore, if the change asks for one.
    earlier: messages.Subtree | None
    #: The revision that this change pushes out of the history.
    dropped: messages.Subtree | None

    @property
    def revision(self) -> int:
        """Return the current revision, 0 if there is none."""
        return self.subtree.revision if self.subtree else 0

    @property
    def content(self) -> dict[str, t.Any]:
        """Return the current content."""
        return self.subtree.content if self.subtree else {}


class Changes:
    """Commits changes to the table and applies them on this instance."""

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
        """Commit `change`; `Accepted` means that it is durable."""
        deadline = self.clock.monotonic() + CHANGE_TIMEOUT_S
        reason, answer_lost = "contended", False
        while self.clock.monotonic() < deadline:
            current = self._read(team, change)
            if isinstance(current, result.Err):
                return self._undecided(change, "store_unavailable", answer_lost)
            previous = self._previous_answer(team, change, current.ok_value)
            if previous is not None:
                return previous
            if self.clock.monotonic() < self.in_force.peers_deadline:
                reason = "peers_not_heard"
                self.clock.sleep(MAX_RETRY_INTERVAL_S)
                continue
            if self.in_force.sequence < current.ok_value.changes.sequence:
                # The check for tokens of other teams uses the settings in force.
                self.in_force.refresh()
            if current.ok_value.changes.sequence < self.in_force.max_sequence:
                # Either the read missed a change that is in force here, or the
                # table lost changes, which are being written back. A change
                # based on this content would undo them.
                reason = "table_behind"
                self.clock.sleep(MAX_RETRY_INTERVAL_S)
                continue
            planned = self._plan(team, change, author, current.ok_value)
            if isinstance(planned, result.Err):
                return planned
            committed = self._commit(change, planned.ok_value, current.ok_value)
            if isinstance(committed, result.Ok):
                return self._accept(planned.ok_value, current.ok_value)
            if isinstance(committed.err_value, platform_errors.Unavailable):
                return self._undecided(change, "store_unavailable", answer_lost)
            # Retrying resolves a lost answer: the checks on the subtree and on
            # the change id let only one of the attempts commit.
            if isinstance(committed.err_value, platform_errors.Uncertain):
                self.counters.count("settings.retry.answer_lost")
                answer_lost = True
            else:
                self.counters.count("settings.retry.raced")
            reason = "contended"
            self.clock.sleep(self.random.uniform(0, MAX_RETRY_INTERVAL_S))
        return self._undecided(change, reason, answer_lost)

    def preview(
        self, team: str, change: messages.Change, author: str
    ) -> result.Result[messages.Accepted, errors.ChangeError]:
        """Return what `change` would do, without committing it."""
        current = self._read(team, change)
        if isinstance(current, result.Err):
            return self._undecided(change, "store_unavailable")
        planned = self._plan(team, change, author, current.ok_value)
        if isinstance(planned, result.Err):
            return planned
        return result.Ok(accepted_answer(planned.ok_value, current.ok_value))

    def read(
        self, team: str
    ) -> result.Result[messages.Subtree | None, platform_errors.Unavailable]:
        """Return a team's subtree as it is in the table now.

        Administrative reads always go to the table (close-to-open consistency), so
        an operator sees an accepted change through any instance at once.
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
        """Return up to `limit` of the kept revisions, the latest first."""
        current = self.read(team)
        if isinstance(current, result.Err):
            return current
        last = current.ok_value.revision if current.ok_value else 0
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
        self, team: str, change: messages.Change, current: TableState
    ) -> result.Result[messages.Accepted, errors.ChangeError] | None:
        """Return the answer given before if the change id was already used."""
        record = current.record
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
        if current.subtree is not None:
            self.in_force.apply(current.subtree)
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
        self, team: str, change: messages.Change, author: str, current: TableState
    ) -> result.Result[messages.Subtree, errors.ChangeError]:
        """Validate the change and return the subtree that it would write."""
        if change.revision != current.revision:
            self.counters.count("settings.refused.superseded")
            by = current.subtree
            return result.Err(
                errors.Superseded(
                    current.revision,
                    by.author if by else "",
                    by.changed_at if by else 0.0,
                )
            )
        content = self._new_content(change, current)
        if isinstance(content, result.Err):
            return content
        checked = checks.check(content.ok_value)
        if isinstance(checked, result.Err):
            self.counters.count("settings.refused.bad_settings")
            return checked
        faults = self._foreign_token_faults(team, checked.ok_value)
        if faults:
            self.counters.count("settings.refused.bad_settings")
            return result.Err(errors.BadSettings(faults))
        return result.Ok(
            messages.Subtree(
                team,
                current.revision + 1,
                current.changes.sequence + 1,
                change.change_id,
                author,
                self.clock.wall(),
                content.ok_value,
                differences.between(current.content, content.ok_value),
            )
        )

    def _foreign_token_faults(
        self, team: str, settings: schema.TeamSettings
    ) -> tuple[errors.Fault, ...]:
        """Return a fault for each token whose hash belongs to another team."""
        known = self.in_force.identity_by_digest
        return tuple(
            errors.Fault(f"tokens.{n}.sha256", checks.HIDDEN, "a token of this team")
            for n, token in enumerate(settings.tokens)
            if token.sha256 in known and known[token.sha256].team != team
        )

    def _new_content(
        self, change: messages.Change, current: TableState
    ) -> result.Result[t.Any, errors.ChangeError]:
        if change.content_of is None:
            return result.Ok(
                checks.restore_token_hashes(change.content, current.content)
            )
        if current.earlier is None:
            self.counters.count("settings.refused.unknown_revision")
            return result.Err(errors.UnknownRevision(change.content_of))
        # Tokens are not restored: an earlier content must not bring back a token
        # that has been revoked since.
        content = dict(current.earlier.content)
        content["tokens"] = current.content.get("tokens", [])
        return result.Ok(content)

    def _commit(
        self, change: messages.Change, subtree: messages.Subtree, current: TableState
    ) -> result.Result[int, platform_errors.CommitError]:
        team = subtree.team
        change_key = messages.change_key(team, change.change_id)
        record = messages.ChangeRecord(
            subtree.revision, change_digest(change), subtree.changed_at
        )
        new_changes = current.changes.with_change(subtree.sequence, team)
        text = codec.to_json(subtree)
        writes = [
            table.Write(messages.team_key(team), text),
            table.Write(messages.history_key(team, subtree.revision), text),
            table.Write(change_key, codec.to_json(record)),
            table.Write(messages.CHANGES_KEY, codec.to_json(new_changes)),
        ]
        if current.dropped is not None:
            old = current.dropped
            writes += [
                table.Write(messages.history_key(team, old.revision), None),
                table.Write(messages.change_key(team, old.change_id), None),
            ]
        # The check on the changes row orders the changes of all teams. The other
        # two are needed because the table may read several rows at different times.
        checked = (
            table.Check(messages.team_key(team), current.version),
            table.Check(messages.CHANGES_KEY, current.changes_version),
            table.Check(change_key, table.ABSENT),
        )
        return self.rows.commit(table.Transaction(checked, tuple(writes)))

    def _accept(
        self, subtree: messages.Subtree, current: TableState
    ) -> result.Result[messages.Accepted, errors.ChangeError]:
        self.counters.count("settings.accepted")
        log.info(
            "settings accepted",
            team=subtree.team,
            revision=subtree.revision,
            author=subtree.author,
            change_id=subtree.change_id,
        )
        if current.changes.sequence == self.in_force.sequence:
            self.in_force.learn(messages.Delta(subtree.sequence, (subtree,)))
        else:
            self.in_force.apply(subtree)
        return result.Ok(accepted_answer(subtree, current))

    def _undecided(
        self, change: messages.Change, reason: str, answer_lost: bool = False
    ) -> result.Result[messages.Accepted, errors.ChangeError]:
        if answer_lost:
            reason = "undecided"
        self.counters.count(f"settings.unknown.{reason}")
        return result.Err(errors.Undecided(change.change_id, reason))


def accepted_answer(
    subtree: messages.Subtree, current: TableState
) -> messages.Accepted:
    """Return the answer to a change that writes `subtree`."""
    return messages.Accepted(
        subtree.team,
        subtree.revision,
        subtree.change_id,
        subtree.changed_at,
        subtree.changed,
        differences.warnings(current.content, subtree.content),
    )


def change_digest(change: messages.Change) -> str:
    """Return a digest that differs for different changes under one change id."""
    text = codec.to_json((change.revision, change.content, change.content_of))
    return hashlib.sha256(text.encode()).hexdigest()


def subtree_at(rows: dict[str, table.Row], key: str) -> messages.Subtree | None:
    """Return the subtree in the row `key`, or None if there is no such row."""
    row = rows.get(key)
    return codec.from_json(row.value, messages.Subtree) if row else None
