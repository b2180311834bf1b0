"""Rows that store settings, and requests and answers about changes."""

import dataclasses
import typing as t

#: Prefix of the rows that hold the teams' subtrees.
TEAM_PREFIX = "settings/team/"
#: The row that every change updates and that instances poll for changes.
CHANGES_KEY = "settings/changes"
#: Changes listed in `Changes`; an instance that is further behind reads all
#: subtrees.
MAX_RECENT_CHANGES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One path whose value differs; None means absent."""

    path: str
    old: t.Any
    new: t.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Subtree:
    """A team's subtree after a change, stored as its row and as a history row."""

    team: str
    #: Counts the team's changes from 1.
    revision: int
    #: Counts the changes of all teams; orders the versions of this subtree.
    sequence: int
    change_id: str
    #: Name of the token that made the change.
    author: str
    #: Wall-clock time of the change.
    changed_at: float
    content: dict[str, t.Any]
    changed: tuple[Difference, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Recent:
    """One of the last changes."""

    sequence: int
    team: str


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The last change's sequence number, and the teams of the most recent ones."""

    sequence: int = 0
    recent: tuple[Recent, ...] = ()

    def teams_since(self, sequence: int) -> list[str] | None:
        """Return the teams changed after `sequence`, or None if not all are listed."""
        first = self.recent[0].sequence if self.recent else self.sequence + 1
        if sequence + 1 < first:
            return None
        return sorted({r.team for r in self.recent if r.sequence > sequence})

    def with_change(self, sequence: int, *teams: str) -> "Changes":
        """Return the row as it is after change number `sequence`, made to `teams`."""
        added = tuple(Recent(sequence, team) for team in teams)
        return Changes(sequence, (*self.recent, *added)[-MAX_RECENT_CHANGES:])


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """A change id that was used, so that a retry gets the first answer."""

    revision: int
    #: SHA-256 of the requested change.
    digest: str
    changed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change requested by an operator.

    Either `content` is the new content, or `content_of` names the revision whose
    content is restored.
    """

    change_id: str
    #: The revision that the change is based on; 0 for a team that has none yet.
    revision: int
    content: t.Any = None
    content_of: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change that was committed."""

    team: str
    revision: int
    change_id: str
    changed_at: float
    changed: tuple[Difference, ...] = ()
    warnings: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """All subtrees changed after a requested sequence number, up to `sequence`."""

    sequence: int
    subtrees: tuple[Subtree, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Since:
    """Asks a peer for the subtrees changed after `sequence`."""

    sequence: int


def team_key(team: str) -> str:
    """Return the key of a team's subtree."""
    return TEAM_PREFIX + team


def history_key(team: str, revision: int) -> str:
    """Return the key of one revision in a team's history."""
    return f"settings/history/{team}/{revision:08d}"


def change_key(team: str, change_id: str) -> str:
    """Return the key of the record of a change id."""
    return f"settings/change/{team}/{change_id}"
