"""Measures what one instance spends at rest and by load, for docs/CAPACITY.md.

``python -m tests.bench.capacity [--seconds 8] [case ...]`` prints a row for each
case: processor time, resident memory, bytes by the other end, and what the table
was asked. All is per instance: the mean over the instances of the case. Bytes
are the kernel's counts of payload on each open TCP connection, in both
directions, as ``ss`` tells them; connections that closed meanwhile are missing.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import collections  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import re  # noqa: E402
import subprocess  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import geventhttpclient  # noqa: E402

from tests.support import stage, teams  # noqa: E402

#: Seconds for which a case is left alone before it is measured.
SETTLING = 4.0
DESK = teams.bearer("fuel-desk-token")
QUOTES_PER_SECOND = 50
CHANGES_PER_SECOND = 5
#: Workers and teams that are planned for, and tasks and jobs held in a case.
LISTED, TEAMS, HELD, JOBS = 650, 150, 200, 100
#: Each case: instances, workers, and what is done before and while it is measured.
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
    "quotes": (1, 1, None, "quotes"),
    "changes": (1, 1, None, "changes"),
}
COLUMNS = (
    "cpu ms/s | MB | peers B/s | platform B/s | workers B/s | callers B/s"
    " | reads/s | rows read/s | commits/s | rows written/s"
)


def list_workers(scene):
    """List workers of another data centre, as the platform would all of them."""
    for number in range(LISTED):
        entry = {"name": f"far-w{number}", "data_centre": "far", "rack": "r1",
                 "address": f"127.9.{number // 250}.{number % 250 + 1}:9",
                 "capacity": {"cpus": 32, "memory_gb": 125, "slots": 8,
                              "connections": 64}}  # fmt: skip
        path = f"/inventory/workers/{entry['name']}"
        stage.call(scene.platform, "PUT", path, entry)


def write_teams(scene):
    for number in range(TEAMS):
        scene.write_settings(f"team-{number}", teams.example("plegadora"))


def hold_tasks(scene):
    post(scene, "/v1/jobs", job("held", HELD, 600.0, 0.01))


def hold_jobs(scene):
    for number in range(JOBS):
        post(scene, "/v1/jobs", job(f"waits-{number}", 10, 600.0, 16))


def job(name, tasks, seconds, cpus):
    return {"job_id": name, "kind": "batch.held", "tasks": tasks,
            "needs": {"cpus": cpus, "memory_gb": 0.01},
            "body": {"work_seconds": seconds}}  # fmt: skip


def post(scene, path, body):
    answer = scene.call("dc-0", "POST", path, body, DESK)
    assert answer.status < 300, answer


def quotes(scene, ends):
    host, _, port = scene.instances["dc-0"].rpartition(":")
    client = geventhttpclient.HTTPClient(host, port=int(port), concurrency=16)
    scene.client = client  # Kept open: its bytes are read after this returns.
    headers = {**DESK, "Content-Type": "application/json"}
    body, statuses = json.dumps({"work_seconds": 0.01}), []

    def ask():
        response = client.post("/v1/services/fuel/quote", body=body, headers=headers)
        response.read()
        statuses.append(response.status_code)

    asked = pace(QUOTES_PER_SECOND, ends, lambda _: gevent.spawn(ask))
    gevent.joinall(asked, timeout=5)
    return statuses.count(200)


def changes(scene, ends):
    content, revision = teams.example("fuel-desk"), 1

    def change(number):
        nonlocal revision
        content["quota"] = {"cpus": 100 + number}
        body = {"change_id": f"c-{number}", "revision": revision, "content": content}
        answer = scene.call("dc-0", "PUT", "/v1/settings/fuel-desk", body, DESK)
        revision = answer.json()["revision"]

    return len(pace(CHANGES_PER_SECOND, ends, change))


def pace(rate, ends, step):
    """Call `step` at `rate` a second until `ends`; return what it returned."""
    started, done = time.monotonic(), []
    while time.monotonic() < ends:
        done.append(step(len(done)))
        gevent.sleep(max(started + len(done) / rate - time.monotonic(), 0))
    return done


def usage(pid):
    """Return CPU milliseconds and resident megabytes of a process."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    resident = int(fields[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    return ticks * 1000 / os.sysconf("SC_CLK_TCK"), resident


def sockets(scene, name):
    """Return the payload bytes so far of each connection, by what is at its end."""
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


def figures(before, after):
    """Return the row of a case from samples at its start and its end."""
    seconds, count = after[0] - before[0], len(after[2])
    cpu = sum(after[2][n][0] - before[2][n][0] for n in after[2])
    memory = sum(resident for _, resident in after[2].values())
    passed = collections.Counter()
    for name, found in after[3].items():
        for key, (kind, total) in found.items():
            passed[kind] += total - before[3][name].get(key, (kind, 0))[1]
    rates = [cpu / seconds, memory * 1.0]
    rates += [passed[k] / seconds for k in ("peers", "platform", "workers", "callers")]
    for key in ("reads", "read_rows", "commits", "written_rows"):
        rates.append((after[1][key] - before[1][key]) / seconds)
    return [rate / count for rate in rates]


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
        time.sleep(SETTLING)
        before = sample(scene)
        ends, done = time.monotonic() + seconds, 0
        if load:
            done = globals()[load](scene, ends)
        time.sleep(max(ends - time.monotonic(), 0))
        return figures(before, sample(scene)), done / seconds
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
