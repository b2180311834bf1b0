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
    return judge(bed)


def count(bed, event):
    return sum(line["event"] == event for line in bed.events())


def judge(bed):
    """Return 1 if a task was started after a run of it had ended done.

    By TWICE, such an end counts if it is taken note of then or later, unless the
    worker's lease lapsed between the two.
    """
    events = bed.events()
    lapses = {}
    for line in events:
        if line["event"] == "lease_over":
            lapses.setdefault(line["worker"], []).append(line["at"])
    done, noted, broken = {}, {}, []
    for line in events:
        if line["event"] == "end" and line["how"] == "done":
            done[line["task"], line["run"]] = line
        if line["event"] == "acknowledged" and line["how"] == "done":
            noted[line["task"], line["run"]] = line["at"]
    ends = {}
    for (task, run), line in done.items():
        at = noted.get((task, run))
        lapsed = any(line["at"] <= each <= (at or 0) for each in lapses.get(line["worker"], ()))
        if at is not None and not lapsed:
            ends.setdefault(task, []).append((line["at"], run, line["worker"], at))
    for line in events:
        if line["event"] != "start":
            continue
        for ended_at, run, worker, noted_at in ends.get(line["task"], ()):
            if ended_at < line["at"] and line["run"] > run:
                broken.append((line, run, worker, ended_at, noted_at))
    per_worker = {}
    for line in events:
        key = line["worker"], line["event"]
        per_worker[key] = per_worker.get(key, 0) + 1
    for (worker, event), number in sorted(per_worker.items()):
        bed.record(f"worker {worker}: {number} x {event}")
    for line in events:
        text = " ".join(f"{k}={v}" for k, v in line.items() if k not in ("at",))
        bed.record(text, line["at"])
    for line, run, worker, ended_at, noted_at in broken:
        bed.record(
            f"TWICE: {line['task']} run {run} ended done on {worker} at"
            f" {ended_at - bed.began_at:.3f}, taken note of at"
            f" {noted_at - bed.began_at:.3f}, and run {line['run']} was started on"
            f" {line['worker']} at {line['at'] - bed.began_at:.3f}"
        )
    bed.record(f"rule TWICE broken {len(broken)} times")
    print(f"rule TWICE broken {len(broken)} times")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
