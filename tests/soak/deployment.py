"""Soak test on the users' platform: ``python -m tests.soak.deployment --minutes 2``.

Instances, simulated workers and the store run as separate processes. Each instance
connects to the store, and every instance to each worker, through a relay. Faults are
injected from outside only: signals, relays that stall or reset connections, and faults
of the store. Verdicts are based on the workers' logs and on the answers that callers
received; the exit status is 1 on any violation.
"""

import argparse
import collections
import random
import signal
import subprocess
import sys
import threading
import time

from tests.soak import oracle, placed, schedule
from tests.support import deployed, stage

CALLERS = 3
#: Seconds after the load within which all accepted jobs must end.
SETTLE_TIME_S = 40.0
STORE_FAULTS = {
    "store_down": {"down": True},
    "store_silent": {"silent": True},
    "store_slow": {"slow": 0.25},
    "store_loses": {"lose": 0.4},
    "store_late": {"late": 0.4},
    "store_forgets": {"forget": True},
}
#: Kind of fault -> shortest and longest duration.
DURATIONS_S = {
    "kill": (0.5, 2.0),
    "freeze": (1.0, 7.0),
    "stop": (1.0, 1.0),
    "cut": (1.0, 7.0),
    "reset": (0.5, 0.5),
    "kill_worker": (0.5, 3.0),
    "freeze_worker": (1.0, 8.0),
    "cut_worker": (1.0, 8.0),
    **dict.fromkeys(STORE_FAULTS, (1.0, 5.0)),
}


#: Additional kinds of faults in runs in which some workers keep their names.
NAME_KEEPING_DURATIONS_S = {"resize_worker": (6.0, 12.0)}
#: Additional kinds of faults in runs with long leases, where all options are on.
LONG_LEASE_DURATIONS_S = {"refuse_leader": (1.0, 4.0)}
#: Additional kinds of faults in runs beside clients that don't behave.
CROWD_DURATIONS_S = {"crowd": (3.0, 8.0)}
#: How such clients may behave, and how many come at a time.
CROWDS = (
    "silent", "dripped-request-line", "long-heads-completed", "bodies-left-open",
    "endless-trailers", "endless-small-chunks", "pipelined-requests", "unread-answers",
    "pipelined-unknown-jobs", "hasty",
)  # fmt: skip
CROWD_SIZE = 40
#: Longest lease in such runs, in milliseconds.
LONG_LEASE_MS = 10_000
#: Exit status of a worker that a task crashed, and the delay until its restart.
CRASH_EXIT_STATUS = 86
CRASH_RESTART_DELAY_S = 1.0


class Faults:
    """Injects faults; each method returns once its fault is over."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.processes = deployment.processes
        self.relays = deployment.relays
        #: (process name, wall time) of each process that was killed.
        self.kills = []
        #: Descriptions of processes that ended by themselves or stopped too late.
        self.unexpected_exits = []
        #: Held by a fault of a process until it is over, and the process restarted.
        self.restarts = collections.defaultdict(threading.Lock)

    def carry_out(self, fault, started):
        time.sleep(max(started + fault.at - time.monotonic(), 0.0))
        if fault.kind in STORE_FAULTS:
            for faults in (STORE_FAULTS[fault.kind], {}):
                stage.call(self.deployment.store, "POST", "/faults", faults)
                time.sleep(fault.seconds if faults else 0)
            return
        if fault.kind == "crowd":
            # Beside whatever else befalls the instance.
            self.crowd(fault.target, fault.seconds, fault.at)
            return
        if fault.target == "leader":
            self.refuse_leader(fault.seconds)
            return
        with self.restarts[fault.target]:
            self.carry_out_now(fault)

    def carry_out_now(self, fault):
        if self.processes[fault.target].poll() == CRASH_EXIT_STATUS:
            return
        getattr(self, fault.kind.removesuffix("_worker"))(fault.target, fault.seconds)

    def kill(self, name, seconds):
        self.check_alive(name)
        self.deployment.kill(name)
        self.kills.append((name, time.time()))
        time.sleep(seconds)
        self.deployment.restart(name)

    def stop(self, name, seconds):
        self.check_alive(name)
        self.deployment.signal(name, signal.SIGTERM)
        try:
            self.processes[name].wait(deployed.GRACE_S)
        except subprocess.TimeoutExpired:
            self.unexpected_exits.append(f"{name}: did not stop in time")
            self.deployment.kill(name)
        self.deployment.restart(name)

    def crowd(self, name, seconds, at):
        """Let clients that don't behave come to an instance."""
        kind = CROWDS[int(at * 1000) % len(CROWDS)]
        address = self.deployment.fronts[name]
        command = ["-m", "tests.standins.crowd", kind, str(CROWD_SIZE), address]
        process = self.deployment.start(f"crowd-{name}-{at:.3f}", *command)
        time.sleep(seconds)
        process.kill()
        process.wait()

    def freeze(self, name, seconds):
        self.deployment.freeze(name)
        time.sleep(seconds)
        self.deployment.thaw(name)

    def cut(self, name, seconds):
        self.relays[name].cut()
        time.sleep(seconds)
        self.relays[name].heal()

    def refuse_leader(self, seconds):
        """Let the store refuse the instance that leads, and only it."""
        name = self.deployment.leader()
        if name is not None:
            self.relays[name].refuse()
            time.sleep(seconds)
            self.relays[name].accept_again()

    def resize(self, name, seconds):
        for share in (0.25, 1):
            resize = {"cpu": 1000 * deployed.CORES * share}
            try:
                stage.call(self.relays[name].address, "POST", "/resize", resize)
            except OSError:
                # The worker is down; it has all its cores again after its restart.
                return
            time.sleep(seconds if share < 1 else 0)

    def restart_crashed(self, until):
        """Restart workers that were crashed by a task, after a delay."""
        while time.monotonic() < until:
            for name, process in list(self.processes.items()):
                if name.startswith("worker") and process.poll() == CRASH_EXIT_STATUS:
                    time.sleep(CRASH_RESTART_DELAY_S)
                    self.deployment.restart(name)
            time.sleep(0.1)

    def reset(self, name, seconds):
        self.relays[name].reset()

    def check_alive(self, name):
        status = self.processes[name].poll()
        if status is not None:
            self.unexpected_exits.append(f"{name}: ended with status {status}")


def table_of(durations=DURATIONS_S):
    """Return rows of kind of fault, its possible targets and range of durations."""
    instances = [f"instance-{number}" for number in range(deployed.INSTANCES)]
    workers = [f"worker-{number}" for number in range(deployed.WORKERS)]
    targets = {kind: workers if "worker" in kind else instances for kind in durations}
    targets.update({kind: ["store"] for kind in STORE_FAULTS})
    targets.update({kind: ["leader"] for kind in LONG_LEASE_DURATIONS_S})
    return [(kind, targets[kind], span) for kind, span in durations.items()]


def run(
    seconds,
    seed,
    gap=schedule.MEAN_GAP_S,
    settle=SETTLE_TIME_S,
    crashing=False,
    long_leases=False,
    crowds=False,
):
    """Execute a run, and return its verdicts and the folder with all logs.

    With `crashing`, tasks crash workers, some workers keep their names across restarts,
    and capacity changes. With `long_leases`, all options are on, and the store refuses
    the leader alone at times. With `crowds`, clients that don't behave come at times.
    """
    lease_ms = {"lease_ms": LONG_LEASE_MS} if long_leases else {}
    deployment = deployed.Deployment(seed, crashing, **lease_ms)
    faults = Faults(deployment)
    try:
        deployment.start_all()
        added = (
            (NAME_KEEPING_DURATIONS_S if crashing else {})
            | (LONG_LEASE_DURATIONS_S if long_leases else {})
            | (CROWD_DURATIONS_S if crowds else {})
        )
        table = table_of(DURATIONS_S | added)
        # As often as all else that befalls workers.
        table += [row for row in table if row[0] in added] * 2
        planned = schedule.draw_from(seed, seconds, table, gap)
        for fault in planned:
            print(
                f"  {fault.at:6.1f} {fault.seconds:5.1f} s {fault.kind} {fault.target}"
            )
        sys.stdout.flush()
        callers = [placed.Caller(n, seed, deployment, crashing) for n in range(CALLERS)]
        started = time.monotonic()
        threads = [
            threading.Thread(target=caller.run, args=(started + seconds,))
            for caller in callers
        ] + [
            threading.Thread(target=faults.carry_out, args=(fault, started))
            for fault in planned
        ]
        if crashing:
            until = started + seconds + settle
            threading.Thread(
                target=faults.restart_crashed, args=(until,), daemon=True
            ).start()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        placed.settle(callers, time.monotonic() + settle)
        for name in deployment.fronts:
            faults.check_alive(name)
        verdicts = placed.judge(callers, deployment.worker_entries(), faults)
        return verdicts, deployment.logs
    finally:
        deployment.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=0, help="0 picks a random seed")
    parser.add_argument("--gap", type=float, default=schedule.MEAN_GAP_S)
    parser.add_argument(
        "--lives", action="store_true", help="worker crashes, kept names"
    )
    parser.add_argument(
        "--long-leases", action="store_true", help="all options on, leader refused"
    )
    parser.add_argument(
        "--crowds", action="store_true", help="clients that don't behave"
    )
    args = parser.parse_args()
    seed = args.seed or random.SystemRandom().randrange(1, 1_000_000)
    print(f"seed {seed}, {args.minutes:g} minutes", flush=True)
    verdicts, folder = run(
        args.minutes * 60,
        seed,
        args.gap,
        crashing=args.lives,
        long_leases=args.long_leases,
        crowds=args.crowds,
    )
    print(f"seed {seed}, logs in {folder}")
    print(oracle.table_of(verdicts))
    sys.exit(1 if any(verdict.violations for verdict in verdicts) else 0)


if __name__ == "__main__":
    main()
