"""Two workers crash, one after the other, each shortly after it has started a task.

The job is of tasks that last, which have to be restarted however they end.

Usage: by `run.sh`; TROUBLE=0 leaves the crashes out.
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

WORKERS = 8
#: A job of tasks that last, each on a worker of its own.
TASKS, CPU, MEM_MB = 3, 6000, 13000
CRASHES = 2
#: Seconds from a start to the crash of its worker, and until that is back.
CRASH_AFTER_S = 0.5
DOWN_S = 2.0
WATCH_S = 14.0
FINAL = ("completed", "failed", "cancelled")


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
    spec = json.dumps({"cpu": CPU, "mem_mb": MEM_MB, "lasts": True})
    step = {"count": TASKS, "cpu": CPU, "mem_mb": MEM_MB, "estimate_ms": 500,
            "long_running": True, "anti_affinity": 1}  # fmt: skip
    job_id = secrets.token_hex(8)
    status = bed.submit(names[0], job_id, {"spec": spec, "steps": [step]})
    if status != 200:
        raise bed_module.CouldNotRun(f"job answered with {status}")
    for number in range(CRASHES if trouble else 0):
        crash_worker_of(bed, number + 1)
    deadline = time.time() + WATCH_S
    state = None
    while state not in FINAL and time.time() < deadline:
        time.sleep(0.5)
        state = bed.state(names[1], job_id)
    bed.record(f"client: GET {job_id}: {state}")
    return judge(bed, state)


def crash_worker_of(bed, run_number):
    """Kill the worker that runs the first task; start it again after `DOWN_S`."""

    def starts():
        return [line for line in bed.events()
                if line["event"] == "start" and line["task"].endswith(".0.0.0")
                and line["run"] >= run_number]  # fmt: skip

    bed_module.wait_until(starts, f"run {run_number}", 12)
    start = starts()[0]
    time.sleep(max(start["at"] + CRASH_AFTER_S - time.time(), 0))
    for number, path in enumerate(bed.worker_logs):
        if start["worker"] in path.read_text():
            bed.signal(f"worker-{number}", signal.SIGKILL)
            time.sleep(DOWN_S)
            bed.restart(f"worker-{number}")
            return
    raise bed_module.CouldNotRun("no worker has the task")


def judge(bed, state):
    """Return 1 if the job is shown as failed though no run of it ended `failed`."""
    events = bed.events()
    for line in events:
        text = " ".join(f"{k}={v}" for k, v in line.items() if k != "at")
        bed.record(text, line["at"])
    failed = [line for line in events if line.get("how") == "failed"]
    bed.record(f"{len(failed)} runs ended failed; the job is shown as {state}")
    if state in ("failed", "cancelled") and not failed:
        bed.record("rule LOST broken: shown as failed without cause")
        print("rule LOST broken: shown as failed without cause")
        return 1
    if state != "running":
        raise bed_module.CouldNotRun(f"state {state}")
    bed.record("rule LOST held")
    return 0


if __name__ == "__main__":
    sys.exit(main())
