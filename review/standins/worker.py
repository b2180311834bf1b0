"""A worker of the platform as a process of its own, for the scripts of the review.

``python3 -m review.standins.worker --address A --store B --log FILE`` registers at the
store (`tests/standins/store.py`) and serves `/-/run-start`, `/-/run-stop`, `/-/hold`
and `/-/pace` as PROTOCOL.md describes them: leases on its own steady clock, at most
500 ends per answer, fencing tokens, its capacity guarded.

The spec of a job is JSON and tells the worker what its tasks need and do:
``{"cpu": 50, "mem_mb": 100, "ms": 1500}`` runs for 1.5 s, ``"until"`` (Unix seconds)
runs until that moment (and with ``"spread_s"`` up to so much longer, by the index of
the task), ``"lasts": true`` runs until it is stopped. With ``"advised": true``
its starts need a ticket of the advice service (`advisor.py`).

Every start, end, refusal and acknowledged end is appended to the log as a JSON line.
``POST /review/faults`` sets faults of the worker; see `Faults`.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import dataclasses  # noqa: E402
import json  # noqa: E402
import math  # noqa: E402
import os  # noqa: E402
import socket  # noqa: E402
import time  # noqa: E402
import urllib.request  # noqa: E402

import gevent  # noqa: E402
import gevent.event  # noqa: E402
from gevent import pywsgi  # noqa: E402
from review.standins import advisor  # noqa: E402

#: Ends in one answer, and the longest wait of a poll, by PROTOCOL.md.
MAX_ENDS = 500
MAX_WAIT_MS = 2000
#: Interval of checks for due ends, and of the entries at the store.
TICK_S = 0.01
HEARTBEAT_S = 0.7
STARTED_AT = time.monotonic()


def now_ms():
    """Return the worker's clock."""
    return int((time.monotonic() - STARTED_AT) * 1000)


@dataclasses.dataclass
class Faults:
    """What the worker does wrong; all of it stands on the platform's pages."""

    #: Orders of these paths are carried out, and their answers are lost.
    lose_answers: tuple = ()


class Handler(pywsgi.WSGIHandler):
    """Sends each write at once."""

    def __init__(self, sock, *args, **kwargs):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)


class Worker:
    """Its running tasks, and the ends that are not acknowledged."""

    def __init__(self, name, args, note):
        self.name = name
        self.cpu = args.cpu
        self.mem_mb = args.mem_mb
        self.max_hold_ms = args.hold_max_ms
        self.note = note
        self.token = 0
        self.deadline = 0
        self.has_lease = False
        #: task -> (run, spec, started_at)
        self.running = {}
        self.used_cpu = self.used_mem_mb = 0
        self.ended = []
        self.highest_over = {}
        self.count = 0
        self.changed = gevent.event.Event()
        self.faults = Faults()
        #: Unix milliseconds of its start, if it keeps its id across starts.
        self.born = None

    def answer(self, path, order):
        """Return status and body for an order."""
        token = order.get("fencing_token", 0)
        if token < self.token:
            return 409, {"reason": "fence"}
        self.token = token
        if path == "/-/run-start":
            return self.start(order)
        if path == "/-/run-stop":
            return self.stop(order)
        if path == "/-/hold":
            return 200, self.hold(order)
        return 200, {}

    def start(self, order):
        task, run, spec = order["task"], order["run"], json.loads(order["spec"])
        if task in self.running and self.running[task][0] == run:
            return 200, {}
        if order["deadline_ms"] < now_ms():
            return 409, {"reason": "late"}
        if run <= self.highest_over.get(task, 0) or task in self.running:
            self.extend(order)
            return 409, {"reason": "old"}
        if spec.get("advised") and not advisor.is_valid(
            order.get("ticket"), task, self.name
        ):
            self.note(event="refused", task=task, run=run, reason="ticket")
            return 409, {"reason": "ticket"}
        if not self.fits(spec):
            self.extend(order)
            self.note(event="refused", task=task, run=run, reason="room")
            return 409, {"reason": "room"}
        self.extend(order)
        self.running[task] = (run, spec, time.time())
        self.count_use(spec, 1)
        self.note(event="start", task=task, run=run)
        return 200, {}

    def fits(self, spec):
        cpu = self.used_cpu + spec.get("cpu", 0)
        mem_mb = self.used_mem_mb + spec.get("mem_mb", 0)
        return cpu <= self.cpu and mem_mb <= self.mem_mb

    def count_use(self, spec, sign):
        """Count what a task uses as taken (1) or given back (-1)."""
        self.used_cpu += sign * spec.get("cpu", 0)
        self.used_mem_mb += sign * spec.get("mem_mb", 0)

    def stop(self, order):
        task, run = order["task"], order["run"]
        if task in self.running and self.running[task][0] == run:
            self.end(task, "stopped")
        self.highest_over[task] = max(self.highest_over.get(task, 0), run)
        return 200, {}

    def end(self, task, how):
        run, spec, _ = self.running.pop(task)
        self.count_use(spec, -1)
        self.count += 1
        self.highest_over[task] = max(self.highest_over.get(task, 0), run)
        self.ended.append([self.count, task, run, how, ""])
        self.note(event="end", task=task, run=run, how=how, number=self.count)
        self.changed.set()

    def extend(self, order):
        deadline = order.get("deadline_ms")
        if deadline:
            self.has_lease = True
            latest = now_ms() + self.max_hold_ms
            self.deadline = max(self.deadline, min(deadline, latest))

    def hold(self, order):
        seen = order["last_seen"]
        self.extend(order)
        for row in self.ended:
            if row[0] <= seen:
                self.note(event="acknowledged", task=row[1], run=row[2], how=row[3])
        self.ended = [row for row in self.ended if row[0] > seen]
        wait_ms = min(order.get("wait_ms") or 0, MAX_WAIT_MS)
        if not self.ended and wait_ms:
            self.changed.clear()
            self.changed.wait(wait_ms / 1000)
        now = time.time()
        running = [
            [task, run, "", percent(task, spec, started_at, now), spec.get("cpu", 0)]
            for task, (run, spec, started_at) in self.running.items()
        ]
        report = {"running": running, "ended": self.ended[:MAX_ENDS]}
        return report if self.born is None else {**report, "born": self.born}

    def tick(self):
        if self.has_lease and now_ms() > self.deadline:
            self.has_lease = False
            self.note(event="lease_over", tasks=len(self.running))
            for task in list(self.running):
                self.end(task, "lapsed")
        now = time.time()
        for task, (_, spec, started_at) in list(self.running.items()):
            if now >= over_at(task, spec, started_at):
                self.end(task, "done")


def over_at(task, spec, started_at):
    """Return the Unix time at which a run has done its work."""
    if spec.get("lasts"):
        return math.inf
    if "until" in spec:
        share = int(task.rpartition(".")[2]) % 100 / 100
        return spec["until"] + share * spec.get("spread_s", 0)
    return started_at + spec.get("ms", 1000) / 1000


def percent(task, spec, started_at, now):
    """Return the share of its work that a run has done; 100 for one that lasts."""
    if spec.get("lasts"):
        return 100
    length = over_at(task, spec, started_at) - started_at
    share = (now - started_at) / max(length, 0.001)
    return int(min(max(share, 0), 0.99) * 100)


class App:
    """WSGI application of one worker."""

    def __init__(self, worker):
        self.worker = worker

    def __call__(self, environ, start_response):
        path, text = environ["PATH_INFO"], environ["wsgi.input"].read()
        order = json.loads(text) if text else {}
        if path == "/review/faults":
            self.worker.faults = Faults(**order)
            return self.reply(start_response, 200, {})
        if path == "/health":
            return self.reply(start_response, 200, {})
        if environ.get("HTTP_EXPECT_INSTANCE") != self.worker.name:
            return self.reply(start_response, 421, {"clock_ms": now_ms()})
        status, body = self.worker.answer(path, order)
        if path in self.worker.faults.lose_answers:
            gevent.sleep(60)
        return self.reply(start_response, status, {**body, "clock_ms": now_ms()})

    def reply(self, start_response, status, body):
        data = json.dumps(body).encode()
        headers = [("Content-Type", "application/json"),
                   ("Content-Length", str(len(data)))]  # fmt: skip
        start_response(f"{status} -", headers)
        return [data]


def send_heartbeats(store, entry):
    """Renew the entry at the store while this process runs."""
    data = json.dumps(entry).encode()
    while True:
        try:
            request = urllib.request.Request(
                f"http://{store}/beat", data, method="POST"
            )
            urllib.request.urlopen(request, timeout=1).read()
        except OSError:
            pass
        gevent.sleep(HEARTBEAT_S)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--listed", help="address to register instead")
    parser.add_argument("--store", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--id", help="id to keep across starts (default: a new one)")
    parser.add_argument("--service", default="pedidos")
    parser.add_argument("--zone", default="nave-a")
    parser.add_argument("--rack", default="r1-1")
    parser.add_argument("--cpu", type=int, default=32000)
    parser.add_argument("--mem-mb", type=int, default=128000)
    parser.add_argument("--hold-max-ms", type=int, default=6000)
    args = parser.parse_args()
    born = int(time.time() * 1000)
    name = args.id or f"i-{os.getpid():x}{born:x}"
    log = open(args.log, "a", buffering=1)

    def note(**facts):
        log.write(json.dumps({"at": time.time(), "worker": name, **facts}) + "\n")

    worker = Worker(name, args, note)
    worker.born = born if args.id else None
    host, _, port = args.address.rpartition(":")
    server = pywsgi.WSGIServer((host, int(port)), App(worker), log=None, error_log=None,
                               handler_class=Handler)  # fmt: skip
    server.start()
    note(event="born", address=args.address)
    entry = {
        "id": name, "service": args.service, "address": args.listed or args.address,
        "zone": args.zone, "version": "v1", "slots": 8, "state": "ready",
        "cold_remaining_ms": 0, "sequence": 1, "labels": ["a", args.rack],
        "capacity": {"cpu": args.cpu, "mem_mb": args.mem_mb, "gpu": 0},
    }  # fmt: skip
    if args.id:
        entry["born"] = born
    gevent.spawn(send_heartbeats, args.store, entry)
    while True:
        gevent.sleep(TICK_S)
        worker.tick()


if __name__ == "__main__":
    main()
