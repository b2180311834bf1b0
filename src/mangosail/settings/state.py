"""The settings in force on this instance; a lower version is never applied."""

import dataclasses
import hashlib
import hmac

import logbook
import pydantic
import result

from mangosail import clock as clocks
from mangosail import resources
from mangosail.platform import errors, table
from mangosail.settings import schema
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("settings")

#: Prefix of the rows that hold the teams' subtrees.
PREFIX = "settings/team/"


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A team's settings and the version of the row they came from."""

    team: str
    settings: schema.TeamSettings
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who a bearer token belongs to."""

    team: str
    token: str
    operator: bool


class Settings:
    """All teams' settings that are in force here."""

    def __init__(
        self, rows: table.Table, clock: clocks.Clock, counters: telemetry.Counters
    ) -> None:
        self.rows = rows
        self.clock = clock
        self.counters = counters
        self.by_team: dict[str, InForce] = {}
        #: Monotonic time of the last read that the table answered.
        self.read_at: float | None = None

    def refresh(self) -> result.Result[None, errors.Unavailable]:
        """Read all subtrees and put newer ones in force."""
        found = table.scan_all(self.rows, PREFIX)
        if isinstance(found, result.Err):
            self.counters.count("settings.read_failed")
            return found
        self.read_at = self.clock.monotonic()
        for row in found.ok_value:
            self.apply(row.key.removeprefix(PREFIX), row.value, row.version)
        return result.Ok(None)

    def apply(self, team: str, text: str, version: int) -> bool:
        """Put a subtree in force unless a later one is; tell whether it was."""
        present = self.by_team.get(team)
        if present is not None and present.version >= version:
            return False
        try:
            settings = schema.TeamSettings.model_validate_json(text)
        except pydantic.ValidationError as exc:
            self.counters.count("settings.malformed")
            log.error("malformed", team=team, version=version, why=str(exc))
            return False
        self.by_team[team] = InForce(team, settings, version)
        log.info("in force", team=team, version=version)
        return True

    def identify(self, token: str) -> Identity | None:
        """Return whose `token` this is, or None."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        for in_force in self.by_team.values():
            for known in in_force.settings.tokens:
                if hmac.compare_digest(known.sha256, digest):
                    return Identity(in_force.team, known.name, known.operator)
        return None

    def urgent_jobs(self, team: str) -> bool:
        """Tell whether a team's jobs may be urgent."""
        in_force = self.by_team.get(team)
        return in_force is not None and in_force.settings.urgent

    def quota(self, team: str) -> resources.Resources:
        """Return a team's quota; nothing if the team is unknown."""
        in_force = self.by_team.get(team)
        if in_force is None:
            return resources.Resources()
        quota = in_force.settings.quota
        return resources.Resources(quota.cpus, accelerators=quota.accelerators)

    def operation(
        self, team: str, service: str, operation: str
    ) -> schema.Operation | None:
        """Return a team's operation, or None if it is not declared."""
        in_force = self.by_team.get(team)
        if in_force is None:
            return None
        return in_force.settings.services.get(service, {}).get(operation)
