"""A store and workers in memory, and an instance that leads, driven by hand.

Nothing happens by itself: `Leader.round` looks at every worker, places, writes and
sends, and time passes only when a test says so.
"""

import collections
import dataclasses
import sys

import gevent
import result
from tests.support import memory

from mangosail import codec, resources
from mangosail.platform import errors as store_errors
from mangosail.platform import table
from mangosail.scheduler import (
    advice,
    errors,
    fleet,
    journal,
    keys,
    leadership,
    messages,
    polling,
    ports,
    scheduler,
)
from mangosail.telemetry import counters

WORKERS_PREFIX = "workers//"
CAPACITY = resources.Resources(cpus=8, memory_gb=32)
NEED = resources.Resources(cpus=2, memory_gb=1)
MINUTE = 60.0
#: Seconds after which a client gives up a silent connection.
UNANSWERED = 3.0
#: Milliseconds for which a worker lets a lease run at most.
LONGEST_LEASE = 6000
#: Seconds after which a leader has to know that a worker's capacity has shrunk.
SHRUNK_TERM = 4.5


class Rows:
    """The store; faults are armed on it and last until they are taken away."""

    def __init__(self):
        self.kept = memory.Rows()
        self.history = []
        #: "", "down" (says so), "lost" (done, not answered), "late" (done later),
        #: "unanswered" (done, and the connection stays silent).
        self.fault = ""
        #: Faults of the next writes, one each, before that.
        self.once = []
        self.late = []
        #: Bytes of a row's value at most; None if any may be written.
        self.most_value = None
        #: Versions up to which the history was dropped.
        self.forgotten = 0

    def read(self, wanted):
        if self.fault == "down":
            return result.Err(store_errors.Unavailable("down"))
        return result.Ok(self.kept.find(wanted))

    def scan(self, prefix, after="", limit=1000):
        return result.Ok(self.kept.page(prefix, after, limit))

    def commit(self, transaction):
        fault = self.once.pop(0) if self.once else self.fault
        if fault == "down":
            return result.Err(store_errors.Unavailable("down"))
        if self.most_value and any(
            len((write.value or "").encode()) > self.most_value
            for write in transaction.writes
        ):
            return result.Err(store_errors.Unavailable("status 400"))
        if fault == "late":
            self.late.append(transaction)
            return result.Err(store_errors.Uncertain("late"))
        done = self._apply(transaction)
        if fault == "unanswered":
            gevent.sleep(UNANSWERED)
        if fault in ("lost", "unanswered"):
            return result.Err(store_errors.Uncertain("lost"))
        return done

    def deliver_late(self):
        late, self.late = self.late, []
        return [self._apply(transaction) for transaction in late]

    def _apply(self, transaction):
        done = self.kept.apply(transaction)
        if isinstance(done, result.Ok):
            self.history += [(done.ok_value, write.key) for write in transaction.writes]
        return done

    def read_all(self, prefix, heard=ports.ignore_data):
        if self.fault == "down":
            return result.Err(store_errors.Unavailable("down"))
        rows = tuple(self.kept.page(prefix, "", 10**6))
        return result.Ok(ports.Changes(rows, (), self.kept.version))

    def changes(self, prefix, after, wait, heard=ports.ignore_data, most=None):
        if self.fault == "down":
            return result.Err(store_errors.Unavailable("down"))
        if after <= self.forgotten:
            return result.Err(ports.HistoryLost())
        names = {k for v, k in self.history if v > after and k.startswith(prefix)}
        rows = tuple(self.kept[name] for name in sorted(names) if name in self.kept)
        removed = tuple(name for name in names if name not in self.kept)
        return result.Ok(ports.Changes(rows, removed, self.kept.version))

    def put(self, key, value):
        write = table.Write(key, codec.to_json(value))
        return self._apply(table.Transaction((), (write,)))

    def state(self, job_id):
        row = self.kept.get(keys.state(job_id))
        return codec.from_json(row.value, dict)["state"] if row else None


class Worker:
    """One life of a worker, which keeps to what the platform promises of it."""

    def __init__(
        self,
        name,
        clock,
        capacity=CAPACITY,
        labels=("r1",),
        address=None,
        data_centre="dc",
        born=None,
    ):
        address = address or f"{name}:1"
        self.entry = messages.WorkerEntry(
            name,
            "pool",
            address,
            data_centre,
            capacity,
            frozenset(labels),
            incarnation=born,
        )
        #: When its clock and its numbers of ends began.
        self.began_at = 0.0 if born is None else clock.now
        self.time = clock
        self.token = 0
        self.running = {}
        self.ended = []
        #: Ends that were acknowledged, which it has forgotten.
        self.noted = []
        #: Tasks of which a second run was started beside another one.
        self.doubled = []
        self.barred = {}
        self.count = 0
        self.deadline = 0
        #: "", "silent", "replaced"; for orders "lost" (done, not answered), "late".
        self.fault = ""
        #: True if the next start keeps its caller waiting, and is carried out late.
        self.mute_once = False
        #: The same for the next look.
        self.mute_look_once = False
        self.late = []
        self.starts = []
        self.paces = {}
        #: Changes of speed that are not made and get no answer, the next ones.
        self.unpaced = 0
        self.latencies = {}
        self.acknowledged = 0
        self.progress = 0
        self.standing_still = False
        self.refusals = 0
        self.tickets = []
        #: Tasks of which a start got no answer, while they may still begin.
        self.unanswered = set()
        #: True once it has crashed: it answers nothing until another life does.
        self.crashed = False
        #: When its capacity shrank last, and starts that came to it with no room.
        self.shrunk_at = 0.0
        self.overfilled = []

    @property
    def clock(self):
        return int((self.time.now - self.began_at) * 1000)

    def end(self, task, outcome="done", checkpoint=""):
        run = self.running.pop(task)
        self.count += 1
        how = messages.Outcome(outcome)
        self.ended.append(messages.RunEnd(self.count, task, run, how, checkpoint))
        self.barred[task] = run

    def extend(self, deadline):
        longest = self.clock + LONGEST_LEASE
        self.deadline = max(self.deadline, min(deadline, longest))

    def resize(self, cpus):
        """Change the cores that it has, while it runs."""
        before = self.entry.capacity
        if cpus < before.cpus:
            self.shrunk_at = self.time.now
        capacity = dataclasses.replace(before, cpus=cpus)
        self.entry = dataclasses.replace(self.entry, capacity=capacity)

    def check_room(self, task):
        """Note a start for which there is no room, once that should be known."""
        if self.time.now <= self.shrunk_at + SHRUNK_TERM:
            return
        if len(self.running) * NEED.cpus > self.entry.capacity.cpus:
            self.overfilled.append(task)

    def expire(self):
        if self.running and self.clock > self.deadline:
            for task in list(self.running):
                self.end(task, "lapsed")


def tail(worker, task):
    return worker.latencies.get(task, 0.0)


class Calls:
    """Carries orders to the workers in memory."""

    def __init__(self):
        self.workers = {}
        #: Earlier lives of workers that started again under their names.
        self.earlier = []
        #: Tasks that crash each worker that starts them.
        self.crashing = set()
        self.on_crash = lambda worker: None
        self.on_start_in_vain = lambda task: None

    def _call(self, entry, effect, order=True):
        worker = self.workers[entry.name]
        if worker.crashed and worker.fault != "replaced":
            return result.Err(errors.Silent("crashed"))
        worker.expire()
        if worker.mute_once and order:
            worker.mute_once = False
            worker.late.append(effect)
            gevent.sleep(UNANSWERED)
            return result.Err(errors.Silent("mute"))
        if worker.mute_look_once and not order:
            worker.mute_look_once = False
            gevent.sleep(UNANSWERED)
            return result.Err(errors.Silent("mute"))
        if worker.fault == "silent":
            return result.Err(errors.Silent("silent"))
        if worker.fault == "replaced":
            return result.Err(errors.Replaced())
        if worker.fault == "late" and order:
            worker.late.append(effect)
            return result.Err(errors.Silent("late"))
        done = effect(worker)
        if worker.fault == "lost" and order:
            return result.Err(errors.Silent("lost"))
        return done

    def start(self, entry, order):
        def effect(worker):
            reason = self._why_not(worker, order)
            if worker.refusals:
                worker.refusals -= 1
                reason = errors.Reason.NO_ROOM
            if reason is not None:
                return result.Err(errors.Rejected(reason))
            if worker.running.get(order.task, order.run) != order.run:
                worker.doubled.append(order.task)
            if worker.running.get(order.task) != order.run:
                worker.starts.append((order.task, order.run, order.checkpoint))
            worker.running[order.task] = order.run
            worker.tickets.append(order.ticket)
            worker.extend(order.deadline)
            worker.check_room(order.task)
            if order.task in self.crashing:
                self.on_crash(worker)
            return result.Ok(worker.clock)

        worker = self.workers[entry.name]
        answer = self._call(entry, effect)
        if isinstance(answer, result.Err) and isinstance(
            answer.err_value, errors.Silent
        ):
            worker.unanswered.add(order.task)
            if worker.crashed:
                self.on_start_in_vain(order.task)
        return answer

    def _why_not(self, worker, order):
        if order.token < worker.token:
            return errors.Reason.FENCED
        worker.token = order.token
        if order.run <= worker.barred.get(order.task, 0):
            return errors.Reason.SUPERSEDED
        if worker.clock > order.deadline:
            return errors.Reason.EXPIRED
        return None

    def stop(self, entry, task, run, token):
        def effect(worker):
            if token < worker.token:
                return result.Err(errors.Rejected(errors.Reason.FENCED))
            worker.token = token
            if worker.running.get(task) == run:
                worker.end(task, "stopped", "saved")
            worker.barred[task] = max(worker.barred.get(task, 0), run)
            worker.unanswered.discard(task)
            return result.Ok(worker.clock)

        return self._call(entry, effect)

    def throttle(self, entry, task, run, percent, token):
        def effect(worker):
            if worker.unpaced:
                worker.unpaced -= 1
                return result.Err(errors.Silent("unpaced"))
            worker.paces[task] = percent
            return result.Ok(worker.clock)

        return self._call(entry, effect)

    def poll(self, entry, token, acknowledged, deadline, wait, out_of_band=False):
        def effect(worker):
            if token < worker.token:
                return result.Err(errors.Rejected(errors.Reason.FENCED))
            worker.token = token
            worker.acknowledged = max(worker.acknowledged, acknowledged)
            worker.noted += [e for e in worker.ended if e.number <= acknowledged]
            worker.ended = [e for e in worker.ended if e.number > acknowledged]
            worker.extend(deadline or 0)
            worker.progress += not worker.standing_still
            running = tuple(
                messages.RunningTask(
                    task,
                    run,
                    "",
                    worker.progress % 100,
                    worker.latencies.get(task, 0.0),
                )
                for task, run in worker.running.items()
            )
            ended = tuple(worker.ended)
            return result.Ok(
                messages.WorkerReport(worker.clock, running, ended, worker.entry.born)
            )

        return self._call(entry, effect, order=False)

    def deliver_late(self):
        for worker in self.workers.values():
            late, worker.late = worker.late, []
            for effect in late:
                effect(worker)


class Leader:
    """An instance that leads, taking one step when it is told to."""

    def __init__(self, world, name, reads=True):
        self.world = world
        lead = leadership.Leadership(
            world.rows, name, world.clock, world.counters, world.rand
        )
        held = None
        for _ in range(20):
            held = lead.check()
            if held is not None:
                break
            world.clock.now += 0.3
        assert held is not None, "the lease was not won"
        self.scheduler = scheduler.Scheduler(
            world.rows,
            world.calls,
            held,
            lambda: world.catalog,
            world.entry_of,
            WORKERS_PREFIX,
            MINUTE,
            world.advisor,
            world.clock,
            world.counters,
            lambda: world.closed,
            world.most_workers,
        )
        self.feeds = self.scheduler.load() if reads else ()

    @property
    def journal(self) -> journal.Journal:
        return self.scheduler.journal

    def round(self, times=1):
        for _ in range(times):
            for feed in self.feeds:
                feed.read_once(0)
            looks = [
                gevent.spawn(self._look, worker)
                for worker in self.scheduler.workers
                if worker.entry.address
            ]
            gevent.sleep(0)
            self.scheduler.rounds.place()
            self.write()
            gevent.joinall(looks)
            self.write()
            gevent.sleep(0)
            gevent.sleep(0)
            self.world.clock.now += 0.05

    def _look(self, worker):
        self.scheduler.poller.poll(worker)

    def write(self):
        if self.world.rows.fault != "down":
            self.journal.write()
        gevent.sleep(0)

    def task(self, name):
        return self.scheduler.find_task(name)

    def worker(self, name) -> fleet.Worker:
        return self.scheduler.workers.get(name)


class Advisor:
    """Names the workers that may run a step, with a ticket each."""

    def __init__(self):
        self.may = set()
        self.asked = []

    def ask(self, step, workers):
        self.asked.append((step, list(workers)))
        tickets = {name: f"ticket-{name}" for name in workers if name in self.may}
        return result.Ok(advice.Tickets(tickets, 3.0))


class World:
    """What outlives an instance."""

    def __init__(self, rand):
        self.clock = memory.Clock(now=1000.0)
        self.rows = Rows()
        self.calls = Calls()
        self.counters = counters.StatsdCounters(None, 0)
        self.rand = rand
        self.leader = None
        self.calls.on_crash = self.crash
        #: Seconds for which a worker that crashed is away; when each comes back.
        self.away_term = 3.0
        self.returns = []
        #: Workers that crashed under each task.
        self.crashed_under = collections.Counter()
        #: Workers that crashed while a start of the task had got no answer.
        self.crashed_unanswered = collections.Counter()
        self.calls.on_start_in_vain = lambda task: self.crashed_unanswered.update(
            [task]
        )
        self.catalog = messages.Catalog(1, (), (messages.Service("pool"),))
        self.advisor = Advisor()
        #: Data centres to whose workers nothing more may be sent.
        self.closed = frozenset()
        #: Workers that a leader attends to at most.
        self.most_workers = sys.maxsize

    def add_worker(self, name, **facts):
        worker = Worker(name, self.clock, **facts)
        self.calls.workers[name] = worker
        self.list(worker)
        return worker

    def list(self, worker):
        """Write the worker's entry as it is now."""
        name, cpus = worker.entry.name, worker.entry.capacity.cpus
        entry = {"name": name, "cpus": cpus, "born": worker.entry.born}
        self.rows.put(WORKERS_PREFIX + name, entry)

    def unlist(self, worker):
        """Drop the worker's entry."""
        write = table.Write(WORKERS_PREFIX + worker.entry.name, None)
        self.rows._apply(table.Transaction((), (write,)))

    def entry_of(self, name, text):
        """Decode an entry as the platform's adapter does: anything may stand there."""
        worker = self.calls.workers.get(name)
        try:
            found = codec.from_json(text, dict)
        except codec.DecodeError:
            found = {}
        if worker is None or found.get("name") != name:
            return result.Err(errors.BadEntry(errors.Fault.UNREADABLE))
        cpus = found.get("cpus", worker.entry.capacity.cpus)
        capacity = dataclasses.replace(worker.entry.capacity, cpus=cpus)
        born = found.get("born", worker.entry.born)
        return result.Ok(
            dataclasses.replace(worker.entry, capacity=capacity, born=born)
        )

    def crash(self, worker):
        """End a worker's life; another one comes at its address some seconds later."""
        self.count_crash(worker)
        worker.running.clear()
        if worker.entry.born is None:
            worker.late.clear()
        worker.crashed = True
        self.returns.append((self.clock.now + self.away_term, worker))

    def restart(self, worker):
        """Begin another life of a worker under its name, which knows nothing of before.

        Orders to the earlier one that are late arrive in this one.
        """
        entry = worker.entry
        born = entry.born + int(self.rand.choice([-7000, 1, 5000]))
        self.calls.earlier.append(worker)
        later = self.add_worker(
            entry.name, address=entry.address, capacity=entry.capacity, born=born
        )
        later.late = worker.late
        return later

    def count_crash(self, worker):
        """Take note of the tasks under which a worker crashes."""
        self.crashed_under.update(worker.running.keys())
        self.crashed_unanswered.update(worker.unanswered - worker.running.keys())

    def come_back(self):
        """Begin the next lives of crashed workers that are due."""
        due = [worker for at, worker in self.returns if at <= self.clock.now]
        self.returns = [each for each in self.returns if each[0] > self.clock.now]
        for worker in due:
            entry = worker.entry
            if entry.born is not None:
                self.restart(worker)
                continue
            self.unlist(worker)
            worker.fault = "replaced"
            self.add_worker(
                f"{entry.name}+", address=entry.address, capacity=entry.capacity
            )

    def lead(self, name):
        self.leader = Leader(self, name)
        self.leader.round()
        return self.leader

    def runs(self, task):
        """Return on which workers a task runs now."""
        for worker in self.calls.workers.values():
            worker.expire()
        return [w.entry.name for w in self.calls.workers.values() if task in w.running]

    def starts(self, task):
        return [
            start
            for worker in (*self.calls.earlier, *self.calls.workers.values())
            for start in worker.starts
            if start[0] == task
        ]


def job(job_id, *steps, **facts):
    facts = {"attempts": 2, **facts}
    return messages.Job(job_id, "q", "pool", "spec", steps, 0.0, **facts)


def step(count=1, need=NEED, **facts):
    return messages.Step(count, need, estimate=1.0, **facts)


__all__ = ["World", "job", "polling", "step"]
