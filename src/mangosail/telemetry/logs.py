"""Structured logs by logbook: one JSON line for each change of state."""

import contextvars
import sys
import typing as t

import logbook
import msgspec

#: Id of the request that the present greenlet serves, or empty.
REQUEST_ID: contextvars.ContextVar[str] = contextvars.ContextVar(
    "request_id", default=""
)


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
    return msgspec.json.encode(fields, enc_hook=str).decode()


def setup(instance: str, data_centre: str, level: str = "INFO") -> None:
    """Send logs of the whole process to standard error, one line each."""
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = format_record
    handler.push_application()

    def add_origin(record: logbook.LogRecord) -> None:
        record.extra["instance"] = instance
        record.extra["data_centre"] = data_centre
        request_id = REQUEST_ID.get()
        if request_id:
            record.extra["request_id"] = request_id

    logbook.Processor(add_origin).push_application()
