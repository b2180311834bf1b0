import concurrent.futures
import itertools
import json
import time

import hypothesis
from behave import given, then, when
from hypothesis import strategies
from tests.support import stage, teams

from mangosail.dispatch import budget
from mangosail.front import attempts

TOKEN = "fuel-desk-token"
NUMBERS = itertools.count()


def quote(context, request_id=None, timeout=1.0, instance="shymkent-0"):
    number = next(NUMBERS)
    answer = context.stage.call(
        instance,
        "POST",
        "/v1/services/fuel/quote",
        {"tail": f"UP-{number}"},
        teams.bearer(
            TOKEN, Request_Id=request_id or f"q-{number}", Request_Timeout=timeout
        ),
    )
    if answer.status == 200:
        assert answer.json()["echo"] == {"tail": f"UP-{number}"}, answer
    return answer


def ask_concurrently(call, count):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        return [f.result() for f in [pool.submit(call) for _ in range(count)]]


def workers(context, which):
    names = list(context.stage.workers)
    return names if which == "all" else [names[int(which)]]


@given("{count:d} quotes asked at a time")
def learn_latency(context, count):
    # Enough quotes for their latency to be learned.
    for _ in range(4):
        answers = ask_concurrently(lambda: quote(context), count)
        assert all(answer.status == 200 for answer in answers), answers
    context.before = context.status()["counters"]


@when("the open connections of all workers go silent")
def silence(context):
    for worker in context.stage.workers:
        context.stage.worker_faults(worker, silence_open_connections=True)


@then("a new watch of {count:d} events receives them all within {seconds:g} s")
def watched(context, count, seconds):
    path = f"/v1/watches/fuel/tail-watch?subject=UP-{next(NUMBERS)}:{count}&after=0"
    bearer = teams.bearer(TOKEN)
    answer = context.stage.call("shymkent-0", "GET", path, headers=bearer, timeout=20)
    lines = [json.loads(line) for line in answer.body.splitlines() if line.strip()]
    sequences = [line.get("sequence") for line in lines]
    assert sequences == list(range(1, count + 1)), (
        answer,
        context.status()["counters"],
    )
    assert answer.seconds < seconds, answer


@when("worker {which} runs everything {times:g} times slower")
@when("{which} workers run everything {times:g} times slower")
def slow(context, which, times):
    for worker in workers(context, which):
        context.stage.worker_faults(worker, slow=times)


@when("the worker asked last runs everything {times:g} times slower")
def slow_asked(context, times):
    # Sequential quotes are placed on the worker with the lowest predicted latency.
    asked = quote(context).headers["mangosail-worker"]
    context.stage.worker_faults(asked, slow=times)


@when("worker {which} gives {answers} answers")
@when("{which} workers give {answers} answers")
def corrupt_answers(context, which, answers):
    for worker in workers(context, which):
        context.stage.worker_faults(worker, answers=answers)


@when("all workers are black-holed after starting")
def black_hole(context):
    for worker in context.stage.workers:
        context.stage.worker_faults(worker, slow=1000.0, black_hole=True)


@when("{count:d} of the workers answer nothing")
def answer_nothing(context, count):
    for worker in list(context.stage.workers)[:count]:
        context.stage.worker_faults(worker, black_hole=True)


@when("the black-holed workers recover")
def recover(context):
    for worker in context.stage.workers:
        context.stage.worker_faults(worker, slow=1.0, black_hole=False)


@then("{count:d} quotes one by one are answered, each within {seconds:g} s")
def answered(context, count, seconds):
    answers = [quote(context) for _ in range(count)]
    assert all(answer.status == 200 for answer in answers), answers
    context.seconds = [answer.seconds for answer in answers]
    assert max(context.seconds) < seconds, context.seconds


@then("at most {count:d} of them took longer than {seconds:g} s")
def few_slow(context, count, seconds):
    slow = [taken for taken in context.seconds if taken > seconds]
    assert len(slow) <= count, slow


@then(
    '{count:d} quotes are refused as "{title}", '
    "with at most {retries:d} retries and {hedges:d} hedges"
)
def refused(context, count, title, retries, hedges):
    context.before = context.status()["counters"]
    for _ in range(count):
        answer = quote(context)
        assert answer.status == 503, answer
        assert answer.json()["title"] == title, answer
        assert int(answer.headers["retry-after"]) >= 1
    assert 0 < total_growth(context, "front.retry.") <= retries
    assert total_growth(context, "front.hedge.") <= hedges


def total_growth(context, prefix):
    names = [name for name in context.status()["counters"] if name.startswith(prefix)]
    return sum(counter_growth(context, name) for name in names)


@then('a quote with {seconds:g} s left is refused {status:d} "{title}"')
def too_late(context, seconds, status, title):
    answer = quote(context, timeout=seconds)
    assert (answer.status, answer.json()["title"]) == (status, title), answer
    assert answer.seconds < seconds + 0.3, answer


def counter_growth(context, counter):
    return context.status()["counters"].get(counter, 0) - context.before.get(counter, 0)


@then('the counter "{counter}" has grown')
def grown(context, counter):
    stage.wait_until(lambda: counter_growth(context, counter) > 0, 3, counter)


@then('the counter "{counter}" has not grown')
def not_grown(context, counter):
    assert counter_growth(context, counter) == 0, context.status()["counters"]


def reserved(context):
    return sum(worker["used"]["slots"] for worker in context.status()["workers"])


@then("nothing stays reserved")
def nothing_reserved(context):
    stage.wait_until(lambda: reserved(context) == 0, 5, "ledgers empty")


@then("all workers take quotes again")
def all_taken(context):
    # More quotes than three of the four workers have slots for.
    def taken():
        answers = ask_concurrently(lambda: quote(context), 25)
        return all(answer.status == 200 for answer in answers)

    stage.wait_until(taken, 10, "workers taking quotes")


@then("something stays reserved")
def something_reserved(context):
    assert reserved(context) > 0


@then("{count:d} quotes with one request id at a time are all answered")
def repeated(context, count):
    answers = ask_concurrently(lambda: quote(context, request_id="same"), count)
    assert [answer.status for answer in answers] == [200] * count, answers


@then("{count:d} quotes at a time, {times:d} times over, are all answered")
def all_answered(context, count, times):
    for _ in range(times):
        answers = ask_concurrently(lambda: quote(context), count)
        assert [answer.status for answer in answers] == [200] * count, answers


@then("any sequence of requests and failures keeps extra attempts in budget")
def in_budget(context):
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.floats(0.01, 0.5),
        strategies.floats(1.0, 20.0),
        strategies.lists(strategies.booleans(), max_size=200),
    )
    def check(share, burst, failures):
        extra = budget.Budget(share, burst)
        spent = 0
        for failed in failures:
            extra.earn()
            spent += failed and extra.spend()
        assert spent <= burst + share * len(failures) + 1e-6

    check()


@when("the {who} says that worker {number:d} is leaving, under steady quotes")
def leave(context, who, number):
    name = workers(context, number)[0]
    context.leaving = name
    context.answers = []
    announced_at = None
    ends = time.time() + 5.0
    while time.time() < ends:
        context.answers += ask_concurrently(lambda: quote(context), 4)
        if announced_at is None and time.time() > ends - 4.5:
            announced_at = time.time()
            if who == "worker":
                context.stage.worker_faults(name, leaving=True)
            else:
                path = f"/inventory/workers/{name}"
                stage.call(context.stage.platform, "PUT", path, {"standing": "leaving"})
    context.announced_at = announced_at


@then("it started nothing more than {seconds:d} s later, and no quote failed")
def nothing_new(context, seconds):
    starts = [
        entry["at"]
        for entry in context.stage.worker_log(context.leaving)["log"]
        if entry["event"] == "start"
    ]
    before = [at for at in starts if at < context.announced_at]
    late = [at for at in starts if at > context.announced_at + seconds]
    assert before and not late, (len(before), late)
    failed = [answer for answer in context.answers if answer.status != 200]
    assert not failed, failed


@when("an instance starts where there is no worker")
def start_without(context):
    context.stage.start_instance("taraz-0", "taraz")


@then("it becomes ready and a quote there is answered")
def serves_through_peers(context):
    context.stage.wait_ready()
    assert quote(context, instance="taraz-0").status == 200


@then(
    "a request {sent} s in transit over {connection}, where patience is {patience:g} s "
    "and the worker answers in {answer:g} s, is {verdict}"
)
def check_verdict(context, sent, connection, patience, answer, verdict):
    attempt = attempts.Attempt(None, None, 0.0, None)
    if sent != "never":
        attempt.mark_sent(
            10.0, patience, reused_connection=connection == "an earlier connection"
        )
        attempt.ended_at = 10.0 + float(sent)
    assert attempt.connection_went_silent(answer) == (verdict == "silenced")


@then("no worker held more than {most:d} connections")
def connections(context, most):
    for worker in context.stage.workers:
        held = context.stage.worker_log(worker)["most_connections"]
        assert 0 < held <= most, (worker, held)
