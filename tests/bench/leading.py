"""Measures the CPU time of the leader, and profiles it.

``python -m tests.bench.leading [--workers 246] [--starts 300] [--seconds 20]
[--profile]`` lets one leader place jobs of three kinds on simulated workers, which
answer over HTTP from two other processes; the store is in this process. It prints
the CPU time per run and the share of a core to standard error, with ``--profile``
also a profile by function; the log goes to standard output.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import cProfile  # noqa: E402
import pstats  # noqa: E402
import random  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import result  # noqa: E402

from mangosail import clock as clocks  # noqa: E402
from mangosail import resources  # noqa: E402
from mangosail.platform import workers as http_workers  # noqa: E402
from mangosail.scheduler import (  # noqa: E402
    admission,
    keys,
    leadership,
    messages,
    progress,
    scheduler,
)
from mangosail.telemetry import counters, logs  # noqa: E402
from tests.scheduler import fakes  # noqa: E402
from tests.standins import pool  # noqa: E402

CAPACITY = resources.Resources(cpus=32, memory_gb=125)
#: Seconds for which the leader runs before the measurement.
SETTLE_TIME_S = 4.0
#: Number of continuous jobs submitted at the start.
CONTINUOUS_JOBS = 30
#: Number of processes that simulate the workers.
WORKER_PROCESSES = 2
#: Interval between two batches of submitted jobs.
SUBMIT_INTERVAL_S = 0.02


class Store(fakes.Rows):
    """An in-memory store with commit latency, whose `changes` waits for changes."""

    def changes(self, prefix, after, wait, heard=None, most=None):
        deadline = time.monotonic() + wait
        while True:
            found = super().changes(prefix, after, 0)
            if found.ok_value.rows or time.monotonic() > deadline:
                return found
            gevent.sleep(0.01)

    def commit(self, transaction):
        gevent.sleep(0.012)
        del self.history[:-3000]
        return super().commit(transaction)


def continuous(rand):
    """Return the steps of a continuous job with 14 tasks and a latency target."""
    step = messages.Step(
        count=14, need=resources.Resources(cpus=6.4, memory_gb=13), continuous=True,
        image=f"serve-{rand.randrange(10)}", latency_target=18.0,
    )  # fmt: skip
    return (step,)


def short(rand):
    need = resources.Resources(cpus=5, memory_gb=8)
    return (messages.Step(count=10, need=need, estimate=1.0),)


def best_effort(rand):
    need = resources.Resources(cpus=3.5, memory_gb=6)
    image = f"fill-{rand.randrange(18)}"
    return tuple(
        messages.Step(
            count=20, need=need, estimate=1.7, checkpointing=True, best_effort=True,
            image=image, after=tuple(range(number)),
        )
        for number in range(2)
    )  # fmt: skip


#: For each kind of job: function that returns its steps, share of jobs, priority.
KINDS = ((short, 0.27, 0), (best_effort, 0.705, 2), (continuous, 0.025, 0))


class Traffic:
    """Submits jobs at the rate that causes `starts` task starts a second."""

    def __init__(self, store, starts, rand):
        self.store = store
        self.rand = rand
        tasks = sum(
            share * sum(step.count for step in kind(rand)) for kind, share, _ in KINDS
        )
        self.rate = starts / tasks
        self.count = 0

    def run(self):
        for _ in range(CONTINUOUS_JOBS):
            self.submit(continuous)
        kinds, shares, _ = zip(*KINDS, strict=True)
        due = 0.0
        while True:
            gevent.sleep(SUBMIT_INTERVAL_S)
            due += self.rate * SUBMIT_INTERVAL_S
            while due >= 1:
                due -= 1
                self.submit(self.rand.choices(kinds, shares)[0])

    def submit(self, kind):
        priority = next(p for k, _, p in KINDS if k is kind)
        self.count += 1
        text = pool.FOREVER if kind is continuous else "text" * 50
        job = messages.Job(
            f"{self.count:016x}", "queue", "pool", text, kind(self.rand),
            time.time(), priority, 4,
        )  # fmt: skip
        is_continuous = admission.continuous_cores(job)
        key = keys.continuous_job(job.job_id) if is_continuous else keys.job(job.job_id)
        self.store.put(key, job)


def build(store, tally):
    clock = clocks.SystemClock()
    rand = random.Random(1)
    lead = leadership.Leadership(store, "one", clock, tally, rand)
    held = None
    while held is None:
        held = lead.check()
    entries = {}
    catalog = messages.Catalog(
        1,
        (messages.Queue("queue", "", "/", "pool", 0, 4, 3.0),),
        (messages.Service("pool"),),
    )
    return entries, scheduler.Scheduler(
        store, http_workers.HttpWorkers(descriptors=4096), held, lambda: catalog,
        lambda name, text: result.Ok(entries[name]), fakes.WORKERS_PREFIX, 20.0, None,
        clock, tally,
    )  # fmt: skip


def list_workers(store, entries, count, ports):
    for number in range(count):
        name = f"worker-{number}"
        entries[name] = messages.WorkerEntry(
            name, "pool", f"127.0.0.1:{ports[number % len(ports)]}",
            f"dc-{number % 4}", CAPACITY, frozenset({f"rack-{number // 20}"}),
        )  # fmt: skip
        store.put(fakes.WORKERS_PREFIX + name, "")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--workers", type=int, default=246)
    parser.add_argument("--starts", type=float, default=300.0)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--profile", action="store_true")
    args = parser.parse_args()
    logs.setup("bench", "dc")
    servers = [
        subprocess.Popen(
            [sys.executable, "-m", "tests.standins.pool", "--many"],
            stdout=subprocess.PIPE,
        )
        for _ in range(WORKER_PROCESSES)
    ]
    try:
        ports = [int(server.stdout.readline()) for server in servers]
        measure(args, ports)
    finally:
        for server in servers:
            server.kill()


def measure(args, ports):
    store, tally = Store(), counters.StatsdCounters(None, 0)
    entries, leader = build(store, tally)
    list_workers(store, entries, args.workers, ports)
    traffic = Traffic(store, args.starts, random.Random(2))
    gevent.spawn(leader.run)
    gevent.spawn(traffic.run)
    gevent.sleep(SETTLE_TIME_S)
    profile = cProfile.Profile()
    if args.profile:
        profile.enable()
    before, began_at = time.process_time(), time.monotonic()
    starts = tally.counts["reports.ended.done"]
    gevent.sleep(args.seconds)
    spent, took = time.process_time() - before, time.monotonic() - began_at
    ends = tally.counts["reports.ended.done"] - starts
    profile.disable()
    rounds = tally.histograms["rounds.place"]
    waiting = sum(
        len(step_run.waiting())
        for job in leader.jobs.values()
        for step_run in job.ready_steps(time.time())
    )
    live = sum(
        task.phase is progress.Phase.RUNNING
        for job in leader.jobs.values()
        for task in job.tasks()
    )
    print(
        f"{args.workers} workers: {ends / took:.0f} ends/s, {spent / took:.3f} cores,"
        f" {1000 * spent / max(ends, 1):.2f} ms an end, {live} tasks running,"
        f" {waiting} waiting, {len(leader.jobs)} jobs,"
        f" {1000 * rounds.total / max(sum(rounds.counts), 1):.1f} ms a round",
        file=sys.stderr,
    )
    if args.profile:
        stats = pstats.Stats(profile, stream=sys.stderr)
        stats.sort_stats("tottime").print_stats(45)
        stats.sort_stats("cumtime").print_stats(60)


if __name__ == "__main__":
    main()
