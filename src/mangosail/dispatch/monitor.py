"""One task for each owned worker that follows what the worker says of itself."""

import collections.abc as cabc
import typing as t

import result

from mangosail import clock as clocks
from mangosail.dispatch import errors, messages, target
from mangosail.telemetry import counters as telemetry

#: Seconds that one long poll waits for news.
POLL_WAIT_S = 1.0
#: Seconds between two polls at least. A busy worker has news all the time, and
#: each poll costs the reading of all its tasks.
POLL_INTERVAL_S = 0.1
#: Seconds between attempts while the worker does not answer.
RETRY_INTERVAL_S = 0.5


class Listener(t.Protocol):
    """Takes in what a worker said."""

    def on_snapshot(self, worker: str, snapshot: messages.Snapshot) -> None:
        """Handle all of the worker's tasks as they are now."""

    def on_unreachable(self, worker: str) -> None:
        """Handle that the worker can't be reached until the next snapshot."""


class Monitor:
    """Follows one worker by long polls until it is stopped."""

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
        #: Polls that failed since the last good one.
        self.failed_polls = 0

    def follow(self) -> None:
        """Poll until `stopped` is set."""
        while not self.stopped:
            next_poll = self.clock.monotonic() + POLL_INTERVAL_S
            self.poll()
            self.clock.sleep(max(next_poll - self.clock.monotonic(), 0.0))

    def poll(self) -> None:
        """Fetch one snapshot and hand it to the listeners."""
        wait = POLL_WAIT_S if self.version >= 0 else 0.0
        answer = self.target.snapshot(self.version, wait)
        if self.stopped:
            # The worker was lost, and perhaps taken again under another
            # monitor, while this poll waited: its news are too old by now.
            return
        if isinstance(answer, result.Err):
            self._on_failure(answer.err_value)
            return
        self.failed_polls = 0
        self.version = answer.ok_value.version
        for listener in self.listeners:
            listener.on_snapshot(self.worker, answer.ok_value)

    def _on_failure(self, error: errors.DispatchError) -> None:
        """Tell a worker that is out of reach from a connection gone silent.

        One lost poll may be the connection's fault: it is retired, and a second
        poll is sent at once over a new one. Only if that is lost too, or no
        connection can be opened, no work is sent there until a poll succeeds.
        """
        self.counters.count("dispatch.snapshot_failed")
        self.version = -1
        self.failed_polls += 1
        if self.failed_polls == 1 and not isinstance(error, errors.NotSent):
            return
        for listener in self.listeners:
            listener.on_unreachable(self.worker)
        self.clock.sleep(RETRY_INTERVAL_S)
