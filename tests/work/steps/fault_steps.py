import collections
import concurrent.futures
import json
import signal
import time

from behave import then, when
from tests.support import stage, teams

TOKEN = "fuel-desk-token"


def send(context, instance, method, path, body=None, **headers):
    headers = teams.bearer(TOKEN, **headers)
    return context.stage.call(instance, method, path, body, headers, timeout=30)


def order(context, instance, request_id, seconds=0.05, timeout=10):
    return send(
        context, instance, "POST", "/v1/services/fuel/release",
        {"tail": request_id, "work_seconds": seconds},
        Request_Id=request_id, Request_Timeout=timeout,
    )  # fmt: skip


def cancel(context, instance, request_id):
    return send(context, instance, "DELETE", f"/v1/work/{request_id}")


def outcome_at(context, instance, request_id):
    """Poll for the final outcome as a caller would, and return it."""

    last = []

    def final():
        answer = send(context, instance, "GET", f"/v1/work/{request_id}")
        last[:] = [answer.body]
        if answer.status == 404:
            last.append(order(context, instance, request_id).body)
        reported = answer.json()
        return (
            reported if answer.status == 200 and not reported["retry_after"] else None
        )

    try:
        return stage.wait_until(final, 20)
    except AssertionError as exc:
        raise AssertionError(f"{request_id} unsettled: {last}") from exc


def starts(context):
    return collections.Counter(
        entry["task_id"].partition("/")[2]
        for entry in context.stage.execution_log()
        if entry["event"] == "start"
    )


def together(calls):
    """Make all calls concurrently and return their answers."""
    with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
        return [f.result() for f in [pool.submit(*call) for call in calls]]


@when("{count:d} releases are each ordered at both instances while answers are lost")
def order_twice(context, count, under="work/"):
    context.ids = [f"lost-{under}{n}".replace("/", "-") for n in range(count)]
    context.stage.faults(lose_answers=0.5, lose_under=under)
    context.answers = together(
        [(order, context, i, r) for r in context.ids for i in context.pair]
    )
    context.stage.faults(lose_answers=0.0)


@when(
    "{count:d} releases are each ordered at both instances while all answers are lost"
)
def order_twice_under_all(context, count):
    order_twice(context, count, under="")


@when(
    'a release of {seconds:d} seconds and a job "{job}" of {tasks:d} tasks '
    "run at one instance"
)
def hold(context, seconds, job, tasks):
    context.ids, context.answers = [job], []
    submit_job(context, job, tasks)
    order(context, context.pair[0], job, seconds, timeout=0.5)
    assert starts(context)[job] == 1


@when(
    '{count:d} releases of {seconds:d} seconds and a job "{job}" of {tasks:d} tasks run'
)
def run_all(context, count, seconds, job, tasks):
    context.ids, context.answers = [f"{job}-{n}" for n in range(count)], []
    submit_job(context, job, tasks)
    together(
        [
            (order, context, context.pair[n % 2], r, seconds, 0.5)
            for n, r in enumerate(context.ids)
        ]
    )
    assert all(starts(context)[r] == 1 for r in context.ids), starts(context)


def submit_job(context, job, tasks):
    body = {
        "job_id": job, "kind": "batch.tabulate", "tasks": tasks,
        "needs": {"cpus": 4, "memory_gb": 2}, "body": {"work_seconds": 2.0},
    }  # fmt: skip
    answer = send(context, context.pair[0], "POST", "/v1/jobs", body)
    assert answer.status == 201, answer


@when("that instance is frozen until the other has adopted the release, then resumed")
def freeze_holder(context):
    request_id = context.ids[0]
    holder = row_of(context, request_id)["holder"]
    (other,) = set(context.pair) - {holder}
    context.stage.freeze(holder)
    stage.wait_until(lambda: row_of(context, request_id)["holder"] == other, 30)
    context.stage.thaw(holder)


def row_of(context, request_id):
    path = f"/rows?prefix=work/fuel-desk/{request_id}"
    rows = stage.call(context.stage.platform, "GET", path).json()
    found = {row["key"].rpartition("/")[2]: row["value"] for row in rows}
    return json.loads(found[request_id])


@then("both instances return the same end of the release, after one start")
def one_end(context):
    same_outcome(context)
    log_agrees(context)
    assert context.reported[context.ids[0]]["outcome"] == "completed", context.reported


@then('the job "{job}" ends with each of its {tasks:d} tasks completed once')
def job_ends(context, job, tasks):
    def state(instance):
        return send(context, instance, "GET", f"/v1/jobs/{job}").json()

    for instance in context.pair:
        stage.wait_until(lambda i=instance: state(i)["state"] == "completed", 30, job)
        assert state(instance)["completed"] == tasks, state(instance)
    done = collections.Counter(
        entry["task_id"].split(".")[1]
        for entry in context.stage.execution_log()
        if entry["event"] == "end"
        and entry["state"] == "done"
        and entry["task_id"].startswith(f"fuel-desk/{job}.")
    )
    assert done == {str(n): 1 for n in range(tasks)}, done


@when("the table is down for {seconds:d} seconds, during which the releases end")
def outage(context, seconds):
    context.stage.faults(table="down")
    up_at = time.monotonic() + seconds

    def ended():
        log = context.stage.execution_log()
        return {e["task_id"].partition("/")[2] for e in log if e["event"] == "end"}

    stage.wait_until(lambda: ended() >= set(context.ids), seconds)
    time.sleep(max(up_at - time.monotonic(), 0))


@when("{count:d} releases are ordered and cancelled at the other instance at once")
def cancel_burst(context, count):
    context.ids = [f"burst-{n}" for n in range(count)]
    calls = [(order, context, context.pair[0], r, 0.3) for r in context.ids]
    calls += [(cancel, context, context.pair[1], r) for r in context.ids]
    context.random.shuffle(calls)
    context.answers = together(calls)


@then("each of them ends with the same outcome everywhere")
def same_outcome(context):
    context.reported = {}
    for request_id in context.ids:
        one, *others = [outcome_at(context, i, request_id) for i in context.pair]
        assert all(one == other for other in others), (one, others)
        context.reported[request_id] = one
    for answer in context.answers:
        reported = answer.json()
        if answer.status == 200:
            assert reported == context.reported[reported["request_id"]], reported
    print(collections.Counter(t["state"] for t in context.reported.values()))


@then("no release started twice, nor one that was called not_run")
def log_agrees(context):
    count = starts(context)
    for request_id, reported in context.reported.items():
        assert count[request_id] == (reported["outcome"] != "not_run"), reported


@when("a release is ordered whose start's answer is lost")
def lose_start(context):
    for worker in context.stage.workers:
        context.stage.worker_faults(worker, lose_starts=True)
    context.request_id = "lost-start"
    context.answer = order(context, context.pair[0], "lost-start", 0.5)
    for worker in context.stage.workers:
        context.stage.worker_faults(worker, lose_starts=False)


@then("it completes with one start")
def completes(context):
    reported = context.answer.json()
    assert reported.get("outcome") == "completed", context.answer
    assert reported["answer"]["echo"]["tail"] == context.request_id
    assert starts(context)[context.request_id] == 1


@when("a release runs for {seconds:d} seconds and its instance is killed")
def kill_holder(context, seconds):
    context.request_id = "adopted"
    order(context, context.pair[0], "adopted", seconds, timeout=0.5)
    assert starts(context)["adopted"] == 1
    context.stage.signal(context.pair[0], signal.SIGKILL)
    context.stage.processes[context.pair[0]].wait()


@then("the other instance returns its answer, after one start")
def other_returns(context):
    context.answer = order(context, context.pair[1], "adopted", 6, timeout=25)
    completes(context)


def takes_orders(context):
    """Return whether both instances complete releases after a restart of workers."""
    ids = [(i, f"probe-{i}-{time.monotonic_ns()}") for i in context.pair]
    return all(
        order(context, i, r).json().get("outcome") == "completed" for i, r in ids
    )


@when("a release is ordered whose start's answer {comes}, and its worker restarts")
def restart_worker(context, comes):
    context.request_id = f"forgotten-{comes[0:2]}"
    faults = {"lose_starts": comes == "is lost"}
    for worker in context.stage.workers:
        context.stage.worker_faults(worker, **faults)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        pool.submit(order, context, context.pair[0], context.request_id, 20, 0.5)
        started = stage.wait_until(lambda: starts(context)[context.request_id], 10)
    assert started == 1
    process = next(iter(context.stage.worker_hosts.values()))
    context.stage.kill(process)
    context.stage.restart(process)
    stage.wait_until(lambda: takes_orders(context), 20, "workers back")


@then('it is reported "{outcome}" everywhere for good, after one start')
def reported_for_good(context, outcome):
    reported = [outcome_at(context, i, context.request_id) for i in context.pair]
    assert {(t["outcome"], t["reason"]) for t in reported} == {(outcome, "worker_lost")}
    # The log is that of the restarted process: the release did not start again.
    assert starts(context)[context.request_id] == 0


@when("a release of {seconds:d} seconds is cancelled while orders to stop are lost")
def cancel_with_lost_stops(context, seconds):
    context.request_id = "stopped"
    order(context, context.pair[0], context.request_id, seconds, timeout=0.5)
    assert starts(context)[context.request_id] == 1
    for worker in context.stage.workers:
        context.stage.worker_faults(worker, lose_voids=True)
    answer = cancel(context, context.pair[1], context.request_id)
    assert answer.json()["retry_after"], answer
    time.sleep(1.0)
    for worker in context.stage.workers:
        context.stage.worker_faults(worker, lose_voids=False)


@then('it is reported "{state}" everywhere after one start')
def reported_state(context, state):
    reported = [outcome_at(context, i, context.request_id) for i in context.pair]
    assert {t["state"] for t in reported} == {state}, reported
    assert starts(context)[context.request_id] == 1


@when('the unused id "{request_id}" is cancelled, then ordered')
def cancel_early(context, request_id):
    context.request_id = request_id
    cancel(context, context.pair[1], request_id)
    context.answer = order(context, context.pair[0], request_id)


@then('the order is reported "{outcome}", and nothing started')
def reported_not_run(context, outcome):
    assert context.answer.json()["outcome"] == outcome, context.answer
    assert starts(context)[context.request_id] == 0


@when("a release is ordered while the table is down")
def table_down(context):
    # A unique id: an earlier scenario may have used a fixed one and lost its log.
    context.request_id = f"outage-{time.monotonic_ns()}"
    context.stage.faults(table="down")
    context.answer = order(context, context.pair[0], context.request_id)


@then('it is refused as "{title}" with a time to come back')
def refused(context, title):
    assert context.answer.status == 503, context.answer
    reported = context.answer.json()
    assert (reported["title"], reported["outcome"]) == (title, "unknown"), reported
    assert float(context.answer.headers["retry-after"]) > 0


@when("the table is back")
def table_back(context):
    context.stage.faults(table="up")
    context.stage.wait_ready(*context.pair)


@then("the same release completes with one start")
def repeat_completes(context):
    def completed():
        context.answer = order(context, context.pair[0], context.request_id)
        return context.answer.status == 200

    stage.wait_until(completed, 20, "release after the outage")
    completes(context)


@when("a release is ordered at an instance without workers")
def order_elsewhere(context):
    context.stage.start_instance("taraz-0", "taraz")
    context.request_id = "forwarded"

    def answered():
        context.answer = order(context, "taraz-0", "forwarded")
        return context.answer.status == 200

    stage.wait_until(answered, 20, "release through a peer")


@when("releases run on {count:d} workers and an instance joins")
def join(context, count):
    context.stage.start_workers("shymkent", count - len(context.stage.workers))
    context.ids, context.answers = [f"join-{n}" for n in range(4 * count)], []

    def busy():
        log = context.stage.execution_log()
        return {e["worker"] for e in log if e["task_id"].startswith("fuel-desk/join-")}

    def spread():
        left = [r for r in context.ids if not starts(context)[r]]
        for number, request_id in enumerate(left):
            instance = context.pair[number % 2]
            order(context, instance, request_id, 15, timeout=0.2)
        return not left and len(busy()) == count

    stage.wait_until(spread, 15, "releases on all workers")
    context.stage.start_instance("shymkent-2", "shymkent")
    context.stage.wait_ready("shymkent-2")
    context.pair.append("shymkent-2")


@then("it adopts some of the releases")
def adopts(context):
    def held():
        rows = [row_of(context, request_id) for request_id in context.ids]
        return [r for r in rows if r["holder"] == "shymkent-2"]

    stage.wait_until(held, 15, "adoption by the instance that joined")
