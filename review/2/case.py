"""More than 500 ends wait on a worker while the leader is replaced.

Usage: python3 -m review.1.case, by `run.sh`; TROUBLE=0 leaves the kill out.
"""

import importlib
import json
import os
import pathlib
import secrets
import signal
import sys
import time

bed_module = importlib.import_module("review.standins.bed")
twice_module = importlib.import_module("review.standins.twice")

WORKERS = 3
#: A job's record has room for about 700 tasks that run at the same time. With three
#: workers, 620 tasks run on each.
JOBS = 3
TASKS = 620
CPU, MEM_MB = 40, 100
#: Seconds after the hand-in at which all tasks have done their work.
WORK_S = 30.0
#: Seconds over which the ends are spread after that moment, and seconds before it at
#: which the leader is killed. A live leader takes note of them as they come.
SPREAD_S = 0.8
KILL_BEFORE_S = 0.1
RESTART_AFTER_S = 2.0
WATCH_S = 12.0


def main():
    bed = bed_module.Bed(pathlib.Path(__file__).parent)
    try:
        return run(bed, os.environ.get("TROUBLE", "1") != "0")
    except bed_module.CouldNotRun as exc:
        bed.record(f"could not run: {exc}")
        return 2
    finally:
        bed.close()


def run(bed, trouble):
    bed.start_store()
    for number in range(WORKERS):
        bed.add_worker(number)
    names = [bed.add_instance(number) for number in range(3)]
    bed.wait_for_instances()
    bed_module.wait_until(bed.leader, "a leader")
    time.sleep(2)
    until = time.time() + WORK_S
    spec = json.dumps(
        {"cpu": CPU, "mem_mb": MEM_MB, "until": until, "spread_s": SPREAD_S}
    )
    step = {"count": TASKS, "cpu": CPU, "mem_mb": MEM_MB, "estimate_ms": 15000}
    jobs = [secrets.token_hex(8) for _ in range(JOBS)]
    for number, job_id in enumerate(jobs):
        status = bed.submit(names[number % 3], job_id, {"spec": spec, "steps": [step]})
        if status != 200:
            raise bed_module.CouldNotRun(f"job answered with {status}")
    bed_module.wait_until(
        lambda: count(bed, "start") >= JOBS * TASKS, "all tasks running",
        until - time.time() - 1, interval=0.5,
    )  # fmt: skip
    bed.record(f"all {JOBS * TASKS} tasks run")
    time.sleep(max(until - KILL_BEFORE_S - time.time(), 0))
    if trouble:
        leader = bed.leader()
        bed.signal(leader, signal.SIGKILL)
        time.sleep(RESTART_AFTER_S)
        bed.restart(leader)
        bed.record(f"{leader} started again")
    time.sleep(max(until + WATCH_S - time.time(), 0))
    for job_id in jobs:
        bed.record(f"client: GET {job_id}: {bed.state(names[0], job_id)}")
    return 1 if twice_module.count_starts_after_done(bed) else 0


def count(bed, event):
    return sum(line["event"] == event for line in bed.events())


if __name__ == "__main__":
    sys.exit(main())
