"""Measures rate, latency and CPU time of quotes through one instance.

``python -m tests.bench.quotes`` prints a table for 1, 8 and 30 callers, and one
without and with hedging while one of four workers is slow.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import os  # noqa: E402
import pathlib  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import geventhttpclient  # noqa: E402

from tests.support import stage, teams  # noqa: E402

TOKEN = "fuel-desk-token"
MEASURE_S = 3.0
#: Command that starts an instance without hedging, as a baseline.
NO_HEDGES = (
    "-c",
    "from mangosail import __main__\n"
    "from mangosail.front import quotes\n"
    "quotes.HEDGE_SHARE = quotes.HEDGE_BURST = 0.0\n"
    "__main__.main()",
)


def processor_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def run_caller(address, deadline, times, failed):
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(host, port=int(port), network_timeout=5.0)
    headers = {**teams.bearer(TOKEN), "Content-Type": "application/json"}
    while time.monotonic() < deadline:
        started = time.monotonic()
        response = client.post(
            "/v1/services/fuel/quote", json.dumps({"tail": "UP-1"}), headers=headers
        )
        response.read()
        times.append(time.monotonic() - started)
        if response.status_code != 200:
            failed.append(response.status_code)
    client.close()


def measure(bench, callers):
    """Measure, and return callers, quotes/s, p50, p99, failed, CPU ms per quote."""
    times, failed = [], []
    process = bench.processes["shymkent-0"]
    before = processor_seconds(process)
    deadline = time.monotonic() + MEASURE_S
    address = bench.instances["shymkent-0"]
    gevent.joinall(
        [
            gevent.spawn(run_caller, address, deadline, times, failed)
            for _ in range(callers)
        ]
    )
    used = processor_seconds(process) - before
    times.sort()
    return (
        callers,
        round(len(times) / MEASURE_S),
        round(times[len(times) // 2] * 1000, 1),
        round(times[int(len(times) * 0.99)] * 1000, 1),
        len(failed),
        round(used / len(times) * 1000, 2),
    )


def with_stage(command, run):
    bench = stage.Stage()
    try:
        bench.start_platform()
        bench.write_settings("fuel-desk", teams.example("fuel-desk"))
        for _ in range(4):
            bench.start_workers("shymkent", 1)
        bench.start_instance("shymkent-0", "shymkent", command=command)
        bench.wait_ready()
        gevent.sleep(2.0)
        measure(bench, 4)
        return run(bench)
    finally:
        bench.close()


def one_slow(bench):
    row = [measure(bench, 8)]
    bench.worker_faults(next(iter(bench.workers)), slow=30.0)
    row.append(measure(bench, 8))
    counters = bench.counters("shymkent-0", TOKEN)
    return row, {name: n for name, n in counters.items() if "hedge" in name}


def show(label, row):
    print(f"{label:24}" + "".join(f"{value:>10}" for value in row), flush=True)


def main():
    show("", ("callers", "quotes/s", "p50 ms", "p99 ms", "failed", "CPU ms"))
    command = ("-m", "mangosail")
    rows = with_stage(command, lambda b: [measure(b, n) for n in (1, 8, 30)])
    for row in rows:
        show("all workers well", row)
    for label, start in (("no hedges", NO_HEDGES), ("hedges", command)):
        rows, counters = with_stage(start, one_slow)
        show(f"{label}, all well", rows[0])
        show(f"{label}, one slow", rows[1])
        print(" " * 24, counters, flush=True)


if __name__ == "__main__":
    main()
