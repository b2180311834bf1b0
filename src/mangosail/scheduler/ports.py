"""What the scheduler needs of the outside: workers to order, rows to follow."""

import collections.abc as cabc
import dataclasses
import typing as t

import result

from mangosail.platform import errors as store_errors
from mangosail.platform import table
from mangosail.scheduler import errors, messages


class WorkerClient(t.Protocol):
    """Carries orders to workers; one call is one request."""

    def start(
        self, worker: messages.WorkerEntry, order: messages.StartOrder
    ) -> result.Result[int, errors.OrderError]:
        """Start a run, and return the worker's clock."""

    def stop(
        self, worker: messages.WorkerEntry, task: str, run: int, token: int
    ) -> result.Result[int, errors.OrderError]:
        """Stop a run, or bar it if it is not there yet; return the worker's clock."""

    def throttle(
        self,
        worker: messages.WorkerEntry,
        task: str,
        run: int,
        percent: int,
        token: int,
    ) -> result.Result[int, errors.OrderError]:
        """Let a run work at `percent` of its speed; return the worker's clock."""

    def poll(
        self,
        worker: messages.WorkerEntry,
        token: int,
        acknowledged: int,
        deadline: int | None,
        wait: float,
        out_of_band: bool = False,
    ) -> result.Result[messages.WorkerReport, errors.OrderError]:
        """Extend the lease to `deadline` and return what runs and what ended.

        Ends up to `acknowledged` are forgotten by the worker. The answer waits for
        an end, at most `wait` seconds. A look `aside` does not stand behind another
        one that waits.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Rows that changed, in order, and the version to go on from."""

    rows: tuple[table.Row, ...]
    removed: tuple[str, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The changes asked for are no longer kept: all rows must be read again."""


@dataclasses.dataclass(frozen=True, slots=True)
class TooLong:
    """The changes take longer to read than they are worth."""


#: Called whenever a part of an answer has come, while the rest is on its way.
OnData = cabc.Callable[[], None]


def ignore_data() -> None:
    """Heed no part of an answer but the whole."""


class WatchableTable(table.Table, t.Protocol):
    """A table whose changes can be followed."""

    def read_all(
        self, prefix: str, on_data: OnData = ignore_data
    ) -> result.Result[Changes, store_errors.Unavailable]:
        """Return every row under `prefix` and a version to follow changes from."""

    def changes(
        self,
        prefix: str,
        after: int,
        wait: float,
        on_data: OnData = ignore_data,
        max_bytes: int | None = None,
    ) -> result.Result[Changes, store_errors.Unavailable | HistoryLost | TooLong]:
        """Return what changed under `prefix` after a version, waiting for a change.

        Changes of which the rows' texts take more than `most` bytes may not be read.
        """
