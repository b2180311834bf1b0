"""End-to-end demo on realistic input.

Starts a simulated platform, and workers and instances in the data centres that both
example teams list first; sends quotes, releases, verifications, a watch and a batch
job, all but the job through a load balancer; and prints a table with latencies and the
data centres that answered.
"""

import collections
import concurrent.futures
import json
import sys
import time

from tests.support import stage, teams

FUEL = [
    {"tail": tail, "airport": airport, "litres": litres, "work_seconds": 0.01}
    for tail, airport, litres in (
        ("UP-B3701", "UAII", 4200),
        ("P4-BDL", "UADD", 9800),
        ("T7-GFA", "UAOO", 6100),
        ("9H-VCK", "UAIT", 3300),
        ("M-YGLF", "UAII", 7600),
    )
]
TOOLING = [
    {"punch": punch, "die": die, "length_mm": length, "work_seconds": 0.01}
    for punch, die, length in (
        ("P.135.85.R08", "M.460.R.V12", 835),
        ("P.120.30.R3", "M.85.50.V16", 415),
        ("P.97.88.R06", "M.130.60.V8", 1250),
    )
]
QUOTES = 300


def main():
    scene = stage.Stage()
    try:
        prepare(scene)
        rows = run(scene)
    finally:
        scene.close()
    print_table(rows)
    return 0 if all(row["whole"] == row["asked"] for row in rows) else 1


def prepare(scene):
    scene.start_platform()
    for name in ("fuel-desk", "plegadora"):
        scene.write_settings(name, teams.example(name))
    for data_centre in ("shymkent", "duran"):
        scene.start_workers(data_centre, 3)
        for number in range(2):
            scene.start_instance(f"{data_centre}-{number}", data_centre)
    scene.wait_ready()
    scene.start_balancer()
    stage.wait_until(
        lambda: stage.call(scene.balancer, "GET", "/readyz").status == 200,
        what="balancer",
    )


def run(scene):
    requests = [
        ("fuel quote", "fuel-desk", "/v1/services/fuel/quote", FUEL, QUOTES),
        ("tooling quotation", "plegadora", "/v1/services/tooling/quotation",
         TOOLING, QUOTES),
        ("fuel release", "fuel-desk", "/v1/services/fuel/release", FUEL, 20),
        ("die verification", "plegadora", "/v1/services/tooling/verification",
         TOOLING, 20),
    ]  # fmt: skip
    rows = []
    for label, team, path, bodies, count in requests:
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            answers = list(
                pool.map(
                    lambda n, t=team, p=path, b=bodies, lb=label: ask(
                        scene, t, p, b[n % len(b)], f"{lb.replace(' ', '-')}-{n}"
                    ),
                    range(count),
                )
            )
        rows.append(summary(label, answers))
    rows.append(watch(scene))
    rows.append(batch(scene))
    return rows


def ask(scene, team, path, body, request_id):
    """Send a request, and retry up to 20 times while the answer has Retry-After."""
    headers = teams.bearer(f"{team}-token", Request_Id=request_id)
    started = time.monotonic()
    for _ in range(20):
        answer = stage.call(scene.balancer, "POST", path, body, headers)
        if "retry-after" not in answer.headers:
            break
        time.sleep(float(answer.headers["retry-after"]))
    content = answer.json()
    echo = (content.get("answer") or content).get("echo")
    where = answer.headers.get("mangosail-data-centre", "")
    return echo == body, time.monotonic() - started, where


def summary(label, answers):
    seconds = sorted(answer[1] for answer in answers)
    where = collections.Counter(answer[2] for answer in answers if answer[2])
    return {
        "work": label,
        "asked": len(answers),
        "whole": sum(answer[0] for answer in answers),
        "p50": seconds[len(seconds) // 2],
        "p99": seconds[min(int(len(seconds) * 0.99), len(seconds) - 1)],
        "where": ", ".join(f"{k} {v}" for k, v in sorted(where.items())),
    }


def watch(scene):
    started = time.monotonic()
    answer = stage.call(
        scene.balancer,
        "GET",
        "/v1/watches/fuel/tail-watch?subject=UP-B3701:5",
        headers=teams.bearer("fuel-desk-token"),
    )
    events = [json.loads(line)["sequence"] for line in answer.body.splitlines()]
    seconds = time.monotonic() - started
    return summary("tail watch (5 events)", [(events == [1, 2, 3, 4, 5], seconds, "")])


def batch(scene):
    headers = teams.bearer("plegadora-token")
    job = {
        "job_id": "springback-tables",
        "kind": "batch.springback",
        "tasks": 24,
        "needs": {"cpus": 4, "memory_gb": 4, "slots": 1},
        "body": {"work_seconds": 0.5},
    }
    started = time.monotonic()
    stage.call(scene.instances["duran-0"], "POST", "/v1/jobs", job, headers)

    def done():
        answer = stage.call(
            scene.instances["duran-0"], "GET", f"/v1/jobs/{job['job_id']}",
            headers=headers,
        )  # fmt: skip
        return answer.json()["completed"] == job["tasks"]

    stage.wait_until(done, 30, "batch job")
    return summary("batch job (24 tasks)", [(True, time.monotonic() - started, "")])


def print_table(rows):
    print(f"{'work':24}{'asked':>7}{'whole':>7}{'p50 ms':>9}{'p99 ms':>9}  answered by")
    for row in rows:
        print(
            f"{row['work']:24}{row['asked']:>7}{row['whole']:>7}"
            f"{row['p50'] * 1000:>9.1f}{row['p99'] * 1000:>9.1f}  {row['where']}"
        )


if __name__ == "__main__":
    sys.exit(main())
