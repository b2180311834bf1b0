"""Measures availability under faults and idle cost of ownership and membership.

``python -m tests.bench.ownership cut|outage|kill|peers [--seconds 60]`` runs on real
processes.
"""

import argparse
import json
import statistics
import time

from tests.support import load, stage, teams

DATA_CENTRES = ("shymkent", "taraz")


def start(instances, workers, data_centres=DATA_CENTRES):
    staged = stage.Stage()
    staged.start_platform()
    staged.write_settings("fuel-desk", teams.example("fuel-desk"))
    for data_centre in data_centres:
        staged.start_workers(data_centre, workers)
        for number in range(instances):
            staged.start_instance(f"{data_centre}-{number}", data_centre)
    staged.wait_ready()
    time.sleep(4)
    return staged


def status(staged, name):
    headers = teams.bearer("fuel-desk-token")
    return staged.call(name, "GET", "/v1/status", headers=headers).json()


def print_phase(label, answers, seconds, note=""):
    """Print a row with the rate and latency of the quotes answered in a phase."""
    good = sorted(a[4] for a in answers if a[3] == 200)
    bad = len(answers) - len(good)
    p50 = statistics.median(good) * 1000 if good else 0
    p99 = good[int(len(good) * 0.99)] * 1000 if good else 0
    rate = len(good) / seconds
    print(
        f"| {label} | {rate:.1f} | {p50:.0f} | {p99:.0f} | {bad} | {note} |", flush=True
    )


def header():
    print(
        "| phase | quotes/s | p50 ms | p99 ms | refused | |\n|---|---|---|---|---|---|"
    )


def measure_phase(quote_load, label, seconds, names=None, note=""):
    began = time.monotonic()
    time.sleep(seconds)
    answers = [a for a in quote_load.since(began) if names is None or a[1] in names]
    print_phase(label, answers, time.monotonic() - began, note)


def print_guard_refusals(staged):
    entries = staged.execution_log()
    print("guard refusals:", sum(e["event"] == "guard" for e in entries))


def measure_fault(staged, quote_load, names, seconds, on, off, what):
    header()
    measure_phase(quote_load, "before", 10, names)
    staged.faults(**on)
    measure_phase(quote_load, f"{what}, first 5 s", 5, names)
    measure_phase(quote_load, f"{what}, the rest", seconds - 5, names)
    staged.faults(**off)
    measure_phase(quote_load, "healed, first 5 s", 5, names)
    measure_phase(quote_load, "after", 10, names)
    quote_load.stop()
    print_guard_refusals(staged)


def cut(args):
    """Disconnect one data centre from the platform under load."""
    staged = start(2, 2)
    names = [n for n in staged.instances if n.startswith("taraz")]
    quote_load = load.Load({n: staged.instances[n] for n in names}, args.callers)
    try:
        measure_fault(
            staged, quote_load, names, args.seconds, {"cut": names}, {"cut": []}, "cut"
        )
    finally:
        staged.close()


def outage(args):
    """Make the table unavailable to all instances under load."""
    staged = start(2, 2, DATA_CENTRES[:1])
    quote_load = load.Load(staged.instances, args.callers)
    try:
        measure_fault(
            staged, quote_load, None, args.seconds,
            {"table": "down"}, {"table": "up"}, "table down",
        )  # fmt: skip
    finally:
        staged.close()


def kill(args):
    """Kill one of three instances; its callers stop, as if a balancer moved them."""
    staged = start(3, 3, DATA_CENTRES[:1])
    victim = "shymkent-0"
    others = {n: a for n, a in staged.instances.items() if n != victim}
    quote_load = load.Load(others, args.callers, releases=False)
    at_victim = load.Load({victim: staged.instances[victim]}, 2, releases=False)
    try:
        header()
        measure_phase(quote_load, "before", 8)
        at_victim.stopping.set()
        killed = time.monotonic()
        staged.kill(victim)
        at_victim.stop()

        def owned():
            return sum(len(status(staged, n)["workers"]) for n in others)

        stage.wait_until(lambda: owned() == 3, 20, "taken")
        print(f"all workers owned again after {time.monotonic() - killed:.2f} s")
        stage.call(staged.platform, "DELETE", f"/inventory/instances/{victim}")

        def fully_usable():
            return all(
                not any(w["withheld"].values())
                for n in others
                for w in status(staged, n)["workers"]
            )

        listed = time.monotonic()
        stage.wait_until(fully_usable, 20, "whole")
        now = time.monotonic()
        print(
            f"usable after {now - killed:.2f} s ({now - listed:.2f} s after unlisted)"
        )
        print_phase("killed until whole", quote_load.since(killed), now - killed)
        lost = [a for a in at_victim.since(killed) if a[3] != 200]
        print(
            f"quotes in flight at the killed instance that got no answer: {len(lost)}"
        )
        measure_phase(quote_load, "after", 8)
        quote_load.stop()
        print_guard_refusals(staged)
    finally:
        staged.close()


def usage(staged, name):
    """Return an instance's CPU seconds, resident memory in MB, and counters."""
    pid = staged.processes[name].pid
    fields = open(f"/proc/{pid}/stat").read().rpartition(")")[2].split()
    seconds = (int(fields[11]) + int(fields[12])) / 100
    memory = int(fields[21]) * 4096 / 1e6
    return seconds, memory, status(staged, name)["counters"]


def peers(args):
    """Measure the idle cost of one instance by number of peers and of workers."""
    print(
        "| instances | workers | % of a core | MB | beats/s | rows read/s | writes/s |"
    )
    print("|---|---|---|---|---|---|---|")
    for instances, workers in ((1, 1), (1, 12), (4, 4), (8, 8)):
        staged = start(instances, workers, DATA_CENTRES[:1])
        try:
            name = "shymkent-0"
            first, _, before = usage(staged, name)
            calls = stage.call(staged.platform, "GET", "/calls").json()
            time.sleep(args.seconds)
            last, memory, after = usage(staged, name)
            later = stage.call(staged.platform, "GET", "/calls").json()
            sent = "membership.heartbeat_sent"
            heartbeats = (after.get(sent, 0) - before.get(sent, 0)) / args.seconds
            read, written = (
                (later[k] - calls[k]) / args.seconds / instances
                for k in ("read_rows", "written_rows")
            )
            cpu = (last - first) / args.seconds * 100
            print(
                f"| {instances} | {workers} | {cpu:.2f} | {memory:.0f}"
                f" | {heartbeats:.1f} | {read:.1f} | {written:.1f} |",
                flush=True,
            )
        finally:
            staged.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["cut", "outage", "kill", "peers"])
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--callers", type=int, default=4)
    args = parser.parse_args()
    print(json.dumps(vars(args)))
    globals()[args.what](args)


if __name__ == "__main__":
    main()
