"""Simulated workers of the users' platform, which run tasks and keep a log.

``python -m tests.standins.pool --address A --store B --log FILE`` runs one worker in
a process of its own, which may be paused and killed. When restarted at the same
address it has a new name or, with ``--name``, the same name and a new start time.
``--many`` answers for every worker that a request names, for benchmarks of a leader. A
job's spec determines its tasks: "0.4" runs for 0.4 s, "lasts" runs until stopped,
"fails" fails immediately, "crashes" ends the worker's process. ``POST /resize`` changes
the number of cores.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import heapq  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import gevent.event  # noqa: E402
import geventhttpclient  # noqa: E402
from gevent import pywsgi  # noqa: E402

from tests.standins import server  # noqa: E402

#: Duration of a task whose spec is not a number.
DEFAULT_DURATION_S = 1.5
FOREVER = "lasts"
FAILS = "fails"
CRASHES = "crashes"
#: Exit status of a worker that a task crashes, and the delay until it exits.
CRASH_EXIT_STATUS = 86
CRASH_DELAY_S = 0.01
#: Maximum duration of a lease.
MAX_HOLD_MS = 6000
#: Maximum number of ends in one answer.
MAX_REPORTED_ENDS = 500
#: Intervals of checks for due ends, and of the worker's registrations at the store.
STEP_INTERVAL_S = 0.01
HEARTBEAT_INTERVAL_S = 0.7
#: Reported tail latency of a continuous task, and its increase per other task.
BASE_TAIL_MS = 6.0
TAIL_SLOPE_MS = 1.5


STARTED_AT = time.monotonic()


def now_ms():
    """Return the worker's clock, which starts at 0 in each incarnation."""
    return int((time.monotonic() - STARTED_AT) * 1000)


class Worker:
    """One worker: its running tasks, and the ends not yet acknowledged."""

    def __init__(self, name, note=lambda **facts: None, born=None):
        self.name = name
        #: Start time in Unix milliseconds; None if the worker does not report it.
        self.born = born
        self.note = note
        self.token = 0
        self.deadline = 0
        #: True while a lease is in force.
        self.has_lease = False
        self.running = {}
        self.due = []
        self.ended = []
        self.barred = {}
        self.count = 0
        self.end_recorded = gevent.event.Event()

    def answer(self, path, order):
        """Return the status and body of the answer to a request."""
        token = order.get("fencing_token", 0)
        if token < self.token:
            return 409, {"reason": "fence"}
        self.token = token
        if path == "/-/hold":
            return 200, self.hold(order)
        if path == "/-/run-start":
            return self.start(order)
        if path == "/-/run-stop":
            return self.stop(order)
        return 200, {}

    def start(self, order):
        task, run = order["task"], order["run"]
        if self.running.get(task) == run:
            return 200, {}
        if run <= self.barred.get(task, 0):
            return 409, {"reason": "old"}
        if order["deadline_ms"] < now_ms():
            return 409, {"reason": "late"}
        self.extend(order)
        self.running[task] = run
        self.note(event="start", task=task, run=run)
        if order["spec"] != FOREVER:
            heapq.heappush(self.due, (time.monotonic() + duration_of(order), task, run))
        if order["spec"] == FAILS:
            self.end(task, "failed")
        if order["spec"] == CRASHES:
            gevent.spawn_later(CRASH_DELAY_S, self.crash)
        return 200, {}

    def extend(self, order):
        if not order.get("deadline_ms"):
            return
        self.has_lease = True
        deadline = min(order.get("deadline_ms", 0), now_ms() + MAX_HOLD_MS)
        self.deadline = max(self.deadline, deadline)

    def crash(self):
        self.note(event="crash")
        os._exit(CRASH_EXIT_STATUS)

    def stop(self, order):
        task, run = order["task"], order["run"]
        if self.running.get(task) == run:
            self.end(task, "stopped")
        self.barred[task] = max(self.barred.get(task, 0), run)
        return 200, {}

    def end(self, task, how, late=0.0):
        run = self.running.pop(task)
        self.count += 1
        self.barred[task] = max(self.barred.get(task, 0), run)
        self.ended.append([self.count, task, run, how, ""])
        self.note(event="end", task=task, run=run, how=how, at=time.time() - late)
        self.end_recorded.set()

    def step(self, now):
        late = (now_ms() - self.deadline) / 1000
        if late > 0 and self.has_lease:
            # A paused process gets here late; its tasks did not run meanwhile.
            self.has_lease = False
            self.note(event="lease_over", at=time.time() - late)
            for task in list(self.running):
                self.end(task, "lapsed", late)
        while self.due and self.due[0][0] <= now:
            _, task, run = heapq.heappop(self.due)
            if self.running.get(task) == run:
                self.end(task, "done")

    def hold(self, order):
        seen = order["last_seen"]
        self.extend(order)
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and order.get("wait_ms"):
            self.end_recorded.clear()
            self.end_recorded.wait(order["wait_ms"] / 1000)
        tail = BASE_TAIL_MS + TAIL_SLOPE_MS * len(self.due)
        rows = [[task, run, "", 40, tail] for task, run in self.running.items()]
        report = {"running": rows, "ended": self.ended[:MAX_REPORTED_ENDS]}
        return report if self.born is None else {**report, "born": self.born}


def duration_of(order):
    try:
        return float(order["spec"])
    except ValueError:
        return DEFAULT_DURATION_S


class Pool:
    """WSGI application that routes each request to the worker that it names."""

    def __init__(self, many=False):
        self.workers = {}
        self.many = many
        #: The worker's entry at the store.
        self.entry = {}

    def __call__(self, environ, start_response):
        order = json.loads(environ["wsgi.input"].read())
        if environ["PATH_INFO"] == "/resize":
            return self.resize(order, start_response)
        name = environ["HTTP_EXPECT_INSTANCE"]
        if self.many:
            self.workers.setdefault(name, Worker(name))
        worker = self.workers.get(name)
        status, reply = 421, {}
        if worker is not None:
            status, reply = worker.answer(environ["PATH_INFO"], order)
        reply["clock_ms"] = now_ms()
        start_response(f"{status} -", [("Content-Type", "application/json")])
        return [json.dumps(reply).encode()]

    def resize(self, order, start_response):
        self.entry["capacity"]["cpu"] = order["cpu"]
        for worker in self.workers.values():
            worker.note(event="capacity", cpu=order["cpu"])
        start_response("200 -", [("Content-Type", "application/json")])
        return [b"{}"]

    def run(self):
        while True:
            gevent.sleep(STEP_INTERVAL_S)
            now = time.monotonic()
            for worker in self.workers.values():
                worker.step(now)


def send_heartbeats(store, entry):
    """Renew the worker's entry at the store for as long as this process runs."""
    client = geventhttpclient.HTTPClient.from_url(f"http://{store}")
    while True:
        try:
            client.request("POST", "/beat", body=json.dumps(entry)).read()
        except OSError:
            pass
        gevent.sleep(HEARTBEAT_INTERVAL_S)


def start_worker(pool, args):
    """Start the worker under a new or the given name, and register it at the store."""
    born = int(time.time() * 1000)
    name = args.name or f"w-{os.getpid()}-{born}"
    incarnation = f"{name}/{born}" if args.name else name
    log = open(args.log, "a", buffering=1)

    def note(**facts):
        line = {"at": time.time(), "worker": incarnation, **facts}
        log.write(json.dumps(line) + "\n")

    pool.workers[name] = Worker(name, note, born if args.name else None)
    note(event="born", address=args.listed or args.address)
    entry = {
        "id": name,
        "service": "pool",
        "address": args.listed or args.address,
        "zone": "dc",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "capacity": {"cpu": args.cores * 1000, "mem_mb": 65536, "gpu": 0},
        "labels": ["a", "rack-1"],
    }
    if args.name:
        entry["born"] = born
    pool.entry = entry
    gevent.spawn(send_heartbeats, args.store, entry)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--listed", help="address to register instead")
    parser.add_argument("--store")
    parser.add_argument(
        "--name", help="name to keep across restarts (default: a new one)"
    )
    parser.add_argument("--log")
    parser.add_argument("--cores", type=int, default=16)
    parser.add_argument("--many", action="store_true")
    args = parser.parse_args()
    pool = Pool(args.many)
    host, _, port = args.address.rpartition(":")
    httpd = pywsgi.WSGIServer(
        (host, int(port)), pool, log=None, error_log=None, handler_class=server.Handler
    )
    httpd.start()
    print(httpd.server_port, flush=True)
    if not args.many:
        start_worker(pool, args)
    pool.run()


if __name__ == "__main__":
    main()
