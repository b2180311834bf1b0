"""A burst of jobs on a queue with advice, and then the usual traffic for a while."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "bed-3"))

import bed  # noqa: E402

WORKERS, CORES = 8, 16
#: A call for advice on all workers takes 0.24 s, so 4.2 steps a second can be asked
#: about. The lifetime of a ticket is that of the bench's example.
ADVICE = {"decide_ms": 200, "each_ms": 5, "valid_ms": 3000}
#: Jobs a second, each one task of 0.2 s; factor and seconds of the burst.
RATE = 3.0
BURST_X, BURST_S = 2.6, 4.0
#: Seconds of traffic before the burst, and after its begin.
BEFORE_S, AFTER_S = 8.0, 48.0
#: Bound `finish_s`, and the seconds for which nothing runs that the rule names.
FINISH_S, IDLE_S = 14.0, 3.0


def hand_in(run, job, number, answers):
    instance = list(run.fronts)[number % len(run.fronts)]
    step = {"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 200}
    status, _ = run.ask(instance, "POST", job, {"spec": "0.2", "steps": [step]})
    answers[job] = status
    run.lines.write(f"{time.monotonic() - run.began:7.2f}  POST {job}: {status}\n")


def case(run):
    run.start_store()
    run.start_advisor()
    for number in range(WORKERS):
        run.start_worker(f"w-{number}", bed.free_address(), cores=CORES)
    run.start_instances(3)
    time.sleep(4.0)
    answers, callers = {}, []
    began, due, number = time.monotonic(), 0.0, 0
    while due < BEFORE_S + AFTER_S:
        time.sleep(max(began + due - time.monotonic(), 0.0))
        number += 1
        job = f"{number:016x}"
        callers.append(
            threading.Thread(target=hand_in, args=(run, job, number, answers))
        )
        callers[-1].start()
        in_burst = run.trouble and BEFORE_S <= due < BEFORE_S + BURST_S
        due += 1 / (RATE * (BURST_X if in_burst else 1.0))
    for caller in callers:
        caller.join()
    accepted = {job for job, status in answers.items() if status == 200}
    run.note(f"{len(answers)} jobs handed in, {len(accepted)} accepted")
    run.note(f"not begun at the end of the traffic: {len(accepted - begun(run))}")
    time.sleep(FINISH_S)
    waiting = accepted - begun(run)
    run.note(f"not begun {FINISH_S:.0f} s later: {len(waiting)}")
    time.sleep(IDLE_S)
    waiting -= begun(run)
    states = sorted({run.state(job) for job in sorted(waiting)[:3]})
    calls = (run.logs / "advisor.log").read_text().count("answered")
    run.note(f"not begun {IDLE_S:.0f} s after that: {len(waiting)}, shown as {states}")
    run.note(f"calls that the advice service has answered: {calls}")
    run.note(f"lease: {run.lease()['holder']}, token {run.lease()['token']}")
    if not waiting:
        return ""
    return (
        f"LOST: {len(waiting)} accepted jobs have nothing running"
        f" {FINISH_S + IDLE_S:.0f} s after the last one was handed in, at workers with"
        f" {WORKERS * CORES} cores, of which at most {0.5 * len(waiting):.1f} are wanted"
    )


def begun(run):
    """Return the jobs of which a worker has started a task."""
    return {fact["task"][:16] for fact in run.runs() if fact["event"] == "start"}


bed.play(FOLDER, case, advice=ADVICE)
