"""Structured logs: one JSON line for each event, without blocking the caller.

Lines are queued in a bounded buffer and written to standard output by a greenlet.
If the reader of the output stalls, or an event is logged too often, lines are
dropped rather than requests delayed. Dropped lines are counted by event, and the
counts are logged.
"""

import collections
import contextvars
import errno
import os
import sys
import time
import typing as t

import gevent
import gevent.os
import logbook
import msgspec

#: Id of the request that the current greenlet serves, or empty.
REQUEST_ID: contextvars.ContextVar[str] = contextvars.ContextVar(
    "request_id", default=""
)

#: Largest number of queued lines, about 1 MB.
MAX_QUEUED_LINES = 4000
#: Lines of one event that are logged in a second; further ones are only counted. It
#: is above the 240 task starts a second that one instance has to log.
MAX_LINES_PER_SECOND = 400
#: Longest text of one field; clients choose some of them, such as paths.
MAX_FIELD_CHARS = 500
#: Seconds between flushes.
FLUSH_INTERVAL_S = 0.2
#: Largest number of bytes written by one system call. Up to this size a write to a
#: pipe is atomic; larger writes led to truncated lines at some readers.
MAX_WRITE_BYTES = 4096


class BoundedHandler(logbook.Handler):
    """Queues lines and drops those above its limits.

    `write` is called with bytes and returns how many of them it wrote.
    """

    def __init__(self, write: t.Callable[[bytes], int], level: str) -> None:
        super().__init__(level=level)
        self.write = write
        self.formatter = format_record
        self.lines: collections.deque[str] = collections.deque()
        #: Remainder of a chunk that was written only in part.
        self.unwritten = b""
        #: Dropped lines by event and reason since they were last logged.
        self.dropped: collections.Counter[tuple[str, str]] = collections.Counter()
        self.count_this_second: collections.Counter[str] = collections.Counter()
        self.second = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        event = record.message
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.count_this_second.clear()
        self.count_this_second[event] += 1
        if self.count_this_second[event] > MAX_LINES_PER_SECOND:
            self.dropped[event, "frequent"] += 1
        elif len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped[event, "reader_stalls"] += 1
        else:
            self.lines.append(self.format(record))

    def flush(self) -> None:
        """Write queued lines until the output would block."""
        while self.unwritten or self.lines:
            if not self.unwritten:
                self.unwritten = self._chunk()
            written = self.write(self.unwritten)
            if written <= 0:
                return
            self.unwritten = self.unwritten[written:]
        if self.dropped:
            self._log_dropped()

    def run(self) -> t.NoReturn:
        """Flush periodically."""
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def _chunk(self) -> bytes:
        lines: list[str] = []
        size = 0
        while self.lines and size < MAX_WRITE_BYTES:
            line = self.lines.popleft()
            lines.append(line)
            size += len(line) + 1
        return ("\n".join(lines) + "\n").encode()

    def _log_dropped(self) -> None:
        dropped, self.dropped = self.dropped, collections.Counter()
        for (event, reason), count in dropped.items():
            log.warning("lines left out", of=event, reason=reason, count=count)


log = logbook.Logger("logs")


def write_stdout(data: bytes) -> int:
    """Write to standard output without blocking; return the number of bytes written."""
    try:
        return os.write(sys.stdout.fileno(), data[:MAX_WRITE_BYTES])
    except OSError as exc:
        if exc.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
            return 0
        # The reader is gone, so the error cannot be reported; discard the data.
        return len(data)


def format_record(record: logbook.LogRecord, handler: t.Any) -> str:
    """Return `record` as one JSON object on one line."""
    fields = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "slice": record.channel,
        "event": record.message,
    }
    fields.update(record.extra)
    fields.update({name: shorten(value) for name, value in record.kwargs.items()})
    if record.exc_info:
        fields["exception"] = record.formatted_exception
    return msgspec.json.encode(fields, enc_hook=str).decode()


def shorten(value: t.Any) -> t.Any:
    """Return a field's value, cut off if it is a text that is too long.

    The buffer is bounded in lines: full of lines with long paths it took 64 MB.
    """
    if isinstance(value, str) and len(value) > MAX_FIELD_CHARS:
        return value[:MAX_FIELD_CHARS] + "..."
    return value


def setup(
    instance: str,
    data_centre: str,
    level: str = "INFO",
    write: t.Callable[[bytes], int] | None = None,
) -> BoundedHandler:
    """Send all logs of the process to standard output as JSON lines.

    Returns the handler; its `flush` writes the remaining lines when the process ends.
    """
    if write is None:
        gevent.os.make_nonblocking(sys.stdout.fileno())
        write = write_stdout
    handler = BoundedHandler(write, level.upper())
    handler.push_application()

    def add_origin(record: logbook.LogRecord) -> None:
        record.extra["instance"] = instance
        record.extra["data_centre"] = data_centre
        request_id = REQUEST_ID.get()
        if request_id:
            record.extra["request_id"] = request_id

    logbook.Processor(add_origin).push_application()
    gevent.spawn(handler.run)
    return handler
