"""Measures the resource use of one instance, idle and under load, for docs/CAPACITY.md.

``python -m tests.bench.capacity [--seconds 8] [case ...]`` prints a row for each
case: CPU time, resident memory, network traffic by kind of peer, and table
operations. All figures are means per instance. Traffic is the payload in both
directions on each open TCP connection as reported by ``ss``; connections that
closed during the measurement are not counted.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import re  # noqa: E402
import subprocess  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import geventhttpclient  # noqa: E402

from tests.support import stage, teams  # noqa: E402

#: Delay between the setup of a case and its measurement.
SETTLE_TIME_S = 4.0
DESK_HEADERS = teams.bearer("fuel-desk-token")
#: Workers and teams at the planned scale, and tasks and jobs held by an instance.
LISTED_WORKERS, TEAMS, HELD_TASKS, HELD_JOBS = 650, 150, 200, 100
#: Case -> instances, workers, function run before and load during the measurement.
CASES = {
    "idle": (1, 1, None, None),
    "peers-4": (4, 4, None, None),
    "peers-8": (8, 8, None, None),
    "workers-6": (1, 6, None, None),
    "workers-12": (1, 12, None, None),
    "listed": (1, 1, "list_workers", None),
    "teams": (1, 1, "write_teams", None),
    "tasks": (1, 1, "hold_tasks", None),
    "jobs": (1, 1, "hold_jobs", None),
    "quotes": (1, 1, None, ("ask", "quote", 50)),
    "starts": (1, 1, None, ("ask", "release", 20)),
    "changes": (1, 1, None, ("change", 5)),
}
COLUMNS = (
    "cpu ms/s | MB | peers B/s | platform B/s | workers B/s | callers B/s"
    " | reads/s | rows read/s | commits/s | rows written/s"
)


def list_workers(scene):
    """Register workers of another data centre, since the platform lists them all."""
    own = stage.call(scene.platform, "GET", "/inventory").json()["workers"][0]
    for number in range(LISTED_WORKERS):
        name = f"far-w{number}"
        entry = {**own, "name": name, "data_centre": "far"}
        stage.call(scene.platform, "PUT", f"/inventory/workers/{name}", entry)


def write_teams(scene):
    for number in range(TEAMS):
        scene.write_settings(f"team-{number}", teams.example("plegadora"))


def hold_tasks(scene):
    submit(scene, "held", HELD_TASKS, 0.01)


def hold_jobs(scene):
    for number in range(HELD_JOBS):
        submit(scene, f"waits-{number}", 10, 16)


def submit(scene, name, tasks, cpus):
    needs, body = {"cpus": cpus, "memory_gb": 0.01}, {"work_seconds": 600.0}
    job = {"job_id": name, "kind": "batch.held", "tasks": tasks, "needs": needs}
    answer = scene.call("dc-0", "POST", "/v1/jobs", {**job, "body": body}, DESK_HEADERS)
    assert answer.status < 300, answer


def ask(scene, ends, operation, rate):
    """Send `rate` requests a second, and return how many were answered with 200."""
    host, _, port = scene.instances["dc-0"].rpartition(":")
    client = geventhttpclient.HTTPClient(host, port=int(port), concurrency=16)
    scene.client = client  # Kept open: its traffic is sampled after this returns.
    body, statuses = json.dumps({"work_seconds": 0.01}), []
    headers = {**DESK_HEADERS, "Content-Type": "application/json"}

    def one(number):
        named = {**headers, "Request-Id": f"c-{number}"}
        response = client.post(f"/v1/services/fuel/{operation}", body, named)
        response.read()
        statuses.append(response.status_code)

    gevent.joinall(pace(rate, ends, lambda n: gevent.spawn(one, n)), timeout=5)
    return statuses.count(200)


def change(scene, ends, rate):
    content, revision = teams.example("fuel-desk"), 1

    def one(number):
        nonlocal revision
        content["quota"] = {"cpus": 100 + number}
        body = {"change_id": f"c-{number}", "revision": revision, "content": content}
        answer = scene.call("dc-0", "PUT", "/v1/settings/fuel-desk", body, DESK_HEADERS)
        revision = answer.json()["revision"]

    return len(pace(rate, ends, one))


def pace(rate, ends, step):
    """Call `step` at `rate` a second until `ends`; return the list of results."""
    started, done = time.monotonic(), []
    while time.monotonic() < ends:
        done.append(step(len(done)))
        gevent.sleep(max(started + len(done) / rate - time.monotonic(), 0))
    return done


def usage(pid):
    """Return the CPU time in ms and the resident memory in MB of a process."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident = int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    return ticks * 1000 / os.sysconf("SC_CLK_TCK"), resident


def sockets(scene, name):
    """Return the kind of peer and the payload bytes so far of each connection."""
    command = ["ss", "-tinpH", "state", "established"]
    text = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    ends = {a: "workers" for a in scene.workers.values()} | {scene.platform: "platform"}
    own = scene.instances[name]
    found = {}
    for entry in re.sub(r"\n\s+", " ", text).splitlines():
        if f"pid={scene.processes[name].pid}," not in entry:
            continue
        local, remote = entry.split()[2:4]
        kind = "callers" if local == own else ends.get(remote, "peers")
        counts = re.findall(r"bytes_(?:acked|received):(\d+)", entry)
        found[local, remote] = (kind, sum(map(int, counts)))
    return found


def sample(scene):
    calls = stage.call(scene.platform, "GET", "/calls").json()
    used = {n: usage(scene.processes[n].pid) for n in scene.instances}
    return time.monotonic(), calls, used, {n: sockets(scene, n) for n in used}


def case_row(before, after):
    """Return a case's row, computed from samples at its start and its end."""
    seconds, count = after[0] - before[0], len(after[2])
    cpu = sum(after[2][n][0] - before[2][n][0] for n in after[2])
    memory = sum(resident for _, resident in after[2].values())
    passed = dict.fromkeys(("peers", "platform", "workers", "callers"), 0)
    for name, found in after[3].items():
        for key, (kind, total) in found.items():
            passed[kind] += total - before[3][name].get(key, (kind, 0))[1]
    calls = ("reads", "read_rows", "commits", "written_rows")
    asked = [after[1][key] - before[1][key] for key in calls]
    rates = [total / seconds for total in (cpu, *passed.values(), *asked)]
    return [each / count for each in (rates[0], memory, *rates[1:])]


def measure(case, seconds):
    instances, workers, prepare, load = CASES[case]
    scene = stage.Stage()
    try:
        scene.start_platform()
        scene.write_settings("fuel-desk", teams.example("fuel-desk"))
        scene.start_workers("dc", workers, slots=256 if case == "tasks" else 8)
        for number in range(instances):
            scene.start_instance(f"dc-{number}", "dc")
        scene.wait_ready()
        if prepare:
            globals()[prepare](scene)
        time.sleep(SETTLE_TIME_S)
        before = sample(scene)
        ends, done = time.monotonic() + seconds, 0
        if load:
            done = globals()[load[0]](scene, ends, *load[1:])
        time.sleep(max(ends - time.monotonic(), 0))
        return case_row(before, sample(scene)), done / seconds
    finally:
        scene.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("cases", nargs="*", default=list(CASES))
    parser.add_argument("--seconds", type=float, default=8.0)
    args = parser.parse_args()
    print(f"| case | done/s | {COLUMNS} |\n{'|---' * 12}|")
    for case in args.cases:
        row, done = measure(case, args.seconds)
        print(f"| {case} | {done:.1f} | " + " | ".join(f"{v:.1f}" for v in row) + " |",
              flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
