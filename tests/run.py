"""Runs the behave features of all slices and prints a summary.

``python -m tests.run [--jobs N] [slice ...]``. A slice is a folder of `tests` with
feature files. Up to `N` slices run in parallel, the slowest first, and those in
`ALONE` after them, one at a time; the output of each is printed when it ends. Scenarios
listed in KNOWN-RED.txt may fail and are printed.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
#: The slowest slices in descending order; started last, they would prolong the run.
SLOWEST = ("scheduler", "work", "jobs", "soak", "front", "ownership", "settings", "cli")

#: Slices whose crowds of clients would disturb the timing of others.
ALONE = ("clients",)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The names of the passed and failed scenarios of one slice."""

    name: str
    passed: list[str]
    failed: list[str]
    output: str
    seconds: float


def slices():
    return sorted({path.parent.name for path in (ROOT / "tests").glob("*/*.feature")})


def known_red():
    """Return the scenarios that may fail: name -> line of KNOWN-RED.txt."""
    listed = ROOT / "KNOWN-RED.txt"
    if not listed.exists():
        return {}
    lines = [line for line in listed.read_text().splitlines() if line.strip()]
    return {line.split(";")[0].strip(): line for line in lines}


def run_slice(name):
    """Run one slice and return its `Verdict`."""
    began_at = time.monotonic()
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        done = subprocess.run(
            [
                sys.executable, "-m", "behave", f"tests/{name}", "--no-capture",
                "-f", "tests.support.reasons:ErrorMessageFormatter", "-o", report.name,
                "-f", "progress",
            ],
            cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
        )  # fmt: skip
        text = pathlib.Path(report.name).read_text()
    scenarios = [
        # Behave appends a space to the names of scenario outline examples.
        (f"{name}: {element['name']}".strip(), element.get("status"))
        for feature in (json.loads(text) if text else [])
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    reasons = [
        f"{name}: {element['name']}: {step['name']}\n{reason_of(step)}"
        for feature in (json.loads(text) if text else [])
        for element in feature.get("elements", [])
        for step in element.get("steps", [])
        if step.get("result", {}).get("error_message")
    ]
    passed = [n for n, status in scenarios if status == "passed"]
    failed = [n for n, status in scenarios if status != "passed"]
    if done.returncode and not failed:
        # A hook or a step file failed before any scenario ran.
        failed = [f"{name}: run ended with status {done.returncode}"]
    seconds = time.monotonic() - began_at
    output = "\n".join([done.stdout, *reasons])
    return Verdict(name, passed, failed, output, seconds)


def reason_of(step):
    """Return a step's error message, to diagnose failures that may not recur."""
    message = step["result"]["error_message"]
    return message if isinstance(message, str) else "\n".join(message)


def start_order(name):
    return SLOWEST.index(name) if name in SLOWEST else len(SLOWEST)


def run_slices(names, jobs):
    """Run the slices, and yield the verdict of each when it ends."""
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        running = [pool.submit(run_slice, name) for name in names if name not in ALONE]
        for done in concurrent.futures.as_completed(running):
            yield done.result()
    for name in names:
        if name in ALONE:
            yield run_slice(name)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("slices", nargs="*")
    args = parser.parse_args()
    red = known_red()
    passed, failed = [], []
    names = sorted(args.slices or slices(), key=start_order)
    for verdict in run_slices(names, args.jobs):
        print(f"== {verdict.name} ({verdict.seconds:.0f} s)")
        print(verdict.output, flush=True)
        passed += verdict.passed
        failed += verdict.failed
    for name in failed:
        print(f"{'KNOWN RED' if name in red else 'FAILED'}: {red.get(name, name)}")
    unknown = [name for name in failed if name not in red]
    print(f"{len(passed)} passed, {len(failed)} failed", flush=True)
    return 1 if unknown or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
