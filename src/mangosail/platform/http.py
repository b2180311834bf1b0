"""The platform over HTTP: the only module that knows the platform's protocol.

Another platform needs another adapter with these three classes, and no change
elsewhere.
"""

import typing as t

import result

from mangosail import codec
from mangosail.platform import caller as http_caller
from mangosail.platform import errors, inventory, table

OK = 200
NOT_MODIFIED = 304
CONFLICT = 409
UNAVAILABLE = 503
NOT_FOUND = 404


def unavailable(
    answer: result.Result[http_caller.Reply, http_caller.CallError],
) -> errors.Unavailable:
    """Return why a read failed."""
    if isinstance(answer, result.Err):
        return errors.Unavailable(answer.err_value.reason)
    return errors.Unavailable(f"status {answer.ok_value.status}")


class HttpTable:
    """The table service over HTTP."""

    def __init__(self, caller: http_caller.Caller) -> None:
        self.caller = caller

    def read(
        self, keys: t.Sequence[str]
    ) -> result.Result[dict[str, table.Row], errors.Unavailable]:
        """Return the rows of `keys` that exist."""
        rows = self._rows("/table/read", {"keys": list(keys)})
        return rows.map(lambda found: {row.key: row for row in found})

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> result.Result[list[table.Row], errors.Unavailable]:
        """Return up to `limit` rows under `prefix` with keys past `after`, by key."""
        query = {"prefix": prefix, "after": after, "limit": limit}
        return self._rows("/table/scan", query)

    def commit(
        self, transaction: table.Transaction
    ) -> result.Result[int, errors.CommitError]:
        """Apply `transaction` and return the version that its writes got."""
        body = codec.to_json(transaction).encode()
        answer = self.caller.call("POST", "/table/commit", body)
        if isinstance(answer, result.Err):
            return answer
        reply = answer.ok_value
        if reply.status == OK:
            return result.Ok(codec.from_json(reply.body, dict)["version"])
        if reply.status == CONFLICT:
            key = codec.from_json(reply.body, dict)["key"]
            return result.Err(errors.Conflict(key))
        if reply.status == UNAVAILABLE:
            return result.Err(errors.Unavailable(f"status {reply.status}"))
        # Any other status may come from a proxy that gave up on the request.
        return result.Err(errors.Uncertain(f"status {reply.status}"))

    def _rows(
        self, path: str, query: dict[str, t.Any]
    ) -> result.Result[list[table.Row], errors.Unavailable]:
        answer = self.caller.call("POST", path, codec.to_json(query).encode())
        if isinstance(answer, result.Ok) and answer.ok_value.status == OK:
            return result.Ok(codec.from_json(answer.ok_value.body, list[table.Row]))
        return result.Err(unavailable(answer))


class HttpObjects:
    """The object store over HTTP."""

    def __init__(self, caller: http_caller.Caller) -> None:
        self.caller = caller

    def put(self, name: str, data: bytes) -> result.Result[None, errors.Uncertain]:
        """Store `data` under `name`, replacing what was there."""
        answer = self.caller.call("PUT", f"/objects/{name}", data)
        if isinstance(answer, result.Err):
            return result.Err(errors.Uncertain(answer.err_value.reason))
        if answer.ok_value.status == OK:
            return result.Ok(None)
        return result.Err(errors.Uncertain(f"status {answer.ok_value.status}"))

    def get(self, name: str) -> result.Result[bytes | None, errors.Unavailable]:
        """Return the object `name`, or None if there is none."""
        answer = self.caller.call("GET", f"/objects/{name}")
        if isinstance(answer, result.Ok):
            if answer.ok_value.status == OK:
                return result.Ok(answer.ok_value.body)
            if answer.ok_value.status == NOT_FOUND:
                return result.Ok(None)
        return result.Err(unavailable(answer))


class HttpInventory:
    """The list of instances and workers over HTTP.

    The list is long and seldom changes. If the platform sends its version as an ETag,
    the list is transferred only after a change.
    """

    def __init__(self, caller: http_caller.Caller) -> None:
        self.caller = caller
        self.etag = ""
        self.listing = inventory.Listing()

    def fetch(self) -> result.Result[inventory.Listing, errors.Unavailable]:
        """Return the current list."""
        known = {"If-None-Match": self.etag} if self.etag else {}
        answer = self.caller.call("GET", "/inventory", headers=known)
        if isinstance(answer, result.Err):
            return result.Err(unavailable(answer))
        reply = answer.ok_value
        if reply.status == NOT_MODIFIED and self.etag:
            return result.Ok(self.listing)
        if reply.status != OK:
            return result.Err(unavailable(answer))
        self.listing = codec.from_json(reply.body, inventory.Listing)
        self.etag = reply.etag
        return result.Ok(self.listing)
