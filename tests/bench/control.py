"""Measures the effect of the control loop on quotes and batch work.

``python -m tests.bench.control [--seconds 25] [--users fuel-desk plegadora]`` runs
the same waves of batch tasks three times on real processes: without interference,
with interference and the loop off, with interference and the loop on. It prints a
row for each run.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import dataclasses  # noqa: E402
import json  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import geventhttpclient  # noqa: E402

from tests.support import stage, teams  # noqa: E402

#: Duration of a quote without interference.
QUOTE_DURATION_S = 0.05
#: Target for the 99th percentile of the quotes' latency, in seconds.
TARGET_P99_S = 0.1
#: Pause between two quotes of one caller; each caller is a greenlet.
PAUSE_S = 0.1
CALLERS = 8
WORKERS = 4
#: Interval between two waves of batch jobs.
WAVE_INTERVAL_S = 5.0
#: Kind of batch task -> slowdown of other tasks, duration in seconds.
KINDS = {"batch.scan": (0.8, 4.0), "batch.tabulate": (0.0, 2.0)}
#: Kind of batch task -> tasks in a wave.
TASKS = {"batch.scan": 6, "batch.tabulate": 12}
OPERATIONS = {"fuel-desk": ("fuel", "quote"), "plegadora": ("tooling", "quotation")}


@dataclasses.dataclass(frozen=True)
class Run:
    user: str
    label: str
    latencies: list
    refused: int
    #: Seconds of batch work done, counted in durations without interference.
    work_done: float
    counters: dict
    guard_refusals: int

    def quantile(self, share):
        ordered = sorted(self.latencies)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)] * 1000

    def row(self):
        count = self.counters.get
        evictions = count("work.evicted", 0)
        return (
            f"| {self.user} | {self.label} | {len(self.latencies)} | {self.refused} "
            f"| {self.quantile(0.5):.1f} | {self.quantile(0.99):.1f} "
            f"| {self.quantile(0.999):.1f} | {self.work_done:.0f} "
            f"| {count('control.throttled', 0)} | {evictions} | {self.guard_refusals} |"
        )


def measure(user, label, seconds, noise, control):
    scene = stage.Stage()
    try:
        return run(scene, user, label, seconds, noise, control)
    finally:
        scene.close()


def run(scene, user, label, seconds, noise, control):
    scene.start_platform()
    settings = teams.example(user)
    service, operation = OPERATIONS[user]
    settings["services"][service][operation]["target_p99_seconds"] = TARGET_P99_S
    scene.write_settings(user, settings)
    scene.start_workers("dc", WORKERS)
    for number in range(2):
        scene.start_instance(f"dc-{number}", "dc", {"MANGOSAIL_CONTROL": control})
    scene.wait_ready()
    latencies, refused = [], []
    deadline = time.monotonic() + seconds
    callers = [
        gevent.spawn(ask, scene, user, number, deadline, latencies, refused)
        for number in range(CALLERS)
    ]
    waves = gevent.spawn(submit_waves, scene, user, deadline, noise)
    gevent.joinall([*callers, waves], raise_error=True)
    log = scene.execution_log()
    return Run(
        user, label, latencies, len(refused), work_done(log, time.time()),
        counters(scene, user), sum(e["event"] == "guard" for e in log),
    )  # fmt: skip


def ask(scene, user, number, deadline, latencies, refused):
    """Request quotes one after the other from one of the instances."""
    service, operation = OPERATIONS[user]
    addresses = list(scene.instances.values())
    host, _, port = addresses[number % len(addresses)].rpartition(":")
    client = geventhttpclient.HTTPClient(host, port=int(port))
    headers = {**teams.bearer(f"{user}-token"), "Content-Type": "application/json"}
    body = json.dumps({"work_seconds": QUOTE_DURATION_S, "noise": 0.0})
    gevent.sleep(number * PAUSE_S / CALLERS)
    while time.monotonic() < deadline:
        started = time.monotonic()
        path = f"/v1/services/{service}/{operation}"
        response = client.post(path, body=body, headers=headers)
        response.read()
        if response.status_code == 200:
            latencies.append(time.monotonic() - started)
        else:
            refused.append(response.status_code)
        gevent.sleep(PAUSE_S)
    client.close()


def submit_waves(scene, user, deadline, noise):
    wave = 0
    while time.monotonic() < deadline - WAVE_INTERVAL_S / 2:
        for kind, (slows, seconds) in KINDS.items():
            job = {
                "job_id": f"{kind.partition('.')[2]}-{wave}",
                "kind": kind,
                "tasks": TASKS[kind],
                "needs": {"cpus": 5, "memory_gb": 4},
                "body": {"work_seconds": seconds, "noise": slows if noise else 0.0},
            }
            instance = list(scene.instances)[wave % len(scene.instances)]
            headers = teams.bearer(f"{user}-token")
            scene.call(instance, "POST", "/v1/jobs", job, headers)
        wave += 1
        gevent.sleep(WAVE_INTERVAL_S)


def work_done(log, now):
    """Return the total duration without interference of completed batch tasks."""
    kinds = {e["task_id"]: e["kind"] for e in log if e["event"] == "start"}
    done = [e for e in log if e["event"] == "end" and e["state"] == "done"]
    return sum(KINDS.get(kinds[e["task_id"]], (0, 0.0))[1] for e in done)


def counters(scene, user):
    total = {}
    for instance in scene.instances:
        headers = teams.bearer(f"{user}-token")
        answer = scene.call(instance, "GET", "/v1/status", headers=headers)
        for name, value in answer.json()["counters"].items():
            total[name] = total.get(name, 0) + value
    return total


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--users", nargs="+", default=list(OPERATIONS))
    parser.add_argument("--counters", action="store_true")
    args = parser.parse_args()
    print("| user | run | quotes | refused | p50 ms | p99 ms | p99.9 ms "
          "| batch work s | throttled | evicted | guard |")  # fmt: skip
    print("|---|---|---|---|---|---|---|---|---|---|---|")
    for user in args.users:
        for label, noise, control in (
            ("quiet", False, "off"),
            ("noise, loop off", True, "off"),
            ("noise, loop on", True, "on"),
        ):
            measured = measure(user, label, args.seconds, noise, control)
            print(measured.row(), flush=True)
            if args.counters:
                print(measured.counters)


if __name__ == "__main__":
    main()
