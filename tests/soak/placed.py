"""Soak callers on the users' platform, and checks of their answers against the logs."""

import collections
import dataclasses
import http.client
import itertools
import random
import time

from tests.soak import oracle
from tests.support import deployed, stage

#: Timeout of a request, and delay between attempts.
CALL_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.3
MAX_ATTEMPTS = 6
#: Seconds after the answer to a cancellation after which nothing of the job may start:
#: the platform's bound, plus the longest fault that may delay the leader.
CANCEL_BOUND_S = 4.0 + 8.0
#: Specs of jobs that can't succeed, as interpreted by the simulated workers.
FAILS = "fails"
CRASHES = "crashes"
#: Share of jobs whose tasks crash the workers that start them.
CRASHING_SHARE = 0.01
#: Maximum number of starts of a task that crashes its workers: three, and two more.
MAX_STARTS = 5
#: Seconds within which the leader must notice that a worker's capacity has shrunk.
SHRINK_BOUND_S = 4.5
REFUSALS = (429, 503)
FINAL = ("completed", "failed", "cancelled")
NEVER = float("inf")


@dataclasses.dataclass
class Order:
    """A job, and the answers that its caller received."""

    job_id: str
    body: dict
    long_running: bool = False
    answers: list = dataclasses.field(default_factory=list)
    #: Wall times of the answers that accepted the job and that confirmed its
    #: cancellation, and whether a cancellation was requested.
    accepted_at: float | None = None
    cancel_asked: bool = False
    cancelled_at: float | None = None
    states: list = dataclasses.field(default_factory=list)


class Caller:
    """Submits, repeats, cancels and queries jobs, each at a random instance."""

    def __init__(self, number, seed, deployment, crashing=False):
        #: True if some jobs have tasks that crash the workers that start them.
        self.crashing = crashing
        self.chance = random.Random(f"caller/{number}/{seed}")
        self.fronts = sorted(deployment.fronts.values())
        self.orders = []

    def run(self, until):
        while time.monotonic() < until:
            self.submit()
            if self.chance.random() < 0.3:
                self.act_on_earlier_job()
            time.sleep(self.chance.uniform(0.05, 0.4))
        for order in self.orders:
            if order.long_running and order.accepted_at:
                self.cancel(order)

    def submit(self):
        order = self.draw()
        self.orders.append(order)
        for _ in range(MAX_ATTEMPTS):
            status = self.call("POST", order, order.body)
            order.answers.append(status)
            if status == 200:
                order.accepted_at = time.time()
                break
            if status in REFUSALS and self.chance.random() < 0.5:
                break
            time.sleep(RETRY_INTERVAL_S)

    def draw(self):
        chance = self.chance
        long_running = chance.random() < 0.05
        needs = {"cpu": 1000 * chance.randint(1, 4), "mem_mb": 100}
        steps = [{"count": chance.randint(1, 5), "long_running": long_running, **needs}]
        if not long_running and chance.random() < 0.5:
            steps.append({"count": chance.randint(1, 3), "cpu": 1000, "after": [0]})
        spec = "fails" if chance.random() < 0.05 else f"{chance.uniform(0.1, 0.8):.2f}"
        if self.crashing and not long_running and chance.random() < CRASHING_SHARE:
            spec, steps = CRASHES, [{**steps[0], "count": 1}]
        body = {"spec": "lasts" if long_running else spec, "steps": steps}
        if not long_running and chance.random() < 0.1:
            first = int((time.time() + 1) * 1000)
            body |= {"repeat_count": 2, "first_run_ms": first, "interval_ms": 1000}
        return Order(f"{chance.getrandbits(64):016x}", body, long_running)

    def act_on_earlier_job(self):
        """Submit an earlier job again, cancel it, or query it."""
        order = self.chance.choice(self.orders)
        action = self.chance.random()
        if action < 0.3 and order.accepted_at:
            self.call("POST", order, order.body)
        elif action < 0.5 and order.accepted_at:
            self.cancel(order)
        else:
            self.call("GET", order)

    def cancel(self, order):
        order.cancel_asked = True
        for _ in range(MAX_ATTEMPTS):
            if self.call("DELETE", order) in (200, 410):
                order.cancelled_at = order.cancelled_at or time.time()
                return
            time.sleep(RETRY_INTERVAL_S)

    def call(self, method, order, body=None):
        """Return the answer's status, or for a query the state; None without answer."""
        try:
            answer = stage.call(
                self.chance.choice(self.fronts), method, deployed.PREFIX + order.job_id,
                body, {"Host": deployed.HOST}, CALL_TIMEOUT_S,
            )  # fmt: skip
            told = answer.json() if answer.body else {}
        except (OSError, ValueError, http.client.HTTPException):
            return None
        if method == "GET" and answer.status == 200:
            if told["state"] in FINAL:
                order.states.append((time.time(), told["state"]))
            return told["state"]
        return answer.status


def settle(callers, deadline):
    """Query all accepted jobs until each has ended or the deadline is reached."""
    waiting = [(c, o) for c in callers for o in c.orders if o.accepted_at]
    while waiting and time.monotonic() < deadline:
        waiting = [(c, o) for c, o in waiting if c.call("GET", o) not in FINAL]
        time.sleep(0.3)


@dataclasses.dataclass(frozen=True)
class Run:
    """A run of a task on a worker, with wall times."""

    worker: str
    task: str
    run: int
    since: float
    until: float
    how: str


def runs_of(entries, kills):
    """Match starts with ends; a worker's crash, kill or restart ends what it ran."""
    ends = {
        (e["worker"], e["task"], e["run"]): e for e in entries if e["event"] == "end"
    }
    births = grouped((e for e in entries if e["event"] == "born"), "address")
    deaths = {}
    for address, incarnations in births.items():
        for earlier, later in itertools.pairwise(incarnations):
            killed = [at for where, at in kills if where == address]
            before = [at for at in killed if at <= later["at"]]
            deaths[earlier["worker"]] = max(before, default=later["at"])
    for entry in entries:
        if entry["event"] == "crash":
            deaths[entry["worker"]] = entry["at"]
    runs = []
    for start in (e for e in entries if e["event"] == "start"):
        worker = start["worker"]
        end = ends.get((worker, start["task"], start["run"]))
        until, how = (end["at"], end["how"]) if end else (NEVER, "running")
        if deaths.get(worker, NEVER) < until:
            until, how = deaths[worker], "killed"
        runs.append(Run(worker, start["task"], start["run"], start["at"], until, how))
    return runs, deaths


def grouped(entries, field):
    groups = collections.defaultdict(list)
    for entry in entries:
        groups[entry[field]].append(entry)
    return groups


def judge(callers, entries, faults):
    """Return a verdict for each guarantee."""
    orders = {o.job_id: o for c in callers for o in c.orders}
    kills = [(faults.relays[name].address, at) for name, at in faults.kills]
    runs, deaths = runs_of(entries, kills)
    by_task = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run.since):
        by_task[run.task].append(run)
    lapses = grouped((e for e in entries if e["event"] == "lease_over"), "worker")
    return [
        judge_ends(orders),
        judge_once(by_task, lapses, deaths),
        judge_order(orders, by_task),
        judge_requested(orders, runs),
        judge_reported(orders, by_task),
        *judge_crashes(callers, orders, by_task, entries),
        oracle.Verdict(
            "no instance ends by itself, or stops late", 1, faults.unexpected_exits
        ),
    ]


def judge_ends(orders):
    verdict = oracle.Verdict("every accepted job ends")
    for order in orders.values():
        if order.accepted_at and not order.cancel_asked:
            hopeless = order.body["spec"] in (FAILS, CRASHES)
            expected = "failed" if hopeless else "completed"
            told = {state for _, state in order.states}
            verdict.check(told == {expected}, f"{order.job_id}: {told or 'no end'}")
    return verdict


def judge_once(by_task, lapses, deaths):
    verdict = oracle.Verdict("a task runs once at a time, and not after its end")
    for task, runs in by_task.items():
        for number, run in enumerate(runs):
            for later in runs[number + 1 :]:
                verdict.check(
                    later.since >= run.until, f"{task}: {run} and {later} together"
                )
                if run.how != "done":
                    continue
                # An end may be lost if its worker's lease expired or it restarted.
                over = [e["at"] for e in lapses[run.worker]]
                over.append(deaths.get(run.worker, NEVER))
                excused = any(run.until - 0.1 <= at <= later.since for at in over)
                verdict.check(excused, f"{task}: {later} after {run}")
    return verdict


def judge_crashes(callers, orders, by_task, entries):
    """Return the verdicts for runs with crashing workers and changing capacity."""
    if not any(caller.crashing for caller in callers):
        return []
    given_up = oracle.Verdict("a task that crashes its workers is given up")
    for task, runs in by_task.items():
        order = orders.get(task.partition(".")[0])
        if order is not None and order.body["spec"] == CRASHES:
            given_up.check(len(runs) <= MAX_STARTS, f"{task}: {len(runs)} starts")
    return [given_up, judge_capacity(orders, by_task, entries)]


def judge_capacity(orders, by_task, entries):
    """Check each start against the capacity of its worker at that time."""
    verdict = oracle.Verdict("no start brings a worker over its capacity")
    changes = grouped((e for e in entries if e["event"] == "capacity"), "worker")
    runs = [(run, cpu_of(orders, run)) for each in by_task.values() for run in each]
    for run, _ in runs:
        changed = [e for e in changes[run.worker] if e["at"] <= run.since]
        if not changed or run.since < changed[-1]["at"] + SHRINK_BOUND_S:
            continue
        used = sum(
            cpu
            for other, cpu in runs
            if other.worker == run.worker and other.since <= run.since < other.until
        )
        verdict.check(used <= changed[-1]["cpu"], f"{run}: {used} on {changed[-1]}")
    return verdict


def cpu_of(orders, run):
    job_id, _, step, _ = run.task.split(".")
    order = orders.get(job_id)
    return order.body["steps"][int(step)]["cpu"] if order else 0


def judge_order(orders, by_task):
    verdict = oracle.Verdict("a step starts only once the one before it is done")
    for task, runs in by_task.items():
        job_id, occurrence, step, _ = task.split(".")
        order = orders.get(job_id)
        if order is None or step != "1":
            continue
        for index in range(order.body["steps"][0]["count"]):
            earlier = by_task.get(f"{job_id}.{occurrence}.0.{index}", [])
            done = [run.until for run in earlier if run.how == "done"]
            verdict.check(
                bool(done) and min(done) <= runs[0].since, f"{task} before {index}"
            )
    return verdict


def judge_requested(orders, runs):
    verdict = oracle.Verdict(
        "nothing runs that was refused, cancelled or not requested"
    )
    for run in runs:
        order = orders.get(run.task.partition(".")[0])
        verdict.check(order is not None, f"{run}: not requested")
        if order is None:
            continue
        refused = all(status in REFUSALS for status in order.answers)
        verdict.check(not refused, f"{run}: refused {order.answers}")
        if order.cancelled_at:
            late = run.since - order.cancelled_at
            verdict.check(
                late < CANCEL_BOUND_S, f"{run}: {late:.1f} s after its cancel"
            )
            verdict.check(run.until < NEVER, f"{run}: runs on after its cancel")
    return verdict


def judge_reported(orders, by_task):
    verdict = oracle.Verdict("only finished work is reported completed, and stays so")
    for order in orders.values():
        told = [state for _, state in sorted(order.states)]
        verdict.check(len(set(told)) <= 1, f"{order.job_id}: {told}")
        if "completed" not in told:
            continue
        at = min(when for when, state in order.states if state == "completed")
        for occurrence in range(max(order.body.get("repeat_count", 0), 1)):
            for number, step in enumerate(order.body["steps"]):
                for index in range(step["count"]):
                    name = f"{order.job_id}.{occurrence}.{number}.{index}"
                    done = [r.until for r in by_task.get(name, []) if r.how == "done"]
                    verdict.check(bool(done) and min(done) <= at, f"{name}: not done")
    return verdict
