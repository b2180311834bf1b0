"""A target as the rest of the program sees it."""

import collections.abc as cabc
import typing as t

import result

from mangosail.dispatch import errors, messages

#: Called when an order goes out, with whether its connection has carried answers.
OnSent = cabc.Callable[[bool], None]


def ignore_sent(proven: bool) -> None:
    """Take no note of when an order goes out."""


class Target(t.Protocol):
    """The service on one worker. Deadlines are monotonic seconds."""

    def run(
        self, start: messages.Start, deadline: float, on_sent: OnSent = ignore_sent
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Run an idempotent task and return its answer in the same exchange."""

    def start(
        self, start: messages.Start, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Start a task that goes on after the exchange."""

    def look_up(
        self, task_id: str, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Return what the worker knows of `task_id`."""

    def void(
        self, task_id: str, generation: int, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Make sure that this generation does not run from now on.

        The report tells whether it never ran (`void`), was stopped (`stopped`)
        or had already ended (`done`, `failed`).
        """

    def checkpoint(
        self, task_id: str, name: str, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Have the worker store the task's state as object `name`."""

    def throttle(
        self, task_id: str, share: float, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Let the task have `share` of its processors, from 0 to 1."""

    def renew(
        self, lease_deadline: float, owner_generation: int, deadline: float
    ) -> result.Result[None, errors.DispatchError]:
        """Move the lease of all tasks of this worker on to `lease_deadline`."""

    def snapshot(
        self, since: int, wait: float
    ) -> result.Result[messages.Snapshot, errors.DispatchError]:
        """Return all tasks as soon as something is newer than `since`.

        Waits `wait` seconds at most, then returns what there is.
        """

    def watch(
        self, subject: str, after: int, idle_timeout: float
    ) -> cabc.Iterator[result.Result[dict[str, t.Any], errors.DispatchError]]:
        """Yield the events of `subject` past sequence number `after`.

        An empty event says that the worker has opened the stream. Ends without
        an error only when the worker ended the stream as a whole;
        `Lost` after `silence` seconds without an event, or on half an event.
        """

    def retire_idle(self) -> None:
        """Close the idle connections: one like them was found silent."""
