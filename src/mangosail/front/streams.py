"""Watches: streams of events that survive the loss of the worker they are read from.

A watch reads one worker's stream at a time. When the stream breaks or goes silent, the
watch continues on another worker after the last event that it read, so the caller gets
each event once. An empty line every few seconds serves as a keep-alive. If the watch
ends early, the last line ``{"resume_after": n, "reason": ...}`` tells the caller where
to resume.
"""

import collections.abc as cabc
import typing as t

import gevent
import gevent.queue
import result

from mangosail import clock as clocks
from mangosail import codec, resources
from mangosail.placement import workers
from mangosail.telemetry import counters as telemetry

#: Seconds without an event after which the watch resumes on another worker, and after
#: which the caller is sent a keep-alive line.
EVENT_TIMEOUT_S = 5.0
#: Seconds between attempts to resume a stream.
RESUME_INTERVAL_S = 0.25
#: Seconds without an open stream after which a watch ends: when the caller reconnects,
#: it may reach an instance that has a worker to read from.
NO_WORKER_TIMEOUT_S = 5.0
#: Number of workers on which to try opening the stream, even after that timeout.
MIN_WORKERS_TRIED = 2
#: Number of events buffered for a slow caller.
READ_AHEAD = 16
#: Maximum number of open watches per instance.
MAX_WATCHES = 1024
#: Resources that a watch reserves on its worker.
NEEDS = resources.Resources(connections=1)


class End(t.NamedTuple):
    """The end of a watch: `reason` is empty if the stream itself ended."""

    reason: str


class Watches:
    """All open watches of this instance."""

    def __init__(
        self,
        owned_workers: workers.Workers,
        worker_expected: cabc.Callable[[], bool],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.owned_workers = owned_workers
        #: Returns whether this instance may acquire a worker within seconds.
        self.worker_expected = worker_expected
        self.clock = clock
        self.counters = counters
        self.open: set[Watch] = set()
        self.draining = False

    def drain(self) -> None:
        """End all watches, at points from which they can be resumed."""
        self.draining = True
        for watch in list(self.open):
            watch.end("draining")

    def refusal(self) -> str:
        """Return why no watch can be opened now, or an empty string."""
        if self.draining:
            return "draining"
        if len(self.open) >= MAX_WATCHES:
            return "too_many_watches"
        if self.owned_workers.fitting(NEEDS, durable=False):
            return ""
        # An instance is ready as soon as a peer can serve quotes for it, up to 3 s
        # before it owns a worker and longer before it has read that worker's tasks.
        # Watches requested in between were refused although nothing was wrong. They are
        # opened instead, and wait for a worker for at most `NO_WORKER_TIMEOUT_S`.
        starting = self.worker_expected() and not any(
            owned.ready for owned in self.owned_workers
        )
        return "" if starting else "no_capacity"


class Watch:
    """One caller's watch: one greenlet reads events, the caller's one writes them."""

    def __init__(
        self,
        watches: Watches,
        task_id: str,
        subject: str,
        after: int,
        deadline: float,
    ) -> None:
        self.watches = watches
        self.task_id = task_id
        self.subject = subject
        #: Sequence number of the last event that was written to the caller.
        self.last_delivered = after
        #: Sequence number of the last event that was read from a worker.
        self.last_read = after
        self.deadline = deadline
        self.lines: gevent.queue.Queue[dict[str, t.Any] | End] = gevent.queue.Queue(
            READ_AHEAD
        )
        self.end_reason = ""
        #: Monotonic time at which the watch ends unless a worker opens the stream.
        self.open_deadline = watches.clock.monotonic() + NO_WORKER_TIMEOUT_S
        #: Workers tried since the last event.
        self.tried: set[str] = set()

    def stream(self) -> cabc.Iterator[bytes]:
        """Yield the lines for the caller."""
        self.watches.open.add(self)
        self.watches.counters.count("front.watch.opened")
        reader = gevent.spawn(self._read)
        try:
            yield from self._lines()
        finally:
            reader.kill(block=False)
            self.watches.open.discard(self)
            self.watches.counters.count("front.watch.closed")

    def end(self, reason: str) -> None:
        """End the watch after the line that is currently being written."""
        self.end_reason = reason
        if self.lines.empty():
            self.lines.put_nowait(End(reason))

    def _lines(self) -> cabc.Iterator[bytes]:
        while not self.end_reason:
            left = self.deadline - self.watches.clock.monotonic()
            if left <= 0:
                self.end_reason = "deadline"
                break
            try:
                line = self.lines.get(timeout=min(EVENT_TIMEOUT_S, left))
            except gevent.queue.Empty:
                yield b"\n"
                continue
            if isinstance(line, End):
                if not line.reason:
                    return
                self.end_reason = line.reason
                break
            yield encode_line(line)
            self.last_delivered = line["sequence"]
        self.watches.counters.count(f"front.watch.ended.{self.end_reason}")
        yield encode_line(
            {"resume_after": self.last_delivered, "reason": self.end_reason}
        )

    def _read(self) -> None:
        """Read from one worker after another until the stream ends."""
        clock = self.watches.clock
        previous: workers.OwnedWorker | None = None
        while True:
            owned = self._choose_worker(previous)
            if clock.monotonic() >= self.open_deadline and not self._may_try(owned):
                break
            if owned is None:
                clock.sleep(RESUME_INTERVAL_S)
                continue
            previous = owned
            self.tried.add(owned.name)
            before = self.last_read
            if self._read_from(owned):
                self.lines.put(End(""))
                return
            self.watches.counters.count("front.watch.resumed")
            if self.last_read == before:
                clock.sleep(RESUME_INTERVAL_S)
        self.lines.put(End("no_worker"))

    def _may_try(self, owned: workers.OwnedWorker | None) -> bool:
        """Return whether to try a worker although the time for opening is over.

        A single worker that does not answer uses up all of that time: without further
        attempts, a new watch ended with ``no_worker`` while other workers were healthy.
        """
        if owned is None or owned.name in self.tried:
            return False
        return len(self.tried) < MIN_WORKERS_TRIED

    def _choose_worker(
        self, previous: workers.OwnedWorker | None
    ) -> workers.OwnedWorker | None:
        """Return a worker with a free connection, other than `previous` if possible."""
        fitting = self.watches.owned_workers.fitting(NEEDS, durable=False)
        others = [owned for owned in fitting if owned is not previous]
        if not others:
            return fitting[0] if fitting else None
        return max(others, key=lambda owned: owned.ledger.free().connections)

    def _read_from(self, owned: workers.OwnedWorker) -> bool:
        """Read from `owned`, and return whether the stream ended regularly."""
        if not owned.ledger.reserve(self.task_id, NEEDS, durable=False):
            return False
        try:
            for event in owned.target.watch(
                self.subject, self.last_read, EVENT_TIMEOUT_S
            ):
                if isinstance(event, result.Err):
                    reason = type(event.err_value).__name__.lower()
                    self.watches.counters.count(f"front.watch.broken.{reason}")
                    return False
                self._accept_event(event.ok_value)
            return True
        finally:
            owned.ledger.release(self.task_id)

    def _accept_event(self, event: dict[str, t.Any]) -> None:
        """Queue an event for the caller unless it was queued before."""
        self.open_deadline = (
            self.watches.clock.monotonic() + NO_WORKER_TIMEOUT_S + EVENT_TIMEOUT_S
        )
        self.tried.clear()
        if not event:
            return
        sequence = event.get("sequence")
        if not isinstance(sequence, int) or sequence <= self.last_read:
            self.watches.counters.count("front.watch.repeated")
            return
        self.last_read = sequence
        self.lines.put(event)


def encode_line(line: dict[str, t.Any]) -> bytes:
    """Return the bytes of a line."""
    return codec.to_json(line).encode() + b"\n"
