"""Seeded interleavings of callers, scans and changes of owner in two instances.

Each read, write and order waits until it is let go, in a random order and with a
random fault. Unlike in the state machine, calls overlap: one waits while others run.
"""

import random

import gevent
import gevent.event
import result
from tests.support import fakes

from mangosail.dispatch import errors as dispatch_errors
from mangosail.dispatch import messages as dispatch
from mangosail.work import messages

IDS = ["order-0", "batch-1", "order-2"]
WRITE_FAULTS = ["lost", "late", "down"]
ORDER_FAULTS = ["lost", "late", "unreachable"]
HELD_ORDERS = ["start", "look_up", "void", "checkpoint"]
#: Share of writes and orders that meet a fault.
FAULT_SHARE = 0.3
#: Seconds for which a caller waits.
CALLER_TIMEOUTS_S = [0.0, 0.002, 0.02]


class Held:
    """Calls that wait; none does once `ended` is set."""

    def __init__(self, chance):
        self.chance = chance
        self.waiting = []
        self.ended = False

    def wait(self, faults=()):
        """Wait until the call is let go, and return its fault or an empty string."""
        if self.ended:
            return ""
        released = gevent.event.AsyncResult()
        self.waiting.append((released, faults))
        return released.get()

    def let_one_go(self):
        if not self.waiting:
            return
        newest = len(self.waiting) - 1
        number = self.chance.choice([0, self.chance.randint(0, newest)])
        released, faults = self.waiting.pop(number)
        fails = faults and self.chance.random() < FAULT_SHARE
        released.set(self.chance.choice(faults) if fails else "")
        run_others()

    def let_all_go(self):
        while self.waiting:
            self.waiting.pop(0)[0].set("")
            run_others()
        self.ended = True


class Table:
    def __init__(self, rows, held):
        self.rows, self.held = rows, held

    def read(self, keys):
        self.held.wait()
        return self.rows.read(keys)

    def scan(self, *page):
        self.held.wait()
        return self.rows.scan(*page)

    def commit(self, transaction):
        self.rows.world.table_fault = self.held.wait(WRITE_FAULTS)
        return self.rows.commit(transaction)


class Target:
    """Orders to a worker that are held; the worker honours a start's deadline."""

    def __init__(self, target, held):
        self.target, self.held = target, held

    def __getattr__(self, name):
        order = getattr(self.target, name)
        if name not in HELD_ORDERS:
            return order

        def hold(*arguments):
            fault = self.held.wait(ORDER_FAULTS)
            if name == "start" and not self.target.lease.valid():
                return result.Err(dispatch_errors.Lost("after the lease"))
            self.target.world.order_fault = fault
            return order(*arguments)

        return hold


def run_others():
    """Let the other greenlets run until each of them waits."""
    for _ in range(3):
        gevent.sleep(0)


class Interleaving:
    """One history of two instances and two workers; `play` it, then `check` it."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.held = Held(self.chance)
        self.world = fakes.World()
        self.world.clock.sleep = self.sleep
        self.workers = [fakes.Worker(self.world, f"w{n}") for n in range(2)]
        self.instances = [self.make_instance(name) for name in "ab"]
        self.owner_generation = 0
        self.calls = []
        self.give(0, 0)
        self.give(1, 1)

    def sleep(self, seconds):
        self.world.clock.now += seconds
        gevent.sleep(0)

    def make_instance(self, name):
        instance = fakes.Instance(self.world, name)
        ctx = instance.runner.ctx
        ctx.claims.rows = Table(ctx.claims.rows, self.held)
        ctx.spawn = self.spawn
        return instance

    def spawn(self, function, *arguments):
        self.calls.append(gevent.spawn(function, *arguments))

    def give(self, worker, instance):
        """Make an instance the owner of a worker, whose running tasks it enters."""
        host = self.workers[worker]
        for other in self.instances:
            other.owned.remove(host.name)
        self.owner_generation += 1
        owned = self.instances[instance].take(host, self.owner_generation)
        owned.target = Target(owned.target, self.held)
        owned.ledger.rebuild(running(host), self.owner_generation)

    def play(self):
        steps = [
            *[self.held.let_one_go] * 10,
            *[self.submit] * 6,
            *[self.cancel, self.evict, self.move_worker, self.sweep, self.stop_caller],
            *[self.lose_lease, self.world.deliver, self.end_task],
        ]
        for _ in range(self.chance.randint(10, 60)):
            self.chance.choice(steps)()
            run_others()
        self.settle()

    def some_instance(self):
        return self.chance.choice(self.instances)

    def submit(self):
        request_id = self.chance.choice(IDS)
        restartable = request_id.startswith("batch")
        request = messages.Request(
            "team", request_id, "kind", fakes.NEEDS, {"id": request_id}, restartable
        )
        deadline = self.world.clock.now + self.chance.choice(CALLER_TIMEOUTS_S)
        self.spawn(self.some_instance().runner.submit, request, deadline)

    def cancel(self):
        runner = self.some_instance().runner
        self.spawn(runner.cancel, "team", self.chance.choice(IDS))

    def evict(self):
        runner = self.some_instance().runner
        self.spawn(runner.evict, f"team/{self.chance.choice(IDS)}", "pressure")

    def move_worker(self):
        self.give(self.chance.randrange(2), self.chance.randrange(2))

    def sweep(self):
        instance = self.some_instance()
        instance.lease.holds = True
        for worker in self.workers:
            self.spawn(instance.hear, worker)
        self.spawn(instance.sweep)

    def stop_caller(self):
        if self.calls:
            self.chance.choice(self.calls).kill(block=False)

    def lose_lease(self):
        self.some_instance().lease.holds = False

    def end_task(self):
        worker = self.chance.choice(self.workers)
        for task_id in worker.running()[:1]:
            worker.end(task_id, dispatch.TaskState.DONE, task_id)

    def settle(self):
        """End all faults, run all tasks to their end, and let everyone hear of it."""
        for instance in self.instances:
            instance.lease.holds = True
        self.held.let_all_go()
        self.world.table_fault = self.world.order_fault = ""
        self.world.deliver()
        self.give(0, 0)
        self.give(1, 1)
        for _ in range(8):
            self.end_all_tasks()
            for instance in self.instances:
                self.world.clock.now += 60.0
                self.hear_everything(instance)
        gevent.joinall(self.calls, timeout=5)

    def end_all_tasks(self):
        for worker in self.workers:
            for task_id in worker.running():
                worker.end(task_id, dispatch.TaskState.DONE, task_id)

    def hear_everything(self, instance):
        for worker in self.workers:
            instance.hear(worker)
            owned = instance.owned.get(worker.name)
            if owned is not None:
                owned.ledger.follow(running(worker), owned.generation)
        run_others()
        instance.sweep()
        run_others()

    def check(self):
        assert all(call.ready() for call in self.calls), "a call that never ends"
        raised = [call.exception for call in self.calls if call.exception is not None]
        assert not raised, raised
        self.check_starts()
        for instance in self.instances:
            assert not instance.runner.ctx.registry.claiming
            assert not instance.runner.placer.active, instance.runner.placer.active
            for owned in instance.owned:
                assert not owned.ledger.reserved, owned.ledger.reserved
        for key in self.world.rows:
            if key.startswith("work/"):
                self.check_final(key.rpartition("/")[2])

    def check_starts(self):
        logs = [entry for worker in self.workers for entry in worker.log]
        starts = [entry[1:3] for entry in logs if entry[0] == "start"]
        assert len(starts) == len(set(starts)), starts
        started = [task_id for task_id, _ in starts]
        orders = [task_id for task_id in started if "order" in task_id]
        assert len(orders) == len(set(orders)), orders
        for outcome in self.outcomes():
            is_false = f"team/{outcome.request_id}" in started
            assert outcome.outcome != "not_run" or not is_false, outcome

    def check_final(self, request_id):
        found = self.instances[0].runner.look_up("team", request_id).ok_value
        assert found.state != "claimed", found
        told = [o for o in self.outcomes() if o.request_id == request_id]
        final = [o for o in told if o.retry_after is None]
        assert all(o == final[0] for o in final), final
        assert not final or final[0] == found, (final[0], found)

    def outcomes(self):
        """Return the outcomes that callers were told."""
        answers = [call.value for call in self.calls]
        oks = [a.ok_value for a in answers if isinstance(a, result.Ok)]
        return [value for value in oks if isinstance(value, messages.Outcome)]


def running(worker):
    """Return the reports of the tasks that run on a worker."""
    return [worker.tasks[task_id] for task_id in worker.running()]
