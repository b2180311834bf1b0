import json
import re
import time

import gevent
from behave import given, then, when
from falcon import testing
from tests.standins import narrow

from mangosail import clock as clocks
from mangosail import resources
from mangosail.intake import catalogs, desk
from mangosail.platform import caller, decoding, ingress, store, workers
from mangosail.scheduler import messages
from mangosail.telemetry import counters

HOST = "jobs.example"
CONFIG = "op//config"
PATH = "/q0/5c0e7a21d94b36f8"
JOB = '{"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":1}]}'
#: Connections of an instance to the store, as `platform.process` has them.
CONNECTIONS, FEED_CONNECTIONS = 16, 4


def instance(context, rate, queues):
    """Make a store with a configuration, and an instance that has read nothing yet."""
    context.platform = narrow.Platform(rate * 1000)
    context.add_cleanup(context.platform.close)
    configure(context, 1, queues)
    address = context.platform.address
    context.store = store.Store(
        caller.Caller(address, CONNECTIONS), caller.Caller(address, FEED_CONNECTIONS)
    )
    clock, counted = clocks.SystemClock(), counters.StatsdCounters(None, 0)
    context.catalog = catalogs.Catalogs(
        context.store, CONFIG, decoding.catalog_of, clock, counted
    )
    jobs = desk.Desk(context.store, context.catalog.stale, clock, counted)
    app = ingress.Ingress(context.catalog, jobs, clock, counted).app
    context.client = testing.TestClient(app, headers={"Host": HOST})


def configure(context, version, queues):
    context.version = version
    text = narrow.configuration(version, queues, HOST)
    context.platform.put("op", "", "config", text)
    context.size = len(json.dumps(context.platform.rows["op", "", "config"]))


def follow(context):
    following = gevent.spawn(context.catalog.follower.run)
    context.add_cleanup(following.kill)
    context.began_at = time.monotonic()


@given(
    "an instance that reads {rate:d} KB a second from the store, and an accepted job"
)
def step_instance(context, rate):
    instance(context, rate, 1)
    follow(context)
    wait_for(lambda: context.catalog.version == 1, 1.0)
    assert context.client.simulate_post(PATH, body=JOB).status_code == 200


@given("a store that sends {rate:d} KB a second, with {queues:d} queues configured")
def step_store(context, rate, queues):
    instance(context, rate, queues)


@given(
    "a store that sends {rate:d} KB a second, with 1 MB of rows in {shards:d} shards"
)
def step_rows(context, rate, shards):
    instance(context, rate, 1)
    context.rows = 16 * shards
    for number in range(context.rows):
        part = f"s{number % shards}"
        context.platform.put("kind", part, f"k{number}", "x" * 3000)


@given("its answers go silent after {count:d} KB")
def step_stall(context, count):
    context.platform.stall_after = count * 1000


@when("the configuration grows to {queues:d} queues")
def step_grows(context, queues):
    context.platform.sent = 0
    configure(context, 2, queues)
    context.began_at = time.monotonic()


@given("a configuration is in force everywhere within {seconds:g} s")
def step_force(context, seconds):
    context.catalog.most_age = seconds


def accepts(context):
    context.asked = getattr(context, "asked", 0) + 1
    path = f"/q0/{context.asked:016x}"
    return context.client.simulate_post(path, body=JOB).status_code == 200


@then("the instance accepts jobs all the while until it goes by it")
def step_accepts(context):
    while context.catalog.version < context.version:
        assert accepts(context), time.monotonic() - context.began_at
        gevent.sleep(0.05)
    # Until the next answer came, the one that took long was the latest.
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        assert accepts(context), time.monotonic() - context.began_at
        gevent.sleep(0.05)


@then("the instance refuses jobs from {seconds:g} s on until it goes by it")
def step_refuses(context, seconds):
    gevent.sleep(context.began_at + seconds - time.monotonic())
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        assert not accepts(context)
        gevent.sleep(0.05)
    assert context.catalog.version < context.version


@when("{known:d} callers name a queue that was added, {unknown:d} one that was not")
def step_name(context, known, unknown):
    wait_for(lambda: context.platform.sent > 100_000, 1.0)
    paths = [f"/q7/{number:016x}" for number in range(known)]
    paths += [f"/nowhere/{number:016x}" for number in range(unknown)]
    callers = [
        gevent.spawn(context.client.simulate_post, path, body=JOB) for path in paths
    ]
    gevent.joinall(callers, timeout=10)
    context.statuses = [caller.value.status_code for caller in callers]
    context.expected = [200] * known + [404] * unknown


@then("they are told so once the configuration has arrived")
def step_told_so(context):
    assert context.statuses == context.expected, context.statuses
    assert context.catalog.version == context.version


@when("an instance starts to follow the configuration")
def step_starts(context):
    follow(context)


@when("all of these rows are read")
def step_read_all(context):
    context.found = context.store.read_all("kind/")


@when("the configuration is read once")
def step_read_once(context):
    context.began_at = time.monotonic()
    context.found = context.store.read_all("op//")


def wait_for(done, seconds):
    deadline = time.monotonic() + seconds
    while not done() and time.monotonic() < deadline:
        gevent.sleep(0.02)
    assert done(), f"not within {seconds} s"


@then("the instance goes by it within {seconds:g} s")
def step_goes_by(context, seconds):
    wait_for(lambda: context.catalog.version == context.version, seconds)


@then("little more than the configuration was read once")
def step_once(context):
    assert context.platform.sent < 1.2 * context.size, context.platform.sent


@then("the caller is told that its job is queued")
def step_told(context):
    answer = context.client.simulate_get(PATH)
    assert answer.json == {"state": "queued"}, answer.json


@then("they have arrived whole")
def step_whole(context):
    assert context.found.is_ok(), context.found
    assert len(context.found.ok_value.rows) == context.rows


@given("a worker of which {rate:d} KB a second can be read, with {runs:d} runs")
def step_worker(context, rate, runs):
    context.platform = narrow.Platform(rate * 1000)
    context.add_cleanup(context.platform.close)
    running = [[f"5c0e7a21d94b36f8.0.0.{index}", 1, "", 41, 0] for index in range(runs)]
    held = {"clock_ms": 482113, "running": running, "ended": []}
    context.platform.armed["/-/hold"] = [(200, held)]
    context.entry = messages.WorkerEntry(
        "i-1",
        "pool",
        context.platform.address,
        "dc",
        resources.Resources(),
        frozenset(),
    )


@when("it is looked at over its narrow link")
def step_look(context):
    context.began_at = time.monotonic()
    context.found = workers.HttpWorkers(4096).look(context.entry, 3, 57, 486000, 0.6)


@then("the look has failed within {seconds:g} s")
@then("the reading has failed within {seconds:g} s")
def step_failed(context, seconds):
    assert context.found.is_err()
    assert time.monotonic() - context.began_at < seconds


@then("the reason says how much of the answer had come")
def step_reason(context):
    reason = context.found.err_value.reason
    received = int(re.search(r"after (\d+) bytes", reason)[1])
    assert 50_000 <= received <= context.platform.stall_after + narrow.PIECE, reason
