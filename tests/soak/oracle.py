"""Test oracle of soak runs: one verdict per guarantee, from the stand-ins' logs.

The product's own data is not trusted; only the answers to its callers are checked.
"""

import collections
import dataclasses
import itertools
import json

#: Maximum time between a worker's leaving and its last start.
LEAVING_BOUND_S = 3.0 + 0.5
#: Maximum time until an accepted change is in force, plus the probes' interval.
IN_FORCE_BOUND_S = 5.0 + 0.7
#: Faults during which an instance need not have a change in force in time.
EXCUSING_FAULTS = ("kill", "freeze", "cut", "cut_data_centre", "stop", "table_down")
#: Maximum number of violations printed for each guarantee.
MAX_SHOWN = 3
NEVER = float("inf")


@dataclasses.dataclass
class Verdict:
    """The number of checks of one guarantee, and its violations."""

    promise: str
    checks: int = 0
    violations: list = dataclasses.field(default_factory=list)
    notes: list = dataclasses.field(default_factory=list)

    def check(self, holds, evidence):
        self.checks += 1
        if not holds:
            self.violations.append(evidence() if callable(evidence) else evidence)

    @property
    def state(self):
        if self.violations:
            return "VIOLATED"
        return "held" if self.checks else "not exercised"


@dataclasses.dataclass(frozen=True)
class Run:
    """An execution of one generation of a task on a worker."""

    worker: str
    task_id: str
    generation: int
    kind: str
    needs: dict
    since: float
    until: float
    state: str  # done, failed, stopped, killed or running


class Evidence:
    """The combined logs of a run."""

    def __init__(self, entries, kills, commits, capacities, history):
        self.history = history
        self.capacities = capacities
        self.entries = sorted(entries, key=lambda entry: entry["at"])
        self.refused = [e for e in self.entries if e["event"] in ("guard", "refused")]
        self.runs = find_runs(self.entries, kills)
        self.by_task = collections.defaultdict(list)
        for run in self.runs:
            self.by_task[request_of(run)].append(run)
        #: Numbers of the settings changes in the order of their commits.
        self.changes = [
            int(json.loads(write["value"])["change_id"].rpartition("-")[2])
            for commit in commits
            for write in commit["writes"]
            if write["key"] == "settings/team/marker"
            and json.loads(write["value"])["change_id"].startswith("change-")
        ]
        self.writes = [
            (commit["version"], write["key"], json.loads(write["value"]))
            for commit in commits
            for write in commit["writes"]
            if write["value"] is not None and write["key"].startswith("work/")
        ]

    def told(self, task_id, *roles):
        return [
            c for c in self.history.calls if c.task_id == task_id and c.role in roles
        ]

    def durable(self):
        """Return task id -> runs of all work that is not a quote."""
        return {
            task_id: runs
            for task_id, runs in self.by_task.items()
            if runs[0].kind.rpartition(".")[2] not in ("quote", "quotation")
        }


def find_runs(entries, kills):
    """Match starts with ends; killing a worker ends its running tasks."""
    ends = {
        (e["worker"], e["task_id"], e["generation"]): e
        for e in entries
        if e["event"] == "end"
    }
    runs = []
    for start in (e for e in entries if e["event"] == "start"):
        end = ends.get((start["worker"], start["task_id"], start["generation"]))
        until, state = (end["at"], end["state"]) if end else (NEVER, "running")
        killed = [at for name, at in kills if name == start["worker"]]
        killed = [at for at in killed if start["at"] <= at < until]
        if killed:
            until, state = min(killed), "killed"
        runs.append(
            Run(start["worker"], start["task_id"], start["generation"], start["kind"],
                start["needs"], start["at"], until, state)
        )  # fmt: skip
    return runs


def request_of(run):
    """Return the id of a run's request, without the attempt's suffix for quotes."""
    if run.kind.rpartition(".")[2] in ("quote", "quotation"):
        return run.task_id.partition("~")[0]
    return run.task_id


def outcome(call):
    return call.answer.get("outcome") if isinstance(call.answer, dict) else None


def within_capacity(evidence):
    """1: resources in use on each worker stay within its capacity."""
    verdict = Verdict("1 no worker loaded beyond its capacity")
    changes = collections.defaultdict(list)
    for run in evidence.runs:
        changes[run.worker].append((run.since, 1, run))
        changes[run.worker].append((run.until, -1, run))
    for worker, steps in changes.items():
        used = collections.Counter()
        for at, sign, run in sorted(steps, key=lambda step: step[:2]):
            for part in ("cpus", "memory_gb", "accelerators", "slots"):
                used[part] += sign * run.needs.get(part, 0)
                limit = evidence.capacities[worker][part]
                if sign > 0:
                    verdict.check(
                        used[part] <= limit + 1e-6,
                        f"{worker}: {used[part]:g} of {limit:g} {part} at {at:.3f}"
                        f" with {run.task_id}",
                    )
    return verdict


def guards_unused(evidence):
    """1b: no start had to be refused by a worker's capacity guard."""
    verdict = Verdict("1b the workers' guards were never needed")
    verdict.checks = len(evidence.runs)
    reasons = collections.Counter()
    for entry in evidence.refused:
        if entry["event"] == "refused":
            reasons[entry["reason"].partition(":")[0]] += 1
        else:
            verdict.violations.append(
                f"{entry['worker']} guard {entry['part']}: {entry['task_id']}"
                f" at {entry['at']:.3f}"
            )
    verdict.notes.append(f"refusals by reason: {dict(reasons)}")
    return verdict


def no_overlap(evidence):
    """2: no two runs of the same durable work overlap."""
    verdict = Verdict("2 nothing durable ran in two places at once")
    for task_id, runs in evidence.durable().items():
        ordered = sorted(runs, key=lambda run: run.since)
        for first, second in itertools.pairwise(ordered):
            verdict.check(first.until <= second.since, f"{task_id}: {first} {second}")
        verdict.checks += len(ordered) == 1
    return verdict


def at_most_once(evidence):
    """3: each order is started at most once in all logs."""
    verdict = Verdict("3 non-idempotent work ran at most once")
    for task_id, runs in evidence.durable().items():
        if task_id in evidence.history.orders:
            verdict.check(len(runs) <= 1, f"{task_id}: {runs}")
    return verdict


def resumed_once(evidence):
    """4: evicted work starts again in a later generation, each generation once."""
    verdict = Verdict("4 evicted work resumed exactly once")
    evicted = {
        (row["request"]["team"] + "/" + row["request"]["request_id"], row["generation"])
        for _, _, row in evidence.writes
        if row["state"] == "evicted"
    }
    cancelled = final_states(evidence, "cancelled")
    for task_id, generation in evicted:
        runs = evidence.by_task.get(task_id, [])
        after = collections.Counter(r.generation for r in runs)
        later = [g for g in after if g > generation]
        verdict.check(
            (later or task_id in cancelled) and all(n == 1 for n in after.values()),
            f"{task_id} evicted at generation {generation}: {runs}",
        )
    return verdict


def final_states(evidence, state):
    return {
        f"{row['request']['team']}/{row['request']['request_id']}"
        for _, _, row in evidence.writes
        if row["state"] == state
    }


def whole_answers(evidence):
    """5: the answer to each quote belongs to its request."""
    verdict = Verdict("5 every answered quote was whole and its own")
    statuses = collections.Counter()
    for call in evidence.history.calls:
        if call.role != "quote":
            continue
        reason = (call.answer or {}).get("title", "") if call.status else ""
        statuses[f"{call.status} {reason}".strip()] += 1
        if call.status == 200:
            verdict.check(
                call.answer.get("echo") == call.body
                and call.answer.get("task_id")
                in [r.task_id for r in evidence.by_task[call.task_id]]
                and call.headers.get("request-id") == call.task_id.split("/")[1],
                lambda c=call: f"{c.task_id} at {c.instance}: {c.answer}",
            )
    verdict.notes.append(f"statuses: {dict(statuses.most_common())}")
    return verdict


def not_run(evidence, role, title):
    """6: work reported as not_run has no start, unless it was sent again."""
    verdict = Verdict(title)
    racing = 0
    sent = collections.defaultdict(list)
    for call in evidence.history.calls:
        if call.role in ("quote", "order"):
            sent[call.task_id].append(call)
    for call in evidence.history.calls:
        if call.role not in role or outcome(call) != "not_run":
            continue
        others = [c for c in sent[call.task_id] if c is not call]
        final = "retry-after" not in call.headers
        if not final and any(c.ended_at >= call.sent_at for c in others):
            # Another copy was in flight or sent later, and may have run.
            racing += 1
            continue
        runs = evidence.by_task.get(call.task_id, [])
        verdict.check(
            not runs,
            lambda c=call, r=runs: (
                f"{c.role} {c.task_id} got {c.status} {c.answer} from {c.instance}"
                f" at {c.ended_at:.3f}, but {r}"
            ),
        )
    verdict.notes.append(f"not judged, another copy was under way: {racing}")
    return verdict


def completed(evidence):
    """7: work reported as completed has exactly one end, with that answer."""
    verdict = Verdict("7 reported completed: one end, with that answer")
    for call in evidence.history.calls:
        if call.role not in ("order", "ask") or outcome(call) != "completed":
            continue
        runs = evidence.by_task.get(call.task_id, [])
        body = evidence.history.orders[call.task_id]
        verdict.check(
            ended_as_told(call.answer, call.task_id, body, runs),
            lambda c=call, r=runs: f"{c.task_id} reported as {c.answer}, but {r}",
        )
    return verdict


def ended_as_told(told, task_id, body, runs):
    """Return whether the logs have exactly one end, matching the caller's answer."""
    if told.get("failed"):
        ends = [run.state for run in runs]
        return len(ends) == 1 and ends[0] in ("failed", "stopped", "killed")
    done = [run for run in runs if run.state == "done"]
    answer = told.get("answer") or {}
    return (
        len(done) == 1
        and answer.get("task_id") == task_id
        and answer.get("echo") == body
        and answer.get("worker") == done[0].worker
    )


def nothing_lost(evidence, last_orders):
    """8: accepted work ends, or is unknown because its worker was killed."""
    verdict = Verdict("8 no accepted order was lost")
    unfinished = collections.Counter()
    accepted = {
        c.task_id
        for c in evidence.history.calls
        if c.role in ("order", "ask") and c.status in (200, 202)
    }
    for task_id in sorted(accepted | set(evidence.durable())):
        call = last_orders.get(task_id)
        if call is None:
            continue  # a task of a job, checked by `jobs_end`
        told = outcome(call) if call.status in (200, 202) else None
        if told not in (None, "unknown"):
            verdict.checks += 1
            continue
        runs = evidence.by_task.get(task_id, [])
        why = runs[-1].state if runs else "never started"
        unfinished[why] += 1
        # The outcome on a killed worker can't be known, and callers get that answer.
        end = (call.answer or {}).get("reason"), (call.answer or {}).get("retry_after")
        excused = why == "killed" and told == "unknown" and end == ("worker_lost", None)
        verdict.check(
            excused,
            lambda t=task_id, c=call, r=runs: (
                f"{t} last reported as {c.status} {c.answer}, ran {r}"
            ),
        )
    verdict.notes.append(
        f"without a final outcome, by what the worker did: {dict(unfinished)}"
    )
    return verdict


def jobs_end(last_jobs):
    """8b: some instance reports the end of every accepted job."""
    verdict = Verdict("8b no accepted job was lost")
    for task_id, (tasks, answer) in last_jobs.items():
        ended = answer and answer["completed"] + answer["failed"] == tasks
        verdict.check(
            ended, f"job {task_id} of {tasks} tasks last reported as {answer}"
        )
    return verdict


def leaving(evidence):
    """9: a leaving worker gets no new starts after `LEAVING_BOUND_S`."""
    verdict = Verdict("9 leaving workers got no new work after 3 s")
    for fault in evidence.history.faults:
        if fault.kind != "left":
            continue
        late = [
            run
            for run in evidence.runs
            if run.worker == fault.target and run.since > fault.began + LEAVING_BOUND_S
        ]
        verdict.check(not late, f"{fault.target} left at {fault.began:.3f}: {late[:2]}")
    return verdict


def graceful(evidence):
    """10: requests in flight at an instance's planned stop are answered."""
    verdict = Verdict("10 planned stops dropped no request")
    for fault in evidence.history.faults:
        if fault.kind != "stop":
            continue
        for call in evidence.history.calls:
            in_flight = call.sent_at < fault.began - 0.05 < fault.began < call.ended_at
            if call.instance == fault.target and in_flight:
                verdict.check(
                    call.status is not None,
                    lambda c=call, f=fault: (
                        f"{c.role} {c.task_id} sent to {c.instance} at {c.sent_at:.3f},"
                        f" stopped at {f.began:.3f}, cut off at {c.ended_at:.3f}"
                    ),
                )
    return verdict


def settings(evidence):
    """11: accepted changes are in force in time and never revert to earlier ones."""
    verdict = Verdict("11 accepted settings in force in 5 s, never reverting")
    history = evidence.history
    seen = collections.defaultdict(list)
    for sighting in sorted(history.sightings, key=lambda s: s.at):
        seen[sighting.instance].append(sighting)
    accepted = sorted(history.changes, key=lambda change: change.accepted_at)
    order = {number: place for place, number in enumerate(evidence.changes)}
    verdict.check(len(order) == len(evidence.changes), "a change was made twice")
    for number in history.refused_changes:
        verdict.check(
            number not in order, f"change {number} reported as not_made, but made"
        )
    for change in accepted:
        verdict.check(
            change.number in order, f"{change} reported as accepted, but not made"
        )
    accepted = [change for change in accepted if change.number in order]
    delays = []
    for name, sightings in seen.items():
        highest = -1
        for sighting in sightings:
            place = order[sighting.number]
            verdict.check(place >= highest, f"{name} went back to {sighting}")
            highest = max(highest, place)
        for change in accepted[:-1]:
            place = order[change.number]
            due = change.accepted_at + IN_FORCE_BOUND_S
            if due > sightings[-1].at or history.was_disturbed(
                name, change.accepted_at - 1, due, EXCUSING_FAULTS
            ):
                continue
            reached = [s.at for s in sightings if order[s.number] >= place]
            delay = min(reached, default=NEVER) - change.accepted_at
            delays.append(delay)
            verdict.check(
                delay <= IN_FORCE_BOUND_S,
                f"{name}: {change} in force after {delay:.1f} s",
            )
    if delays:
        verdict.notes.append(
            f"{len(accepted)} accepted, {len(history.refused_changes)} refused,"
            f" slowest in force {max(delays):.2f} s"
        )
    return verdict


def watches(evidence):
    """12: each watch delivers events 1, 2, 3 ... without gaps across resumes."""
    verdict = Verdict("12 watches: no event lost or doubled over resumes")
    for watch in evidence.history.watches:
        expected = list(range(1, len(watch.events) + 1))
        verdict.checks += len(watch.events)
        for point, last in watch.points:
            verdict.check(
                [point] == (last or [0]), f"{watch.subject}: {point} after {last}"
            )
        if watch.events != expected:
            wrong = next(
                i for i, (a, b) in enumerate(zip(watch.events, expected, strict=True))
                if a != b
            )  # fmt: skip
            verdict.violations.append(
                f"{watch.subject} after {watch.resumes} resumes: "
                f"{watch.events[max(wrong - 2, 0) : wrong + 3]}"
            )
        verdict.notes.append(
            f"{watch.subject}: {len(watch.events)} of {watch.total} events,"
            f" {watch.resumes} connections"
        )
    return verdict


def alive(evidence, logs, exits):
    """13: no instance ended by itself or logged a traceback."""
    verdict = Verdict("13 no instance aborted, no tracebacks")
    for name, status in exits.items():
        verdict.check(status is None, f"{name} ended with status {status}")
    for text in evidence.history.unexpected_exits:
        verdict.check(False, text)
    failed = 0
    for name, lines in logs.items():
        bad = [
            i
            for i, line in enumerate(lines)
            if line.startswith("Traceback") or '"exception":' in line
        ]
        verdict.check(
            not bad,
            lambda n=name, ls=lines, b=bad: f"{n}: {' | '.join(ls[b[0] :][:14])}",
        )
        failed += sum("step failed" in line for line in lines)
    verdict.notes.append(f"step failed lines: {failed}")
    return verdict


def judge(evidence, last_orders, last_jobs, logs, exits):
    return [
        within_capacity(evidence),
        guards_unused(evidence),
        no_overlap(evidence),
        at_most_once(evidence),
        resumed_once(evidence),
        whole_answers(evidence),
        not_run(evidence, ("order", "ask"), "6 reported not_run: no start in any log"),
        not_run(evidence, ("quote",), "6b quote reported not_run: no start in any log"),
        completed(evidence),
        nothing_lost(evidence, last_orders),
        jobs_end(last_jobs),
        leaving(evidence),
        graceful(evidence),
        settings(evidence),
        watches(evidence),
        alive(evidence, logs, exits),
    ]


def table_of(verdicts):
    lines = [f"{'promise':55} {'checks':>7} {'broken':>7}  state"]
    for v in verdicts:
        lines.append(f"{v.promise:55} {v.checks:7} {len(v.violations):7}  {v.state}")
        lines += [f"    ! {text[:600]}" for text in v.violations[:MAX_SHOWN]]
        lines += [f"    - {text}" for text in v.notes]
    return "\n".join(lines)
