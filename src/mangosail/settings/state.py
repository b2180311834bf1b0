"""The settings in force on this instance; an earlier change is never applied.

Changes of all teams are numbered in one sequence. An instance reads one row a
second to learn the last number, fetches only the subtrees that changed, and
learns the same from its peers when it can't read the table.
"""

import collections.abc as cabc
import dataclasses
import hashlib
import random

import logbook
import result

from mangosail import clock as clocks
from mangosail import codec, resources
from mangosail.platform import errors, table
from mangosail.settings import checks, messages, schema
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("settings")

#: Seconds without an answer of the table after which settings count as stale.
STALE_AFTER_S = 10.0
#: Largest answer to a peer that asks for changes, in bytes of content.
MAX_DELTA_BYTES = 1024 * 1024
#: Chance of writing lost changes back in one round, so that of many instances
#: that find the table behind only a few read it whole.
RESTORE_PROBABILITY = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A team's settings and the subtree they came from."""

    subtree: messages.Subtree
    settings: schema.TeamSettings

    @property
    def team(self) -> str:
        """Return the team."""
        return self.subtree.team

    @property
    def version(self) -> int:
        """Return the revision in force."""
        return self.subtree.revision


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who a bearer token belongs to."""

    team: str
    token: str
    operator: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """How far the settings of an instance are in step."""

    sequence: int
    #: Seconds since the table last answered; None if it never did.
    age_seconds: float | None
    #: Whether that is longer ago than `STALE_AFTER_S`.
    stale: bool
    teams: int


class Settings:
    """All teams' settings that are in force here."""

    def __init__(
        self,
        rows: table.Table,
        clock: clocks.Clock,
        counters: telemetry.Counters,
        seed: int = 0,
    ) -> None:
        self.rows = rows
        self.clock = clock
        self.counters = counters
        self.random = random.Random(seed)
        self.by_team: dict[str, InForce] = {}
        self.identity_by_digest: dict[str, Identity] = {}
        #: All changes up to this one are in force here.
        self.sequence = 0
        #: The latest change that is in force here; earlier ones may be missing.
        self.max_sequence = 0
        #: The latest change that a reachable peer says to have in force.
        self.peers_sequence = 0
        #: Monotonic time of the last read that the table answered.
        self.read_at: float | None = None
        self.stale = False
        #: Monotonic time until which no change is made while no peer was heard:
        #: the table may have been put back, and only the peers would know.
        self.peers_deadline = 0.0
        #: The latest number logged as malformed, by team; by "" of a row.
        self.logged_malformed: dict[str, int] = {}

    def refresh(self) -> result.Result[None, errors.Unavailable]:
        """Learn from the table what has changed and put it in force."""
        asked_at = self.clock.monotonic()
        found = read_changes(self.rows)
        if isinstance(found, result.Err):
            self.counters.count("settings.read_failed")
            self._update_age()
            return found
        self.read_at = asked_at
        self._update_age()
        changes = found.ok_value
        if changes.sequence < self.max_sequence:
            return self._restore()
        if changes.sequence == self.sequence:
            return result.Ok(None)
        return self._catch_up(changes)

    def learn(self, delta: messages.Delta) -> None:
        """Put in force what a peer knows past our own sequence number."""
        self.counters.count("settings.learned_from_peer")
        self._apply_all(delta.subtrees, delta.sequence)

    def since(self, sequence: int) -> messages.Delta:
        """Return what changed past `sequence`, as much as one answer may hold."""
        later = sorted(
            (i.subtree for i in self.by_team.values() if i.subtree.sequence > sequence),
            key=lambda subtree: subtree.sequence,
        )
        size = 0
        for number, subtree in enumerate(later):
            size += len(codec.to_json(subtree))
            if number and size > MAX_DELTA_BYTES:
                # The first ones in order are complete up to the last of them.
                kept = later[:number]
                reached = min(kept[-1].sequence, self.sequence)
                return messages.Delta(reached, tuple(kept))
        return messages.Delta(self.sequence, tuple(later))

    def apply(self, subtree: messages.Subtree) -> bool:
        """Put a subtree in force unless a later one is; tell whether either is."""
        present = self.by_team.get(subtree.team)
        if present is not None and present.subtree.sequence >= subtree.sequence:
            return True
        checked = checks.check(subtree.content)
        if isinstance(checked, result.Err):
            faults = checked.err_value.faults
            # Values stay out of the log: they may be parts of secrets.
            why = [f"{fault.path}: expected {fault.expected}" for fault in faults]
            self._log_malformed(subtree.team, subtree.sequence, why)
            return False
        self.by_team[subtree.team] = InForce(subtree, checked.ok_value)
        self.max_sequence = max(self.max_sequence, subtree.sequence)
        self._index_tokens()
        log.info("in force", team=subtree.team, revision=subtree.revision)
        return True

    def were_read(self) -> bool:
        """Tell whether this process has read the teams' settings from the table."""
        return self.read_at is not None and bool(self.by_team)

    def age(self) -> float | None:
        """Return the seconds since the table last answered; None if never."""
        if self.read_at is None:
            return None
        return self.clock.monotonic() - self.read_at

    def describe(self) -> Status:
        """Return what the status shows of the settings."""
        return Status(self.sequence, self.age(), self.stale, len(self.by_team))

    def identify(self, token: str) -> Identity | None:
        """Return whose `token` this is, or None."""
        return self.identity_by_digest.get(digest_of(token))

    def urgent_jobs(self, team: str) -> bool:
        """Tell whether a team's jobs may be urgent."""
        in_force = self.by_team.get(team)
        return in_force is not None and in_force.settings.urgent

    def declared_quota(self, team: str) -> schema.Quota | None:
        """Return a team's quota as its settings declare it, if it is known."""
        in_force = self.by_team.get(team)
        return in_force.settings.quota if in_force else None

    def quota(self, team: str) -> resources.Resources:
        """Return a team's quota; nothing if the team is unknown."""
        quota = self.declared_quota(team)
        if quota is None:
            return resources.Resources()
        return resources.Resources(quota.cpus, accelerators=quota.accelerators)

    def operation(
        self, team: str, service: str, operation: str
    ) -> schema.Operation | None:
        """Return a team's operation, or None if it is not declared."""
        in_force = self.by_team.get(team)
        if in_force is None:
            return None
        return in_force.settings.services.get(service, {}).get(operation)

    def _catch_up(
        self, changes: messages.Changes
    ) -> result.Result[None, errors.Unavailable]:
        teams = changes.teams_since(self.sequence)
        try:
            if teams is None:
                self.counters.count("settings.read_all")
                found = read_all(self.rows)
            else:
                found = read_teams(self.rows, teams)
        except codec.DecodeError as exc:
            # The decoder's text quotes what it read, which may be a hash.
            self._log_malformed("", changes.sequence, [type(exc).__name__])
            return result.Ok(None)
        if isinstance(found, result.Err):
            self.counters.count("settings.read_failed")
            return found
        self._apply_all(found.ok_value.values(), changes.sequence)
        return result.Ok(None)

    def _apply_all(
        self, subtrees: cabc.Iterable[messages.Subtree], sequence: int
    ) -> None:
        taken = [self.apply(subtree) for subtree in subtrees]
        # A subtree that this program can't read leaves the number where it is,
        # so that no one is told that the change is in force here.
        if all(taken):
            self.sequence = max(self.sequence, sequence)
            self.max_sequence = max(self.max_sequence, sequence)

    def _restore(self) -> result.Result[None, errors.Unavailable]:
        """Write back what the table has lost.

        The table was put back to an earlier state, or we were told of a change
        by a peer between its commit and our read. Accepted changes must not
        revert, and only the instances still hold them. The check on the row of
        changes lets one instance win; the others see its higher number. While
        a reachable peer is further on, it is left to that peer.
        """
        self.counters.count("settings.table_behind")
        if self.sequence < self.peers_sequence:
            return result.Ok(None)
        if self.random.random() >= RESTORE_PROBABILITY:
            return result.Ok(None)
        found = self.rows.read([messages.CHANGES_KEY])
        if isinstance(found, result.Err):
            return found
        changes, version = changes_of(found.ok_value)
        if changes.sequence >= self.max_sequence:
            return result.Ok(None)
        present = table.scan_all(self.rows, messages.TEAM_PREFIX)
        if isinstance(present, result.Err):
            return present
        rows = {row.key: row for row in present.ok_value}
        transaction = self._restore_transaction(rows, changes, version)
        if isinstance(self.rows.commit(transaction), result.Ok):
            self.counters.count("settings.restored")
            log.warning("restored", sequence=self.sequence)
        return result.Ok(None)

    def _restore_transaction(
        self, rows: dict[str, table.Row], changes: messages.Changes, version: int
    ) -> table.Transaction:
        sequence = self.max_sequence + 1
        checked = [table.Check(messages.CHANGES_KEY, version)]
        writes = []
        lost = []
        for in_force in self.by_team.values():
            held = in_force.subtree
            key = messages.team_key(held.team)
            row = rows.get(key)
            stored = codec.from_json(row.value, messages.Subtree) if row else None
            if stored is not None and stored.sequence >= held.sequence:
                continue
            revision = max(held.revision, stored.revision + 1 if stored else 0)
            kept = dataclasses.replace(held, revision=revision, sequence=sequence)
            text = codec.to_json(kept)
            checked.append(table.Check(key, row.version if row else table.ABSENT))
            writes.append(table.Write(key, text))
            writes.append(table.Write(messages.history_key(held.team, revision), text))
            lost.append(held.team)
        moved = changes.with_change(sequence, *lost)
        writes.append(table.Write(messages.CHANGES_KEY, codec.to_json(moved)))
        return table.Transaction(tuple(checked), tuple(writes))

    def _log_malformed(self, team: str, sequence: int, why: list[str]) -> None:
        self.counters.count("settings.malformed")
        if self.logged_malformed.get(team) == sequence:
            return
        self.logged_malformed[team] = sequence
        log.error("malformed", team=team, sequence=sequence, why=why)

    def _index_tokens(self) -> None:
        self.identity_by_digest = {
            token.sha256: Identity(in_force.team, token.name, token.operator)
            # In one order everywhere, should two teams hold one hash after all.
            for _, in_force in sorted(self.by_team.items(), reverse=True)
            for token in in_force.settings.tokens
        }

    def _update_age(self) -> None:
        age = self.age()
        if age is not None:
            self.counters.gauge("settings.age_seconds", age)
        stale = age is None or age > STALE_AFTER_S
        if stale != self.stale:
            self.stale = stale
            self.counters.count("settings.went_stale" if stale else "settings.renewed")
            log.warning("stale" if stale else "renewed", sequence=self.sequence)


def digest_of(token: str) -> str:
    """Return the form in which a token is stored."""
    return hashlib.sha256(token.encode()).hexdigest()


def changes_of(rows: dict[str, table.Row]) -> tuple[messages.Changes, int]:
    """Return the row of changes among `rows`, and its version."""
    row = rows.get(messages.CHANGES_KEY)
    if row is None:
        return messages.Changes(), table.ABSENT
    return codec.from_json(row.value, messages.Changes), row.version


def read_changes(
    rows: table.Table,
) -> result.Result[messages.Changes, errors.Unavailable]:
    """Return the row of changes."""
    found = rows.read([messages.CHANGES_KEY])
    return found.map(lambda read: changes_of(read)[0])


def read_teams(
    rows: table.Table, teams: cabc.Iterable[str]
) -> result.Result[dict[str, messages.Subtree], errors.Unavailable]:
    """Return the subtrees of `teams` that exist, by team."""
    found = rows.read([messages.team_key(team) for team in teams])
    return found.map(lambda read: decode(read.values()))


def read_all(
    rows: table.Table,
) -> result.Result[dict[str, messages.Subtree], errors.Unavailable]:
    """Return all subtrees by team."""
    return table.scan_all(rows, messages.TEAM_PREFIX).map(decode)


def decode(rows: cabc.Iterable[table.Row]) -> dict[str, messages.Subtree]:
    """Return the subtrees that `rows` hold, by team."""
    subtrees = [codec.from_json(row.value, messages.Subtree) for row in rows]
    return {subtree.team: subtree for subtree in subtrees}
