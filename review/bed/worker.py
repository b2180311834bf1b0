"""Workers that run tasks under leases, as the platform's pages tell.

A task's behaviour comes from its job in the `Bed`: how long it works, and after how
much work each run fails.
"""

import dataclasses

import gevent
import gevent.event

from review.bed import httpd

STEP_S = 0.01
MAX_REPORTED_ENDS = 500
MAX_WAIT_MS = 2000
#: Clock of a new worker, in milliseconds.
FIRST_CLOCK_MS = 1000
#: Reported tail latency of a task that lasts, in milliseconds.
TAIL_MS = 5.0
NO_ANSWER_S = 60.0


@dataclasses.dataclass(eq=False)
class Run:
    """A run of a task on a worker."""

    task: str
    number: int
    worker: "Worker"
    job: object
    step: dict
    began_at: float
    length: float
    fails_after: float | None
    worked: float = 0.0
    #: Time at which a stop takes effect; None if there is none.
    stops_at: float | None = None
    ended_at: float | None = None
    how: str = ""

    @property
    def percent(self):
        if self.step.get("long_running"):
            return 100
        return min(int(100 * self.worked / self.length), 99)


class Worker:
    """One life of a worker that rejects what does not fit.

    `born` is the Unix time of its start in milliseconds, for a deployment in which a
    worker may start again under the name that it had; None for others.
    """

    def __init__(self, bed, name, cpu, mem_mb, labels, born=None, port=0):
        self.bed = bed
        self.name = name
        self.cpu, self.mem_mb, self.labels = cpu, mem_mb, labels
        self.born_at = httpd.now()
        self.token = 0
        self.deadline = 0
        self.running = {}
        self.ended = []
        #: Runs by the number of their end, from 1 on.
        self.runs_ended = []
        self.barred = {}
        self.end_listed = gevent.event.Event()
        #: Highest number of an end that was taken note of.
        self.last_seen = 0
        self.up = True
        self.silent = False
        self.born = born
        self.server = httpd.serve(self.answer, port=port)
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.register()
        gevent.spawn(self.run)

    def register(self, state="ready"):
        entry = {
            "service": "pool",
            "address": self.address,
            "zone": "dc",
            "version": "1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": self.labels,
        }
        if self.born is not None:
            entry["born"] = self.born
        self.bed.store.put("servers", self.name, entry)

    def crash(self):
        """End this life: everything that runs ends, and nothing is answered."""
        self.bed.note("worker crashes", worker=self.name)
        self.up = False
        self.server.stop(timeout=0)
        for run in list(self.running.values()):
            # The end of a member of a gang ends the others.
            if run.task in self.running:
                self.end(run, "crashed")

    def clock(self):
        return FIRST_CLOCK_MS + int((httpd.now() - self.born_at) * 1000)

    def answer(self, method, path, query, body, environ):
        if self.silent:
            gevent.sleep(NO_ANSWER_S)
        if self.silent or not self.up:
            raise httpd.NoAnswer
        if environ.get("HTTP_EXPECT_INSTANCE") != self.name:
            return 421, {"clock_ms": self.clock()}
        status, reply = self.carry_out(path, body)
        if self.silent:
            gevent.sleep(NO_ANSWER_S)
        if self.silent or not self.up:
            raise httpd.NoAnswer
        return status, {**reply, "clock_ms": self.clock()}

    def carry_out(self, path, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = body.get("fencing_token", 0)
        if path == "/-/run-start":
            return self.start(body)
        if path == "/-/run-stop":
            return self.stop(body)
        if path == "/-/hold":
            return self.hold(body)
        return (200, {}) if path == "/-/pace" else (404, {})

    def extend(self, body):
        if body.get("deadline_ms"):
            longest = self.clock() + self.bed.bounds["hold_max_ms"]
            self.deadline = max(self.deadline, min(body["deadline_ms"], longest))

    def start(self, body):
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        if present is not None and present.number == number:
            return 200, {}
        if body["deadline_ms"] < self.clock():
            return 409, {"reason": "late"}
        self.extend(body)
        if number <= self.barred.get(task, 0):
            return 409, {"reason": "old"}
        job, step = self.bed.find(task)
        if present is not None or not self.has_room(step):
            return 409, {"reason": "room"}
        run = Run(
            task, number, self, job, step, httpd.now(), job.length, job.fails_after
        )
        self.running[task] = run
        self.bed.record_start(run, body)
        return 200, {}

    def has_room(self, step):
        runs = self.running.values()
        reserved = [run.step for run in runs if not run.step.get("fills")]
        cpu = sum(other["cpu"] for other in reserved)
        mem_mb = sum(run.step["mem_mb"] for run in runs)
        if mem_mb + step["mem_mb"] > self.mem_mb:
            return False
        return bool(step.get("fills")) or cpu + step["cpu"] <= self.cpu

    def stop(self, body):
        task, number = body["task"], body["run"]
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number == number and run.stops_at is None:
            run.stops_at = httpd.now() + self.bed.bounds["stop_ms"] / 1000
        return 200, {}

    def hold(self, body):
        self.extend(body)
        seen = body.get("last_seen", 0)
        self.bed.record_seen(self, seen)
        self.last_seen = max(self.last_seen, seen)
        self.ended = [row for row in self.ended if row[0] > seen]
        deadline = httpd.now() + min(body.get("wait_ms", 0), MAX_WAIT_MS) / 1000
        while not self.ended and httpd.now() < deadline:
            self.end_listed.clear()
            self.end_listed.wait(deadline - httpd.now())
        running = [
            [run.task, run.number, "", run.percent, measured(run)]
            for run in self.running.values()
        ]
        report = {"running": running, "ended": self.ended[:MAX_REPORTED_ENDS]}
        return 200, report if self.born is None else {**report, "born": self.born}

    def end(self, run, how):
        """End a run, and list its end."""
        del self.running[run.task]
        run.ended_at, run.how = httpd.now(), how
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.runs_ended.append(run)
        self.ended.append([len(self.runs_ended), run.task, run.number, how, ""])
        self.end_listed.set()
        self.bed.record_end(run)

    def run(self):
        before = httpd.now()
        while self.up:
            gevent.sleep(STEP_S)
            passed, before = httpd.now() - before, httpd.now()
            lapsed = self.clock() > self.deadline
            for run in list(self.running.values()):
                if run.task in self.running:
                    self.advance(run, passed, lapsed)

    def advance(self, run, passed, lapsed):
        if lapsed:
            self.end(run, "lapsed")
        elif run.stops_at is not None and httpd.now() >= run.stops_at:
            self.end(run, "stopped")
        elif run.step.get("gang") and not self.bed.gang_is_present(run):
            if httpd.now() - run.began_at > self.bed.bounds["gang_wait_ms"] / 1000:
                self.end(run, "alone")
        else:
            self.work(run, passed)

    def work(self, run, passed):
        run.worked += passed
        if run.fails_after is not None and run.worked >= run.fails_after:
            self.end(run, "failed")
        elif run.worked >= run.length and not run.step.get("long_running"):
            self.end(run, "done")


def measured(run):
    """Return the tail of a task that serves, or the processor use of another one."""
    return TAIL_MS if run.step.get("target_ms") else run.step["cpu"]
