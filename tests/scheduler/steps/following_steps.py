import gevent
import gevent.event
import logbook
import result
from behave import given, then, when
from tests.support import memory

from mangosail.intake import catalogs
from mangosail.platform import errors as store_errors
from mangosail.platform import table
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
    # Each read runs in a greenlet of its own.
    with logbook.TestHandler().applicationbound() as handler:
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


class SlowBulk(UnchangingRows):
    """A store whose first read of all rows ends late, with the rows of its time."""

    def __init__(self, clock, version):
        super().__init__(clock)
        self.version = version
        self.rows = ()
        self.reads = 0
        self.may_end = gevent.event.Event()

    def read_all(self, prefix, on_data):
        self.reads += 1
        answer = ports.Changes(self.rows, (), self.version)
        if self.reads == 1:
            self.may_end.wait()
        return result.Ok(answer)

    def changes(self, prefix, after, wait, on_data, max_bytes):
        return result.Err(ports.HistoryLost())


@given("a store whose history is {history}, and a watcher that is reading all rows")
def reading_all(context, history):
    context.clock = memory.Clock(0.0)
    context.rows = SlowBulk(context.clock, 5)
    context.catalogs = catalogs.Catalogs(
        context.rows, "op//config", lambda text: None, context.clock,
        counters.StatsdCounters(None, 0), closed_prefix="op//evacuate/",
    )  # fmt: skip
    context.watcher = context.catalogs.watcher
    if history == "lost":
        context.watcher.version = 100
    context.first = gevent.spawn(context.watcher.read_once, 0)
    gevent.sleep(0)


@when("a data centre is closed, a second read learns of that, and the first one ends")
def closed_meanwhile(context):
    context.rows.version = 6
    context.rows.rows = (table.Row("op//evacuate/dc", "", 6),)
    assert context.watcher.read_once(0)
    assert context.catalogs.closed_data_centres() == {"dc"}
    first_ends(context)


@when("the first read ends")
def first_ends(context):
    context.rows.may_end.set()
    context.first.join()
    assert context.first.value


@then("the data centre is still closed, at the version of the second read")
def still_closed(context):
    assert context.catalogs.closed_data_centres() == {"dc"}
    assert context.watcher.version == 6, context.watcher.version


@then("the rows of the new store are delivered, at their version")
def new_store(context):
    assert context.watcher.version == 5, context.watcher.version
