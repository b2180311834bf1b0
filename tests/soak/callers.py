"""The clients of a soak run: threads, each with its own random generator.

Their requests are drawn from the seed; the results are recorded in the history.
"""

import hashlib
import http.client
import json
import random
import threading
import time

from tests.soak import history as histories
from tests.support import teams

QUOTES = [("fuel-desk", "fuel", "quote"), ("plegadora", "tooling", "quotation")]
ORDERS = [
    ("fuel-desk", "fuel", "release"),
    ("plegadora", "tooling", "verification"),
    ("plegadora", "tooling", "production-order"),
]
WATCHES = [("fuel-desk", "fuel", "tail-watch"), ("plegadora", "tooling", "order-watch")]
#: The team whose second token identifies the settings change that is in force.
MARKER_TEAM = "marker"
#: The token with which operators make concurrent changes; all changes keep it.
MARKER_OPERATOR = teams.token("marker-token", operator=True)
#: Maximum number of requests for one change until its outcome is known.
MAX_CHANGE_ATTEMPTS = 4
#: Seconds without an event after which a reader reconnects its watch.
WATCH_TIMEOUT_S = 4.0
#: Timeout of one request.
CALL_TIMEOUT_S = 12.0


class Callers:
    def __init__(self, stage, history, seed):
        self.stage = stage
        self.history = history
        self.seed = seed
        self.over = threading.Event()
        self.threads = []
        self.proposed = 0
        #: Task id -> body of orders sent, and number of tasks of jobs accepted.
        self.orders = {}
        self.jobs = {}

    def start(self, seconds):
        roles = [(self.quotes, 4), (self.order, 5), (self.batch, 1), (self.operate, 2)]
        for role, count in roles:
            for number in range(count):
                self.spawn(role, random.Random(f"{self.seed}/{role.__name__}/{number}"))
        for number in range(4):
            self.spawn(self.watch, random.Random(f"{self.seed}/watch/{number}"),
                       number, seconds)  # fmt: skip
        for name in self.stage.instances:
            self.spawn(self.probe, name)

    def spawn(self, role, *args):
        thread = threading.Thread(target=role, args=args, daemon=True)
        thread.start()
        self.threads.append(thread)

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join(timeout=2 * CALL_TIMEOUT_S)

    def pause(self, chance, mean):
        self.over.wait(chance.expovariate(1 / mean))

    def somewhere(self, chance):
        """Return a random instance's name, or the balancer's."""
        return chance.choice([*self.stage.instances, "balancer"])

    def call(self, role, team, task_id, where, method, path, body=None, **headers):
        """Send one request and record its result in the history."""
        address = self.stage.balancer if where == "balancer" else where
        sent_at = time.time()
        try:
            answer = self.stage.call(
                address, method, path, body,
                teams.bearer(f"{team}-token", **headers), timeout=CALL_TIMEOUT_S,
            )  # fmt: skip
            status, text, got = answer.status, answer.json(), answer.headers
        except (OSError, ValueError, http.client.HTTPException):
            status, text, got = None, None, {}
        call = histories.Call(
            role, task_id, where, body, sent_at, time.time(), status, text, got
        )
        self.history.calls.append(call)
        return call

    def quotes(self, chance):
        number = 0
        mine = chance.getrandbits(32)
        while not self.over.is_set():
            number += 1
            team, service, operation = chance.choice(QUOTES)
            request_id = f"q-{mine}-{number}"
            body = {"part": request_id, "work_seconds": chance.choice([0.005, 0.02])}
            self.call(
                "quote", team, f"{team}/{request_id}", self.somewhere(chance), "POST",
                f"/v1/services/{service}/{operation}", body, Request_Id=request_id,
            )  # fmt: skip
            self.pause(chance, 0.1)

    def order(self, chance):
        """Order, order again under the same id, ask, and now and then cancel."""
        number = 0
        mine = chance.getrandbits(32)
        while not self.over.is_set():
            number += 1
            order = (*chance.choice(ORDERS), f"o-{mine}-{number}",
                     chance.choice([0.1, 0.5, 2.0]))  # fmt: skip
            repeats = chance.choice([0, 0, 1, 2])
            cancelled = chance.random() < 0.15
            for _ in range(repeats):
                # At another instance, and at the same time.
                self.spawn(self.send, order, self.somewhere(chance))
            if cancelled:
                self.spawn(self.cancel, order, self.somewhere(chance))
            self.send(order, self.somewhere(chance))
            self.ask(f"{order[0]}/{order[3]}", self.somewhere(chance))
            self.pause(chance, 0.5)

    def send(self, order, where):
        team, service, operation, request_id, seconds = order
        body = {"order": request_id, "work_seconds": seconds}
        self.orders[f"{team}/{request_id}"] = body
        self.call(
            "order", team, f"{team}/{request_id}", where, "POST",
            f"/v1/services/{service}/{operation}", body,
            Request_Id=request_id, Request_Timeout=8,
        )  # fmt: skip

    def ask(self, task_id, where):
        team, _, request_id = task_id.partition("/")
        path = f"/v1/work/{request_id}"
        return self.call("ask", team, task_id, where, "GET", path)

    def cancel(self, order, where):
        team, _, _, request_id, _ = order
        self.over.wait(0.05)
        path = f"/v1/work/{request_id}"
        self.call("cancel", team, f"{team}/{request_id}", where, "DELETE", path)

    def batch(self, chance):
        number = 0
        mine = chance.getrandbits(32)
        while not self.over.is_set():
            number += 1
            team = chance.choice(["fuel-desk", "plegadora"])
            job = {
                "job_id": f"j-{mine}-{number}",
                "kind": "batch.tabulate",
                "tasks": chance.randint(1, 6),
                "needs": {"cpus": chance.choice([1, 4, 8]), "memory_gb": 4, "slots": 1},
                "body": {"work_seconds": chance.choice([0.5, 2.0]), "noise": 0.3},
            }
            task_id = f"{team}/{job['job_id']}"
            call = self.call(
                "job", team, task_id, self.somewhere(chance), "POST", "/v1/jobs", job
            )
            if call.status == 201:
                self.jobs[task_id] = job["tasks"]
            self.pause(chance, 4.0)

    def ask_job(self, task_id, where):
        team, _, job_id = task_id.partition("/")
        return self.call("ask_job", team, task_id, where, "GET", f"/v1/jobs/{job_id}")

    def operate(self, chance):
        """Race the other operator for the marker team's subtree."""
        while not self.over.is_set():
            with self.history.lock:
                self.proposed += 1
                number = self.proposed
            self.change(number, chance)
            self.pause(chance, 1.0)

    def change(self, number, chance):
        """Read the settings, submit a change, and record the outcome reported."""
        seen = self.call_settings(chance, "GET")
        if seen is None or seen.status != 200:
            return
        self.over.wait(0.05)
        content = {"tokens": [MARKER_OPERATOR, marker_token(number)]}
        body = {"change_id": f"change-{number}", "content": content,
                "revision": seen.json()["revision"]}  # fmt: skip
        for _ in range(MAX_CHANGE_ATTEMPTS):
            # Repeating the change id at any instance returns the first try's outcome.
            answer = self.call_settings(chance, "PUT", body)
            if answer is not None and answer.status == 200:
                self.history.changes.append(histories.Change(number, time.time()))
                return
            if answer is not None and answer.json().get("outcome") == "not_made":
                self.history.refused_changes.append(number)
                return
            self.over.wait(1.0)

    def call_settings(self, chance, method, body=None):
        path, headers = f"/v1/settings/{MARKER_TEAM}", teams.bearer("marker-token")
        where = chance.choice([*self.stage.instances])
        try:
            return self.stage.call(where, method, path, body, headers, timeout=5)
        except (OSError, ValueError, http.client.HTTPException):
            return None

    def probe(self, name):
        """Ask an instance which change it has in force, again and again."""
        while not self.over.wait(0.3):
            # Also those whose answer was lost: they may stand all the same.
            for number in range(max(self.proposed - 5, 1), self.proposed + 1):
                if self.has(name, number):
                    sighting = histories.Sighting(name, number, time.time())
                    self.history.sightings.append(sighting)

    def has(self, name, number):
        headers = teams.bearer(marker(number))
        try:
            answer = self.stage.call(
                name, "GET", "/v1/status", headers=headers, timeout=1.0
            )
        except (OSError, ValueError, http.client.HTTPException):
            return False
        return answer.status == 200

    def watch(self, chance, number, seconds):
        """Read one subject to its end, resuming after each interruption."""
        team, service, operation = WATCHES[number % len(WATCHES)]
        total = max(int((seconds - 3) / 0.2), 5)
        watch = histories.Watch(f"S{self.seed}-{number}:{total}", total)
        self.history.watches.append(watch)
        while not watch.finished and not self.over.is_set():
            where = self.stage.instances[chance.choice([*self.stage.instances])]
            after = watch.events[-1] if watch.events else 0
            path = (f"/v1/watches/{service}/{operation}"
                    f"?subject={watch.subject}&after={after}")  # fmt: skip
            try:
                read_events(where, path, team, watch)
            except (OSError, ValueError, http.client.HTTPException):
                pass
            watch.resumes += 1
            self.over.wait(0.3)


def read_events(address, path, team, watch):
    connection = http.client.HTTPConnection(address, timeout=WATCH_TIMEOUT_S)
    try:
        connection.request("GET", path, headers=teams.bearer(f"{team}-token"))
        response = connection.getresponse()
        while response.status == 200 and (line := response.readline()):
            event = json.loads(line.strip() or "{}")
            if "resume_after" in event:
                watch.points.append((event["resume_after"], watch.events[-1:]))
            if "sequence" not in event:
                continue
            watch.events.append(event["sequence"])
            watch.finished = event["last"]
    finally:
        connection.close()


def marker_token(number):
    return {**teams.token(marker(number)), "name": f"change-{number}"}


def marker(number):
    return "marker-" + hashlib.sha256(str(number).encode()).hexdigest()[:8]
