"""Interfaces that the scheduler needs: calls to workers, a table to watch."""

import collections.abc as cabc
import dataclasses
import typing as t

import result

from mangosail.platform import errors as store_errors
from mangosail.platform import table
from mangosail.scheduler import errors, messages


class WorkerClient(t.Protocol):
    """Sends orders to workers, one request per call."""

    def start(
        self, worker: messages.WorkerEntry, order: messages.StartOrder
    ) -> result.Result[int, errors.OrderError]:
        """Start a run, and return the worker's clock."""

    def stop(
        self, worker: messages.WorkerEntry, task: str, run: int, token: int
    ) -> result.Result[int, errors.OrderError]:
        """Stop a run, or prevent its start if it has not begun; return the clock."""

    def throttle(
        self,
        worker: messages.WorkerEntry,
        task: str,
        run: int,
        percent: int,
        token: int,
    ) -> result.Result[int, errors.OrderError]:
        """Limit a run to `percent` of its speed; return the worker's clock."""

    def poll(
        self,
        worker: messages.WorkerEntry,
        token: int,
        acknowledged: int,
        deadline: int | None,
        wait: float,
        out_of_band: bool = False,
    ) -> result.Result[messages.WorkerReport, errors.OrderError]:
        """Extend the lease to `deadline`, and return running and ended runs.

        The worker drops ends numbered up to `acknowledged`. It delays the answer for up
        to `wait` seconds until a run ends. A call `out_of_band` does not queue behind a
        pending one.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changed rows in order, and the version to read further changes from."""

    rows: tuple[table.Row, ...]
    removed: tuple[str, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The requested changes are no longer stored: all rows must be read again."""


@dataclasses.dataclass(frozen=True, slots=True)
class TooLong:
    """The changes exceed the size limit: reading all rows is cheaper."""


#: Called for each chunk of a response that arrives.
OnData = cabc.Callable[[], None]


def ignore_data() -> None:
    """Ignore the chunks of a response."""


class WatchableTable(table.Table, t.Protocol):
    """A table whose changes can be watched."""

    def read_all(
        self, prefix: str, on_data: OnData = ignore_data
    ) -> result.Result[Changes, store_errors.Unavailable]:
        """Return every row under `prefix` and the version to read changes from."""

    def changes(
        self,
        prefix: str,
        after: int,
        wait: float,
        on_data: OnData = ignore_data,
        max_bytes: int | None = None,
    ) -> result.Result[Changes, store_errors.Unavailable | HistoryLost | TooLong]:
        """Return changes under `prefix` after a version, or wait for the first one.

        May fail with `TooLong` if the values of the rows exceed `max_bytes`.
        """
