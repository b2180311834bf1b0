"""Soak test driver: ``python -m tests.soak.run --minutes 2 --seed 7``.

Starts two data centres, runs callers and faults drawn from the seed, waits until
accepted work has ended, and prints a verdict for each guarantee. The exit status is 1
on any violation.
"""

import argparse
import json
import random
import sys
import time

from tests.soak import callers as callers_of
from tests.soak import faults as faults_of
from tests.soak import history as histories
from tests.soak import oracle, schedule
from tests.support import stage as stages
from tests.support import teams

DATA_CENTRES = ("shymkent", "duran")
WORKERS = 3
INSTANCES = 2
#: Seconds after the last fault within which all accepted work must end.
SETTLE_TIME_S = 30.0


class Soak:
    """One run: `seconds` of load and faults, then up to `settle` s to finish."""

    def __init__(
        self,
        seconds,
        seed,
        kinds=tuple(schedule.KINDS),
        settle=SETTLE_TIME_S,
        gap=schedule.MEAN_GAP_S,
    ):
        self.seconds = seconds
        self.seed = seed
        self.kinds = kinds
        self.settle = settle
        self.gap = gap
        self.stage = stages.Stage()
        self.history = histories.History()
        self.callers = callers_of.Callers(self.stage, self.history, seed)
        self.faults = faults_of.Faults(self.stage, self.history, self.worker_options)
        self.started_at = time.time()

    def run(self):
        """Execute the run and return the verdicts."""
        try:
            self.prepare()
            self.load()
            return self.judge()
        finally:
            self.stage.close()

    def worker_options(self):
        number = len(self.stage.workers)
        return {
            "log_file": self.stage.logs / f"worker-{number}.jsonl",
            "epoch": self.started_at,
        }

    def prepare(self):
        self.stage.start_platform(lag=0.5, seed=self.seed)
        for team in ("fuel-desk", "plegadora"):
            self.stage.write_settings(team, teams.example(team))
        subtree = {"tokens": [callers_of.MARKER_OPERATOR]}
        self.stage.write_settings(callers_of.MARKER_TEAM, subtree)
        for data_centre in DATA_CENTRES:
            for _ in range(WORKERS):
                self.stage.start_workers(data_centre, 1, **self.worker_options())
            for number in range(INSTANCES):
                self.stage.start_instance(f"{data_centre}-{number}", data_centre)
        self.stage.wait_ready()
        self.stage.start_balancer()
        stages.wait_until(
            lambda: stages.call(self.stage.balancer, "GET", "/readyz").status == 200,
            what="balancer",
        )

    def load(self):
        planned = schedule.draw(
            self.seed, self.seconds, sorted(self.stage.instances),
            sorted(self.stage.workers), DATA_CENTRES, self.kinds, self.gap,
        )  # fmt: skip
        for fault in planned:
            print(
                f"  {fault.at:6.1f} {fault.seconds:5.1f} s {fault.kind} {fault.target}"
            )
        sys.stdout.flush()
        started = time.time()
        self.faults.run(planned, started)
        self.callers.start(self.seconds)
        time.sleep(self.seconds)
        self.faults.join()
        self.callers.stop()
        print(f"load over after {time.time() - started:.1f} s", flush=True)

    def judge(self):
        deadline = time.monotonic() + self.settle
        last_orders = self.last_orders(deadline)
        last_jobs = self.last_jobs(deadline)
        self.history.orders = self.callers.orders
        evidence = oracle.Evidence(
            self.execution_log(),
            self.history.kills,
            stages.call(self.stage.platform, "GET", "/log").json(),
            {
                name: stages.call(address, "GET", "/log").json()["capacity"]
                for name, address in self.stage.workers.items()
            },
            self.history,
        )
        exits = {
            name: self.stage.processes[name].poll() for name in self.stage.instances
        }
        logs = {
            name: (self.stage.logs / f"{name}.log").read_text().splitlines()
            for name in self.stage.instances
        }
        return oracle.judge(evidence, last_orders, last_jobs, logs, exits)

    def last_orders(self, deadline):
        """Query each order until it has a final outcome."""
        chance = random.Random(f"{self.seed}/settle")
        open_ids = sorted(self.callers.orders)
        last = {}
        while open_ids and time.monotonic() < deadline:
            for task_id in open_ids:
                if time.monotonic() >= deadline:
                    break
                where = chance.choice(sorted(self.stage.instances))
                last[task_id] = self.callers.ask(task_id, where)
            # Orders that are unknown were never accepted or are lost for good.
            open_ids = [
                t
                for t in open_ids
                if t not in last
                or last[t].status in (None, 503)
                or (
                    oracle.outcome(last[t]) == "unknown"
                    and last[t].answer["retry_after"] is not None
                )
            ]
            time.sleep(0.5)
        return last

    def last_jobs(self, deadline):
        """Query all instances for each job until one reports its end."""
        found = {}
        for task_id, tasks in self.callers.jobs.items():
            best = self.final_answer(task_id, tasks)
            while best is None and time.monotonic() < deadline:
                time.sleep(0.5)
                best = self.final_answer(task_id, tasks)
            found[task_id] = (tasks, best)
        return found

    def final_answer(self, task_id, tasks):
        for name in self.stage.instances:
            call = self.callers.ask_job(task_id, name)
            answer = call.answer
            if call.status == 200 and answer["completed"] + answer["failed"] == tasks:
                return answer
        return None

    def execution_log(self):
        """Return the entries of the workers' log files, also of killed workers."""
        entries = []
        for path in sorted(self.stage.logs.glob("worker-*.jsonl")):
            for line in path.read_text().splitlines():
                entries.append(json.loads(line))
        return entries


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=0, help="0 picks a random seed")
    parser.add_argument("--gap", type=float, default=schedule.MEAN_GAP_S)
    parser.add_argument("--kinds", nargs="*", default=list(schedule.KINDS))
    args = parser.parse_args()
    seed = args.seed or random.SystemRandom().randrange(1, 1_000_000)
    print(f"seed {seed}, {args.minutes:g} minutes", flush=True)
    soak = Soak(args.minutes * 60, seed, tuple(args.kinds), gap=args.gap)
    verdicts = soak.run()
    print(f"seed {seed}, logs in {soak.stage.logs}")
    print(oracle.table_of(verdicts))
    sys.exit(1 if any(verdict.violations for verdict in verdicts) else 0)


if __name__ == "__main__":
    main()
