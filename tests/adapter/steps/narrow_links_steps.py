import json
import re
import time

import gevent
from behave import given, then, when
from gevent import pywsgi
from tests.adapter import instances
from tests.standins import narrow

from mangosail import resources
from mangosail.intake import relaying
from mangosail.platform import (
    decoding,
    peering,
    store,
    table,
    workers,
)
from mangosail.scheduler import keys, messages


@given(
    "an instance that reads {rate:d} KB a second from the store, and an accepted job"
)
def step_instance(context, rate):
    instances.instance(context, rate, 1)
    instances.follow(context)
    instances.wait_for(lambda: context.catalog.version == 1, 1.0)
    assert (
        context.client.simulate_post(instances.PATH, body=instances.JOB).status_code
        == 200
    )


@given("a store that sends {rate:d} KB a second, with {queues:d} queues configured")
def step_store(context, rate, queues):
    instances.instance(context, rate, queues)


@given(
    "a store that sends {rate:d} KB a second, with 1 MB of rows in {shards:d} shards"
)
def step_rows(context, rate, shards):
    instances.instance(context, rate, 1)
    context.rows = 16 * shards
    for number in range(context.rows):
        part = f"s{number % shards}"
        context.platform.put("kind", part, f"k{number}", "x" * 3000)


@given("its answers stall after {count:d} KB")
def step_stall(context, count):
    context.platform.stall_after = count * 1000


@when("the configuration grows to {queues:d} queues")
def step_grows(context, queues):
    context.platform.sent = 0
    instances.configure(context, 2, queues)
    context.began_at = time.monotonic()


@given("a configuration must be in force everywhere within {seconds:g} s")
def step_max_age(context, seconds):
    context.catalog.max_age = seconds


def accepts(context):
    context.asked = getattr(context, "asked", 0) + 1
    path = f"/q0/{context.asked:016x}"
    return context.client.simulate_post(path, body=instances.JOB).status_code == 200


@then("the instance accepts jobs without a break until it applies it")
def step_accepts(context):
    while context.catalog.version < context.version:
        assert accepts(context), time.monotonic() - context.began_at
        gevent.sleep(0.05)
    # Until the next answer arrived, the slow one counted as the latest contact.
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        assert accepts(context), time.monotonic() - context.began_at
        gevent.sleep(0.05)


@then("the instance refuses jobs from {seconds:g} s on until it applies it")
def step_refuses(context, seconds):
    instances.sleep_until(context, seconds)
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        assert not accepts(context)
        gevent.sleep(0.05)
    assert context.catalog.version < context.version


@when(
    "{known:d} callers name a queue that was added, {unknown:d} one that does not exist"
)
def step_name(context, known, unknown):
    instances.wait_for(lambda: context.platform.sent > 100_000, 1.0)
    paths = [f"/q7/{number:016x}" for number in range(known)]
    paths += [f"/nowhere/{number:016x}" for number in range(unknown)]
    callers = [
        gevent.spawn(context.client.simulate_post, path, body=instances.JOB)
        for path in paths
    ]
    gevent.joinall(callers, timeout=10)
    context.statuses = [caller.value.status_code for caller in callers]
    context.expected = [200] * known + [404] * unknown


@then("they get the right answers once the configuration has arrived")
def step_right_answers(context):
    assert context.statuses == context.expected, context.statuses
    assert context.catalog.version == context.version


@when("an instance starts to watch the configuration")
def step_starts(context):
    instances.follow(context)


@when("all of these rows are read")
def step_read_all(context):
    context.found = context.store.read_all("kind/")


@when("the configuration is read once")
def step_read_once(context):
    context.began_at = time.monotonic()
    context.found = context.store.read_all("op//")


@then("the instance applies it within {seconds:g} s")
def step_applies(context, seconds):
    instances.wait_for(lambda: context.catalog.version == context.version, seconds)


@then("little more than one copy of the configuration was read")
def step_once(context):
    assert context.platform.sent < 1.2 * context.size, context.platform.sent


@then("the caller is told that its job is queued")
def step_told(context):
    instances.assert_told_queued(context)


@then("they have arrived completely")
def step_complete(context):
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


@when("it is polled over its slow link")
def step_poll(context):
    context.began_at = time.monotonic()
    context.found = workers.HttpWorkers(4096).poll(context.entry, 3, 57, 486000, 0.6)


@then("the poll has failed within {seconds:g} s")
@then("the read has failed within {seconds:g} s")
def step_failed(context, seconds):
    assert context.found.is_err()
    assert time.monotonic() - context.began_at < seconds


@then("the reason says how much of the answer had arrived")
def step_reason(context):
    reason = context.found.err_value.reason
    received = int(re.search(r"after (\d+) bytes", reason)[1])
    assert 50_000 <= received <= context.platform.stall_after + narrow.CHUNK_BYTES, (
        reason
    )


@when("the lease is renewed while all of these rows are read")
def step_renewed(context):
    reading = gevent.spawn(context.store.read_all, "kind/")
    instances.wait_for(lambda: context.platform.sent > 100_000, 5.0)
    renewal = table.Transaction((), (table.Write(keys.LEASE, "1"),))
    context.renewed = context.store.commit(renewal)
    context.found = reading.get()


@then("the renewal has succeeded")
def step_renewal(context):
    assert context.renewed.is_ok(), context.renewed


@when(
    "the configuration grows to {queues:d} queues and is written {count:d} times "
    "while the instance does not watch it"
)
def step_missed(context, queues, count):
    context.following.kill()
    for number in range(count):
        instances.configure(context, 2 + number, queues)
    context.platform.sent = 0
    instances.follow(context)


@then("little more than one copy of the configuration was read when it is applied")
def step_newest(context):
    instances.wait_for(lambda: context.catalog.version == context.version, 30.0)
    step_once(context)


@when("the configuration grows to {queues:d} queues, without that of the job")
def step_dropped(context, queues):
    instances.drop_queue(context, queues)


@then("from {seconds:g} s on the instance does not return how many jobs wait there")
def step_count_not_returned(context, seconds):
    instances.sleep_until(context, seconds)
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        answer = context.client.simulate_get("/q0/")
        assert answer.status_code in (404, 503), (answer.status_code, answer.json)
        gevent.sleep(0.05)


@given("the instance serves requests forwarded by peers")
def step_for_peers(context):
    served = pywsgi.WSGIServer(("127.0.0.1", 0), context.app, log=None)
    served.start()
    context.add_cleanup(served.stop, timeout=0)
    context.peer_address = f"127.0.0.1:{served.server_port}"


@when("a peer forwards a job for a queue that was added")
def step_forwarded(context):
    instances.wait_for(lambda: context.platform.sent > 50_000, 5.0)
    request = relaying.Request(
        "POST", instances.HOST, "/q7/5c0e7a21d94b36f8", instances.JOB.encode()
    )
    context.found = peering.HttpPeers().send(context.peer_address, request)


@then("the peer gets an answer")
def step_peer_answered(context):
    assert context.found.is_ok(), context.found


@given("the connection on which it waits for changes stalls")
def step_feed_silent(context):
    context.platform.silent.add("/-/rows-feed")
    instances.wait_for(lambda: not context.platform.silent, 5.0)


@when("a caller names a queue that was added")
def step_caller_names(context):
    asked_at = time.monotonic()
    context.client.simulate_post("/q7/5c0e7a21d94b36f8", body=instances.JOB)
    context.waited = time.monotonic() - asked_at


@then("the caller waited for at most {seconds:g} s")
def step_caller_waited(context, seconds):
    assert context.waited <= seconds, context.waited


class Workers(narrow.Platform):
    """Many workers that share one slow link and report the same ends."""

    def serve(self, req, body):
        seen = json.loads(body)["last_seen"]
        ended = [
            [number, f"5c0e7a21d94b36f8.0.0.{number}", 1, "done", ""]
            for number in range(seen + 1, self.ends + 1)
        ]
        now = int(time.monotonic() * 1000)
        return 200, {"clock_ms": now, "running": [], "ended": ended}


@given(
    "{count:d} workers that report {ends:d} ends each, and a leader that reads "
    "{rate:d} KB a second"
)
def step_many_workers(context, count, ends, rate):
    context.platform = narrow.Platform(10**9)
    context.add_cleanup(context.platform.close)
    behind = Workers(rate * 1000)
    behind.ends = ends
    context.add_cleanup(behind.close)
    entry = {
        "service": "pool",
        "address": behind.address,
        "zone": "dc",
        "version": "v1",
        "slots": 1,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "capacity": {"cpu": 4000, "mem_mb": 1000, "gpu": 0},
        "labels": ["kind", "r1-1"],
    }
    for number in range(count):
        context.platform.put("servers", "", f"i-{number}", json.dumps(entry))
    context.workers = count


@when("it leads")
def step_leads(context):
    catalog = decoding.decode_catalog(narrow.configuration(1, 1, instances.HOST))
    instances.lead(context, store.Store(context.platform.address), lambda: catalog)


@then("it has a report of each worker within {seconds:g} s")
def step_reported(context, seconds):
    def reported():
        return sum(worker.contacted for worker in context.scheduler.workers)

    instances.wait_for(lambda: reported() == context.workers, seconds)
