"""Compares the placement policies under the same load, on real processes.

``python -m tests.bench.placement [--seed N] [--seconds S] [--policies P ...]``
runs one data centre of six workers and two instances once for each policy.
Quotes arrive as a Poisson process with a changing rate; batch jobs arrive in waves,
of kinds that interfere with different quotes; one worker is slow for part of the
run. A quote's latency is measured from its scheduled arrival, to avoid coordinated
omission when the system stalls. The two quiet runs have the same quotes without
batch work, with and without the slow worker, as a baseline without interference.
``product`` is the learned policy with the control loop; ``--control`` switches the
loop of the others. ``--explain N`` prints for the N slowest quotes of each run where
they ran, what ran beside them, and how much of their latency the worker took.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import collections  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import geventhttpclient  # noqa: E402

from tests.support import stage, teams  # noqa: E402

#: Runs without batch work, and whether one worker is slow in them.
QUIET_RUNS = {"quiet": False, "quiet-slow": True}
CHOOSERS = ("random", "least-loaded", "two-choices", "learned")
POLICIES = (*QUIET_RUNS, *CHOOSERS, "product")
WORKERS = 6
#: Mean arrival rate of each kind of quote per second, outside `SHIFT_PERIOD`.
QUOTE_RATE = {"fuel-desk/fuel/quote": 30.0, "plegadora/tooling/quotation": 20.0}
QUOTE_DURATION_S = 0.02
#: Target p99 latency of quotes in seconds: 1.5 times that of the quiet run.
TARGET_P99_S = 0.04
#: Part of the run, as shares of its duration, in which rates are 1.5 times as high.
SHIFT_PERIOD = (0.4, 0.7)
#: Part of the run in which one worker is slow, and by which factor.
SLOW_PERIOD = (0.6, 0.75)
SLOW_FACTOR = 4.0
#: Relative slowdown that each kind of batch task adds to other tasks at full load.
NOISE = {
    "batch.scan": {"fuel.quote": 1.2, "tooling.quotation": 0.2, "*": 0.05},
    "batch.pack": {"fuel.quote": 0.1, "tooling.quotation": 0.9, "*": 0.05},
    "batch.tidy": {"*": 0.02},
}
WAVE_INTERVAL_S = 5.0
JOBS_IN_WAVE = 12
TASKS_IN_JOB = 10
TASK_DURATION_S = 1.0
#: Seconds excluded from the settled p99; the first wave is over by then.
LEARNING_TIME_S = 6.0
#: Seconds within which a quote must be answered.
TIMEOUT_S = 1.0


def schedule(seed, seconds, batch):
    """Return the sorted arrivals of quotes and jobs, the same for every policy."""
    rng = random.Random(seed)
    events = []
    for kind, rate in QUOTE_RATE.items():
        at = 0.0
        while at < seconds:
            shifted = SHIFT_PERIOD[0] <= at / seconds < SHIFT_PERIOD[1]
            at += rng.expovariate(rate * (1.5 if shifted else 1.0))
            events.append((at, "quote", kind, rng.randrange(2)))
    at = 1.0
    while batch and at < seconds:
        for number in range(JOBS_IN_WAVE):
            kind = rng.choice(sorted(NOISE))
            events.append((at + 0.1 * number, "job", kind, number % 2))
        at += WAVE_INTERVAL_S
    return sorted(events)


class Run:
    """The run of one policy."""

    def __init__(self, policy, args):
        self.policy, self.seconds = policy, args.seconds
        self.chooser = policy if policy in CHOOSERS else "learned"
        self.control = "on" if policy == "product" else args.control
        self.explained = args.explain
        self.slow = QUIET_RUNS.get(policy, True)
        self.events = schedule(args.seed, args.seconds, policy not in QUIET_RUNS)
        self.latencies = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.jobs = []

    def run(self):
        scene = stage.Stage()
        try:
            self.prepare(scene)
            self.run_load(scene)
            return self.measure(scene)
        finally:
            scene.close()

    def prepare(self, scene):
        scene.start_platform()
        for name in ("fuel-desk", "plegadora"):
            scene.write_settings(name, settings_of(name))
        for _ in range(WORKERS // 2):
            scene.start_workers("shymkent", 2)
        for number in range(2):
            scene.start_instance(
                f"shymkent-{number}",
                "shymkent",
                env={
                    "MANGOSAIL_CHOOSER": self.chooser,
                    "MANGOSAIL_CONTROL": self.control,
                    "MANGOSAIL_SEED": "7",
                },
            )
        scene.wait_ready()
        stage.wait_until(
            lambda: owned_counts(scene) == [WORKERS // 2] * 2, 30, "even split"
        )
        self.clients = [
            geventhttpclient.HTTPClient(
                *address(scene.instances[f"shymkent-{n}"]), concurrency=100
            )
            for n in range(2)
        ]

    def run_load(self, scene):
        started = self.started = time.monotonic()
        tasks = [gevent.spawn(self.fault, scene, started)] if self.slow else []
        for number, (at, what, kind, instance) in enumerate(self.events):
            gevent.sleep(max(started + at - time.monotonic(), 0))
            due = started + at
            step = self.quote if what == "quote" else self.job
            tasks.append(gevent.spawn(step, kind, instance, number, due))
        gevent.sleep(max(started + self.seconds - time.monotonic(), 0))
        self.ended_at = time.time()
        gevent.joinall(tasks, timeout=TIMEOUT_S + 1)

    def fault(self, scene, started):
        worker = sorted(scene.workers)[0]
        for share, factor in zip(SLOW_PERIOD, (SLOW_FACTOR, 1.0), strict=True):
            gevent.sleep(max(started + share * self.seconds - time.monotonic(), 0))
            scene.worker_faults(worker, slow=factor)

    def quote(self, kind, instance, number, due):
        team, service, operation = kind.split("/")
        path = f"/v1/services/{service}/{operation}"
        body = {"number": number, "work_seconds": QUOTE_DURATION_S}
        status = self.post(instance, path, team, body, f"q-{number}")
        if status == 200:
            seconds = time.monotonic() - due
            self.latencies[kind].append((due, seconds, f"{team}/q-{number}"))
        else:
            self.refused[status] += 1

    def job(self, kind, instance, number, due):
        job = {
            "job_id": f"j-{number}",
            "kind": kind,
            "tasks": TASKS_IN_JOB,
            "needs": {"cpus": 4, "memory_gb": 4, "slots": 1},
            "body": {"work_seconds": TASK_DURATION_S, "noise": NOISE[kind]},
        }
        self.post(instance, "/v1/jobs", "plegadora", job, f"j-{number}")

    def post(self, instance, path, team, body, request_id):
        headers = teams.bearer(f"{team}-token", Request_Id=request_id)
        try:
            answer = self.clients[instance].post(path, json.dumps(body), headers)
            answer.read()
        except OSError:
            return "lost"
        return answer.status_code

    def measure(self, scene):
        log = scene.execution_log()
        kinds = {e["task_id"]: e["kind"] for e in log if e["event"] == "start"}
        done = [
            kinds[entry["task_id"]]
            for entry in log
            if entry["event"] == "end"
            and entry["state"] == "done"
            and entry["at"] <= self.ended_at
            and kinds[entry["task_id"]].startswith("batch.")
        ]
        found = [quote for kind in self.latencies.values() for quote in kind]
        quotes = sorted(seconds for _, seconds, _ in found)
        learned = self.started + LEARNING_TIME_S
        settled = sorted(seconds for due, seconds, _ in found if due >= learned)
        slowest = sorted(found, key=lambda quote: -quote[1])[: self.explained]
        for due, seconds, task_id in slowest:
            print(f"{due - self.started:6.2f} s {seconds * 1000:6.1f} ms", end=" ")
            print(*attempts(log, task_id), sep="; ")
        return {
            "policy": self.policy,
            "quotes": len(quotes),
            "refused": dict(self.refused),
            **{f"p{share}": percentile(quotes, share) for share in (50, 99, 99.9)},
            "settled": percentile(settled, 99),
            "batch": len(done) / self.seconds,
            "evictions": sum(entry["event"] == "checkpoint" for entry in log),
            "throttles": sum(throttles(scene, name) for name in scene.instances),
            "guard": sum(entry["event"] == "guard" for entry in log),
        }


def settings_of(team):
    """Return a team's settings with a latency target for its quotes."""
    settings = teams.example(team)
    for path in QUOTE_RATE:
        name, service, operation = path.split("/")
        if name == team:
            declared = settings["services"][service][operation]
            declared["target_p99_seconds"] = TARGET_P99_S
    return settings


def throttles(scene, instance):
    return scene.counters(instance, "fuel-desk-token").get("control.throttled", 0)


def attempts(log, task_id):
    """Describe each attempt of a quote: worker, state, duration, concurrent tasks."""
    found, running = [], {}
    for entry in log:
        task, worker = entry["task_id"], entry["worker"]
        if entry["event"] == "start":
            beside = collections.Counter(
                kind for kind, where, _ in running.values() if where == worker
            )
            running[task] = entry["kind"], worker, (entry["at"], dict(beside))
        elif entry["event"] == "end" and task in running:
            _, where, (at, beside) = running.pop(task)
            if task.startswith(task_id) and not task[len(task_id) :][:1].isdigit():
                took = (entry["at"] - at) * 1000
                found.append(f"{where} {entry['state']} in {took:.1f} ms, {beside}")
    return found


def percentile(values, share):
    return values[min(int(len(values) * share / 100), len(values) - 1)] * 1000


def address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


def owned_counts(scene):
    """Return the number of workers that each instance owns."""
    headers = teams.bearer("fuel-desk-token")
    statuses = [
        scene.call(name, "GET", "/v1/status", headers=headers).json()
        for name in scene.instances
    ]
    return [len(status["workers"]) for status in statuses]


def print_header():
    names = ("p50", "p99", "p99.9", "settled")
    print(
        f"{'policy':20}{'quotes':>7}{'refused':>8}"
        + "".join(f"{name + ' ms':>11}" for name in names)
        + f"{'batch/s':>9}{'throttles':>10}{'evictions':>10}{'guard':>6}",
        flush=True,
    )


def print_row(row):
    names = ("p50", "p99", "p99.9", "settled")
    print(
        f"{row['policy']:20}{row['quotes']:>7}"
        f"{sum(row['refused'].values()):>8}"
        + "".join(f"{row[name]:>11.1f}" for name in names)
        + f"{row['batch']:>9.1f}{row['throttles']:>10}{row['evictions']:>10}"
        + f"{row['guard']:>6}",
        flush=True,
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policies", nargs="+", default=POLICIES, choices=POLICIES)
    parser.add_argument("--control", choices=("on", "off"), default="off")
    parser.add_argument("--explain", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    print(f"seed {args.seed}, {args.seconds:g} s each")
    print_header()
    for policy in args.policies:
        row = Run(policy, args).run()
        print_row(row)
        if row["refused"]:
            print(policy, "refused by status:", row["refused"], flush=True)


if __name__ == "__main__":
    main()
