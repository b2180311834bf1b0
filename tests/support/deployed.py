"""Starts a deployment of real instances on stand-ins of the users' platform.

The store, each worker and each instance run as separate processes. Each instance
connects to the store, and every instance to each worker, through a TCP relay.
"""

import json
import os

from tests.standins import relay
from tests.support import ports, stage

INSTANCES = 4
WORKERS = 5
CORES = 16
#: Seconds within which an instance must exit after SIGTERM.
GRACE_S = 6.0
HOST = "jobs.example"
PREFIX = "/q/"
CONFIG = {
    "version": 1,
    "routes": [
        {"name": "q", "host": HOST, "path_prefix": PREFIX, "service": "pool",
         "timeout_ms": 3000, "attempts": 2}
    ],
    "services": [{"name": "pool", "admission_check": False}],
}  # fmt: skip


class Deployment(stage.Stage):
    """All processes of a run, and the relays in front of them."""

    def __init__(self, seed, keep_names=False, lease_ms=6000):
        super().__init__()
        self.seed = seed
        #: Longest lease of a worker, by the settings; options depend on it.
        self.lease_ms = lease_ms
        #: Names of scheduler options that are switched off.
        self.disabled_options = ""
        #: The operator's configuration.
        self.config = CONFIG
        #: What the machine gives each instance, by the platform's names.
        self.limits = {}
        #: True if every other worker keeps its name when it restarts.
        self.keep_names = keep_names
        self.relays = {}
        self.fronts = {}
        self.store = stage.free_address()

    def start_store(self):
        self.start("store", "-m", "tests.standins.store", "--address", self.store,
                   "--seed", str(self.seed))  # fmt: skip
        stage.wait_until(lambda: stage.call(self.store, "GET", "/dump"), what="store")
        self.configure()

    def start_all(self):
        self.start_store()
        for number in range(WORKERS):
            self.add_worker(f"worker-{number}")
        for number in range(INSTANCES):
            self.add_instance(f"instance-{number}", host_of(number))
        for address in self.fronts.values():
            stage.wait_until(lambda at=address: answers(at), what="instance")

    def configure(self):
        row = {"table": "op", "part": "", "key": "config",
               "value": stage.encoded(self.config)}  # fmt: skip
        message = {"expected_revision": [], "puts": [row], "remove": []}
        stage.call(self.store, "POST", "/-/rows-tx", message)

    def add_worker(self, name):
        address = stage.free_address()
        self.relays[name] = relay.Relay(address)
        self.start(name, "-m", "tests.standins.pool", "--address", address,
                   "--listed", self.relays[name].address, "--store", self.store,
                   "--log", str(self.logs / f"{name}.jsonl"),
                   "--cores", str(CORES), *self.name_option(name))  # fmt: skip

    def name_option(self, name):
        keeps = self.keep_names and int(name.rpartition("-")[2]) % 2 == 0
        return ("--name", name) if keeps else ()

    def add_instance(self, name, host):
        self.relays[name] = relay.Relay(self.store)
        self.fronts[name] = f"{host}:{ports.free_port()}"
        internal_port = ports.free_port()
        settings = {
            "node_name": name, "zone": "dc", "ip": host,
            "listen_addrs": {"front": self.fronts[name],
                             "ready": f"{host}:{ports.free_port()}"},
            "platform": {"address": self.relays[name].address},
            "internal_ports": [internal_port, internal_port],
            "bounds": {"status_s": 300, "grace_s": GRACE_S,
                       "hold_max_ms": self.lease_ms},
            "limits": self.limits,
        }  # fmt: skip
        path = self.logs / f"{name}.json"
        path.write_text(json.dumps(settings))
        env = {"MANGOSAIL_SETTINGS": str(path),
               "MANGOSAIL_DISABLED_OPTIONS": self.disabled_options}  # fmt: skip
        self.start(name, "deploy/serve.py", env=env)

    def leader(self):
        """Return the name of the instance that holds the lease, or None."""
        rows = stage.call(self.store, "GET", "/dump").json()
        leases = [json.loads(value) for *_, key, value in rows if key == "lease"]
        return next((row["holder"] for row in leases if not row["released"]), None)

    def worker_entries(self):
        """Return the log entries of all workers, including those that were killed."""
        return [
            json.loads(line)
            for path in sorted(self.logs.glob("worker-*.jsonl"))
            for line in path.read_text().splitlines()
        ]


def host_of(number):
    """Return a loopback address unique to this run, since the metrics port is fixed."""
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{pid % 250}.{number + 1}"


def answers(address):
    return stage.call(address, "GET", PREFIX, headers={"Host": HOST}).status == 200
