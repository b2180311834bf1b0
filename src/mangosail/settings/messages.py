"""The rows that hold settings, and what is said about a change."""

import dataclasses
import typing as t

#: Prefix of the rows that hold the teams' subtrees.
TEAM_PREFIX = "settings/team/"
#: The row that every change moves on, and that instances read to learn of one.
CHANGES_KEY = "settings/changes"
#: Changes that `Changes` names; an instance further behind reads all subtrees.
MAX_RECENT_CHANGES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One path whose value differs; None stands for absent."""

    path: str
    old: t.Any
    new: t.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Subtree:
    """A team's subtree after a change: its row, and its row in the history."""

    team: str
    #: Counts the team's changes from 1.
    revision: int
    #: Counts all teams' changes; orders this subtree's contents everywhere.
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
    """The last change's sequence number, and which teams the last ones touched."""

    sequence: int = 0
    recent: tuple[Recent, ...] = ()

    def teams_since(self, sequence: int) -> list[str] | None:
        """Return the teams changed past `sequence`, or None if that is not known."""
        first = self.recent[0].sequence if self.recent else self.sequence + 1
        if sequence + 1 < first:
            return None
        return sorted({r.team for r in self.recent if r.sequence > sequence})

    def with_change(self, sequence: int, *teams: str) -> "Changes":
        """Return the row after a change of `teams`, numbered `sequence`."""
        added = tuple(Recent(sequence, team) for team in teams)
        return Changes(sequence, (*self.recent, *added)[-MAX_RECENT_CHANGES:])


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """Remembers a change id, so that asking again finds the first answer."""

    revision: int
    #: SHA-256 of what was asked for.
    digest: str
    changed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that an operator asks for.

    Either `content` holds the new content, or `content_of` names the revision
    whose content is to hold again.
    """

    change_id: str
    #: The revision that the operator saw; 0 for a team that has none yet.
    revision: int
    content: t.Any = None
    content_of: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change that stands."""

    team: str
    revision: int
    change_id: str
    changed_at: float
    changed: tuple[Difference, ...] = ()
    warnings: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """All subtrees changed past a sequence number, up to `sequence`."""

    sequence: int
    subtrees: tuple[Subtree, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Since:
    """Asks a peer for the subtrees changed past `sequence`."""

    sequence: int


def team_key(team: str) -> str:
    """Return the key of a team's subtree."""
    return TEAM_PREFIX + team


def history_key(team: str, revision: int) -> str:
    """Return the key of one revision in a team's history."""
    return f"settings/history/{team}/{revision:08d}"


def change_key(team: str, change_id: str) -> str:
    """Return the key under which a change id is remembered."""
    return f"settings/change/{team}/{change_id}"
