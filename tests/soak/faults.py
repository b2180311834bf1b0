"""Injects the faults of a schedule into a stage, with one thread for each fault."""

import collections
import signal
import threading
import time

from tests.support import stage as stages

#: Seconds to wait for a restarted instance to become ready.
RESTART_TIMEOUT_S = 15.0
#: Seconds within which an instance must exit after SIGTERM.
STOP_TIMEOUT_S = 30.0
#: Kinds of faults that end an instance and start it again.
RESTARTING = ("kill", "stop")
#: Kind of worker fault -> flag, value during the fault, value without it.
WORKER_FLAGS = {
    "fail_all": ("fail_all", True, False),
    "black_hole": ("black_hole", True, False),
    "lose_starts": ("lose_starts", True, False),
    "slow": ("slow", 4.0, 1.0),
}
PLATFORM_FLAGS = {
    "platform:table_down": ("table", "down", "up"),
    "platform:table_slow": ("table", "slow", "up"),
    "platform:lose_answers": ("lose_answers", 0.3, 0.0),
    "platform:objects_down": ("objects", "down", "up"),
}


class Faults:
    def __init__(self, stage, history, worker_options):
        self.stage = stage
        self.history = history
        self.worker_options = worker_options
        self.lock = threading.Lock()
        self.cut_off_names = set()
        self.threads = []
        #: Held from the stop or kill of an instance until its restart.
        self.restarts = collections.defaultdict(threading.Lock)

    def run(self, schedule, started):
        for fault in schedule:
            thread = threading.Thread(target=self.carry_out, args=(fault, started))
            thread.start()
            self.threads.append(thread)

    def join(self):
        for thread in self.threads:
            thread.join()

    def carry_out(self, fault, started):
        time.sleep(max(started + fault.at - time.time(), 0.0))
        if fault.kind not in RESTARTING:
            self.carry_out_now(fault)
            return
        # A planned stop may last until the next fault of its instance is due. Both
        # would restart it, and one of the two would find its ports in use and end.
        with self.restarts[fault.target]:
            self.carry_out_now(fault)

    def carry_out_now(self, fault):
        target = fault.target.partition(":")[0]
        intervals = [
            self.history.begin(fault.kind, name)
            for name in self.affected_targets(fault, target)
        ]
        try:
            getattr(self, fault.kind, self.toggle)(fault)
        except OSError as exc:
            # The target may be down because of another fault.
            print(f"fault {fault}: {exc}", flush=True)
        for interval in intervals:
            interval.ended = time.time()

    def affected_targets(self, fault, target):
        if fault.kind != "cut_data_centre":
            return [target]
        return [n for n in self.stage.instances if n.startswith(f"{target}-")]

    def toggle(self, fault):
        if fault.target in PLATFORM_FLAGS:
            flag, on, off = PLATFORM_FLAGS[fault.target]
            self.stage.faults(**{flag: on})
            time.sleep(fault.seconds)
            self.stage.faults(**{flag: off})
            return
        flag, on, off = WORKER_FLAGS[fault.kind]
        self.stage.worker_faults(fault.target, **{flag: on})
        time.sleep(fault.seconds)
        self.stage.worker_faults(fault.target, **{flag: off})

    def kill(self, fault):
        self.check_alive(fault.target)
        self.stage.kill(fault.target)
        time.sleep(fault.seconds)
        self.restart_instance(fault.target)

    def stop(self, fault):
        self.check_alive(fault.target)
        self.stage.signal(fault.target, signal.SIGTERM)
        try:
            self.stage.processes[fault.target].wait(STOP_TIMEOUT_S)
        except stages.subprocess.TimeoutExpired:
            self.history.unexpected_exits.append(f"{fault.target}: did not stop")
            self.stage.kill(fault.target)
        self.restart_instance(fault.target)

    def check_alive(self, name):
        status = self.stage.processes[name].poll()
        if status is not None:
            self.history.unexpected_exits.append(f"{name}: ended with status {status}")

    def restart_instance(self, name):
        self.stage.restart(name)
        try:
            self.stage.wait_ready(name, timeout=RESTART_TIMEOUT_S)
        except AssertionError:
            return

    def freeze(self, fault):
        self.stage.freeze(fault.target)
        time.sleep(fault.seconds)
        self.stage.thaw(fault.target)

    def cut_data_centre(self, fault):
        self.cut_off(fault, self.affected_targets(fault, fault.target))

    def cut(self, fault):
        self.cut_off(fault, [fault.target])

    def cut_off(self, fault, names):
        self.change_cut(begun=names)
        time.sleep(fault.seconds)
        self.change_cut(ended=names)

    def change_cut(self, begun=(), ended=()):
        """Change who is cut off; cuts overlap, and each keeps to its own names."""
        with self.lock:
            self.cut_off_names = (self.cut_off_names | set(begun)) - set(ended)
            self.stage.faults(cut=sorted(self.cut_off_names))

    def kill_worker(self, fault):
        process = self.stage.worker_hosts[fault.target]
        self.stage.kill(process)
        self.history.kills.append((fault.target, time.time()))
        time.sleep(fault.seconds)
        self.stage.restart(process)

    def leaving(self, fault):
        """Mark the worker as permanently leaving, after starting a replacement."""
        data_centre = fault.target.rpartition("-")[0]
        with self.lock:
            self.stage.start_workers(data_centre, 1, **self.worker_options())
        entry = {"standing": "leaving"}
        path = f"/inventory/workers/{fault.target}"
        stages.call(self.stage.platform, "PUT", path, entry)
        self.stage.worker_faults(fault.target, leaving=True)
        left = self.history.begin("left", fault.target)
        left.ended = float("inf")
