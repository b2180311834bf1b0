"""Interface of a target."""

import collections.abc as cabc
import typing as t

import result

from mangosail.dispatch import errors, messages

#: Called when a request is sent; the argument tells whether its connection has been
#: used for an answer before.
OnSent = cabc.Callable[[bool], None]


def ignore_sent(proven: bool) -> None:
    """Ignore that a request is sent."""


class Target(t.Protocol):
    """The service on one worker. Deadlines are monotonic seconds."""

    def run(
        self, start: messages.Start, deadline: float, on_sent: OnSent = ignore_sent
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Run an idempotent task and return its answer in the same exchange."""

    def start(
        self, start: messages.Start, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Start a task that continues after the exchange."""

    def look_up(
        self, task_id: str, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Return the report of the worker on `task_id`."""

    def void(
        self, task_id: str, generation: int, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Ensure that this generation of the task does not run from now on.

        The report tells whether it never ran (`void`), was stopped (`stopped`) or had
        already ended (`done`, `failed`).
        """

    def checkpoint(
        self, task_id: str, name: str, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Store the state of the task as the object `name`."""

    def throttle(
        self, task_id: str, share: float, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Limit the task to a `share` of its processors, from 0 to 1."""

    def renew(
        self, lease_deadline: float, owner_generation: int, deadline: float
    ) -> result.Result[None, errors.DispatchError]:
        """Extend the lease of all tasks on this worker to `lease_deadline`."""

    def snapshot(
        self, since: int, wait: float
    ) -> result.Result[messages.Snapshot, errors.DispatchError]:
        """Return all tasks as soon as the version is newer than `since`.

        After `wait` seconds, the current version is returned.
        """

    def watch(
        self, subject: str, after: int, idle_timeout: float
    ) -> cabc.Iterator[result.Result[dict[str, t.Any], errors.DispatchError]]:
        """Yield the events of `subject` after the sequence number `after`.

        An empty event signals that the worker has opened the stream. It ends without
        an error only if the worker ended the stream. `Lost` is yielded after
        `idle_timeout` seconds without an event, or on an incomplete event.
        """

    def retire_idle(self) -> None:
        """Close idle connections after another one was found to be silent."""
