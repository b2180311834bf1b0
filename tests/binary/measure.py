"""Measures the built file in a test system: ``python -m tests.binary.measure``.

The file runs under the interpreter that the virtual environment was created from, which
has none of its packages, and unpacks to a folder of an in-memory file system.
"""

import os
import pathlib
import subprocess
import sys
import tempfile
import time

from tests.support import stage, teams

MEMORY_FILE_SYSTEM = "/dev/shm"


def build(folder):
    """Build the file in `folder` and return its path."""
    output = pathlib.Path(folder) / "mangosail.pyz"
    command = [sys.executable, "tools/bundle.py", str(output)]
    subprocess.run(command, cwd=stage.ROOT, check=True, stdout=subprocess.DEVNULL)
    return output


def command_of(file, *arguments):
    return [sys._base_executable, "-I", str(file), *arguments]


class Binary:
    """The built file, the folder it unpacks to, and a test system to run it in."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(
            prefix="mangosail-", dir=MEMORY_FILE_SYSTEM
        )
        self.root = pathlib.Path(self.folder.name) / "unpacked"
        self.file = build(self.folder.name)
        self.stage = stage.Stage()
        self.stage.start_platform()
        self.stage.write_settings("fuel-desk", teams.example("fuel-desk"))
        self.stage.start_workers("shymkent", 1)

    def start(self, name):
        """Start an instance; return its process and the seconds until it answered."""
        http, peer = stage.free_address(), stage.free_address()
        self.stage.instances[name] = http
        started = time.monotonic()
        arguments = (
            "serve", "--instance", name, "--data-centre", "shymkent",
            "--http-address", http, "--peer-address", peer,
            "--platform-address", self.stage.platform, "--plaintext",
        )  # fmt: skip
        log = open(self.stage.logs / f"{name}.log", "ab")
        process = subprocess.Popen(
            command_of(self.file, *arguments),
            cwd="/",
            env={"PATH": os.environ["PATH"], "SHIV_ROOT": str(self.root)},
            stdout=log,
            stderr=log,
        )
        log.close()
        self.stage.processes[name] = process
        stage.wait_until(
            lambda: self.stage.call(name, "GET", "/healthz").status == 200,
            what=f"{name} answers",
        )
        return process, time.monotonic() - started

    def close(self):
        self.stage.close()
        self.folder.cleanup()


def children(process):
    """Return the process ids of the children of all threads of `process`."""
    tasks = pathlib.Path(f"/proc/{process.pid}/task").glob("*/children")
    return [child for task in tasks for child in task.read_text().split()]


def resident_mb(process):
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [line for line in text.splitlines() if line.startswith("VmRSS")]
    return int(line.split()[1]) / 1024


def size_mb(folder):
    files = (path for path in folder.rglob("*") if path.is_file())
    return sum(path.stat().st_size for path in files) / 1e6


def main():
    binary = Binary()
    try:
        process, cold = binary.start("cold-0")
        binary.stage.wait_ready("cold-0")
        resident, found = resident_mb(process), children(process)
        binary.stage.kill("cold-0")
        warm = sorted(start_time(binary, f"warm-{n}") for n in range(5))
        print(f"size {binary.file.stat().st_size / 1e6:.1f} MB")
        print(f"unpacked {size_mb(binary.root):.1f} MB")
        print(f"first start {cold:.2f} s, later starts {warm[2]:.2f} s (median of 5)")
        print(f"resident memory when ready {resident:.1f} MB, children {found}")
    finally:
        binary.close()


def start_time(binary, name):
    _, seconds = binary.start(name)
    binary.stage.kill(name)
    return seconds


if __name__ == "__main__":
    main()
