"""``/v1/settings``: the administration API for operators.

A team's operators read and change their own subtree; the platform's administrator has
access to all of them and may create teams. Callers from other teams get 404 for a
team's subtree, whether it exists or not.
"""

import dataclasses
import hmac
import re
import secrets
import typing as t

import falcon
import msgspec
import result

from mangosail import codec
from mangosail.front import context
from mangosail.settings import changes, checks, errors, exchange, messages, state

#: Names of teams and change ids; both become parts of row keys.
TEAM_NAME_PATTERN = re.compile("[a-z0-9][a-z0-9-]{0,62}")
CHANGE_ID_PATTERN = re.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
#: Author recorded in the history for changes by the administrator.
ADMINISTRATOR = "administrator"
#: Retry-After in seconds for a change whose result is not known.
RETRY_AFTER_S = 1
#: Revisions listed in one answer: the maximum, and the default.
MAX_HISTORY = 100
DEFAULT_HISTORY = 20


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """A team's settings as shown in a response."""

    team: str
    revision: int
    change_id: str
    author: str
    changed_at: float
    content: dict[str, t.Any]
    #: ``table``, or ``memory`` while the table is unreachable.
    read_from: str
    changed: tuple[messages.Difference, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Why a change was not made, or why that is not known."""

    title: str
    #: ``not_made`` if that is certain, otherwise ``unknown``.
    outcome: str
    faults: tuple[errors.Fault, ...] = ()
    revision: int | None = None
    author: str | None = None
    changed_at: float | None = None
    change_id: str | None = None


class Administration:
    """Authorization, and access to the settings, for the resources below."""

    def __init__(
        self,
        front: context.Front,
        change_rows: changes.Changes,
        spreading: exchange.SettingsExchange,
        admin_token_sha256: str | None,
    ) -> None:
        self.front = front
        self.changes = change_rows
        self.spread = spreading
        self.admin_token_sha256 = admin_token_sha256

    def is_administrator(self, req: falcon.Request) -> bool:
        """Return whether the caller is the platform's administrator."""
        scheme, _, token = (req.auth or "").partition(" ")
        if scheme.lower() != "bearer" or self.admin_token_sha256 is None:
            return False
        return hmac.compare_digest(state.token_digest(token), self.admin_token_sha256)

    def author(self, req: falcon.Request, team: str) -> str:
        """Return the author to record for changes to `team`, or refuse the request."""
        if self.is_administrator(req):
            if not TEAM_NAME_PATTERN.fullmatch(team):
                raise falcon.HTTPNotFound(title="unknown_team")
            return ADMINISTRATOR
        identity = self.front.authenticate(req)
        if identity.team != team:
            self.front.counters.count("settings.refused.other_team")
            raise falcon.HTTPNotFound(title="unknown_team")
        if not identity.operator:
            self.front.counters.count("settings.refused.not_operator")
            raise falcon.HTTPForbidden(title="operator_required")
        return identity.token

    def subtree(self, team: str) -> tuple[messages.Subtree, str]:
        """Return a team's subtree and where it was read from."""
        found = self.changes.read(team)
        held = self.front.settings.by_team.get(team)
        if isinstance(found, result.Err):
            self.front.counters.count("settings.served_from_memory")
            subtree, read_from = (held.subtree if held else None), "memory"
        else:
            subtree, read_from = found.ok_value, "table"
        if subtree is None:
            raise falcon.HTTPNotFound(title="unknown_team")
        return subtree, read_from


class TeamsResource:
    """``GET /v1/settings``: the teams that the caller may operate."""

    def __init__(self, administration: Administration) -> None:
        self.administration = administration

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """List the teams, and their revisions in force on this instance."""
        in_force = self.administration.front.settings.by_team
        if self.administration.is_administrator(req):
            teams = sorted(in_force)
        else:
            teams = [self.administration.front.authenticate(req).team]
            self.administration.author(req, teams[0])
        resp.text = codec.to_json(
            {"teams": {team: in_force[team].version for team in teams}}
        )


class TeamResource:
    """``GET`` and ``PUT /v1/settings/{team}``: one team's subtree."""

    def __init__(self, administration: Administration) -> None:
        self.administration = administration

    def on_get(self, req: falcon.Request, resp: falcon.Response, team: str) -> None:
        """Return the current settings, without token hashes."""
        self.administration.author(req, team)
        subtree, read_from = self.administration.subtree(team)
        resp.text = codec.to_json(view(subtree, read_from))

    def on_put(self, req: falcon.Request, resp: falcon.Response, team: str) -> None:
        """Change the settings; with ``dry_run=true`` only return the difference."""
        author = self.administration.author(req, team)
        change = self._change(req)
        if req.get_param_as_bool("dry_run", default=False):
            answer = self.administration.changes.preview(team, change, author)
        else:
            answer = self.administration.changes.change(team, change, author)
        if isinstance(answer, result.Err):
            refuse(resp, answer.err_value)
            return
        resp.text = codec.to_json(answer.ok_value)

    def _change(self, req: falcon.Request) -> messages.Change:
        body = self.administration.front.read_body(req)
        if isinstance(body, dict):
            body.setdefault("change_id", secrets.token_hex(8))
        try:
            change = msgspec.convert(body, messages.Change)
        except msgspec.ValidationError as exc:
            raise falcon.HTTPBadRequest(
                title="malformed", description=str(exc)
            ) from exc
        if not CHANGE_ID_PATTERN.fullmatch(change.change_id):
            raise falcon.HTTPBadRequest(
                title="malformed",
                description="change_id: expected 1 to 64 letters, digits, . _ -",
            )
        if (change.content is None) == (change.content_of is None):
            raise falcon.HTTPBadRequest(
                title="malformed", description="expected content or content_of"
            )
        return change


class HistoryResource:
    """``GET /v1/settings/{team}/history``: who changed what, and when."""

    def __init__(self, administration: Administration) -> None:
        self.administration = administration

    def on_get(self, req: falcon.Request, resp: falcon.Response, team: str) -> None:
        """List the last ``limit`` revisions, latest first."""
        self.administration.author(req, team)
        limit = req.get_param_as_int(
            "limit", default=DEFAULT_HISTORY, min_value=1, max_value=MAX_HISTORY
        )
        found = self.administration.changes.history(team, limit)
        if isinstance(found, result.Err):
            raise falcon.HTTPServiceUnavailable(
                title="store_unavailable", retry_after=RETRY_AFTER_S
            )
        views = [view(subtree, "table") for subtree in found.ok_value]
        resp.text = codec.to_json({"team": team, "revisions": views})


class RolloutResource:
    """``GET /v1/settings/{team}/rollout``: where the current revision is in force."""

    def __init__(self, administration: Administration) -> None:
        self.administration = administration

    def on_get(self, req: falcon.Request, resp: falcon.Response, team: str) -> None:
        """Return the instances and data centres that have the revision in force."""
        self.administration.author(req, team)
        subtree, _ = self.administration.subtree(team)
        resp.text = codec.to_json(
            self.administration.spread.rollout(team, subtree.revision, subtree.sequence)
        )


def add_routes(app: falcon.App, administration: Administration) -> None:
    """Add the administration API to the application."""
    prefix = "/v1/settings"
    app.add_route(prefix, TeamsResource(administration))
    app.add_route(prefix + "/{team}", TeamResource(administration))
    app.add_route(prefix + "/{team}/history", HistoryResource(administration))
    app.add_route(prefix + "/{team}/rollout", RolloutResource(administration))


def view(subtree: messages.Subtree, read_from: str) -> View:
    """Return `subtree` in the form shown in responses."""
    return View(
        subtree.team,
        subtree.revision,
        subtree.change_id,
        subtree.author,
        subtree.changed_at,
        checks.without_token_hashes(subtree.content),
        read_from,
        subtree.changed,
    )


def refuse(resp: falcon.Response, error: errors.ChangeError) -> None:
    """Write why a change was not made, or why that is not known."""
    status, refused = refusal(error)
    resp.status = status
    resp.text = codec.to_json(refused)
    if status == falcon.HTTP_SERVICE_UNAVAILABLE:
        resp.set_header("Retry-After", f"{RETRY_AFTER_S:g}")


def refusal(error: errors.ChangeError) -> tuple[str, Refused]:
    """Return the response status and body for `error`."""
    match error:
        case errors.BadSettings(faults):
            refused = Refused("bad_settings", "not_made", faults)
            return falcon.HTTP_UNPROCESSABLE_ENTITY, refused
        case errors.Superseded(revision, author, changed_at):
            refused = Refused(
                "superseded", "not_made", (), revision, author, changed_at
            )
            return falcon.HTTP_CONFLICT, refused
        case errors.ChangeIdConflict(revision):
            refused = Refused("change_id_conflict", "not_made", (), revision)
            return falcon.HTTP_CONFLICT, refused
        case errors.UnknownRevision(revision):
            refused = Refused("unknown_revision", "not_made", (), revision)
            return falcon.HTTP_NOT_FOUND, refused
        case errors.Undecided(change_id, reason):
            refused = Refused(reason, "unknown", change_id=change_id)
            return falcon.HTTP_SERVICE_UNAVAILABLE, refused
