"""Runs every slice's behave features and prints one verdict.

``python -m tests.run [--jobs N] [slice ...]``. A slice is a folder of `tests` that
holds feature files; `N` of them run at a time, those that take longest first, and
each one's output is printed when it is done. Scenarios named in KNOWN-RED.txt may
fail; they are printed.
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
#: Slices that take longest, longest first: begun last, one would run on alone.
LONGEST_FIRST = (
    "scheduler",
    "work",
    "jobs",
    "soak",
    "front",
    "ownership",
    "settings",
    "cli",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What became of the scenarios of one slice, by name."""

    name: str
    passed: list[str]
    failed: list[str]
    output: str
    seconds: float


def slices():
    return sorted({path.parent.name for path in (ROOT / "tests").glob("*/*.feature")})


def known_red():
    """Return the names of scenarios that may fail, each with its line."""
    listed = ROOT / "KNOWN-RED.txt"
    if not listed.exists():
        return {}
    lines = [line for line in listed.read_text().splitlines() if line.strip()]
    return {line.split(";")[0].strip(): line for line in lines}


def run_slice(name):
    """Run one slice and return its verdict."""
    began_at = time.monotonic()
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        done = subprocess.run(
            [
                sys.executable, "-m", "behave", f"tests/{name}", "--no-capture",
                "-f", "tests.support.reasons:Reasons", "-o", report.name,
                "-f", "progress",
            ],
            cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
        )  # fmt: skip
        text = pathlib.Path(report.name).read_text()
    scenarios = [
        # Behave ends the name of an outline's row with a space.
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
        # A hook or a step file broke before any scenario could fail.
        failed = [f"{name}: run ended with status {done.returncode}"]
    seconds = time.monotonic() - began_at
    output = "\n".join([done.stdout, *reasons])
    return Verdict(name, passed, failed, output, seconds)


def reason_of(step):
    """Return why a step failed, so that what shows once can be traced."""
    message = step["result"]["error_message"]
    return message if isinstance(message, str) else "\n".join(message)


def start_order(name):
    return LONGEST_FIRST.index(name) if name in LONGEST_FIRST else len(LONGEST_FIRST)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("slices", nargs="*")
    args = parser.parse_args()
    red = known_red()
    passed, failed = [], []
    names = sorted(args.slices or slices(), key=start_order)
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        running = [pool.submit(run_slice, name) for name in names]
        for done in concurrent.futures.as_completed(running):
            verdict = done.result()
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
