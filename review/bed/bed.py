"""A small deployment for a case: store, workers, clients and real instances.

The store, the workers and the clients live in the process of the case, so all events
have one order. The instances are separate processes that run the command of the deploy
file. Every event is written to `record.txt` in the folder of the case.
"""

import collections
import dataclasses
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import gevent

from review.bed import httpd, store, worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "jobs.example"
PREFIX = "/q/"
#: Bounds of the settings, as on the sheet of a small deployment.
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "hold_max_ms": 6000,
    "stop_ms": 400,
    "gang_wait_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "checkpoint_s": 0.5,
    "restore_ms": 600,
}
#: Seconds without a heartbeat after which the entry of a worker is removed.
ENTRY_EXPIRY_S = 3.3
#: Seconds within which an instance must answer after its start.
START_TIMEOUT_S = 20.0
#: Time in which a client waits for an answer, in seconds.
CLIENT_DEADLINE_S = 3.0
#: Attempts of a client to hand a job in, and seconds between two of them.
ATTEMPTS = 5
RETRY_S = 0.2
#: Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up."""


@dataclasses.dataclass(eq=False)
class Job:
    """A job, what its tasks do, and what its client was told."""

    job_id: str
    body: dict
    #: Work of each task in seconds, and the work after which each run fails.
    length: float = 0.5
    fails_after: float | None = None
    accepted_at: float | None = None
    states: list = dataclasses.field(default_factory=list)
    runs: list = dataclasses.field(default_factory=list)

    @property
    def state(self):
        return self.states[-1][1] if self.states else None

    def running(self):
        return [run for run in self.runs if run.ended_at is None]

    def longest_idle(self, since, until):
        """Return the longest span from `since` to `until` with no task running."""
        longest, at = 0.0, since
        for run in sorted(self.runs, key=lambda run: run.began_at):
            longest = max(longest, min(run.began_at, until) - at)
            at = max(at, run.ended_at if run.ended_at is not None else until)
        return max(longest, until - at)


class Bed:
    """All processes and events of a case."""

    def __init__(self, folder, seed, queue=None, **bounds):
        self.rand = random.Random(seed)
        self.bounds = {**BOUNDS, **bounds}
        self.store = store.Store(self.rand)
        self.workers = {}
        self.jobs = {}
        self.live = collections.defaultdict(list)
        #: Called with each run that begins.
        self.on_start = lambda run: None
        self.processes = {}
        self.fronts = {}
        self.settings = pathlib.Path(tempfile.mkdtemp(prefix="mangosail-review-"))
        self.record_file = open(folder / "record.txt", "w")
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.command = shlex.split(tomllib.load(file)["roles"]["instance"]["run"])
        if not (ROOT / "target/deps").is_dir():
            raise CannotRun("target/deps is missing: the deploy file was not built")
        self.configure(queue or {})

    def note(self, event, **facts):
        print(f"{httpd.now():8.3f} {event} {json.dumps(facts)}", file=self.record_file)

    def configure(self, queue):
        route = {
            "name": "q",
            "host": HOST,
            "path_prefix": PREFIX,
            "service": "pool",
            "timeout_ms": 3000,
            "attempts": 3,
            "priority": 0,
            "stretch": 2.0,
            "target_duration_ms": 500,
            **queue,
        }
        limits = {
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        services = [{"name": "pool", "admission_check": True}]
        config = {"version": 1, "routes": [route], "services": services}
        self.store.put("op", "config", {**config, "limits": limits})

    # Workers and their runs.

    def add_worker(self, cpu=32000, mem_mb=128000, labels=("a", "r1"), keeps=False):
        """Add a worker; one that `keeps` its name tells when it was born."""
        name = f"i-{len(self.workers):02d}-{self.rand.getrandbits(32):08x}"
        born = int(time.time() * 1000) if keeps else None
        self.workers[name] = worker.Worker(
            self, name, cpu, mem_mb, list(labels), born=born
        )
        return self.workers[name]

    def start_again(self, name):
        """Start a worker that has crashed under its name, at another address."""
        before = self.workers[name]
        self.workers[name] = worker.Worker(
            self, name, before.cpu, before.mem_mb, before.labels,
            born=int(time.time() * 1000),
        )  # fmt: skip
        address = self.workers[name].address
        self.note("worker starts again", worker=name, address=address)

    def replace(self, name):
        """Start another worker at the address of one that has crashed."""
        before = self.workers[name]
        after = f"i-{len(self.workers):02d}-{self.rand.getrandbits(32):08x}"
        self.workers[after] = worker.Worker(
            self, after, before.cpu, before.mem_mb, before.labels,
            port=int(before.address.rpartition(":")[2]),
        )  # fmt: skip
        gevent.spawn_later(ENTRY_EXPIRY_S, self.store.remove, "servers", name)
        self.note("worker replaced", worker=name, by=after)

    def find(self, task):
        job = self.jobs[task.partition(".")[0]]
        return job, job.body["steps"][int(task.split(".")[2])]

    def record_start(self, run, order):
        self.note(
            "start", task=run.task, run=run.number, worker=run.worker.name,
            token=order["fencing_token"],
        )  # fmt: skip
        run.job.runs.append(run)
        self.live[run.task].append(run)
        self.on_start(run)

    def record_end(self, run):
        self.note(
            "end", task=run.task, run=run.number, worker=run.worker.name, how=run.how
        )
        self.live[run.task].remove(run)
        if not run.step.get("gang"):
            return
        how = "done" if run.how == "done" else "broken"
        for other in self.members(run):
            other.worker.end(other, how)
            return

    def record_seen(self, which, number):
        for run in which.runs_ended[which.last_seen : number]:
            self.note("end taken note of", task=run.task, run=run.number, how=run.how)

    def members(self, run):
        """Return the other members of a gang's run that are at work."""
        step = run.task.rpartition(".")[0]
        tasks = [f"{step}.{index}" for index in range(run.step["count"])]
        runs = [other for task in tasks for other in self.live[task]]
        return [other for other in runs if other.number == run.number]

    def gang_is_present(self, run):
        return len(self.members(run)) == run.step["count"]

    def used_cpu(self):
        return sum(
            run.step["cpu"]
            for each in self.workers.values()
            for run in each.running.values()
        )

    def capacity_cpu(self):
        return sum(each.cpu for each in self.workers.values() if each.up)

    # Instances.

    def add_instance(self, number):
        """Start an instance with a settings file as the platform writes it."""
        name = f"edge-{number}"
        pid = os.getpid()
        ip = f"127.{1 + pid // 250 % 250}.{pid % 250}.{number + 1}"
        front, ready, first, last = free_ports(ip, 4)
        self.fronts[name] = (ip, front)
        settings = {
            "node_name": name,
            "role": "instance",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": "dc",
            "region": "region",
            "zones": {"dc": "region"},
            "listen_addrs": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"},
            "internal_ports": [first, last],
            "limits": {
                "cpu_share": 0.5, "cores": 2, "memory_mb": 300, "max_fds": 4100,
            },
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": self.bounds,
            "orders": "call",
            "platform": {
                "address": self.store.open_port(name),
                "form": "table",
                "row_bytes": 65536,
                "across": False,
            },
        }  # fmt: skip
        path = self.settings / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = open(self.settings / f"{name}.log", "ab")
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MANGOSAIL_SETTINGS": str(path),
        }
        # The interpreter of this case stands for `python3` of the deploy file.
        command = [sys.executable, *self.command[1:]]
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.note("instance started", name=name)
        return name

    def wait_until_ready(self):
        deadline = httpd.now() + START_TIMEOUT_S
        for name in self.fronts:
            while self.call(name, "GET", PREFIX)[0] != 200:
                if httpd.now() > deadline:
                    raise CannotRun(f"{name} does not answer")
                gevent.sleep(0.1)
        while self.leader() is None:
            if httpd.now() > deadline:
                raise CannotRun("no instance leads")
            gevent.sleep(0.1)

    def leader(self):
        lease = self.store.read("leader", "s0", "lease")
        return None if lease is None or lease["released"] else lease["holder"]

    def send_signal(self, name, number):
        self.note("signal", name=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def close(self):
        """End the processes that this case has started."""
        for each in self.workers.values():
            each.up = False
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.record_file.close()

    # Clients.

    def call(self, name, method, path, body=None, deadline=CLIENT_DEADLINE_S):
        """Return status and body of an answer; the status is None without one."""
        data = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
            f"Deadline-Ms: {int(deadline * 1000)}\r\n\r\n"
        )
        answer = b""
        with gevent.Timeout(deadline, False):
            try:
                with socket.create_connection(self.fronts[name]) as connection:
                    connection.sendall(head.encode() + data)
                    while part := connection.recv(65536):
                        answer += part
            except OSError:
                return None, {}
            return decode(answer)
        return None, {}

    def new_job(self, body, **behaviour):
        job = Job(f"{self.rand.getrandbits(64):016x}", body, **behaviour)
        self.jobs[job.job_id] = job
        return job

    def submit(self, job):
        """Hand a job in as a client does, and return whether it was accepted."""
        for _ in range(ATTEMPTS):
            name = self.rand.choice(list(self.fronts))
            status, _ = self.call(name, "POST", PREFIX + job.job_id, job.body)
            self.note("POST", job=job.job_id, at=name, status=status, body=job.body)
            if status == 200:
                job.accepted_at = job.accepted_at or httpd.now()
                return True
            gevent.sleep(RETRY_S)
        return False

    def ask(self, job):
        """Ask for the state of a job, and return it; None if it was not told."""
        name = self.rand.choice(list(self.fronts))
        status, reply = self.call(name, "GET", PREFIX + job.job_id)
        state = reply.get("state") if status == 200 else None
        self.note("GET", job=job.job_id, at=name, status=status, state=state)
        if state is not None:
            job.states.append((httpd.now(), state))
        return state


def decode(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    words = head.split(b" ", 2)
    if len(words) < 3 or not words[1].isdigit():
        return None, {}
    try:
        return int(words[1]), json.loads(body) if body.strip() else {}
    except ValueError:
        return None, {}


def free_ports(ip, count):
    """Return ports of a loopback address that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((ip, 0))
        return sorted(each.getsockname()[1] for each in sockets)
    finally:
        for each in sockets:
            each.close()


def run(folder, case, seed, **options):
    """Run `case(bed, trouble)`, which returns what broke the rule, and exit."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    bed = None
    status = NOT_RUN
    try:
        bed = Bed(folder, seed, **options)
        broken = case(bed, trouble)
        for line in broken:
            bed.note("RULE BROKEN", what=line)
            print(line)
        bed.note("verdict", broken=bool(broken), trouble=trouble)
        status = BROKEN if broken else HELD
    except CannotRun as error:
        print(f"the case could not run: {error}")
    finally:
        if bed is not None:
            bed.close()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status])
    sys.stdout.flush()
    os._exit(status)
