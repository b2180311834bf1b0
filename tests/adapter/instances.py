"""An instance that reads from a store behind a narrow link, as steps build it."""

import json
import random
import time

import gevent
from falcon import testing
from tests.standins import narrow

from mangosail import clock as clocks
from mangosail.intake import catalogs, job_service, peers, relaying
from mangosail.platform import (
    decoding,
    entries,
    ingress,
    peering,
    store,
    workers,
)
from mangosail.scheduler import advice, leadership, scheduler
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


def drop_queue(context, queues):
    """Replace the queue of the job by others, all of another host."""
    configure(context, 2, queues, "other.example")
    context.began_at = time.monotonic()


def sleep_until(context, seconds):
    """Sleep until `seconds` after what the scenario counts from."""
    gevent.sleep(context.began_at + seconds - time.monotonic())


def assert_told_queued(context):
    answer = context.client.simulate_get(PATH)
    assert answer.json == {"state": "queued"}, answer.json


def follow(context):
    context.following = gevent.spawn(context.catalog.watcher.run)
    context.add_cleanup(context.following.kill)
    context.began_at = time.monotonic()


def wait_for(done, seconds):
    deadline = time.monotonic() + seconds
    while not done() and time.monotonic() < deadline:
        gevent.sleep(0.02)
    assert done(), f"condition not met within {seconds} s"


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
