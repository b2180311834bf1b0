"""The object store: whole objects by name, for checkpoints and large answers."""

import typing as t

import result

from mangosail.platform import errors


class Objects(t.Protocol):
    """The platform's object store."""

    def put(self, name: str, data: bytes) -> result.Result[None, errors.Uncertain]:
        """Store `data` under `name`, replacing what was there."""

    def get(self, name: str) -> result.Result[bytes | None, errors.Unavailable]:
        """Return the object `name`, or None if there is none."""
