"""Starts and stops stand-ins and instances as processes on loopback.

Each test or benchmark has its own `Stage`; `close` kills only the processes that the
stage started.
"""

import base64
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

from tests.support import ports

ROOT = pathlib.Path(__file__).resolve().parents[2]
#: Seconds within which a started process must serve requests.
START_TIMEOUT_S = 30.0
#: Number of trailing lines of each log that are printed for a failed scenario.
MAX_LOG_LINES = 60


@dataclasses.dataclass(frozen=True)
class Answer:
    status: int
    headers: dict
    body: bytes
    seconds: float

    def json(self):
        return json.loads(self.body)


def free_address():
    return f"127.0.0.1:{ports.free_port()}"


def call(address, method, path, body=None, headers=None, timeout=10.0):
    """Send one HTTP request and return its `Answer`, also for error statuses."""
    data = body if isinstance(body, bytes) else None
    if data is None and body is not None:
        data = json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=data,
        method=method,
        headers={"Content-Type": "application/json", **(headers or {})},
    )
    started = time.monotonic()
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return answer_of(response, started)
    except urllib.error.HTTPError as error:
        return answer_of(error, started)


def answer_of(response, started):
    body = response.read()
    headers = {k.lower(): v for k, v in response.headers.items()}
    return Answer(response.status, headers, body, time.monotonic() - started)


def encoded(value):
    """Return `value` as base64-encoded JSON."""
    return base64.b64encode(json.dumps(value).encode()).decode()


def wait_until(condition, timeout=START_TIMEOUT_S, what="condition"):
    """Poll `condition` until it returns a true value, and return that value."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            value = condition()
        except (OSError, ValueError):
            value = None
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"{what} not reached within {timeout} s")


class Stage:
    """The processes of one test: platform, workers, instances and load balancer."""

    def __init__(self, keep_logs=None):
        self.processes = {}
        self.commands = {}  # process name -> (command, env), for `restart`
        self.instances = {}  # name -> http address
        self.peer_addresses = {}
        self.workers = {}  # name -> address
        self.worker_hosts = {}  # worker name -> process name
        self.platform = None
        self.balancer = None
        self.logs = pathlib.Path(keep_logs or tempfile.mkdtemp(prefix="mangosail-"))
        self.logs.mkdir(parents=True, exist_ok=True)

    def start(self, name, *command, env=None):
        self.commands[name] = (command, env)
        log = open(self.logs / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, *command],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": f"{ROOT}/src:{ROOT}", **(env or {})},
            stdout=log,
            stderr=log,
        )
        log.close()
        return self.processes[name]

    def restart(self, name):
        """Restart a process that has ended, with the same command."""
        command, env = self.commands[name]
        return self.start(name, *command, env=env)

    def start_platform(self, lag=0.5, seed=1):
        self.platform = free_address()
        self.start(
            "platform", "-m", "tests.standins.platform", "--address", self.platform,
            "--lag", str(lag), "--seed", str(seed),
        )  # fmt: skip
        wait_until(
            lambda: call(self.platform, "GET", "/calls").status == 200, what="platform"
        )

    def start_workers(self, data_centre, count, **options):
        """Start one process with `count` workers of a data centre."""
        offset = len(self.workers)
        entries = {f"{data_centre}-w{offset + i}": free_address() for i in range(count)}
        self.workers.update(entries)
        process = f"workers-{data_centre}-{offset}"
        self.worker_hosts.update(dict.fromkeys(entries, process))
        flags = []
        for option, value in options.items():
            flags += [f"--{option.replace('_', '-')}", str(value)]
        self.start(
            process, "-m", "tests.standins.worker", "--platform", self.platform,
            "--data-centre", data_centre, *flags,
            "--workers", *[f"{n}={a}" for n, a in entries.items()],
        )  # fmt: skip
        for address in entries.values():
            wait_until(
                lambda a=address: call(a, "GET", "/log").status == 200, what="worker"
            )
        return list(entries)

    def start_instance(
        self, name, data_centre, env=None, http=None, command=("-m", "mangosail")
    ):
        """Start an instance; `http` reuses the address of one that it replaces."""
        http, peer = http or free_address(), free_address()
        self.instances[name], self.peer_addresses[name] = http, peer
        entry = {
            "name": name,
            "data_centre": data_centre,
            "peer_address": peer,
            "standing": "live",
        }
        call(self.platform, "PUT", f"/inventory/instances/{name}", entry)
        return self.start(
            name, *command, "serve", "--instance", name,
            "--data-centre", data_centre, "--http-address", http,
            "--peer-address", peer, "--platform-address", self.platform,
            env={
                "MANGOSAIL_ABORT_ON_BROKEN_INVARIANT": "true",
                "MANGOSAIL_PLAINTEXT": "true",
                **(env or {}),
            },
        )  # fmt: skip

    def start_balancer(self):
        self.balancer = free_address()
        self.start(
            "balancer", "-m", "tests.standins.balancer", "--address", self.balancer,
            "--backends", *self.instances.values(),
        )  # fmt: skip
        # Otherwise a scenario that is run alone may start before it listens.
        wait_until(
            lambda: call(self.balancer, "GET", "/healthz").status, what="balancer"
        )

    def write_settings(self, team, settings):
        """Write a team's settings directly to the table, like an accepted change."""
        found = call(self.platform, "GET", "/rows?prefix=settings/").json()
        rows = {row["key"]: json.loads(row["value"]) for row in found}
        changes = rows.get("settings/changes", {"sequence": 0, "recent": []})
        sequence = changes["sequence"] + 1
        revision = rows.get(f"settings/team/{team}", {"revision": 0})["revision"] + 1
        subtree = {
            "team": team, "revision": revision, "sequence": sequence,
            "change_id": f"test-{sequence}", "author": "test",
            "changed_at": time.time(), "content": settings,
        }  # fmt: skip
        recent = [*changes["recent"], {"sequence": sequence, "team": team}]
        written = {
            f"settings/team/{team}": subtree,
            f"settings/history/{team}/{revision:08d}": subtree,
            "settings/changes": {"sequence": sequence, "recent": recent[-32:]},
        }
        rows = {key: json.dumps(value) for key, value in written.items()}
        call(self.platform, "POST", "/rows", rows)

    def wait_ready(self, *names, timeout=START_TIMEOUT_S):
        for name in names or self.instances:
            wait_until(
                lambda n=name: self.call(n, "GET", "/readyz").status == 200,
                timeout,
                f"{name} ready",
            )

    def call(self, instance, method, path, body=None, headers=None, timeout=10.0):
        address = self.instances.get(instance, instance)
        return call(address, method, path, body, headers, timeout)

    def faults(self, **faults):
        return call(self.platform, "POST", "/faults", faults)

    def worker_faults(self, worker, **faults):
        return call(self.workers[worker], "POST", "/faults", faults)

    def counters(self, instance, token):
        headers = {"Authorization": f"Bearer {token}"}
        answer = self.call(instance, "GET", "/v1/status", headers=headers)
        return answer.json()["counters"]

    def worker_log(self, worker):
        return call(self.workers[worker], "GET", "/log").json()

    def execution_log(self):
        """Return the execution log entries of all workers, ordered by time."""
        entries = []
        for address in self.workers.values():
            entries += call(address, "GET", "/log").json()["log"]
        return sorted(entries, key=lambda entry: entry["at"])

    def starts_of(self, task_id):
        """Return the start entries of a task from all workers' logs."""
        return [
            entry
            for entry in self.execution_log()
            if entry["event"] == "start" and entry["task_id"] == task_id
        ]

    def print_diagnostics(self, token):
        """Print diagnostics of a failed run, since the failure may not recur.

        These are the last lines of each process's log and each instance's counters.
        """
        for path in sorted(self.logs.glob("*.log")):
            lines = path.read_text(errors="replace").splitlines()
            print(f"-- {path.name}", *lines[-MAX_LOG_LINES:], sep="\n")
        for name in self.instances:
            try:
                print(f"-- counters of {name}", self.counters(name, token), sep="\n")
            except (OSError, ValueError, KeyError) as exc:
                print(f"-- no counters of {name}: {exc!r}")

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def freeze(self, name):
        self.signal(name, signal.SIGSTOP)

    def thaw(self, name):
        self.signal(name, signal.SIGCONT)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
