import json
import random
import re
import time

import gevent
from behave import given, then, when
from falcon import testing
from gevent import pywsgi
from tests.standins import metadata, narrow

from mangosail import clock as clocks
from mangosail import resources
from mangosail.intake import catalogs, job_service, peers, relaying
from mangosail.platform import (
    decoding,
    entries,
    ingress,
    peering,
    store,
    table,
    workers,
)
from mangosail.scheduler import advice, keys, leadership, messages, scheduler
from mangosail.telemetry import counters

HOST = "jobs.example"
CONFIG = "op//config"
PATH = "/q0/5c0e7a21d94b36f8"
JOB = '{"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":1}]}'


def instance(context, rate, queues):
    """Create a store with a configuration, and an instance that has not read it."""
    context.platform = narrow.Platform(rate * 1000)
    context.add_cleanup(context.platform.close)
    configure(context, 1, queues)
    context.store = store.Store(context.platform.address)
    clock, counted = clocks.SystemClock(), counters.StatsdCounters(None, 0)
    context.catalog = catalogs.Catalogs(
        context.store, CONFIG, decoding.decode_catalog, clock, counted
    )
    jobs = job_service.JobService(context.store, context.catalog.stale, clock, counted)
    #: Serves requests forwarded by peers; `front` serves callers, and knows no peer.
    context.app = ingress.Ingress(context.catalog, jobs, clock, counted).app
    own = peers.Peer("a", "127.0.0.1:9")
    known = peers.Peers(context.store, own, clock, counted, random.Random(5))
    relay = relaying.Relay(known, peering.HttpPeers().send, clock, counted)
    front = ingress.Ingress(context.catalog, jobs, clock, counted, relay)
    context.client = testing.TestClient(front.app, headers={"Host": HOST})


def configure(context, version, queues, host=HOST):
    context.version = version
    text = narrow.configuration(version, queues, host)
    context.platform.put("op", "", "config", text)
    context.size = len(json.dumps(context.platform.rows["op", "", "config"]))


def follow(context):
    context.following = gevent.spawn(context.catalog.watcher.run)
    context.add_cleanup(context.following.kill)
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


@given("its answers stall after {count:d} KB")
def step_stall(context, count):
    context.platform.stall_after = count * 1000


@when("the configuration grows to {queues:d} queues")
def step_grows(context, queues):
    context.platform.sent = 0
    configure(context, 2, queues)
    context.began_at = time.monotonic()


@given("a configuration must be in force everywhere within {seconds:g} s")
def step_max_age(context, seconds):
    context.catalog.max_age = seconds


def accepts(context):
    context.asked = getattr(context, "asked", 0) + 1
    path = f"/q0/{context.asked:016x}"
    return context.client.simulate_post(path, body=JOB).status_code == 200


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
    gevent.sleep(context.began_at + seconds - time.monotonic())
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        assert not accepts(context)
        gevent.sleep(0.05)
    assert context.catalog.version < context.version


@when(
    "{known:d} callers name a queue that was added, {unknown:d} one that does not exist"
)
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


@then("they get the right answers once the configuration has arrived")
def step_right_answers(context):
    assert context.statuses == context.expected, context.statuses
    assert context.catalog.version == context.version


@when("an instance starts to watch the configuration")
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
    assert done(), f"condition not met within {seconds} s"


@then("the instance applies it within {seconds:g} s")
def step_applies(context, seconds):
    wait_for(lambda: context.catalog.version == context.version, seconds)


@then("little more than one copy of the configuration was read")
def step_once(context):
    assert context.platform.sent < 1.2 * context.size, context.platform.sent


@then("the caller is told that its job is queued")
def step_told(context):
    answer = context.client.simulate_get(PATH)
    assert answer.json == {"state": "queued"}, answer.json


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
    wait_for(lambda: context.platform.sent > 100_000, 5.0)
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
        configure(context, 2 + number, queues)
    context.platform.sent = 0
    follow(context)


@then("little more than one copy of the configuration was read when it is applied")
def step_newest(context):
    wait_for(lambda: context.catalog.version == context.version, 30.0)
    step_once(context)


@when("the configuration grows to {queues:d} queues, without that of the job")
def step_dropped(context, queues):
    # All of its queues are of another host.
    configure(context, 2, queues, "other.example")
    context.began_at = time.monotonic()


@then("from {seconds:g} s on the instance does not return how many jobs wait there")
def step_count_not_returned(context, seconds):
    gevent.sleep(context.began_at + seconds - time.monotonic())
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
    wait_for(lambda: context.platform.sent > 50_000, 5.0)
    request = relaying.Request("POST", HOST, "/q7/5c0e7a21d94b36f8", JOB.encode())
    context.found = peering.HttpPeers().send(context.peer_address, request)


@then("the peer gets an answer")
def step_peer_answered(context):
    assert context.found.is_ok(), context.found


@given("the connection on which it waits for changes stalls")
def step_feed_silent(context):
    context.platform.silent.add("/-/rows-feed")
    wait_for(lambda: not context.platform.silent, 5.0)


@when("a caller names a queue that was added")
def step_caller_names(context):
    asked_at = time.monotonic()
    context.client.simulate_post("/q7/5c0e7a21d94b36f8", body=JOB)
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
    catalog = decoding.decode_catalog(narrow.configuration(1, 1, HOST))
    lead(context, store.Store(context.platform.address), lambda: catalog)


def lead(context, rows, catalog):
    """Let an instance lead, which goes by what `catalog` returns."""
    clock, counted = clocks.SystemClock(), counters.StatsdCounters(None, 0)
    leader = leadership.Leadership(rows, "a", clock, counted, random.Random(1))
    held = None
    while held is None:
        held = leader.check()
    context.scheduler = scheduler.Scheduler(
        rows,
        workers.HttpWorkers(4096),
        held,
        catalog,
        entries.decode_entry,
        "servers//",
        120,
        advice.NoAdvisor(),
        clock,
        counted,
    )
    leading = gevent.spawn(context.scheduler.run)
    context.add_cleanup(leading.kill)


@then("it has a report of each worker within {seconds:g} s")
def step_reported(context, seconds):
    def reported():
        return sum(worker.contacted for worker in context.scheduler.workers)

    wait_for(lambda: reported() == context.workers, seconds)


def ask(context):
    """Send one request of each kind for the queue q0; return method -> answer."""
    context.asked = getattr(context, "asked", 0) + 1
    client, new = context.client, f"/q0/{context.asked:016x}"
    return {
        "count": client.simulate_get("/q0/"),
        "state": client.simulate_get(PATH),
        "cancel": client.simulate_delete(PATH),
        "submit": client.simulate_post(new, body=JOB),
    }


@when("its readings of the configuration stall after {count:d} KB")
def step_readings_stall(context, count):
    context.platform.stall_after = count * 1000


@when("its readings of the configuration break after {count:d} KB")
def step_readings_break(context, count):
    context.platform.break_after = count * 1000


@when("its readings of the configuration have no answer")
def step_readings_silent(context):
    context.platform.outages["op"] = "silent"


@when("its readings of the configuration are reset")
def step_readings_reset(context):
    context.platform.outages["op"] = "reset"


@when("its readings of the configuration are refused as {status:d}")
def step_readings_refused(context, status):
    names = {code: name for name, code in metadata.REFUSALS.items()}
    context.platform.outages["op"] = names[status]


@when("its readings of the configuration work again")
def step_readings_work(context):
    context.platform.outages.clear()
    context.platform.stall_after = context.platform.break_after = None


@when("the queue of the job is removed, one of {queues:d}")
def step_removed(context, queues):
    step_dropped(context, queues)


@then("from {seconds:g} s on the instance answers nothing by the configuration before")
def step_answers_nothing(context, seconds):
    gevent.sleep(context.began_at + seconds - time.monotonic())
    until = time.monotonic() + 3.0
    while time.monotonic() < until:
        answers = {name: answer.status_code for name, answer in ask(context).items()}
        assert set(answers.values()) == {503}, answers
        gevent.sleep(0.05)


@then("it tells within {seconds:g} s that the queue does not exist")
def step_tells(context, seconds):
    wait_for(lambda: context.client.simulate_get(PATH).status_code == 404, seconds)


@then(
    "from {seconds:g} s on a peer that asks for the number of waiting jobs is refused"
)
def step_peer_refused(context, seconds):
    gevent.sleep(context.began_at + seconds - time.monotonic())
    request = relaying.Request("GET", HOST, "/q0/", b"", context.catalog.version)
    found = peering.HttpPeers().send(context.peer_address, request)
    assert found.ok_value.status == relaying.REFUSED_STATUS, found


@given("the caller is told that its job is queued")
def step_told_before(context):
    step_told(context)


@when("the store answers nothing any more")
def step_cut_off(context):
    context.platform.outages[metadata.ALL_TABLES] = "silent"
    context.began_at = time.monotonic()


@then("from {seconds:g} s on the caller is told that its job is queued")
def step_still_told(context, seconds):
    gevent.sleep(context.began_at + seconds - time.monotonic())
    step_told(context)


@then("the number of waiting jobs is refused within {seconds:g} s")
def step_count_refused(context, seconds):
    asked_at = time.monotonic()
    answer = context.client.simulate_get("/q0/")
    assert answer.status_code == 503, (answer.status_code, answer.json)
    assert time.monotonic() - asked_at < seconds


@when("the instance applies it")
def step_applied(context):
    step_applies(context, 5.0)


@then("it tells within {seconds:g} s how many jobs wait")
def step_tells_count(context, seconds):
    wait_for(lambda: context.client.simulate_get("/q0/").status_code == 200, seconds)


@given("the instance leads")
def step_instance_leads(context):
    lead(context, context.store, context.catalog.current)
    context.scheduler.on_catalog_version = context.catalog.invalidate


@when("another instance accepts a job for a queue that was added")
def step_accepted_elsewhere(context):
    queue = messages.Queue("added", "other.example", "/added/", "pool", 0, 2, 3.0)
    job = decoding.decode_job(
        JOB.encode(), "5c0e7a21d94b36f9", queue, time.time(), context.version
    ).ok_value
    assert context.store.commit(job_service.store_transaction(job)).is_ok()


@when("the store answers nothing for each of {outages}, and callers ask on")
def step_outages(context, outages):
    seconds = [float(number) for number in re.findall(r"[\d.]+", outages)]
    context.returns = [answered_after(context, outage) for outage in seconds]


def answered_after(context, outage):
    """Return the seconds from the end of an outage until a caller was answered."""
    context.platform.outages[metadata.ALL_TABLES] = "silent"
    back_at = time.monotonic() + outage
    while True:
        if time.monotonic() >= back_at:
            context.platform.outages.clear()
        if context.client.simulate_get("/q0/").status_code == 200:
            if time.monotonic() >= back_at:
                return time.monotonic() - back_at
        gevent.sleep(0.05)


@then("callers were answered at most {seconds:g} s after its return each time")
def step_returns(context, seconds):
    assert max(context.returns) <= seconds, context.returns
