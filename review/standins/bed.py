"""Starts a small deployment on loopback for the scripts of the review.

The instances run with the command of the deploy file (`python3 deploy/serve.py`), with
`target/deps` on Python's path and the settings of a small site. All processes are
started here, and only these are signalled.
"""

import base64
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

from tests.support import ports

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "novo13.example"
PREFIX = "/gono990/"
START_TIMEOUT_S = 20.0
#: Bounds of `../given/kit/more/system/sites/pah-sched.toml`, as its settings give them.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_skew_ms": 5000,
    "recover_s": 12, "hold_max_ms": 6000, "stop_ms": 400, "gang_wait_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "far_x": 1.5, "checkpoint_s": 0.5, "restore_ms": 600,
    "lease_ms": 3000, "pace_ms": 100, "harm_ms": 4000,
}  # fmt: skip
CONFIG = {
    "version": 1,
    "routes": [
        {"name": "cotizacion", "host": HOST, "path_prefix": PREFIX,
         "service": "pedidos", "timeout_ms": 3000, "priority": 0, "attempts": 4,
         "stretch": 1.5, "target_duration_ms": 250}
    ],
    "services": [{"name": "pedidos", "admission_check": True}],
    "limits": {"max_body_bytes": 262144, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}  # fmt: skip


def free_port():
    """Return a free port that no other process is given."""
    return ports.free_port()


def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Send one request; return its status and decoded body, (0, None) without any."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method,
        headers={"Content-Type": "application/json", **(headers or {})},
    )  # fmt: skip
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, decoded(response.read())
    except urllib.error.HTTPError as error:
        return error.code, decoded(error.read())
    except OSError:
        return 0, None


def decoded(data):
    try:
        return json.loads(data)
    except ValueError:
        return None


def wait_until(condition, what, timeout=START_TIMEOUT_S, interval=0.05):
    """Wait until `condition` is true; raise `CouldNotRun` after `timeout`."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(interval)
    raise CouldNotRun(f"{what} not reached in {timeout} s")


def answers(front):
    """Return whether an instance answers callers."""
    return call(front, "GET", PREFIX, None, {"Host": HOST})[0] == 200


class CouldNotRun(Exception):
    """The case could not be brought about."""


class Bed:
    """The processes of one run, their addresses and the record of the run."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = open(self.folder / "record.txt", "w", buffering=1)
        self.began_at = time.time()
        self.processes = {}
        self.commands = {}
        self.fronts = {}
        self.store = f"127.0.0.1:{free_port()}"
        self.worker_logs = []
        # By default the processes that were started would outlive a time limit.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    def record(self, text, at=None):
        """Append a line to `record.txt`, with the seconds since the beginning."""
        seconds = (at or time.time()) - self.began_at
        self.record_file.write(f"{seconds:9.3f} {text}\n")

    def start(self, name, command, env=None):
        """Start a process; its output goes to the temporary folder."""
        paths = [str(ROOT / "target" / "deps"), str(ROOT)]
        full = {
            **{key: os.environ[key] for key in ("PATH", "HOME", "LANG")
               if key in os.environ},
            "PYTHONPATH": os.pathsep.join(paths),
            "PYTHONDONTWRITEBYTECODE": "1",
            **(env or {}),
        }  # fmt: skip
        output = open(self.temp / f"{name}.out", "a")
        self.commands[name] = (command, env)
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=full, stdout=output, stderr=subprocess.STDOUT
        )

    def restart(self, name):
        """Start a process again that has ended."""
        self.start(name, *self.commands[name])

    def signal(self, name, number):
        """Send a signal to a process that was started here."""
        self.record(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def start_store(self):
        self.start("store", [sys.executable, "-m", "tests.standins.store",
                             "--address", self.store])  # fmt: skip
        wait_until(lambda: call(self.store, "GET", "/dump")[0] == 200, "store")
        self.configure(CONFIG)

    def configure(self, config):
        """Write the operator's configuration to the store."""
        value = base64.b64encode(json.dumps(config).encode()).decode()
        row = {"table": "op", "part": "", "key": "config", "value": value}
        message = {"expected_revision": [], "puts": [row], "remove": []}
        status, _ = call(self.store, "POST", "/-/rows-tx", message)
        self.record(f"configuration {config['version']} acknowledged with {status}")

    def add_worker(self, number, *options, address=None):
        """Start a worker; return its address."""
        address = address or f"127.0.0.1:{free_port()}"
        log = self.temp / f"worker-{number}.jsonl"
        self.worker_logs.append(log)
        self.start(f"worker-{number}",
                   [sys.executable, "-m", "review.standins.worker",
                    "--address", address, "--store", self.store, "--log", str(log),
                    *options])  # fmt: skip
        return address

    def add_instance(self, number, zone="nave-a", store=None, **changes):
        """Start an instance with the command of the deploy file."""
        name = f"edge-{zone}-{number}"
        pid = os.getpid()
        host = f"127.{1 + pid // 250 % 250}.{pid % 250}.{number + 1}"
        self.fronts[name] = f"{host}:{free_port()}"
        port = free_port()
        settings = {
            "node_name": name, "role": "instance", "machine_class": "edge",
            "ip": host, "zone": zone, "region": "guayas",
            "zones": {"nave-a": "guayas", "nave-b": "guayas", "nave-c": "guayas"},
            "listen_addrs": {"front": self.fronts[name],
                             "ready": f"{host}:{free_port()}"},
            "internal_ports": [port, port],
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300,
                       "max_fds": 4100},
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "call",
            "platform": {"address": store or self.store, "form": "table"},
            **changes,
        }  # fmt: skip
        path = self.temp / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.start(name, ["python3", "deploy/serve.py"],
                   {"MANGOSAIL_SETTINGS": str(path)})  # fmt: skip
        return name

    def wait_for_instances(self):
        """Wait until all instances answer callers."""
        for name, front in self.fronts.items():
            wait_until(lambda at=front: answers(at), name)

    def leader(self):
        """Return the instance that holds the lease, or None."""
        _, rows = call(self.store, "GET", "/dump")
        for *_, key, value in rows or []:
            if key == "lease":
                lease = json.loads(value)
                return None if lease["released"] else lease["holder"]
        return None

    def submit(self, name, job_id, job):
        """Hand a job in as a client does; return the status."""
        headers = {"Host": HOST}
        status, _ = call(self.fronts[name], "POST", PREFIX + job_id, job, headers)
        tasks = sum(step["count"] for step in job["steps"])
        self.record(f"client: POST {job_id} ({tasks} tasks) at {name}: {status}")
        return status

    def state(self, name, job_id):
        """Ask for a job's state as a client does."""
        headers = {"Host": HOST}
        status, body = call(self.fronts[name], "GET", PREFIX + job_id, None, headers)
        return (body or {}).get("state") if status == 200 else status

    def events(self):
        """Return the lines of all workers' logs in order of time."""
        lines = []
        for path in self.worker_logs:
            if path.exists():
                text = path.read_text().splitlines()
                lines += [json.loads(line) for line in text if line.endswith("}")]
        return sorted(lines, key=lambda line: line["at"])

    def close(self):
        """End all processes that were started here, and drop their files.

        With REVIEW_KEEP=1 the files stay, and `record.txt` names their folder.
        """
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("REVIEW_KEEP") == "1":
            self.record(f"logs in {self.temp}")
        else:
            shutil.rmtree(self.temp, ignore_errors=True)
