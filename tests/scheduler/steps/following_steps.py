import logbook
import result
from behave import given, then, when
from tests.support import memory

from mangosail.platform import errors as store_errors
from mangosail.scheduler import ports, row_watcher
from mangosail.telemetry import counters


class UnchangingRows:
    """A store without changes, which is unavailable for some time."""

    def __init__(self, clock):
        self.clock = clock
        self.outage = (0.0, 0.0)
        self.waits = []
        self.answered = []

    def read_all(self, prefix, on_data):
        return result.Ok(ports.Changes((), (), 1))

    def changes(self, prefix, after, wait, on_data, max_bytes):
        self.waits.append(wait)
        down_at, back_at = self.outage
        if down_at <= self.clock.now < back_at:
            return result.Err(store_errors.Unavailable("down"))
        self.clock.sleep(wait)
        self.answered.append(self.clock.now)
        return result.Ok(ports.Changes((), (), after))


@given("rows that are watched with long polls of {wait:g} s")
def watched(context, wait):
    context.clock = memory.Clock(0.0)
    context.rows = UnchangingRows(context.clock)
    counts = counters.StatsdCounters(None, 0)
    context.watcher = row_watcher.RowWatcher(
        context.rows, "jobs/", lambda *_: None, context.clock, counts, wait
    )


@when("the store is down from {down_at:g} s to {back_at:g} s")
def down(context, down_at, back_at):
    context.rows.outage = (down_at, back_at)
    context.back_at = back_at
    with logbook.TestHandler() as handler:
        while context.clock.now < back_at + 2:
            context.watcher.watch_once()
    context.lines = handler.records


@then("a read succeeds within {seconds:g} s after the outage")
def reads_again(context, seconds):
    first = min(t for t in context.rows.answered if t >= context.back_at)
    assert first <= context.back_at + seconds, first


@then("the watcher uses long polls again")
def polls_again(context):
    assert context.rows.waits[-1] == context.watcher.wait, context.rows.waits


@then("one log line tells that the watch was interrupted, why, and at which version")
def interrupted(context):
    (line,) = [r for r in context.lines if r.message == "row watch interrupted"]
    assert (line.kwargs["reason"], line.kwargs["version"]) == ("down", 1), line.kwargs


@then("one log line tells after how many seconds it resumed")
def resumed(context):
    (line,) = [r for r in context.lines if r.message == "row watch resumed"]
    assert 3.5 <= line.kwargs["seconds"] <= 4.5, line.kwargs
