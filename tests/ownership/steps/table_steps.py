import json

import gevent
import gevent.event
import result
from behave import given, then, when
from tests.support import fakes, memory

from mangosail import resources
from mangosail.dispatch import messages as dispatch_messages
from mangosail.ownership import messages, owners, session, session_observer
from mangosail.placement import workers
from mangosail.platform import inventory
from mangosail.telemetry import counters

WORKER = inventory.Worker(
    "w", "dc", "rack", "127.0.0.1:1", resources.Resources(32, 125, 2, 8, 60)
)


class Party:
    """One instance: its `Owners` and session, on a shared table."""

    def __init__(self, name, rows, clock):
        self.clock = clock
        self.snapshot = dispatch_messages.Snapshot(1)
        row = messages.SessionRow(name, f"{name}-1", "dc", "127.0.0.1:1", 0.0)
        self.lease = session.Session(rows, clock, row)
        self.workers = workers.Workers()
        self.lost = []
        self.owners = owners.Owners(
            rows,
            self.lease,
            session_observer.SessionObserver(clock, self.lease.lease_duration),
            self.workers,
            self,
            (self,),
            clock,
            counters.StatsdCounters(None, 0),
        )
        self.owners.absences.update(["a", "b"])

    def connect(self, worker, generation):
        return workers.OwnedWorker(worker, generation, None, self.lease.valid)

    def fetch_snapshot(self, worker):
        return self.snapshot

    def on_taken(self, owned):
        owned.ready = True

    def on_lost(self, owned):
        self.lost.append(owned.name)

    def refresh(self):
        self.lease.renew()
        self.owners.refresh([WORKER])
        return self.workers.get("w")


@given("two instances that share a table and one worker")
def two(context):
    context.world = fakes.World()
    context.rows = fakes.Table(context.world)
    context.clock = memory.Clock(100.0)
    context.a = Party("a", context.rows, context.clock)
    context.b = Party("b", context.rows, context.clock)


@when('"a" claims the worker and the answer is lost')
def claim_answer_lost(context):
    context.a.lease.renew()
    context.world.table_fault = "lost"
    context.a.owners.refresh([WORKER])
    assert context.a.workers.get("w") is None
    row = json.loads(context.world.rows["owner/dc/w"].value)
    assert row["instance"] == "a"


@then('"a" uses the worker after its next refresh')
def uses_after_refresh(context):
    assert context.a.refresh().generation == 1


@when('"a" claims the worker and releases everything')
def release_all(context):
    assert context.a.refresh()
    context.a.owners.release_all(context.clock.now + 5)
    assert context.a.workers.get("w") is None and context.a.lost == ["w"]


def release_during_renewal(context):
    """Release everything after the renewal took effect, before its answer came."""
    context.world.on_pause = lambda: release(context)
    context.world.table_fault = "paused"
    context.renewed = context.a.lease.renew()


def release_with(fault):
    def act(context):
        context.world.table_fault = fault
        release(context)

    return act


def release_after_lost_renewal(context):
    context.world.table_fault = "lost"
    context.a.lease.renew()
    release(context)


RELEASES = {
    "the answer to a renewal was lost": release_after_lost_renewal,
    "a renewal is in flight": release_during_renewal,
    "the table refuses the first write": release_with("down_once"),
    "the answer to the write is lost": release_with("lost"),
}


def release(context):
    context.a.owners.release_all(context.clock.now + 5)


@when('"a" claims the worker and releases everything, and {event}')
def release_all_despite(context, event):
    assert context.a.refresh()
    RELEASES[event](context)


@then('"a" has no lease, and did not take its session for lost')
def released_for_good(context):
    assert not context.a.lease.valid()
    assert context.a.lease.renew().is_ok()
    assert getattr(context, "renewed", result.Ok(None)).is_ok(), context.renewed


@then('"b" has the whole worker after its next refresh')
def whole(context):
    owned = context.b.refresh()
    assert owned.ledger.free(durable=False) == WORKER.capacity, owned.ledger.promised


@when('"a" claims the worker and its session expires with 2 slots of durable work')
def session_expires(context):
    needs = resources.Resources(slots=2)
    assert context.a.refresh().ledger.reserve("t", needs)
    report = dispatch_messages.Report(
        "t", 1, dispatch_messages.TaskState.RUNNING, needs=needs, owner_generation=1
    )
    context.b.snapshot = dispatch_messages.Snapshot(1, (report,))
    context.b.refresh()
    context.clock.now += 4
    assert context.a.workers.get("w").ledger.free(durable=False).slots == 3


@then('"b" claims it and withholds 3 slots')
def withholds(context):
    context.b.refresh()
    # The session is ended in one refresh, and its workers are claimed in the next.
    assert context.b.refresh().ledger.withheld().slots == 3


@when('"a" is registered again but writes by "b" fail')
def registered(context):
    context.a.lease.renew()
    context.a.owners.handle_session_loss()
    context.a.lease.renew()
    context.commit, context.rows.commit = context.rows.commit, fail
    context.b.owners.refresh([WORKER])


def fail(transaction):
    return owners.result.Err(owners.errors.Unavailable("down"))


@then('"b" still withholds 3 slots')
def still_withholds(context):
    assert context.b.workers.get("w").ledger.withheld().slots == 3


@when("the table accepts writes again")
def writes_again(context):
    context.rows.commit = context.commit


@when('"a" claims the worker and the table is down for longer than the lease')
def fail_all(context):
    assert context.a.refresh()
    context.b.owners.refresh([WORKER])
    context.world.table_fault = "down"
    for _ in range(5):
        context.clock.now += 1
        context.b.owners.refresh([WORKER])
    assert not context.a.lease.valid()
    context.world.table_fault = ""


@then('"b" refreshes first and "a" still has the whole worker after its renewal')
def still_whole(context):
    context.b.owners.refresh([WORKER])
    assert context.a.refresh().ledger.free() == WORKER.capacity
    assert context.a.lease.row.incarnation == "a-1"


@when('"a" claims the worker, and loses its session to "b" before the answer')
def lost_before_answer(context):
    a, b = context.a, context.b

    def before_answer():
        b.refresh()
        context.clock.now += 4
        # The session is ended in one refresh, and its workers are claimed in the next.
        b.refresh()
        b.refresh()
        assert a.lease.renew().is_err()
        a.owners.handle_session_loss()
        assert a.lease.renew().is_ok()

    assert a.lease.renew().is_ok()
    context.world.on_pause = before_answer
    context.world.table_fault = "paused"
    a.owners.refresh([WORKER])


@then('"b" has the worker and "a" has none')
def b_has_it(context):
    assert context.b.workers.get("w").generation == 2
    owned = context.a.workers.get("w")
    assert owned is None, owned.ledger.free()


@when('"a" claims the worker, and is waiting for its quotes at the answer')
def waiting_at_answer(context):
    a = context.a
    assert a.lease.renew().is_ok()
    quote = inventory.Worker("q", "dc", "rack", "127.0.0.1:1", WORKER.capacity)
    other = a.connect(quote, 1)
    assert other.ledger.reserve("quote", resources.Resources(slots=1), durable=False)
    a.workers.add(other)
    loss = gevent.spawn(a.owners.handle_session_loss)
    waiting = gevent.event.Event()

    def wait(seconds):
        waiting.set()
        gevent.sleep(0)

    context.clock.sleep = wait
    # This refresh has found the lease valid, and its claim is answered after the loss.
    context.world.on_pause = waiting.wait
    context.world.table_fault = "paused"
    a.owners._claim(WORKER, None)
    other.ledger.release("quote")
    loss.join()


@then('"a" has no worker as its new run is registered')
def has_none(context):
    assert context.a.lease.row.incarnation != "a-1"
    assert not list(context.a.workers), list(context.a.workers)
