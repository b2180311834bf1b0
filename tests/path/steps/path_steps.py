import json

from behave import then, when
from tests.support import stage, teams

TOKEN = "fuel-desk-token"


def headers(**extra):
    return teams.bearer(TOKEN, **extra)


def order(context, instance, request_id, litres=4000):
    return context.stage.call(
        instance,
        "POST",
        "/v1/services/fuel/release",
        {"tail": "UP-B3701", "litres": litres, "work_seconds": 0.2},
        headers(Request_Id=request_id),
    )


@when("a dispatcher asks every instance for a quote")
def ask_all(context):
    context.answers = {
        name: context.stage.call(
            name,
            "POST",
            "/v1/services/fuel/quote",
            {"tail": name},
            headers(Request_Id=f"q-{name}"),
        )
        for name in context.stage.instances
    }


@then("each answer contains its own request")
def own_answers(context):
    for name, answer in context.answers.items():
        assert answer.status == 200, (name, answer)
        assert answer.json()["echo"] == {"tail": name}
        assert answer.headers["request-id"] == f"q-{name}"


@when('a release "{request_id}" is ordered at one instance')
def order_first(context, request_id):
    context.first = order(context, "shymkent-0", request_id)
    context.request_id = request_id


@when("the same release is ordered at another instance")
def order_again(context):
    context.second = order(context, "taraz-1", context.request_id)


@when('the release "{request_id}" is ordered with another body')
def order_other(context, request_id):
    context.second = order(context, "taraz-1", request_id, litres=9999)


@then("both answers say that it completed")
def both_completed(context):
    for answer in (context.first, context.second):
        assert answer.json()["outcome"] == "completed", answer
    assert context.first.json() == context.second.json()


@then('the workers\' logs show one start of "{request_id}"')
def one_start(context, request_id):
    starts = context.stage.starts_of(f"fuel-desk/{request_id}")
    assert len(starts) == 1, starts


@then('the second is answered {status:d} "{title}"')
def second_refused(context, status, title):
    assert context.second.status == status, context.second
    assert context.second.json()["title"] == title


@when("a tail number with {count:d} events is watched")
def watch(context, count):
    context.subject = f"UP-B3701:{count}"
    context.events = read_events(context, 0)


@when("it is watched again after event {after:d}")
def watch_after(context, after):
    context.events = read_events(context, after)


def read_events(context, after):
    """Return the events, retrying while refused with Retry-After.

    An instance is ready once a peer can serve quotes for it, and may not own a worker
    yet, which a watch needs.
    """

    def open_watch():
        answer = context.stage.call(
            "taraz-0",
            "GET",
            f"/v1/watches/fuel/tail-watch?subject={context.subject}&after={after}",
            headers=headers(),
        )
        refused = answer.status == 503 and "retry-after" in answer.headers
        assert answer.status == 200 or refused, answer
        return None if refused else answer

    answer = stage.wait_until(open_watch, 10, "watch")
    return [json.loads(line) for line in answer.body.splitlines()]


@then("the events {first:d} to {last:d} come in order")
def events_in_order(context, first, last):
    assert [e["sequence"] for e in context.events] == list(range(first, last + 1))


@when("a job of {count:d} tasks is submitted")
def submit_job(context, count):
    job = {
        "job_id": "j-1",
        "kind": "batch.tabulate",
        "tasks": count,
        "needs": {"cpus": 4, "memory_gb": 4, "slots": 1},
        "body": {"work_seconds": 0.3},
    }
    answer = context.stage.call("shymkent-1", "POST", "/v1/jobs", job, headers())
    assert answer.status == 201, answer


@then("all {count:d} tasks complete within {seconds:d} seconds")
def job_completes(context, count, seconds):
    def done():
        answer = context.stage.call(
            "shymkent-1", "GET", "/v1/jobs/j-1", headers=headers()
        )
        return answer.json()["completed"] == count

    stage.wait_until(done, seconds, "job completed")
