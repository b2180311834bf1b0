import collections
import json
import time

from behave import given, then, when
from tests.support import stage, teams

SLOW_SECONDS = 0.4
HEADERS = teams.bearer("fuel-desk-token")


def job(job_id, tasks, cpus=6, **body):
    needs = {"cpus": cpus, "memory_gb": 2}
    return {
        "job_id": job_id,
        "kind": "batch.tabulate",
        "tasks": tasks,
        "needs": needs,
        "body": body,
    }


def post(context, instance, body):
    context.job = body
    answer = context.stage.call(instance, "POST", "/v1/jobs", body, HEADERS)
    context.answers = [*getattr(context, "answers", []), answer]
    return answer


def progress(context, instance, job_id):
    path = f"/v1/jobs/{job_id}"
    return context.stage.call(instance, "GET", path, headers=HEADERS).json()


def entries(context, job_id, event):
    """Return (task index, entry) of the workers' log entries for a job's tasks."""
    prefix = f"fuel-desk/{job_id}."
    return [
        (int(entry["task_id"].removeprefix(prefix).split(".")[0]), entry)
        for entry in context.stage.execution_log()
        if entry["event"] == event and entry["task_id"].startswith(prefix)
    ]


@when(
    'a job "{job_id}" of {tasks:d} tasks of {seconds:g} seconds '
    'is submitted to "{instance}"'
)
def submit(context, job_id, tasks, seconds, instance):
    post(context, instance, job(job_id, tasks, work_seconds=seconds))


@when('a job "{job_id}" of {tasks:d} tasks that fail is submitted to "{instance}"')
def submit_failing(context, job_id, tasks, instance):
    post(context, instance, job(job_id, tasks, work_seconds=0.1, fail=True))


@when(
    'a job "{job_id}" of {tasks:d} tasks with {cpus:d} cores '
    'is submitted to "{instance}"'
)
def submit_big(context, job_id, tasks, cpus, instance):
    post(context, instance, job(job_id, tasks, cpus, work_seconds=0.5))


def workers_of(context, instance):
    status = context.stage.call(instance, "GET", "/v1/status", headers=HEADERS)
    return status.json()["workers"]


@given('"{without}" has no worker and "{owner}" has one')
def owned_by(context, without, owner):
    stage.wait_until(
        lambda: (
            len(workers_of(context, owner)) == 1 and not workers_of(context, without)
        ),
        what=f"{owner} owns the worker",
    )


@when('the same job is submitted to "{instance}"')
def submit_again(context, instance):
    post(context, instance, context.job)


@when('the job "{job_id}" is submitted with {tasks:d} tasks')
def submit_other(context, job_id, tasks):
    post(context, "shymkent-1", {**context.job, "tasks": tasks})


@then("the answers are {statuses}")
def answered(context, statuses):
    got = [str(answer.status) for answer in context.answers]
    assert got == statuses.split(", "), [(a.status, a.body) for a in context.answers]


@then(
    'every instance sees "{job_id}" "{state}" with {done:d} of {tasks:d} tasks '
    "within {seconds:d} seconds"
)
def reports_progress(context, job_id, state, done, tasks, seconds):
    expected = (state, done, tasks)

    def matches(instance):
        last = progress(context, instance, job_id)
        context.last = last
        return (last.get("state"), last.get("completed"), last.get("tasks")) == expected

    deadline = time.monotonic() + seconds
    for instance in context.stage.instances:
        if context.stage.processes[instance].poll() is None:
            left = max(deadline - time.monotonic(), 2)
            try:
                stage.wait_until(lambda i=instance: matches(i), left, job_id)
            except AssertionError as exc:
                raise AssertionError(f"{exc}; last seen: {context.last}") from exc


@then('every index of "{job_id}" completed exactly once')
def completed_once(context, job_id):
    ends = entries(context, job_id, "end")
    done = collections.Counter(i for i, e in ends if e["state"] == "done")
    tasks = range(context.answers[0].json()["tasks"])
    assert done == dict.fromkeys(tasks, 1), done
    running = {}
    events = entries(context, job_id, "start") + ends
    for index, entry in sorted(events, key=lambda pair: pair[1]["at"]):
        if entry["event"] == "start":
            assert index not in running, (running[index], entry)
            running[index] = entry
        else:
            running.pop(index)


@when("invalid jobs are submitted")
def submit_invalid(context):
    context.rows = list(context.table)
    context.answers = []
    for row in context.rows:
        body = job("faulty", 3)
        value = stage.json.loads(row["value"])
        name, _, part = row["field"].partition(".")
        body[name] = {**body[name], part: value} if part else value
        post(context, "shymkent-0", body)


@then("each answer names the field, the value and what was expected")
def names_field(context):
    for row, answer in zip(context.rows, context.answers, strict=True):
        assert answer.status == int(row["status"]), (row, answer)
        assert answer.json()["title"] == row["title"], (row, answer)
        description = answer.json()["description"]
        value = repr(stage.json.loads(row["value"]))
        assert row["field"] in description, (row, answer)
        assert value in description and "expected" in description, (row, answer)


@when('{count:d} tasks of "{job_id}" have completed and "{instance}" is killed')
def kill_holder(context, count, job_id, instance):
    stage.wait_until(lambda: len(entries(context, job_id, "end")) >= count, 20)
    context.stage.kill(instance)


@when('{count:d} tasks of "{job_id}" run and it is deleted at "{instance}"')
def delete(context, count, job_id, instance):
    stage.wait_until(lambda: len(entries(context, job_id, "start")) >= count, 20)
    path = f"/v1/jobs/{job_id}"
    answer = context.stage.call(instance, "DELETE", path, headers=HEADERS)
    assert answer.status in (200, 202), answer


@when(
    '{count:d} tasks of "{job_id}" run and it is deleted '
    "while orders to stop are lost for {seconds:d} seconds"
)
def delete_with_lost_stops(context, count, job_id, seconds):
    stage.wait_until(
        lambda: progress(context, "shymkent-0", job_id).get("running") == count, 20
    )
    # By then the starts have been answered too, so no order is in flight.
    time.sleep(1.0)
    for worker in context.stage.workers:
        context.stage.worker_faults(worker, lose_voids=True)
    delete(context, count, job_id, "shymkent-0")
    time.sleep(seconds)
    for worker in context.stage.workers:
        context.stage.worker_faults(worker, lose_voids=False)


@then('no task of "{job_id}" runs or starts any more')
def stopped(context, job_id):
    starts = entries(context, job_id, "start")
    ends = entries(context, job_id, "end")
    assert len(starts) == len(ends) > 0, (len(starts), len(ends))
    assert starts[-1][1]["at"] <= ends[-1][1]["at"]


@then('fewer than {count:d} tasks of "{job_id}" were started')
def started_fewer(context, count, job_id):
    assert 0 < len(entries(context, job_id, "start")) < count


@then('"{job_id}" is still running')
def still_running(context, job_id):
    last = progress(context, "shymkent-0", job_id)
    assert last["state"] == "running", last


@when(
    '{count:d} tasks of "{job_id}" run and an urgent job "{urgent}" '
    "of 1 task is submitted"
)
def submit_urgent(context, count, job_id, urgent):
    stage.wait_until(lambda: len(entries(context, job_id, "start")) >= count, 20)
    context.submitted_at = time.time()
    # More cores than the headroom that batch leaves to quotes, so that evictions
    # are necessary.
    urgent_job = {**job(urgent, 1, 12, work_seconds=0.2), "urgent": True}
    post(context, "shymkent-0", urgent_job)


@when(
    '{count:d} tasks of "{job_id}" run and the table is slow '
    'when an urgent job "{urgent}" evicts'
)
def evict_slowly(context, count, job_id, urgent):
    stage.wait_until(lambda: len(entries(context, job_id, "start")) >= count, 20)
    context.stage.faults(table="slow", slow_seconds=SLOW_SECONDS)
    submit_urgent(context, count, job_id, urgent)


@when("the instance is killed between a checkpoint and the update of the row")
def kill_between(context):
    stored = stage.wait_until(lambda: entries(context, "bulk", "checkpoint"), 20)
    task_id = stored[0][1]["task_id"]
    context.stage.faults(table="down")
    context.stage.kill(row_of(context, task_id)["holder"])
    # By then, writes that the instance had sent to the slow table are refused.
    time.sleep(2 * SLOW_SECONDS)
    row = row_of(context, task_id)
    assert (row["state"], row["checkpoint"]) == ("claimed", ""), row
    context.stage.faults(table="up")


def row_of(context, task_id):
    path = f"/rows?prefix=work/{task_id}"
    return json.loads(
        stage.call(context.stage.platform, "GET", path).json()[0]["value"]
    )


@then('the first task of "{job_id}" started within {seconds:g} seconds')
def started_within(context, job_id, seconds):
    first = stage.wait_until(lambda: entries(context, job_id, "start"), 20)[0][1]
    took = first["at"] - context.submitted_at
    assert took <= seconds, took


@then('{count:d} task of "{job_id}" was evicted')
def evicted(context, count, job_id):
    stored = entries(context, job_id, "checkpoint")
    assert len(stored) == count, stored


@then('a task of "{job_id}" was resumed from a checkpoint')
def resumed(context, job_id):
    starts = [e for _, e in entries(context, job_id, "start") if e["generation"] > 1]
    assert starts and all(e["done_seconds"] > 0 for e in starts), starts


@then('{count:d} tasks of "{job_id}" were started')
def started_count(context, count, job_id):
    assert len(entries(context, job_id, "start")) == count, entries(
        context, job_id, "start"
    )


@given('each instance has one worker, and that of "{instance}" fails all it runs')
def sick_worker(context, instance):
    stage.wait_until(
        lambda: all(len(workers_of(context, i)) == 1 for i in context.stage.instances),
        what="one worker for each instance",
    )
    (worker,) = workers_of(context, instance)
    context.sick = worker["name"]
    context.stage.worker_faults(context.sick, fail_all=True)


@when('{count:d} attempts of "{job_id}" have failed and the worker is well again')
def worker_well(context, count, job_id):
    stage.wait_until(lambda: len(entries(context, job_id, "end")) >= count, 20)
    context.stage.worker_faults(context.sick, fail_all=False)


@when(
    'a job "{job_id}" of {tasks:d} tasks of {seconds:g} seconds '
    'with {cpus:d} cores is submitted to "{instance}"'
)
def submit_small(context, job_id, tasks, seconds, cpus, instance):
    post(context, instance, job(job_id, tasks, cpus, work_seconds=seconds))


@then('every instance gives "{reason}" as the reason of "{job_id}"')
def gives_reason(context, reason, job_id):
    for instance in context.stage.instances:
        answer = progress(context, instance, job_id)
        assert answer["reason"] == reason, (instance, answer)
