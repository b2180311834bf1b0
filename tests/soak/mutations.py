"""Breaks each safeguard in turn on a scratch copy: which check notices, and when?

``python -m tests.soak.mutations [name ...]`` prints a table. A safeguard whose
removal nothing catches needs a better check.
"""

import dataclasses
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from tests.support import stage

#: Seconds that one check may take.
CHECK_TIMEOUT = 240.0
#: The faults that the safeguards below are there for, one a second.
SOAK = (
    "tests.soak.run --minutes 0.5 --seed 5 --gap 1 --kinds"
    " freeze kill cut lose_answers table_slow black_hole"
).split()


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A safeguard taken out: `search` occurs once in `path`."""

    name: str
    path: str  # under src/mangosail
    search: str
    replace: str
    #: Slices of features, or "soak" for the driver, tried in turn.
    checks: tuple


MUTATIONS = (
    Mutation(
        "lease check before a start",
        "work/starts.py",
        "if not self.ctx.may_act(task.owned):",
        "if False:",
        ("work", "ownership", "soak"),
    ),
    Mutation(
        "incarnation check in Session._resolve_conflict",
        "ownership/session.py",
        "present.ended or present.incarnation != self.row.incarnation",
        "present.ended",
        ("ownership", "soak"),
    ),
    Mutation(
        "attempt token read-back",
        "work/claims.py",
        "if held is not None and held.row.attempt == row.attempt:",
        "if held is not None:",
        ("work", "soak"),
    ),
    Mutation(
        "version check on claims",
        "work/claims.py",
        "table.Transaction((table.Check(key, version),), tuple(writes))",
        "table.Transaction((), tuple(writes))",
        ("work", "soak"),
    ),
    Mutation(
        "own generation in starts",
        "work/starts.py",
        "owner_generation=task.owned.generation,",
        "owner_generation=1 << 30,",
        ("work", "ownership", "soak"),
    ),
    Mutation(
        "answer matched to its task",
        "dispatch/http.py",
        "if isinstance(report, result.Ok) and report.ok_value.task_id != task_id:",
        "if False:",
        ("dispatch", "soak"),
    ),
    Mutation(
        "connection retired after a timeout",
        "dispatch/http.py",
        'pool.retire(connection, "timeout")',
        "pool.release(connection)",
        ("dispatch", "soak"),
    ),
    Mutation(
        "ledger rebuilt before ready",
        "instance.py",
        "owned.ledger.rebuild(takeover.running(snapshot), owned.generation)",
        "pass",
        ("ownership", "soak"),
    ),
    Mutation(
        "lower settings version never applied",
        "settings/state.py",
        "if present is not None and present.subtree.sequence >= subtree.sequence:",
        "if present is not None and present.subtree.sequence == subtree.sequence:",
        ("settings", "soak"),
    ),
    Mutation(
        "margin for clocks' rates",
        "ownership/session_observer.py",
        "CLOCK_RATE_MARGIN_S = 0.25",
        "CLOCK_RATE_MARGIN_S = -2.5",
        ("ownership", "soak"),
    ),
    Mutation(
        "promise to an earlier owner withheld",
        "placement/ledger.py",
        "withheld = withheld + promised.largest(used)",
        "withheld = withheld + used",
        ("ownership", "soak"),
    ),
    Mutation(
        "a conflict fails its culprit alone",
        "platform/batching.py",
        "culprits = [w for w in group if key in w.keys()] or group",
        "culprits = group",
        ("platform", "work", "soak"),
    ),
    Mutation(
        "version check on jobs' states",
        "jobs/records.py",
        "            checks=(table.Check(key, found.version),),\n",
        "            checks=(),\n",
        ("jobs", "soak"),
    ),
    Mutation(
        "drain waits for what is in flight",
        "front/stopping.py",
        "        self.httpd.finish_requests(self.clock.monotonic, requests_deadline)\n",
        "",
        ("front", "soak"),
    ),
    Mutation(
        "void of another run of the worker",
        "work/registry.py",
        "return void and report.boot != self.row.boot",
        "return False",
        ("work", "soak"),
    ),
)


class Scratch:
    """A copy of the sources in which one safeguard may be missing."""

    def __init__(self):
        self.root = pathlib.Path(tempfile.mkdtemp(prefix="mangosail-mutation-"))
        for name in ("src", "tests", "examples"):
            shutil.copytree(stage.ROOT / name, self.root / name)

    def apply(self, mutation):
        """Apply the patch, and tell whether it still fits the source."""
        path = self.root / "src" / "mangosail" / mutation.path
        text = path.read_text()
        if text.count(mutation.search) != 1:
            return False
        path.write_text(text.replace(mutation.search, mutation.replace))
        return True

    def broken_by(self, check):
        """Run `check` and return the names of what failed."""
        if check == "soak":
            command, pattern = SOAK, r"^(.*?)\s+\d+\s+\d+\s+VIOLATED"
        else:
            command, pattern = ["tests.run", check], r"^FAILED: (.*)"
        child = subprocess.Popen(
            [sys.executable, "-m", *command],
            cwd=self.root,
            env={"PYTHONPATH": f"{self.root}/src:{self.root}", "PATH": "/usr/bin"},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        try:
            output, _ = child.communicate(timeout=CHECK_TIMEOUT)
        except subprocess.TimeoutExpired:
            # An interrupt, unlike a kill, lets the check end its own processes.
            child.send_signal(signal.SIGINT)
            child.communicate()
            return {f"{check}: no end in {CHECK_TIMEOUT:g} s"}
        found = set(re.findall(pattern, output, re.MULTILINE))
        return found or ({f"{check}: no verdict"} if child.returncode else set())

    def close(self):
        shutil.rmtree(self.root)


def exists(check):
    return any((stage.ROOT / "tests" / check).glob("*.feature"))


def catch(mutation):
    """Return which check noticed first, what it said, and after how long."""
    scratch = Scratch()
    try:
        if not scratch.apply(mutation):
            return "does not apply", "", 0.0
        spent = 0.0
        for check in filter(exists, mutation.checks):
            started = time.monotonic()
            new = scratch.broken_by(check)
            spent += time.monotonic() - started
            if new:
                return check, sorted(new)[0], spent
        return "NOTHING", "", spent
    finally:
        scratch.close()


def main():
    wanted = sys.argv[1:]
    print(f"{'safeguard':40} {'caught by':28} {'after':>7}  what failed")
    for mutation in MUTATIONS:
        if wanted and mutation.name not in wanted:
            continue
        check, what, spent = catch(mutation)
        print(f"{mutation.name:40} {check:28} {spent:5.0f} s  {what}", flush=True)


if __name__ == "__main__":
    main()
