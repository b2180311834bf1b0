import types

import result
from behave import given, then, when

from mangosail import resources
from mangosail.control import loop, tails
from mangosail.dispatch import messages as dispatch_messages
from mangosail.jobs import room
from mangosail.placement import choice, placer, workers
from mangosail.platform import inventory
from mangosail.settings import schema
from mangosail.telemetry import counters
from mangosail.work import messages as work_messages

USAGE_LAG = 1.0
CAPACITY = resources.Resources(32, 125, 2, 8, 64)


class Scene:
    """A worker, its tasks and quotes, as plain sums; time is a number."""

    def __init__(self):
        self.now = 100.0
        self.base = 0.7
        self.tasks = {}
        self.noise = {}
        self.memory = {}
        self.shares = {}
        self.orders = []
        self.evicted = []
        self.measured = []
        self.tails = tails.Tails()
        worker = inventory.Worker("w", "dc", "r", "127.0.0.1:1", CAPACITY)
        self.owned = workers.OwnedWorker(worker, 1, self)
        self.owned.ready = True
        owned = self.workers = workers.Workers()
        owned.add(self.owned)
        self.settings = types.SimpleNamespace(by_team={})
        lease = types.SimpleNamespace(valid=lambda: True)
        self.control = loop.ControlLoop(
            owned, self.tails, self, self.settings, lease, self,
            counters.StatsdCounters(None, 0),
        )  # fmt: skip

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now

    def requests_on_worker(self, name):
        return list(self.tasks.values())

    def add(self, name, kind, noise, memory=4.0, job="j"):
        needs = resources.Resources(4, 4, 0, 1)
        self.tasks[f"t/{name}"] = work_messages.Request(
            "t", name, kind, needs, None, restartable=bool(job), job=job
        )
        self.noise[f"t/{name}"] = noise
        self.memory[f"t/{name}"] = memory

    def throttle(self, task_id, share, deadline):
        self.orders.append(task_id)
        self.shares[task_id] = share
        return result.Ok(None)

    def evict(self, task_id, reason):
        self.evicted.append((self.now, task_id))
        return result.Ok(self.tasks.pop(task_id))

    def ratio(self):
        added = [self.noise[t] * self.shares.get(t, 1.0) for t in self.tasks]
        return self.base * (1 + sum(added))

    def measure(self):
        used = {t: resources.Resources(4, self.memory[t]) for t in self.tasks}
        total = sum(needs.memory_gb for needs in used.values())
        usage = dispatch_messages.Usage(self.now, 4, total, used)
        self.measured.append(usage)
        old = [u for u in self.measured if u.measured_at <= self.now - USAGE_LAG]
        self.owned.usage = old[-1] if old else self.owned.usage

    def pass_seconds(self, seconds):
        for _ in range(int(seconds / loop.INTERVAL_S)):
            for _ in range(5):
                self.tails.observe("w", "t", 1.0, self.now, self.ratio())
            self.measure()
            self.now += loop.INTERVAL_S
            self.control.step()


@given("a worker with batch tasks")
def with_tasks(context):
    context.scene = Scene()
    for row in context.table:
        memory = float(row.get("memory_gb", 4.0))
        context.scene.add(row["id"], row["kind"], float(row["noise"]), memory)


@given(
    "a worker that is slow by itself, with {count:d} tasks of noise {noise:g} "
    "and a release"
)
def slow_worker(context, count, noise):
    context.scene = Scene()
    context.scene.base = 2.0
    for number in range(count):
        context.scene.add(f"j.{number}", "scan", noise)
    context.scene.add("release", "fuel.release", 0.5, job="")


@given("the team weighs {order}")
def weighs(context, order):
    aims = tuple(schema.Aim(aim) for aim in order.split(", "))
    settings = types.SimpleNamespace(weights=aims)
    in_force = types.SimpleNamespace(settings=settings)
    context.scene.settings.by_team["t"] = in_force


@when("{seconds:d} seconds pass")
def wait(context, seconds):
    context.scene.pass_seconds(seconds)


@when('"{name}" ends and {seconds:d} seconds pass')
def end(context, name, seconds):
    del context.scene.tasks[f"t/{name}"]
    context.scene.pass_seconds(seconds)


@then("quotes are within their target")
def within(context):
    assert context.scene.ratio() <= 1.0, context.scene.ratio()


@then('"{noisy}" is throttled and "{quiet}" is not')
def throttled(context, noisy, quiet):
    shares = context.scene.shares
    assert shares[f"t/{noisy}"] < 0.5, shares
    assert shares.get(f"t/{quiet}", 1.0) == 1.0, shares


@then("nothing was evicted after at most {most:d} orders")
def few_orders(context, most):
    assert not context.scene.evicted, context.scene.evicted
    assert 0 < len(context.scene.orders) <= most, context.scene.orders


@then("the worker takes batch tasks again")
def takes_again(context):
    assert not context.scene.owned.closed_to_batch


@then(
    "at least {least:d} and at most {most:d} tasks were evicted, "
    "the first after {seconds:d} seconds"
)
def bounded(context, least, most, seconds):
    evicted = context.scene.evicted
    assert least <= len(evicted) <= most, evicted
    assert seconds <= evicted[0][0] - 100.0 <= seconds + 5, evicted


@then("the release was neither throttled nor evicted")
def spared(context):
    touched = {*context.scene.orders, *(t for _, t in context.scene.evicted)}
    assert "t/release" not in touched


@then('only "{name}" was evicted')
def only(context, name):
    assert [task for _, task in context.scene.evicted] == [f"t/{name}"]


@then("no task is throttled any more")
def none_throttled(context):
    assert set(context.scene.shares.values()) == {1.0}, context.scene.shares


@then(
    "a batch task that has waited {seconds:d} seconds is kept no worker "
    "and finds no room"
)
def kept_none(context, seconds):
    scene = context.scene
    count = scene.control.counters
    place = placer.Placer(
        scene.workers, choice.Policy.LEAST_LOADED, 1, scene, count,
        lambda team: None, lambda: [CAPACITY],
    )  # fmt: skip
    places = room.Room(scene.workers, place, scene, scene, count)
    request = scene.tasks["t/noisy"]
    places.make_room(request, False, scene.now - seconds)
    assert places.reservation is None
    assert not places.fits(request)
