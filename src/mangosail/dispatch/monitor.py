"""Monitoring of an owned worker by polling its snapshots."""

import collections.abc as cabc
import typing as t

import result

from mangosail import clock as clocks
from mangosail.dispatch import errors, messages, target
from mangosail.telemetry import counters as telemetry

#: Seconds that one long poll waits for a change.
POLL_WAIT_S = 1.0
#: Minimum seconds between two polls. A busy worker changes all the time, and each poll
#: decodes all of its tasks.
POLL_INTERVAL_S = 0.1
#: Seconds between polls while the worker does not answer.
RETRY_INTERVAL_S = 0.5


class Listener(t.Protocol):
    """Receives the snapshots of a worker."""

    def on_snapshot(self, worker: str, snapshot: messages.Snapshot) -> None:
        """Handle a snapshot of all tasks of the worker."""

    def on_unreachable(self, worker: str) -> None:
        """Handle that the worker is unreachable until the next snapshot."""


class Monitor:
    """Polls one worker until it is stopped."""

    def __init__(
        self,
        worker: str,
        worker_target: target.Target,
        listeners: cabc.Sequence[Listener],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.worker = worker
        self.target = worker_target
        self.listeners = listeners
        self.clock = clock
        self.counters = counters
        self.stopped = False
        self.version = -1
        #: Consecutive failed polls.
        self.failed_polls = 0

    def follow(self) -> None:
        """Poll until `stopped` is set."""
        while not self.stopped:
            next_poll = self.clock.monotonic() + POLL_INTERVAL_S
            self.poll()
            self.clock.sleep(max(next_poll - self.clock.monotonic(), 0.0))

    def poll(self) -> None:
        """Fetch one snapshot and pass it to the listeners."""
        wait = POLL_WAIT_S if self.version >= 0 else 0.0
        answer = self.target.snapshot(self.version, wait)
        if self.stopped:
            # The worker was lost while this poll waited, and may be followed by
            # another monitor again, so the snapshot is outdated.
            return
        if isinstance(answer, result.Err):
            self._on_failure(answer.err_value)
            return
        self.failed_polls = 0
        self.version = answer.ok_value.version
        for listener in self.listeners:
            listener.on_snapshot(self.worker, answer.ok_value)

    def _on_failure(self, error: errors.DispatchError) -> None:
        """Distinguish an unreachable worker from a silent connection.

        A single lost poll may be caused by its connection, which is retired, and a
        second poll is sent at once over a new one. Only if that is lost too, or if no
        connection can be opened, is the worker reported as unreachable, and no work
        is sent to it until a poll succeeds.
        """
        self.counters.count("dispatch.snapshot_failed")
        self.version = -1
        self.failed_polls += 1
        if self.failed_polls == 1 and not isinstance(error, errors.NotSent):
            return
        for listener in self.listeners:
            listener.on_unreachable(self.worker)
        self.clock.sleep(RETRY_INTERVAL_S)
