import dataclasses
import json
import tempfile
import types
import unittest.mock

import result
from behave import given, then, when
from falcon import testing
from tests.standins import metadata
from tests.support import memory

from mangosail import errors as program_errors
from mangosail import resources
from mangosail.intake import catalogs, job_service, relaying
from mangosail.platform import (
    decoding,
    deployment,
    errors,
    ingress,
    peering,
    process,
    store,
    table,
    workers,
)
from mangosail.scheduler import errors as order_errors
from mangosail.scheduler import journal, messages, ports
from mangosail.telemetry import counters

JOB = "5c0e7a21d94b36f8"
ENTRY_NAME = "i-1"
KEY = "kind/s0/row"


@given("the platform's store")
def step_store(context):
    context.platform = metadata.Platform()
    context.add_cleanup(context.platform.close)
    context.store = store.Store(context.platform.address)


def write(context, *checks):
    writes = (table.Write(KEY, '"text"'),)
    return context.store.commit(table.Transaction(checks, writes))


@when("a row is written, read and removed while its table is watched")
def step_write_read_remove(context):
    before = context.store.read_all("kind/").ok_value.version
    context.version = write(context).ok_value
    context.read = context.store.read([KEY]).ok_value
    context.seen = [context.store.changes("kind/", before, 0).ok_value]
    drop = table.Transaction((), (table.Write(KEY, None),))
    assert context.store.commit(drop).is_ok()
    context.seen.append(context.store.changes("kind/s0/", context.version, 0).ok_value)


@then("the row was read as written, and the watch reported both changes")
def step_both_changes(context):
    row = table.Row(KEY, '"text"', context.version)
    assert context.read == {KEY: row}, context.read
    assert context.seen[0].rows == (row,), context.seen
    assert context.seen[1].removed == (KEY,), context.seen


def drop(context):
    transaction = table.Transaction((), (table.Write(KEY, None),))
    assert context.store.commit(transaction).is_ok()


@when("a row is removed and written again while its table is watched")
def step_removed_and_written(context):
    version = write(context).ok_value
    drop(context)
    write(context)
    context.seen = context.store.changes("kind/", version, 0).ok_value


@then("the watch reports the row, and not its removal")
def step_row_reported(context):
    assert [row.key for row in context.seen.rows] == [KEY], context.seen
    assert not context.seen.removed, context.seen


@when("a row is written and removed while its table is watched")
def step_written_and_removed(context):
    before = context.store.read_all("kind/").ok_value.version
    write(context)
    drop(context)
    context.seen = context.store.changes("kind/", before, 0).ok_value


@then("the watch reports only the removal")
def step_removal_reported(context):
    assert context.seen.removed == (KEY,), context.seen
    assert not context.seen.rows, context.seen


@given("{count:d} rows in {shards:d} shard")
@given("{count:d} rows in {shards:d} shards")
def step_many(context, count, shards, text="1"):
    for number in range(count):
        context.platform.put("kind", f"s{number % shards}", f"k{number:05}", text)
    context.keys = [f"kind/s{n % shards}/k{n:05}" for n in range(count)]


@given("{count:d} rows of {size:d} bytes in 1 shard")
def step_long(context, count, size):
    step_many(context, count, 1, "x" * size)


@when("the first and the last of them are read at once")
def step_read_two(context):
    wanted = [context.keys[0], context.keys[-1]]
    context.found = context.store.read(wanted).ok_value.values()


@when("{count:d} rows of their shard are scanned")
def step_scan(context, count):
    context.found = context.store.scan("kind/s0/", "", count).ok_value


@when("all rows of their table are read")
def step_read_all(context):
    context.found = context.store.read_all("kind/").ok_value.rows


@then("{count:d} rows are found")
def step_found(context, count):
    assert len({row.key for row in context.found}) == count


@given("the store answers a write with {status:d}")
def step_status(context, status):
    context.platform.armed["/-/rows-tx"] = [(status, {})]


@given("the store has dropped its history of changes")
def step_dropped(context):
    context.platform.armed["/-/rows-feed"] = [(410, {})]


@given("the store never answers the next write")
def step_silent(context):
    context.platform.silent.add("/-/rows-tx")


@when("a row is written")
def step_write(context):
    context.done = write(context)


@when("a row is written that must not exist, and does")
def step_conflict(context):
    write(context)
    context.done = write(context, table.Check(KEY, table.ABSENT))


@when("its rows are watched")
def step_watch(context):
    context.done = context.store.changes("kind/", 1, 0)


@then("the write is {meaning}")
def step_meaning(context, meaning):
    kinds = {
        "unavailable": errors.Unavailable,
        "uncertain": errors.Uncertain,
        "a conflict on that row": errors.Conflict,
    }
    if meaning == "done":
        assert context.done.is_ok(), context.done
        return
    assert isinstance(context.done.err_value, kinds[meaning]), context.done
    if meaning.startswith("a conflict"):
        assert context.done.err_value.key == KEY


@then("the watch reports that the history is lost")
def step_lost(context):
    assert isinstance(context.done.err_value, ports.HistoryLost), context.done


@given("a worker")
def step_worker(context):
    context.platform = metadata.Platform()
    context.add_cleanup(context.platform.close)
    context.entry = entry(context.platform.address)
    context.workers = workers.HttpWorkers(descriptors=4096)


@given("a worker whose port is closed")
def step_closed(context):
    step_worker(context)
    context.platform.close()


def entry(address):
    capacity = resources.Resources(cpus=8)
    return messages.WorkerEntry(
        ENTRY_NAME, "pool", address, "dc", capacity, frozenset()
    )


@given("it answers a start with {status:d} {reason}")
def step_answers(context, status, reason):
    reply = {"clock_ms": 7} if reason == "-" else {"clock_ms": 7, "reason": reason}
    context.platform.armed["/-/run-start"] = [(status, reply)]


@given("it reports a run with a tail latency of {tail:d} ms and the end of another")
def step_reports(context, tail):
    reply = {
        "clock_ms": 482113,
        "running": [[f"{JOB}.0.0.1", 2, "saved", 41, tail]],
        "ended": [[58, f"{JOB}.0.0.2", 1, "done", ""]],
    }
    context.platform.armed["/-/hold"] = [(200, reply)]


@given("it reports the ends of {count:d} runs")
def step_reports_ends(context, count):
    ended = [[n, f"{JOB}.0.0.{n}", 1, "done", ""] for n in range(1, count + 1)]
    reply = {"clock_ms": 482113, "running": [], "ended": ended}
    context.platform.armed["/-/hold"] = [(200, reply)]


@then("the report is complete")
def step_report_complete(context):
    assert context.done.ok_value.complete


@then("the report is incomplete")
def step_report_incomplete(context):
    assert not context.done.ok_value.complete


@given("it reports no runs, and an incarnation started at {born:d}")
def step_incarnation(context, born):
    reply = {"clock_ms": 3, "running": [], "ended": [], "born": born}
    context.platform.armed["/-/hold"] = [(200, reply)]


@then("the report is of the incarnation started at {born:d}")
def step_report_incarnation(context, born):
    assert context.done == result.Ok(messages.WorkerReport(3, (), (), born)), (
        context.done
    )


@when("a run is started there")
def step_start(context):
    order = messages.StartOrder(f"{JOB}.0.0.1", 1, "spec", "", 500, 3)
    context.done = context.workers.start(context.entry, order)


@when("it is polled")
def step_poll(context):
    context.done = context.workers.poll(context.entry, 3, 57, 486000, 1.0)


@then("the start is {meaning}")
def step_start_meaning(context, meaning):
    error = context.done.err_value
    if isinstance(error, order_errors.Rejected):
        assert error.reason.value == meaning, error
    else:
        assert type(error).__name__.lower() == meaning, error


@then("the report has both, and the poll named the expected worker")
def step_report_has(context):
    run = messages.RunningTask(f"{JOB}.0.0.1", 2, "saved", 41, 14.0)
    end = messages.RunEnd(58, f"{JOB}.0.0.2", 1, messages.Outcome.DONE, "")
    report = messages.WorkerReport(482113, (run,), (end,))
    assert context.done == result.Ok(report), context.done
    _, _, body, headers = context.platform.calls[0]
    assert json.loads(body) == {
        "fencing_token": 3, "last_seen": 57, "deadline_ms": 486000, "wait_ms": 1000,
    }  # fmt: skip
    assert headers["EXPECT-INSTANCE"] == ENTRY_NAME, headers


QUEUE = messages.Queue("q", "q.example", "/fast/", "pool", 0, 2, 3.0)


@when("a queue that needs advice gets a job")
def step_advised(context):
    queue = dataclasses.replace(QUEUE, needs_advice=True)
    body = b'{"steps":[{"count":1,"cpu":2500,"mem_mb":2048}]}'
    context.job = decoding.decode_job(body, JOB, queue, 1000.0)


@then("the job needs advice")
def step_needs_advice(context):
    assert context.job.ok_value.needs_advice


@when("a caller submits {body}")
def step_body(context, body):
    if body.startswith("a step of"):
        body = '{"steps":[{"count":1,"cpu":2500,"mem_mb":2048}]}'
    if body == "a job of 300 steps":
        body = json.dumps({"steps": [{"count": 1}] * 300})
    context.job = decoding.decode_job(body.encode(), JOB, QUEUE, 1000.0)


@then('it is refused for "{fault}"')
def step_fault(context, fault):
    assert fault in context.job.err_value.fault, context.job


@then("the step needs 2.5 cores and 2 GB")
def step_units(context):
    need = context.job.ok_value.steps[0].need
    assert need == resources.Resources(cpus=2.5, memory_gb=2.0), need


@given('an instance on the platform, with a queue at "{host}" "{prefix}"')
def step_instance(context, host, prefix):
    step_store(context)
    route = {"name": "q", "host": host, "path_prefix": prefix, "service": "pool"}
    config = {"version": 1, "routes": [route], "services": [{"name": "pool"}]}
    context.platform.put("op", "", "config", json.dumps(config))
    context.clock = memory.Clock()
    counted = counters.StatsdCounters(None, 0)
    catalog = catalogs.Catalogs(
        context.store, "op//config", decoding.decode_catalog, context.clock, counted
    )
    assert catalog.refresh()
    jobs = job_service.JobService(context.store, catalog.stale, context.clock, counted)
    context.ingress = ingress.Ingress(catalog, jobs, context.clock, counted)
    context.readiness = ingress.Readiness(catalog)
    context.client = testing.TestClient(context.ingress.app)
    context.host = {"Host": host}


def post(context, path):
    body = '{"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":1}]}'
    return context.client.simulate_post(path, body=body, headers=context.host)


@when("a job is posted, queried, counted, cancelled, and posted to an unknown path")
def step_calls(context):
    path = f"/fast/{JOB}"
    context.replies = [
        post(context, path),
        context.client.simulate_get(path, headers=context.host),
        context.client.simulate_get("/fast/", headers=context.host),
        context.client.simulate_delete(path, headers=context.host),
        post(context, f"/slow/{JOB}"),
    ]


@then("the answers are 200, 200, 200, 200 and 404")
def step_replies(context):
    statuses = [reply.status_code for reply in context.replies]
    assert statuses == [200, 200, 200, 200, 404], statuses
    assert context.replies[1].json == {"state": "queued"}
    assert context.replies[2].json == {"pending": 0}


@when("it has had no answer of the store for {seconds:d} seconds")
def step_store_silent(context, seconds):
    context.platform.outages[metadata.ALL_TABLES] = "silent"
    context.clock.now += seconds


def readiness(context):
    return testing.TestClient(context.readiness.app).simulate_get("/").status_code


@then("it is ready")
def step_ready(context):
    assert (
        testing.TestClient(context.readiness.app).simulate_get("/").status_code == 200
    )


@then("it is not ready")
def step_not_ready(context):
    assert (
        testing.TestClient(context.readiness.app).simulate_get("/").status_code == 503
    )


@then("a job is refused with a Retry-After header")
def step_refused(context):
    reply = post(context, f"/fast/{JOB}")
    assert reply.status_code == 503, reply.status_code
    assert reply.headers["Retry-After"] == "1", reply.headers


def settings_file(context, content):
    with tempfile.NamedTemporaryFile("w", delete=False, suffix=".json") as file:
        json.dump(content, file)
    context.path = file.name


SETTINGS = {
    "node_name": "edge-1",
    "zone": "dc",
    "ip": "10.0.0.1",
    "listen_addrs": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "platform": {"address": "10.0.0.9:1", "form": "table"},
}


@given("a settings file of the platform with an unknown field")
def step_settings(context):
    settings_file(context, {**SETTINGS, "brand_new": [1]})


@given("a settings file of the platform without the store")
def step_bad_settings(context):
    settings_file(context, {k: v for k, v in SETTINGS.items() if k != "platform"})


@given("a settings file of the platform that allows {limit_ms:d} ms for changes")
def step_time_limit(context, limit_ms):
    settings_file(context, {**SETTINGS, "bounds": {"config_apply_ms": limit_ms}})


@given(
    "a settings file of the platform with leases of {lease_ms:d} ms"
    " and {zones:d} data centres to lose"
)
def step_lease_settings(context, lease_ms, zones):
    settings_file(
        context,
        {
            **SETTINGS,
            "bounds": {"hold_max_ms": lease_ms},
            "fault_tolerance": {"machines": 2, "zones": zones, "regions": 0},
            "internal_ports": [7720, 7735],
        },
    )


@then('the options that are on are "{names}"')
@then('the options that are on are ""')
def step_options(context, names=""):
    found = dataclasses.asdict(deployment.read(context.path).scheduler_options)
    on = ",".join(name for name, is_on in found.items() if is_on)
    assert on == names, on


@then('without "{names}" neither of them is on')
def step_options_off(context, names):
    found = deployment.read(context.path).scheduler_options.without(names)
    assert not any(getattr(found, name.strip()) for name in names.split(",")), found


@then('without "{names}" reading it fails and names "{known}"')
def step_options_unknown(context, names, known):
    try:
        deployment.read(context.path).scheduler_options.without(names)
    except program_errors.ConfigurationError as exc:
        assert known in str(exc), exc
        return
    raise AssertionError("an unknown option was accepted")


@when("an instance is created from it")
def step_made(context):
    context.process = process.Process(deployment.read(context.path))


@then("it uses a configuration for {seconds:g} s after it was known to be the newest")
def step_max_age(context, seconds):
    assert context.process.catalog.max_age == seconds


class Stoppable:
    """Stands in for the scheduler, and records whether it was stopped when it ran."""

    def __init__(self, *args, **options):
        self.stopped = False

    def stop(self):
        self.stopped = True

    def run(self):
        self.stopped_when_run = self.stopped


@when("it is stopped while it claims the lease")
def step_stopped_as_it_claims(context):
    made = context.process
    made.clock = memory.Clock()
    made.limiter = types.SimpleNamespace(closing=False)
    made.front = types.SimpleNamespace(
        close=lambda: None, busy=lambda: False, stop=lambda timeout: None
    )
    context.claims, context.schedulers = 0, []

    def claim():
        context.claims += 1
        made.stop()
        return journal.HeldLease(journal.Lease("edge-1", "1", 7), 1, 1)

    def create(*args, **options):
        context.schedulers.append(Stoppable())
        return context.schedulers[-1]

    made.leadership.check = claim
    with unittest.mock.patch.object(process.scheduler, "Scheduler", create):
        made._lead_forever()


@then("it releases the lease at once and claims it no more")
def step_releases(context):
    assert context.claims == 1, context.claims
    (only,) = context.schedulers
    assert only.stopped_when_run


@then("the settings name the instance and the store")
def step_settings_read(context):
    found = deployment.read(context.path)
    assert (found.node_name, found.platform.address) == ("edge-1", "10.0.0.9:1")


@then('reading it fails and names "{name}"')
def step_settings_fail(context, name):
    try:
        deployment.read(context.path)
    except program_errors.ConfigurationError as exc:
        assert name in str(exc), exc
        return
    raise AssertionError("settings without the store were accepted")


@given("a peer that {state}")
def step_peer(context, state):
    context.peer = context.platform.address
    if state == "never answers":
        context.platform.silent.add("/q/1")
    if state == "is not there":
        context.platform.close()


@when("a caller's request is forwarded to it")
def step_forward(context):
    request = relaying.Request("POST", "jobs.example", "/q/1", b"{}")
    context.done = peering.HttpPeers().send(context.peer, request)


@then("it is answered with the status")
def step_forwarded(context):
    assert context.done.ok_value == relaying.Answer(404, "{}"), context.done
    method, path, body, headers = context.platform.calls[-1]
    assert (method, path, body) == ("POST", "/q/1", b"{}")
    assert headers["HOST"] == "jobs.example", headers


@then("it is left undecided")
def step_left_undecided(context):
    assert context.done.err_value == relaying.Unanswered(), context.done


@then("it is not sent")
def step_not_sent(context):
    assert context.done.err_value == relaying.NotSent(), context.done
