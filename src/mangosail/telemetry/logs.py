"""Structured logs by logbook: one JSON line for each decision, never blocking.

Lines wait in a bounded queue and are written to standard output by a task of their
own. A reader that stalls, or an event that comes too often, costs lines and never
the request that was logged; what was left out is counted by event and said in a
line of its own.
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

#: Id of the request that the present greenlet serves, or empty.
REQUEST_ID: contextvars.ContextVar[str] = contextvars.ContextVar(
    "request_id", default=""
)

#: Lines that wait to be written at most; about 1 MB.
MAX_QUEUED_LINES = 4000
#: Lines of one event that are taken in a second; more are only counted. Above the
#: 240 task starts a second that one instance has to log.
MAX_LINES_PER_SECOND = 400
#: Seconds between writings.
FLUSH_INTERVAL_S = 0.2
#: Bytes that one system call writes at most. A pipe takes this much whole or not at
#: all; of larger writes some readers lost the rest, and lines were torn.
MAX_WRITE_BYTES = 4096


class BoundedHandler(logbook.Handler):
    """Queues lines and leaves out what is too much.

    `write` is called with bytes and returns how many it took.
    """

    def __init__(self, write: t.Callable[[bytes], int], level: str) -> None:
        super().__init__(level=level)
        self.write = write
        self.formatter = format_record
        self.lines: collections.deque[str] = collections.deque()
        #: What is left of a chunk that was written in part.
        self.unwritten = b""
        #: Lines left out, by event and reason, since that was last said.
        self.dropped: collections.Counter[tuple[str, str]] = collections.Counter()
        self.count_this_second: collections.Counter[str] = collections.Counter()
        self.second = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a line, or count it as left out."""
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
        """Write what waits, as far as the reader takes it."""
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
        """Write again and again."""
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
        left_out, self.dropped = self.dropped, collections.Counter()
        for (event, reason), count in left_out.items():
            log.warning("lines left out", of=event, reason=reason, count=count)


log = logbook.Logger("logs")


def write_stdout(data: bytes) -> int:
    """Write to standard output, and return how many bytes it took at once."""
    try:
        return os.write(sys.stdout.fileno(), data[:MAX_WRITE_BYTES])
    except OSError as exc:
        if exc.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
            return 0
        # Nobody reads any more; there is nowhere to say so.
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
    fields.update(record.kwargs)
    if record.exc_info:
        fields["exception"] = record.formatted_exception
    return msgspec.json.encode(fields, enc_hook=str).decode()


def setup(
    instance: str,
    data_centre: str,
    level: str = "INFO",
    write: t.Callable[[bytes], int] | None = None,
) -> BoundedHandler:
    """Send logs of the whole process to standard output, one line each.

    Returns the handler, whose `flush` writes what waits when the process ends.
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
