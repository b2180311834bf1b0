from behave import given, then, when
from tests.support import stage, teams

TOKEN = "fuel-desk-token"
NAME = "shymkent-0"


@given("one instance with three workers")
def start(context):
    context.stage = stage.Stage()
    context.add_cleanup(context.stage.close)
    context.stage.start_platform()
    context.stage.write_settings("fuel-desk", teams.example("fuel-desk"))
    context.names = context.stage.start_workers("shymkent", 3)
    context.stage.start_instance(NAME, "shymkent", env={"MANGOSAIL_SEED": "7"})
    context.stage.wait_ready()
    stage.wait_until(lambda: len(status(context)["workers"]) == 3, what="workers")


def status(context):
    headers = teams.bearer(TOKEN)
    return context.stage.call(NAME, "GET", "/v1/status", headers=headers).json()


def ask(context, seconds=0.01, **headers):
    return context.stage.call(
        NAME,
        "POST",
        "/v1/services/fuel/quote",
        {"work_seconds": seconds},
        teams.bearer(TOKEN, **headers),
    )


def log_of_first(context, event):
    return [
        entry
        for entry in context.stage.execution_log()
        if entry["worker"] == context.names[0] and entry["event"] == event
    ]


@when("{count:d} quotes are asked for")
def ask_many(context, count):
    context.answers = [ask(context) for _ in range(count)]


@when("the first worker fails everything")
def fail_all(context):
    context.stage.worker_faults(context.names[0], fail_all=True)


@then("all were answered")
def all_answered(context):
    assert {answer.status for answer in context.answers} == {200}, context.answers


@then("at most {count:d} tasks failed on the first worker")
def few_failed(context, count):
    failed = [e for e in log_of_first(context, "end") if e["state"] == "failed"]
    assert 0 < len(failed) <= count, len(failed)


@when("the first worker recovers")
def recover(context):
    context.stage.worker_faults(context.names[0], fail_all=False)


@then("it carries quotes again within {seconds:d} seconds")
def carries(context, seconds):
    before = len(log_of_first(context, "start"))

    def done():
        ask_many(context, 10)
        return len(log_of_first(context, "start")) >= before + 10

    stage.wait_until(done, seconds, "quotes on the first worker")


@when("quotes that take {long:g} seconds are asked for with {left:g} seconds left")
def ask_late(context, long, left):
    for _ in range(12):
        assert ask(context, long).status == 200
    context.answers = [ask(context, long, Request_Timeout=left)]


@then('the last is answered {code:d} "{title}" at once, with a retry-after time')
def refused_at_once(context, code, title):
    answer = context.answers[-1]
    assert answer.status == code, answer
    assert answer.json()["title"] == title
    assert answer.seconds < 0.1, answer
    assert float(answer.headers["retry-after"]) > 0


def submit(context, count, cpus):
    job = {
        "job_id": f"j-{cpus}",
        "kind": f"batch.{cpus}",
        "tasks": count,
        "needs": {"cpus": cpus, "memory_gb": 2, "slots": 1},
        "body": {"work_seconds": 0.1},
    }
    context.job_id = job["job_id"]
    return context.stage.call(NAME, "POST", "/v1/jobs", job, teams.bearer(TOKEN))


@when(
    "a job of {count:d} tasks that need {cpus:d} cpus is refused "
    '{code:d} "{title}" permanently'
)
def submit_refused(context, count, cpus, code, title):
    answer = submit(context, count, cpus)
    assert (answer.status, answer.json()["title"]) == (code, title), answer
    assert "retry-after" not in answer.headers


@when("a job of {count:d} tasks that need {cpus:d} cpus is submitted")
def submit_accepted(context, count, cpus):
    answer = submit(context, count, cpus)
    assert answer.status == 201, answer


@then("{count:d} of its tasks complete")
def job_completes(context, count):
    path = f"/v1/jobs/{context.job_id}"

    def done():
        answer = context.stage.call(NAME, "GET", path, headers=teams.bearer(TOKEN))
        return answer.json()["completed"] == count

    stage.wait_until(done, 10, "job completed")
