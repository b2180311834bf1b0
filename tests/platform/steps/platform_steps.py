import gevent
import result
from behave import given, then, when

from mangosail.platform import errors, http, table


@given("a platform that loses every answer of the table")
def lose_answers(context):
    context.stage.faults(lose_answers=1.0)
    context.rows = http.HttpTable(http.Caller(context.stage.platform, "tester"))


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
        assert greenlet.ready(), "a read never came back"
        assert isinstance(greenlet.get(), result.Ok), greenlet.get()
