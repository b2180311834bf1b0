import gevent
import result
from behave import given, then, when
from tests.support import stage

from mangosail.platform import caller, errors, http, table


@given("a platform that loses every answer of the table")
def lose_answers(context):
    context.stage.faults(lose_answers=1.0)
    context.rows = http.HttpTable(caller.Caller(context.stage.platform))


@when("{count:d} commits are sent at once")
def commit(context, count):
    writes = [(table.Write(f"key/{number}", "{}"),) for number in range(count)]
    commits = [
        gevent.spawn(context.rows.commit, table.Transaction((), write))
        for write in writes
    ]
    gevent.joinall(commits)
    context.answers = [greenlet.get() for greenlet in commits]


@then("each of them is uncertain")
def all_uncertain(context):
    for answer in context.answers:
        assert isinstance(answer.err_value, errors.Uncertain), answer


@when("the platform answers again")
def answers_again(context):
    context.stage.faults(lose_answers=0.0)


@then("{count:d} reads sent at once are answered")
def reads_answered(context, count):
    reads = [gevent.spawn(context.rows.read, ["key/1"]) for _ in range(count)]
    gevent.joinall(reads, timeout=3.0)
    for greenlet in reads:
        assert greenlet.ready(), "a read did not finish within 3 s"
        assert isinstance(greenlet.get(), result.Ok), greenlet.get()


@given('a platform that lists the worker "{name}"')
def list_worker(context, name):
    entry = {"name": name, "data_centre": "dc", "rack": "r", "address": "127.0.0.1:9"}
    entry["capacity"] = {"cpus": 8}
    stage.call(context.stage.platform, "PUT", f"/inventory/workers/{name}", entry)
    calls = caller.Caller(context.stage.platform)
    context.sent = []
    call = calls.call

    def recorded(*args, **options):
        answer = call(*args, **options)
        context.sent.append(len(answer.ok_value.body))
        return answer

    calls.call = recorded
    context.inventory = http.HttpInventory(calls)
    stage.wait_until(lambda: standings(context) == {name: "live"}, what="listed")


def standings(context):
    return {w.name: w.standing for w in context.inventory.fetch().ok_value.workers}


@when("the list is fetched twice")
def fetch_twice(context):
    context.sent.clear()
    context.inventory.etag = ""
    context.fetched = [standings(context), standings(context)]


@then('both times it has "{name}" live, and the second time it was not sent')
def second_not_sent(context, name):
    assert context.fetched == [{name: "live"}] * 2, context.fetched
    assert context.sent[0] > 0 and context.sent[1] == 0, context.sent


@when('"{name}" is leaving')
def leave(context, name):
    path = f"/inventory/workers/{name}"
    stage.call(context.stage.platform, "PUT", path, {"standing": "leaving"})


@then("the fetched list shows it as leaving")
def fetched_leaving(context):
    stage.wait_until(lambda: "leaving" in standings(context).values(), what="leaving")
