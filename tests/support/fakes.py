"""In-process fakes of the external interfaces, for state-machine and crash tests.

A `World` holds the state that outlives an instance: table, object store and workers.
A fault set on it affects the next call; `Crash` ends the instance that made the call.
"""

import dataclasses

import result

from mangosail import resources
from mangosail.dispatch import errors as dispatch_errors
from mangosail.dispatch import messages as dispatch
from mangosail.ownership import messages as ownership
from mangosail.placement import choice, placer, workers
from mangosail.platform import errors, inventory
from mangosail.telemetry import counters
from mangosail.work import claims, messages, runner
from tests.support import memory

NEEDS = resources.Resources(cpus=1, slots=1)
CAPACITY = resources.Resources(cpus=8, memory_gb=8, slots=8, connections=64)


class Crash(BaseException):
    """Raised at the point where the instance crashes."""


class Lease:
    def __init__(self, name, incarnation):
        self.row = ownership.SessionRow(name, incarnation, "dc", "", 0.0)
        self.holds = True
        self.table_unreachable = False

    def valid(self):
        return self.holds

    def start_deadline(self):
        return 0.0


class World:
    def __init__(self):
        self.clock = memory.Clock()
        self.rows = memory.Rows()
        self.objects = {}
        self.workers = {}
        self.late = []  # functions that apply delayed effects
        self.table_fault = ""  # lost, late, down, down_once, paused
        self.order_fault = ""  # lost, late, unreachable
        self.calls = 0
        self.crash_at = None
        self.crash_after_effect = False

    def step(self, effect):
        """Apply one external effect, or crash before or after it."""
        self.calls += 1
        crashes = self.calls == self.crash_at
        if crashes and not self.crash_after_effect:
            raise Crash
        value = effect()
        if crashes:
            raise Crash
        return value

    def deliver(self):
        while self.late:
            self.late.pop(0)()


class Table:
    def __init__(self, world):
        self.world = world

    def read(self, keys):
        if self.world.table_fault == "down":
            return result.Err(errors.Unavailable("down"))
        return result.Ok(self.world.rows.find(keys))

    def scan(self, prefix, after="", limit=1000):
        if self.world.table_fault == "down":
            return result.Err(errors.Unavailable("down"))
        return result.Ok(self.world.rows.page(prefix, after, limit))

    def commit(self, transaction):
        fault, self.world.table_fault = self.world.table_fault, ""
        if fault in ("down", "down_once"):
            return result.Err(errors.Unavailable("down"))
        if fault == "late":
            self.world.late.append(lambda: self.world.rows.apply(transaction))
            return result.Err(errors.Uncertain("late"))
        done = self.world.step(lambda: self.world.rows.apply(transaction))
        if fault == "paused":
            self.world.on_pause()
        return result.Err(errors.Uncertain("lost")) if fault == "lost" else done


class Objects:
    def __init__(self, world):
        self.world = world

    def get(self, name):
        return result.Ok(self.world.objects.get(name))


class Worker:
    """A worker that logs (event, task id, generation, checkpoint) of what it ran."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.tasks = {}  # task id -> Report
        self.voided = {}
        self.fence = 0
        self.boot = ""
        self.log = []
        world.workers[name] = self

    def lose_state(self):
        """Restart without the state of before."""
        self.tasks, self.voided, self.fence = {}, {}, 0
        self.boot += "again"

    def begin(self, start):
        known = self.tasks.get(start.task_id)
        refused = (
            start.owner_generation < self.fence
            or self.voided.get(start.task_id, 0) >= start.generation
            or (known and known.generation >= start.generation)
        )
        if refused:
            return result.Err(dispatch_errors.Refused("fenced, void or known"))
        self.fence = start.owner_generation
        report = dispatch.Report(
            start.task_id, start.generation, dispatch.TaskState.RUNNING
        )
        self.tasks[start.task_id] = report
        self.log.append(("start", start.task_id, start.generation, start.checkpoint))
        return result.Ok(report)

    def end(self, task_id, state, answer=None):
        report = self.tasks[task_id]
        self.tasks[task_id] = dataclasses.replace(report, state=state, answer=answer)
        self.log.append((state.value, task_id, report.generation, ""))

    def running(self):
        running = dispatch.TaskState.RUNNING
        return [t for t, report in self.tasks.items() if report.state is running]


class Target:
    def __init__(self, worker, lease):
        self.worker, self.world, self.lease = worker, worker.world, lease

    def order(self, effect):
        fault, self.world.order_fault = self.world.order_fault, ""
        if fault == "unreachable":
            return result.Err(dispatch_errors.NotSent("connection_refused"))
        if fault == "late":
            self.world.late.append(self.unless_restarted(effect))
            return result.Err(dispatch_errors.Lost("late"))
        done = self.world.step(effect)
        return result.Err(dispatch_errors.Lost("lost")) if fault == "lost" else done

    def unless_restarted(self, effect):
        """Return `effect` as it is if the worker restarts meanwhile: nothing."""
        boot = self.worker.boot
        return lambda: effect() if self.worker.boot == boot else None

    def start(self, start, deadline):
        assert self.lease.valid(), "start without a lease"
        return self.order(lambda: self.worker.begin(start))

    def look_up(self, task_id, deadline):
        return self.order(lambda: result.Ok(self.find(task_id)))

    def find(self, task_id):
        unknown = dispatch.Report(task_id, 0, dispatch.TaskState.UNKNOWN)
        return self.worker.tasks.get(task_id, unknown)

    def void(self, task_id, generation, deadline):
        return self.order(lambda: self.make_void(task_id, generation))

    def make_void(self, task_id, generation):
        voided = self.worker.voided
        voided[task_id] = max(voided.get(task_id, 0), generation)
        known = self.worker.tasks.get(task_id)
        if known is None or known.generation < generation:
            void, boot = dispatch.TaskState.VOID, self.worker.boot
            report = dispatch.Report(task_id, generation, void, boot=boot)
            return result.Ok(report)
        if known.generation == generation and task_id in self.worker.running():
            self.worker.end(task_id, dispatch.TaskState.STOPPED)
        return result.Ok(self.worker.tasks[task_id])

    def checkpoint(self, task_id, name, deadline):
        return self.order(lambda: self.store(task_id, name))

    def store(self, task_id, name):
        if task_id in self.worker.running():
            self.world.objects[name] = b"state"
        return result.Ok(self.find(task_id))

    def renew(self, lease_deadline, owner_generation, deadline):
        self.worker.lease_deadline = lease_deadline
        return result.Ok(None)


class Instance:
    """A runner and the workers that it owns, in a `World`."""

    def __init__(self, world, name, incarnation="1", end_peers=None):
        self.world, self.name = world, name
        self.owned = workers.Workers()
        self.lease = Lease(name, incarnation)
        self.counters = counters.StatsdCounters(None, 0)
        self.runner = runner.Runner(
            claims.Claims(Table(world)),
            self.owned,
            placer.Placer(
                self.owned,
                choice.Policy.LEAST_LOADED,
                1,
                world.clock,
                self.counters,
                lambda team: None,
                list,
            ),
            self.lease,
            world.clock,
            self.counters,
            store=Objects(world),
            is_worker_gone=lambda name: getattr(world.workers.get(name), "gone", False),
            spawn=lambda function, *args: function(*args),
            end_peers=end_peers,
        )

    def take(self, worker, generation):
        entry = inventory.Worker(worker.name, "dc", "r", "", CAPACITY)
        owned = workers.OwnedWorker(entry, generation, Target(worker, self.lease))
        owned.ready, owned.boot = True, worker.boot
        self.owned.add(owned)
        return owned

    def submit(self, request_id, restartable=False):
        request = messages.Request(
            "team", request_id, "kind", NEEDS, {"id": request_id}, restartable
        )
        # Leaves time to try another worker, but none to wait in a queue.
        return self.runner.submit(request, self.world.clock.now + 1e-6)

    def hear(self, worker):
        reports = tuple(worker.tasks.values())
        snapshot = dispatch.Snapshot(1, tuple(reports), boot=worker.boot)
        self.runner.on_snapshot(worker.name, snapshot)

    def sweep(self):
        self.world.clock.now += 11.0
        self.runner.sweep()
