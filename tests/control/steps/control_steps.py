import types

import result
from behave import given, then, when

from mangosail import resources
from mangosail.control import loop, tails
from mangosail.dispatch import errors as dispatch_errors
from mangosail.dispatch import messages as dispatch_messages
from mangosail.jobs import room
from mangosail.placement import choice, placer, workers
from mangosail.platform import inventory
from mangosail.settings import schema
from mangosail.telemetry import counters
from mangosail.work import messages as work_messages

USAGE_LAG = 1.0
CAPACITY = resources.Resources(32, 125, 2, 8, 64)


class Simulation:
    """Simulated worker, tasks, quotes and clock with additive interference."""

    def __init__(self):
        self.now = 100.0
        self.base = 0.7
        self.tasks = {}
        self.noise = {}
        self.memory = {}
        self.shares = {}
        self.orders = []
        #: Number of next orders that are not answered, and whether they take effect.
        self.unanswered = 0
        self.unanswered_apply = False
        self.evicted = []
        self.measurements = []
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
        if self.unanswered:
            self.unanswered -= 1
            if self.unanswered_apply:
                self.shares[task_id] = share
            return result.Err(dispatch_errors.Lost("no answer"))
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
        self.measurements.append(usage)
        visible = [
            u for u in self.measurements if u.measured_at <= self.now - USAGE_LAG
        ]
        self.owned.usage = visible[-1] if visible else self.owned.usage

    def pass_seconds(self, seconds):
        for _ in range(int(seconds / loop.INTERVAL_S)):
            for _ in range(5):
                self.tails.observe("w", "t", 1.0, self.now, self.ratio())
            self.measure()
            self.now += loop.INTERVAL_S
            self.control.step()


@given("a worker with batch tasks")
def with_tasks(context):
    context.simulation = Simulation()
    for row in context.table:
        memory = float(row.get("memory_gb", 4.0))
        context.simulation.add(row["id"], row["kind"], float(row["noise"]), memory)


@given(
    "a worker that is slow by itself, with {count:d} tasks of noise {noise:g} "
    "and a release"
)
def slow_worker(context, count, noise):
    context.simulation = Simulation()
    context.simulation.base = 2.0
    for number in range(count):
        context.simulation.add(f"j.{number}", "scan", noise)
    context.simulation.add("release", "fuel.release", 0.5, job="")


@given("the team weighs {order}")
def set_weights(context, order):
    aims = tuple(schema.Aim(aim) for aim in order.split(", "))
    settings = types.SimpleNamespace(weights=aims)
    in_force = types.SimpleNamespace(settings=settings)
    context.simulation.settings.by_team["t"] = in_force


@given("an earlier owner left {share:g} of its processors to each task")
def throttled_before(context, share):
    simulation = context.simulation
    simulation.shares = dict.fromkeys(simulation.tasks, share)


@given("the next {count:d} orders are not answered")
def unanswered(context, count):
    context.simulation.unanswered = count


@given("the next {count:d} orders are carried out and not answered")
def answers_lost(context, count):
    context.simulation.unanswered = count
    context.simulation.unanswered_apply = True


@when("{seconds:d} seconds pass")
def wait(context, seconds):
    context.simulation.pass_seconds(seconds)


@when('"{name}" ends and {seconds:d} seconds pass')
def end(context, name, seconds):
    del context.simulation.tasks[f"t/{name}"]
    context.simulation.pass_seconds(seconds)


@when('"{name}" makes no more noise and {seconds:d} seconds pass')
def calm_down(context, name, seconds):
    context.simulation.noise[f"t/{name}"] = 0.0
    context.simulation.pass_seconds(seconds)


@then("quotes are within their target")
def within(context):
    assert context.simulation.ratio() <= 1.0, context.simulation.ratio()


@then('"{noisy}" is throttled and "{quiet}" is not')
def throttled(context, noisy, quiet):
    shares = context.simulation.shares
    assert shares[f"t/{noisy}"] < 0.5, shares
    assert shares.get(f"t/{quiet}", 1.0) == 1.0, shares


@then("nothing was evicted after at most {most:d} throttle requests")
def few_orders(context, most):
    assert not context.simulation.evicted, context.simulation.evicted
    assert 0 < len(context.simulation.orders) <= most, context.simulation.orders


@then("the worker takes batch tasks again")
def takes_again(context):
    assert not context.simulation.owned.closed_to_batch


@then(
    "at least {least:d} and at most {most:d} tasks were evicted, "
    "the first after {seconds:d} seconds"
)
def bounded(context, least, most, seconds):
    evicted = context.simulation.evicted
    assert least <= len(evicted) <= most, evicted
    assert seconds <= evicted[0][0] - 100.0 <= seconds + 5, evicted


@then("the release was neither throttled nor evicted")
def release_untouched(context):
    touched = {*context.simulation.orders, *(t for _, t in context.simulation.evicted)}
    assert "t/release" not in touched


@then('only "{name}" was evicted')
def only_evicted(context, name):
    assert [task for _, task in context.simulation.evicted] == [f"t/{name}"]


@then("no task is throttled any more")
def none_throttled(context):
    assert set(context.simulation.shares.values()) == {1.0}, context.simulation.shares


@then(
    "a batch task that has waited {seconds:d} seconds has no worker reserved "
    "and finds no capacity"
)
def none_reserved(context, seconds):
    simulation = context.simulation
    count = simulation.control.counters
    place = placer.Placer(
        simulation.workers, choice.Policy.LEAST_LOADED, 1, simulation, count,
        lambda team: None, lambda: [CAPACITY],
    )  # fmt: skip
    places = room.Room(simulation.workers, place, simulation, simulation, count)
    request = simulation.tasks["t/noisy"]
    places.make_room(request, False, simulation.now - seconds)
    assert places.reservation is None
    assert not places.fits(request)
