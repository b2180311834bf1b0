"""The workers of one rack crash and are back under their ids, at other addresses.

Usage: by `run.sh`; TROUBLE=0 leaves the crash out.
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

RACKS, WORKERS_PER_RACK = 3, 3
LABEL = "r1-1"
TASKS, CPU, MEM_MB, TASK_MS = 4, 2000, 1000, 1000
#: Seconds for which the workers are down, and from their return to the hand-in.
DOWN_S = 2.0
CALM_S = 6.0
FINISH_S = 14.0
IDLE_S = 3.0


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
    for number in range(RACKS * WORKERS_PER_RACK):
        rack = f"r1-{number // WORKERS_PER_RACK}"
        bed.add_worker(number, "--id", f"i-7f3a{number}", "--rack", rack)
    names = [bed.add_instance(number) for number in range(3)]
    bed.wait_for_instances()
    bed_module.wait_until(bed.leader, "a leader")
    time.sleep(2)
    first = hand_in(bed, names[0])
    time.sleep(3)
    if bed.state(names[0], first) != "completed":
        raise bed_module.CouldNotRun("the first job was not completed")
    bed.record(f"client: GET {first}: completed")
    if trouble:
        crash_rack(bed)
    time.sleep(CALM_S)
    second = hand_in(bed, names[0])
    handed_in_at = time.time()
    state = None
    while state != "completed" and time.time() < handed_in_at + FINISH_S + IDLE_S:
        time.sleep(0.5)
        state = bed.state(names[1], second)
    bed.record(f"client: GET {second}: {state}")
    return judge(bed, second, state)


def hand_in(bed, name):
    """Hand a job in whose tasks need the label of one rack; return its id."""
    spec = json.dumps({"cpu": CPU, "mem_mb": MEM_MB, "ms": TASK_MS})
    step = {"count": TASKS, "cpu": CPU, "mem_mb": MEM_MB, "estimate_ms": TASK_MS,
            "constraints": LABEL}  # fmt: skip
    job_id = secrets.token_hex(8)
    status = bed.submit(name, job_id, {"spec": spec, "steps": [step]})
    if status != 200:
        raise bed_module.CouldNotRun(f"job answered with {status}")
    return job_id


def crash_rack(bed):
    """Kill the workers of the rack; start them again under their ids."""
    rack = int(LABEL.rpartition("-")[2])
    numbers = range(rack * WORKERS_PER_RACK, (rack + 1) * WORKERS_PER_RACK)
    for number in numbers:
        bed.signal(f"worker-{number}", signal.SIGKILL)
    time.sleep(DOWN_S)
    for number in numbers:
        command, env = bed.commands[f"worker-{number}"]
        command = list(command)
        address = f"127.0.0.1:{bed_module.free_port()}"
        command[command.index("--address") + 1] = address
        bed.start(f"worker-{number}", command, env)


def judge(bed, job_id, state):
    """Return 1 if nothing of the job ran for `IDLE_S` though its workers were idle."""
    events = bed.events()
    for line in events:
        text = " ".join(f"{k}={v}" for k, v in line.items() if k != "at")
        bed.record(text, line["at"])
    starts = [line for line in events
              if line["event"] == "start" and line["task"].startswith(job_id)]  # fmt: skip
    bed.record(f"{len(starts)} starts of the second job; it is shown as {state}")
    if state == "completed":
        bed.record("rule LOST held")
        return 0
    if not starts:
        bed.record(f"rule LOST broken: nothing has run in {FINISH_S + IDLE_S:.0f} s")
        print(f"rule LOST broken: nothing has run in {FINISH_S + IDLE_S:.0f} s")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
