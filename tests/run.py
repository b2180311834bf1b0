"""Runs every slice's behave features and prints one verdict.

``python -m tests.run [slice ...]``. A slice is a folder of `tests` that holds
feature files. Scenarios named in KNOWN-RED.txt may fail; they are printed.
"""

import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[1]


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
    """Run one slice and return (passed, failed) lists of scenario names."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        done = subprocess.run(
            [
                sys.executable, "-m", "behave", f"tests/{name}", "--no-capture",
                "-f", "json", "-o", report.name, "-f", "progress",
            ],
            cwd=ROOT,
        )  # fmt: skip
        text = pathlib.Path(report.name).read_text()
    scenarios = [
        (f"{name}: {element['name']}", element.get("status"))
        for feature in (json.loads(text) if text else [])
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    passed = [n for n, status in scenarios if status == "passed"]
    failed = [n for n, status in scenarios if status != "passed"]
    if done.returncode and not failed:
        # A hook or a step file broke before any scenario could fail.
        failed = [f"{name}: run ended with status {done.returncode}"]
    return passed, failed


def main():
    red = known_red()
    passed, failed = [], []
    for name in sys.argv[1:] or slices():
        print(f"== {name}", flush=True)
        good, bad = run_slice(name)
        passed += good
        failed += bad
    for name in failed:
        print(f"{'KNOWN RED' if name in red else 'FAILED'}: {red.get(name, name)}")
    unknown = [name for name in failed if name not in red]
    print(f"{len(passed)} passed, {len(failed)} failed", flush=True)
    return 1 if unknown or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
