import logbook
import result
from behave import given, then, when
from tests.support import memory

from mangosail.platform import errors as store_errors
from mangosail.scheduler import ports, row_watcher
from mangosail.telemetry import counters


class QuietRows:
    """A store in which nothing changes, and which is away for a while."""

    def __init__(self, clock):
        self.clock = clock
        self.away = (0.0, 0.0)
        self.waits = []
        self.answered = []

    def read_all(self, prefix, heard):
        return result.Ok(ports.Changes((), (), 1))

    def changes(self, prefix, after, wait, heard, most):
        self.waits.append(wait)
        gone_at, back_at = self.away
        if gone_at <= self.clock.now < back_at:
            return result.Err(store_errors.Unavailable("away"))
        self.clock.sleep(wait)
        self.answered.append(self.clock.now)
        return result.Ok(ports.Changes((), (), after))


@given("rows that are followed with waits of {wait:g} s")
def followed(context, wait):
    context.clock = memory.Clock(0.0)
    context.rows = QuietRows(context.clock)
    counts = counters.StatsdCounters(None, 0)
    context.follower = row_watcher.RowWatcher(
        context.rows, "jobs/", lambda *_: None, context.clock, counts, wait
    )


@when("the store is away from {gone_at:g} s to {back_at:g} s")
def away(context, gone_at, back_at):
    context.rows.away = (gone_at, back_at)
    context.back_at = back_at
    with logbook.TestHandler() as handler:
        while context.clock.now < back_at + 2:
            context.follower.watch_once()
    context.lines = handler.records


@then("the store is heard of again within {seconds:g} s of its return")
def heard_again(context, seconds):
    first = min(t for t in context.rows.answered if t >= context.back_at)
    assert first <= context.back_at + seconds, first


@then("requests wait for changes again")
def waits_again(context):
    assert context.rows.waits[-1] == context.follower.wait, context.rows.waits


@then("one line says that following was interrupted, why, and at which version")
def interrupted(context):
    (line,) = [r for r in context.lines if r.message == "following interrupted"]
    assert (line.kwargs["reason"], line.kwargs["version"]) == ("away", 1), line.kwargs


@then("one line says after how many seconds it went on")
def went_on(context):
    (line,) = [r for r in context.lines if r.message == "following again"]
    assert 3.5 <= line.kwargs["seconds"] <= 4.5, line.kwargs
