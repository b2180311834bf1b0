"""A queue with advice moves to another service while a job of it is at work.

Usage: by `run.sh`; TROUBLE=0 leaves the change of the configuration out. With
CHANGE=drop the route is removed instead, and another one is added.
"""

import copy
import importlib
import json
import os
import pathlib
import secrets
import sys
import time

bed_module = importlib.import_module("review.standins.bed")

#: Workers of each of the two services.
WORKERS = 3
TASKS, CPU, MEM_MB = 4, 2000, 1000
TASK_MS = 3000
#: Seconds after the hand-in at which the configuration changes: the first step runs.
CHANGE_AFTER_S = 1.5
#: Seconds after the end of the traffic at which jobs must have ended (`finish_s`), and
#: for which a job may have nothing running although there is room.
FINISH_S = 14.0
IDLE_S = 3.0
SERVICES = ("pedidos", "pedidos-b")
ADVICE = {"decide_ms": 20, "each_ms": 1, "valid_ms": 3000}


def main():
    bed = bed_module.Bed(pathlib.Path(__file__).parent)
    try:
        return run(bed, os.environ.get("TROUBLE", "1") != "0")
    except bed_module.CouldNotRun as exc:
        bed.record(f"could not run: {exc}")
        return 2
    finally:
        bed.close()


def config(version, service):
    """Return a configuration that sends the queue to a service."""
    found = copy.deepcopy(bed_module.CONFIG)
    found["version"] = version
    found["services"] = [{"name": name, "admission_check": True} for name in SERVICES]
    found["routes"][0].update(service=service, advice=ADVICE)
    return found


def changed_config(change):
    """Return the configuration that the operator writes while the job is at work."""
    if change == "move":
        return config(3, SERVICES[1])
    found = config(3, SERVICES[0])
    found["routes"][0].update(name="other", path_prefix="/other1/")
    return found


def run(bed, trouble):
    bed.start_store()
    bed.configure(config(2, SERVICES[0]))
    for number in range(2 * WORKERS):
        bed.add_worker(number, "--service", SERVICES[number // WORKERS])
    advice = f"127.0.0.1:{bed_module.free_port()}"
    bed.start("advisor", [sys.executable, "-m", "review.standins.advisor",
                          "--address", advice])  # fmt: skip
    names = [bed.add_instance(number, advice=advice) for number in range(3)]
    bed.wait_for_instances()
    bed_module.wait_until(bed.leader, "a leader")
    time.sleep(2)
    spec = json.dumps({"cpu": CPU, "mem_mb": MEM_MB, "ms": TASK_MS, "advised": True})
    step = {"count": TASKS, "cpu": CPU, "mem_mb": MEM_MB, "estimate_ms": TASK_MS}
    job = {"spec": spec, "steps": [step, {**step, "after": [0]}]}
    job_id = secrets.token_hex(8)
    handed_in_at = time.time()
    status = bed.submit(names[0], job_id, job)
    if status != 200:
        raise bed_module.CouldNotRun(f"job answered with {status}")
    time.sleep(CHANGE_AFTER_S)
    if trouble:
        bed.configure(changed_config(os.environ.get("CHANGE", "move")))
    first_ended_at = handed_in_at + TASK_MS / 1000
    time.sleep(max(first_ended_at + IDLE_S + FINISH_S - time.time(), 0))
    state = bed.state(names[1], job_id)
    bed.record(f"client: GET {job_id}: {state}")
    return judge(bed, state)


def judge(bed, state):
    """Return 1 if the job had nothing running for `IDLE_S` while it could run.

    All workers are idle then, so there is room for it twice over, and under half of
    the service's capacity is in use.
    """
    events = bed.events()
    for line in events:
        text = " ".join(f"{k}={v}" for k, v in line.items() if k != "at")
        bed.record(text, line["at"])
    for line in (bed.temp / "advisor.out").read_text().splitlines():
        at, _, text = line.partition(" ")
        bed.record(f"advice asked for {text}", float(at))
    runs = [line for line in events if line["event"] in ("start", "end")]
    bed.record(f"{len(runs)} starts and ends; the job is shown as {state}")
    if state == "completed":
        bed.record("rule LOST held")
        return 0
    last_at = max(line["at"] for line in runs)
    running = sum(1 if line["event"] == "start" else -1 for line in runs)
    idle_s = time.time() - last_at
    if running == 0 and idle_s > IDLE_S:
        bed.record(f"rule LOST broken: nothing has run for {idle_s:.1f} s")
        print(f"rule LOST broken: nothing has run for {idle_s:.1f} s")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
