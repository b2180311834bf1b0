"""The soak's callers on the users' platform; what they were told, held against work."""

import collections
import dataclasses
import http.client
import itertools
import random
import time

from tests.soak import oracle
from tests.support import deployed, stage

#: Seconds for which a caller waits for an answer, and between its tries.
CALL_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.3
MAX_ATTEMPTS = 6
#: Seconds after a cancel's answer after which nothing of the job may start: the
#: platform's bound, and the longest faults that may keep the leader from it.
CANCEL_BOUND_S = 4.0 + 8.0
#: Texts of jobs that can't be done, as the stand-in of workers reads them.
FAILS = "fails"
CRASHES = "crashes"
#: Share of the jobs whose tasks crash the workers that start them.
CRASHING_SHARE = 0.01
#: Starts of a task that crashes its workers at most: three, and two more.
MAX_STARTS = 5
#: Seconds after which a leader has to know that a worker's capacity has shrunk.
SHRINK_BOUND_S = 4.5
REFUSALS = (429, 503)
FINAL = ("completed", "failed", "cancelled")
NEVER = float("inf")


@dataclasses.dataclass
class Order:
    """A job, and what its caller was told of it."""

    job_id: str
    body: dict
    long_running: bool = False
    answers: list = dataclasses.field(default_factory=list)
    #: Wall times at which it was accepted, and its cancelling asked and answered.
    accepted_at: float | None = None
    cancel_asked: bool = False
    cancelled_at: float | None = None
    states: list = dataclasses.field(default_factory=list)


class Caller:
    """Hands jobs in, repeats, cancels and asks, at whichever instance comes up."""

    def __init__(self, number, seed, deployment, lives=False):
        #: True if some jobs have tasks that crash the workers that start them.
        self.lives = lives
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
        if self.lives and not long_running and chance.random() < CRASHING_SHARE:
            spec, steps = CRASHES, [{**steps[0], "count": 1}]
        body = {"spec": "lasts" if long_running else spec, "steps": steps}
        if not long_running and chance.random() < 0.1:
            first = int((time.time() + 1) * 1000)
            body |= {"repeat_count": 2, "first_run_ms": first, "interval_ms": 1000}
        return Order(f"{chance.getrandbits(64):016x}", body, long_running)

    def act_on_earlier_job(self):
        """Repeat, ask for, or cancel an earlier job."""
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
        """Return the answer's status, or the state that it tells; None if none came."""
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
    """Ask for all accepted jobs until each has ended."""
    waiting = [(c, o) for c in callers for o in c.orders if o.accepted_at]
    while waiting and time.monotonic() < deadline:
        waiting = [(c, o) for c, o in waiting if c.call("GET", o) not in FINAL]
        time.sleep(0.3)


@dataclasses.dataclass(frozen=True)
class Run:
    """A run of a task on a worker, by wall time."""

    worker: str
    task: str
    run: int
    since: float
    until: float
    how: str


def runs_of(entries, kills):
    """Pair starts with ends; a worker's next life ends what the last one ran."""
    ends = {
        (e["worker"], e["task"], e["run"]): e for e in entries if e["event"] == "end"
    }
    births = grouped((e for e in entries if e["event"] == "born"), "address")
    deaths = {}
    for address, lives in births.items():
        for life, later in itertools.pairwise(lives):
            killed = [at for where, at in kills if where == address]
            before = [at for at in killed if at <= later["at"]]
            deaths[life["worker"]] = max(before, default=later["at"])
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
    """Return a verdict for each promise."""
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
    verdict = oracle.Verdict("what was accepted comes to its end")
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
                # An end that was lost with its worker's lease or life is none.
                over = [e["at"] for e in lapses[run.worker]]
                over.append(deaths.get(run.worker, NEVER))
                excused = any(run.until - 0.1 <= at <= later.since for at in over)
                verdict.check(excused, f"{task}: {later} after {run}")
    return verdict


def judge_crashes(callers, orders, by_task, entries):
    """Return what must hold where tasks crash workers and capacity changes."""
    if not any(caller.lives for caller in callers):
        return []
    given_up = oracle.Verdict("a task that crashes its workers is given up")
    for task, runs in by_task.items():
        order = orders.get(task.partition(".")[0])
        if order is not None and order.body["spec"] == CRASHES:
            given_up.check(len(runs) <= MAX_STARTS, f"{task}: {len(runs)} starts")
    return [given_up, judge_capacity(orders, by_task, entries)]


def judge_capacity(orders, by_task, entries):
    """Hold each start against the cores that its worker had then."""
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
    verdict = oracle.Verdict("a step begins once the one before it is done")
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
        "nothing runs that was refused, cancelled or not asked for"
    )
    for run in runs:
        order = orders.get(run.task.partition(".")[0])
        verdict.check(order is not None, f"{run}: not asked for")
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
    verdict = oracle.Verdict("completed is said of what is done, and stays")
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
