"""The settings in force on this instance, which never revert to an earlier change.

Changes of all teams are numbered in one sequence. An instance reads one row each
second for the last number and fetches only the subtrees that changed. When it
cannot read the table it gets them from its peers.
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

#: Seconds without an answer from the table after which settings count as stale.
STALE_AFTER_S = 10.0
#: Size limit of the subtrees in one answer to a peer.
MAX_DELTA_BYTES = 1024 * 1024
#: Probability that a refresh writes lost changes back, so that of many instances
#: that find the table behind only a few scan it completely.
RESTORE_PROBABILITY = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A team's settings in force and the subtree they were parsed from."""

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
    """The owner of a bearer token."""

    team: str
    token: str
    operator: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """How current the settings of an instance are."""

    sequence: int
    #: Seconds since the table last answered; None if it never did.
    age_seconds: float | None
    #: Whether that is longer ago than `STALE_AFTER_S`.
    stale: bool
    teams: int


class Settings:
    """The settings of all teams in force on this instance."""

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
        #: All changes up to this one are in force.
        self.sequence = 0
        #: The latest change in force; earlier ones may be missing.
        self.max_sequence = 0
        #: The highest sequence number reported by a reachable peer.
        self.peers_sequence = 0
        #: Monotonic time at which the last successful read was sent.
        self.read_at: float | None = None
        self.stale = False
        #: Monotonic time until which no change is made without having heard from
        #: peers: the table may have been restored from a backup, which only peers
        #: can tell.
        self.peers_deadline = 0.0
        #: The last sequence number logged as malformed, by team; "" stands for rows
        #: that cannot be decoded.
        self.logged_malformed: dict[str, int] = {}

    def refresh(self) -> result.Result[None, errors.Unavailable]:
        """Read changes from the table and put them in force."""
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
        """Put in force the changes in a peer's answer."""
        self.counters.count("settings.learned_from_peer")
        self._apply_all(delta.subtrees, delta.sequence)

    def since(self, sequence: int) -> messages.Delta:
        """Return the changes after `sequence` that fit into one answer."""
        later = sorted(
            (i.subtree for i in self.by_team.values() if i.subtree.sequence > sequence),
            key=lambda subtree: subtree.sequence,
        )
        size = 0
        for number, subtree in enumerate(later):
            size += len(codec.to_json(subtree))
            if number and size > MAX_DELTA_BYTES:
                # In order of sequence, so none is missing up to the last one kept.
                kept = later[:number]
                reached = min(kept[-1].sequence, self.sequence)
                return messages.Delta(reached, tuple(kept))
        return messages.Delta(self.sequence, tuple(later))

    def apply(self, subtree: messages.Subtree) -> bool:
        """Put a subtree in force unless a later one is; return False if malformed."""
        current = self.by_team.get(subtree.team)
        if current is not None and current.subtree.sequence >= subtree.sequence:
            return True
        checked = checks.check(subtree.content)
        if isinstance(checked, result.Err):
            faults = checked.err_value.faults
            # Values are not logged since they may contain secrets.
            why = [f"{fault.path}: expected {fault.expected}" for fault in faults]
            self._log_malformed(subtree.team, subtree.sequence, why)
            return False
        self.by_team[subtree.team] = InForce(subtree, checked.ok_value)
        self.max_sequence = max(self.max_sequence, subtree.sequence)
        self._index_tokens()
        log.info("in force", team=subtree.team, revision=subtree.revision)
        return True

    def have_been_read(self) -> bool:
        """Return whether this process has read teams' settings from the table."""
        return self.read_at is not None and bool(self.by_team)

    def age(self) -> float | None:
        """Return the seconds since the table last answered; None if it never did."""
        if self.read_at is None:
            return None
        return self.clock.monotonic() - self.read_at

    def describe(self) -> Status:
        """Return the state of the settings for the status page."""
        return Status(self.sequence, self.age(), self.stale, len(self.by_team))

    def identify(self, token: str) -> Identity | None:
        """Return the owner of `token`, or None if it is unknown."""
        return self.identity_by_digest.get(token_digest(token))

    def urgent_jobs(self, team: str) -> bool:
        """Return whether a team may submit urgent jobs."""
        in_force = self.by_team.get(team)
        return in_force is not None and in_force.settings.urgent

    def declared_quota(self, team: str) -> schema.Quota | None:
        """Return the quota in a team's settings, or None for an unknown team."""
        in_force = self.by_team.get(team)
        return in_force.settings.quota if in_force else None

    def quota(self, team: str) -> resources.Resources:
        """Return a team's quota as resources, empty for an unknown team."""
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
            # The decoder's message quotes its input, which may contain a hash.
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
        applied = [self.apply(subtree) for subtree in subtrees]
        # A subtree that this version cannot parse keeps the sequence number from
        # advancing, so that the change is not reported as in force here.
        if all(applied):
            self.sequence = max(self.sequence, sequence)
            self.max_sequence = max(self.max_sequence, sequence)

    def _restore(self) -> result.Result[None, errors.Unavailable]:
        """Write changes back that the table has lost.

        Either the table was restored to an earlier state, or a peer sent a change
        that was committed after the read of the table. Accepted changes must not
        revert, and only the instances still have them. The check on the changes row
        lets one instance succeed; the others see its higher sequence number. If a
        reachable peer has later changes, writing back is left to that peer.
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
        current = table.scan_all(self.rows, messages.TEAM_PREFIX)
        if isinstance(current, result.Err):
            return current
        rows = {row.key: row for row in current.ok_value}
        transaction = self._restore_transaction(rows, changes, version)
        if isinstance(self.rows.commit(transaction), result.Ok):
            self.counters.count("settings.restored")
            log.warning("settings restored", sequence=self.sequence)
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
        new_changes = changes.with_change(sequence, *lost)
        writes.append(table.Write(messages.CHANGES_KEY, codec.to_json(new_changes)))
        return table.Transaction(tuple(checked), tuple(writes))

    def _log_malformed(self, team: str, sequence: int, why: list[str]) -> None:
        self.counters.count("settings.malformed")
        if self.logged_malformed.get(team) == sequence:
            return
        self.logged_malformed[team] = sequence
        log.error("settings malformed", team=team, sequence=sequence, why=why)

    def _index_tokens(self) -> None:
        self.identity_by_digest = {
            token.sha256: Identity(in_force.team, token.name, token.operator)
            # A fixed order, so that all instances agree if two teams have one hash.
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
            log.warning(
                "settings stale" if stale else "settings renewed",
                sequence=self.sequence,
            )


def token_digest(token: str) -> str:
    """Return the SHA-256 of a token, which is stored in its place."""
    return hashlib.sha256(token.encode()).hexdigest()


def changes_of(rows: dict[str, table.Row]) -> tuple[messages.Changes, int]:
    """Return the changes row among `rows`, and its version."""
    row = rows.get(messages.CHANGES_KEY)
    if row is None:
        return messages.Changes(), table.ABSENT
    return codec.from_json(row.value, messages.Changes), row.version


def read_changes(
    rows: table.Table,
) -> result.Result[messages.Changes, errors.Unavailable]:
    """Read the changes row."""
    found = rows.read([messages.CHANGES_KEY])
    return found.map(lambda read: changes_of(read)[0])


def read_teams(
    rows: table.Table, teams: cabc.Iterable[str]
) -> result.Result[dict[str, messages.Subtree], errors.Unavailable]:
    """Read the subtrees of `teams` that exist, by team."""
    found = rows.read([messages.team_key(team) for team in teams])
    return found.map(lambda read: decode(read.values()))


def read_all(
    rows: table.Table,
) -> result.Result[dict[str, messages.Subtree], errors.Unavailable]:
    """Read all subtrees, by team."""
    return table.scan_all(rows, messages.TEAM_PREFIX).map(decode)


def decode(rows: cabc.Iterable[table.Row]) -> dict[str, messages.Subtree]:
    """Return the subtrees decoded from `rows`, by team."""
    subtrees = [codec.from_json(row.value, messages.Subtree) for row in rows]
    return {subtree.team: subtree for subtree in subtrees}
