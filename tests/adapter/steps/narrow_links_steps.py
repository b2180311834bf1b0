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
