"""Workers of the platform, many in one process, for measurements of a leader.

``python -m tests.bench.fleet`` prints the port on which it answers for every worker
that an order names; tasks end by themselves, serving ones never.
"""

from gevent import monkey

monkey.patch_all()

import heapq  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import gevent.event  # noqa: E402
from gevent import pywsgi  # noqa: E402

from tests.standins import server  # noqa: E402

#: Mean seconds that a task runs.
TERM = 1.5
#: The job's text of tasks that never end holds this.
FOREVER = "lasts"
INTERVAL = 0.02
#: Milliseconds of a serving task's tail, and what each task that ends adds to it.
BASE_TAIL = 6.0
TAIL_SLOPE = 1.5


class Worker:
    """One worker: what runs there, and the ends that nobody has seen yet."""

    def __init__(self):
        self.running = {}
        self.due = []
        self.ended = []
        self.count = 0
        self.news = gevent.event.Event()

    def start(self, order, rand):
        self.running[order["task"]] = order["run"]
        if FOREVER not in order["spec"]:
            due = time.monotonic() + rand.uniform(0.5, 1.5) * TERM
            heapq.heappush(self.due, (due, order["task"], order["run"]))

    def stop(self, order):
        if self.running.get(order["task"]) == order["run"]:
            self.end(order["task"], "stopped")

    def end(self, task, how):
        self.count += 1
        self.ended.append([self.count, task, self.running.pop(task), how, ""])
        self.news.set()

    def step(self, now):
        while self.due and self.due[0][0] <= now:
            _, task, run = heapq.heappop(self.due)
            if self.running.get(task) == run:
                self.end(task, "done")

    def hold(self, order):
        seen = order["last_seen"]
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and order.get("wait_ms"):
            self.news.clear()
            self.news.wait(order["wait_ms"] / 1000)
        beside = len(self.due)
        rows = [
            [task, run, "00000bb87a21d94b", 40, BASE_TAIL + TAIL_SLOPE * beside]
            for task, run in self.running.items()
        ]
        return {"running": rows, "ended": self.ended}


class Fleet:
    """Answers for all workers by the name that an order is meant for."""

    def __init__(self):
        self.workers = {}
        self.rand = random.Random(3)

    def __call__(self, environ, start_response):
        order = json.loads(environ["wsgi.input"].read())
        name = environ["HTTP_EXPECT_INSTANCE"]
        worker = self.workers.setdefault(name, Worker())
        reply = {}
        if environ["PATH_INFO"] == "/-/hold":
            reply = worker.hold(order)
        elif environ["PATH_INFO"] == "/-/run-start":
            worker.start(order, self.rand)
        elif environ["PATH_INFO"] == "/-/run-stop":
            worker.stop(order)
        reply["clock_ms"] = int(time.monotonic() * 1000)
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(reply).encode()]

    def run(self):
        while True:
            gevent.sleep(INTERVAL)
            now = time.monotonic()
            for worker in self.workers.values():
                worker.step(now)


def main():
    fleet = Fleet()
    httpd = pywsgi.WSGIServer(
        ("127.0.0.1", 0), fleet, log=None, error_log=None, handler_class=server.Handler
    )
    httpd.start()
    print(httpd.server_port, flush=True)
    fleet.run()


if __name__ == "__main__":
    main()
