import ast
import json
import re
import socket
import time

import logbook
from behave import given, then, when
from tests.support import sources, stage, teams
from typer import testing

from mangosail.cli import main as commands
from mangosail.telemetry import counters, exposition, logs

#: Methods that record a metric, and the kind that docs/METRICS.md gives it.
KINDS = {"count": "count", "time": "time", "gauge": "gauge"}
ROW = re.compile(r"^\| `([^`]+)` \| (\w+) \| [^|]+ \| ([^|]*) ?\|$", re.M)


def pattern_of(path, node):
    """Return the metric name in a call, with <> for parts filled in at run time."""
    if sources.constant(node) is not None:
        return node.value
    if isinstance(node, ast.JoinedStr):
        return "".join(sources.constant(part) or "<>" for part in node.values)
    return f"{path.parts[2]}.<>"


def documented():
    text = (stage.ROOT / "docs/METRICS.md").read_text()
    return {
        (re.sub("<[^>]*>", "<>", name), kind): {
            r for r in re.split(", *", why.strip()) if r
        }
        for name, kind, why in ROW.findall(text)
    }


@given("the metrics that the code can send")
def collect(context):
    context.sent = {
        (pattern_of(path, call.args[0]), KINDS[name])
        for path, tree in sources.syntax_trees()
        for name, call in sources.calls(tree)
        if name in KINDS
        and isinstance(call.func, ast.Attribute)
        and ast.unparse(call.func.value).endswith("counters")
    }
    assert len(context.sent) > 10, context.sent


@then("docs/METRICS.md lists each of them, and no other")
def lists_each(context):
    listed = documented()
    covered = {
        (name.replace("<>", reason), kind)
        for (name, kind), reasons in listed.items()
        for reason in reasons
    }
    missing = context.sent - set(listed) - covered
    assert not missing, f"not in docs/METRICS.md: {sorted(missing)}"
    used = context.sent & set(listed)
    by_reason = {
        (name, kind)
        for name, kind in listed
        if any(
            (name.replace("<>", reason), kind) in context.sent
            for reason in listed[name, kind]
        )
    }
    stale = set(listed) - used - by_reason
    assert not stale, f"in docs/METRICS.md but not in the code: {sorted(stale)}"


@then("each name with a placeholder has its reasons listed")
def reasons_listed(context):
    without_reasons = [
        n for (n, _), reasons in documented().items() if "<>" in n and not reasons
    ]
    assert not without_reasons, f"without reasons in docs/METRICS.md: {without_reasons}"


@given("a statsd server")
def statsd_server(context):
    context.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.server.bind(("127.0.0.1", 0))
    context.server.settimeout(10)
    context.add_cleanup(context.server.close)
    context.port = context.server.getsockname()[1]


@given("a statsd server that is gone")
def no_statsd_server(context):
    statsd_server(context)
    context.server.close()


@when("500 counts, 300 times and a gauge are recorded and flushed")
def record(context):
    started = time.monotonic()
    context.counters = counters.StatsdCounters("127.0.0.1", context.port)
    for number in range(500):
        context.counters.count(f"slice.refused.reason{number % 5}")
    for number in range(300):
        context.counters.time("slice.time", number / 1000)
    context.counters.gauge("slice.depth", 7)
    context.counters.flush()
    context.took = time.monotonic() - started


@then("the server gets at most {most:d} packets")
def packets(context, most):
    context.lines, received = [], 0
    while not any("slice.depth" in line for line in context.lines):
        context.lines += context.server.recv(65536).decode().splitlines()
        received += 1
    assert received <= most, received


@then("they add up to {counts:d} counts, {times:d} times and the gauge")
def add_up(context, counts, times):
    total = sum(int(re.search(r":(\d+)\|c", line)[1]) for line in context.lines[:5])
    assert total == counts, context.lines
    assert sum(line.endswith("|ms") for line in context.lines) == times
    assert context.lines[-1] == "mangosail.slice.depth:7|g", context.lines[-1]


@then("that took less than {most:d} second")
def took_less(context, most):
    assert context.took < most, context.took


@then("the snapshot holds {count:d} counts")
def snapshot_holds(context, count):
    assert sum(context.counters.snapshot().values()) == count


def log_line(request_id):
    out = bytearray()
    token = logs.REQUEST_ID.set(request_id)
    handler = logs.setup("shymkent-0", "shymkent", write=lambda data: take(out, data))
    logbook.Logger("ownership").info("worker taken", worker="w", generation=3)
    logs.REQUEST_ID.reset(token)
    handler.flush()
    return json.loads(out)


def take(out, data):
    out.extend(data)
    return len(data)


@given("a stalled reader of the log")
def stalled_reader(context):
    context.out = bytearray()
    context.taking = False
    context.handler = logs.BoundedHandler(
        lambda data: take(context.out, data) if context.taking else 0, "INFO"
    )


@when("{count:d} lines of {events:d} events are logged")
def many_lines(context, count, events):
    began = time.monotonic()
    with context.handler.applicationbound():
        for number in range(count):
            logbook.Logger("x").info(f"event {number % events}", number=number)
        context.handler.flush()
    context.took = time.monotonic() - began


@when("{count:d} lines with a path of {length:d} characters are logged")
def long_lines(context, count, length):
    with context.handler.applicationbound():
        for number in range(count):
            path = "/" + "a" * length
            # Of many events, as lines of one are bounded for each second.
            logbook.Logger("x").info(f"event {number % 50}", path=path)


@then("the buffer holds less than {megabytes:d} MB")
def buffer_small(context, megabytes):
    held = sum(len(line) for line in context.handler.lines)
    assert len(context.handler.lines) == 4000
    assert held < megabytes * 1_000_000, held


@when("the reader resumes")
def reader_goes_on(context):
    context.taking = True
    with context.handler.applicationbound():
        context.handler.flush()
        context.handler.flush()
    context.lines = [json.loads(line) for line in context.out.splitlines()]


@then("the lines dropped are counted, and with those written make {count:d}")
def left_out(context, count):
    reports = [line for line in context.lines if line["event"] == "lines left out"]
    assert reports
    written = len(context.lines) - len(reports)
    assert written + sum(line["count"] for line in reports) == count


@given("a process that has counted and timed")
def counted(context):
    context.counters = counters.StatsdCounters(None, 0)
    context.counters.count("front.refused.no_capacity", 3)
    for seconds in (0.0005, 0.03, 20.0):
        context.counters.time("orders.start", seconds)


@then("the metrics address shows {count:d} refusals and {times:d} times")
def shows(context, count, times):
    app = exposition.Exposition(context.counters)
    text = b"".join(app({}, lambda status, headers: None)).decode()
    assert f"mangosail_front_refused_no_capacity_total {count}.0" in text, text
    assert f"mangosail_orders_start_seconds_count {times}.0" in text, text
    assert 'mangosail_orders_start_seconds_bucket{le="0.05"} 2.0' in text, text


@when('a change of state is logged while request "{request_id}" is served')
def logged_in_request(context, request_id):
    context.line = log_line(request_id)


@when("a change of state is logged while no request is served")
def logged_outside(context):
    context.line = log_line("")


@then("the line names the instance, the data centre, the request and generation 3")
def line_names(context):
    del context.line["time"]
    assert context.line == {
        "level": "info", "slice": "ownership", "event": "worker taken",
        "instance": "shymkent-0", "data_centre": "shymkent", "request_id": "r-7",
        "worker": "w", "generation": 3,
    }, context.line  # fmt: skip


@then("the line names no request")
def line_names_none(context):
    assert "request_id" not in context.line, context.line


@given("an instance that sends to it")
def sending_instance(context):
    context.stage = stage.Stage()
    context.stage.start_platform()
    context.stage.write_settings("fuel-desk", teams.example("fuel-desk"))
    context.stage.start_workers("shymkent", 1)
    address = f"127.0.0.1:{context.port}"
    context.stage.start_instance(
        "shymkent-0", "shymkent", env={"MANGOSAIL_STATSD_ADDRESS": address}
    )
    context.stage.wait_ready()


@when("a quote and a release are asked for")
def ask(context):
    for operation in ("quote", "release"):
        path = f"/v1/services/fuel/{operation}"
        answer = context.stage.call(
            "shymkent-0", "POST", path, {}, teams.bearer("fuel-desk-token")
        )
        assert answer.status == 200, answer


@then('the server is sent "{first}" and "{second}"')
def is_sent(context, first, second):
    seen = set()
    while not {first, second} <= seen:
        lines = context.server.recv(65536).decode().splitlines()
        seen |= {line.partition(":")[0] for line in lines}


EXAMPLE_LOGS = """\
 12.5 edge-2 {"time":"2026-01-01T00:00:02","instance":"edge-2","event":"ended",\
"slice":"reports","task":"aa.0.0.1","outcome":"done"}
{"time":"2026-01-01T00:00:00","instance":"edge-1","event":"handed in",\
"slice":"intake","job":"aa","outcome":"accepted"}
{"time":"2026-01-01T00:00:00.5","instance":"edge-2","event":"job taken",\
"slice":"scheduler","job":"bb"}
{"time":"2026-01-01T00:00:01","instance":"edge-2","event":"worker lost",\
"slice":"reports","worker":"w"}
{"time":"2026-01-01T00:00:01.5","instance":"edge-2","event":"started",\
"slice":"orders","task":"aa.0.0.1"}
{"time":"cut off
"""


@given('logs of two instances about the jobs "aa" and "bb"')
def example_logs(context):
    context.log_text = EXAMPLE_LOGS


@when('the job "{job_id}" is explained')
def explained(context, job_id, *options):
    arguments = ["explain", job_id, *options]
    context.done = testing.CliRunner().invoke(
        commands.app, arguments, input=context.log_text
    )


@when('the job "{job_id}" is explained with what happened around it')
def explained_around(context, job_id):
    explained(context, job_id, "--around")


@then("its three lines come in order of time, and none of the other job")
def three_lines(context):
    events = [line.split("edge-")[1][2:].strip() for line in output_lines(context)]
    assert [e.split()[0] for e in events] == ["handed", "started", "ended"], events


def output_lines(context):
    assert context.done.exit_code == 0, context.done.output
    return context.done.output.splitlines()


@then("the lost worker is shown between them")
def lost_between(context):
    assert "worker lost" in output_lines(context)[1], output_lines(context)


@then("the command fails and says that no line is about it")
def no_line(context):
    assert context.done.exit_code == 2, context.done
    assert "no line of the logs" in context.done.output, context.done.output


def line(at, event, **fields):
    common = {"time": f"2026-01-01T00:00:{at:06.3f}", "instance": "edge-1"}
    return json.dumps({**common, "event": event, "slice": "any", **fields})


@given('logs of three jobs of the queue "q"')
def three_jobs(context):
    context.log_text = "\n".join(
        (
            line(1, "handed in", job="aa", queue="q", outcome="accepted"),
            line(1.1, "job taken", job="aa", queue="q"),
            line(2.1, "started", task="aa.0.0.0", run=1),
            line(3, "waiting again", task="aa.0.0.0", reason="worker_lost"),
            line(4, "started", task="aa.0.0.0", run=2),
            line(6.1, "job ended", job="aa", state="completed"),
            line(2, "job taken", job="bb", queue="q"),
            line(5, "started", task="bb.0.0.0", run=1),
            line(7, "handed in", job="cc", queue="q", outcome="refused"),
            "no line of ours",
        )
    )


@when("all jobs are reported on")
def reported(context, *options):
    arguments = ["report", *options]
    context.done = testing.CliRunner().invoke(
        commands.app, arguments, input=context.log_text
    )


@when("all jobs are reported on as JSON")
def reported_json(context):
    reported(context, "--json")


@then("the queue has {jobs:d} jobs, {completed:d} completed, {still_open:d} open")
def queue_counts(context, jobs, completed, still_open):
    context.cells = output_lines(context)[1].split()
    assert context.cells[:4] == ["q", str(jobs), str(completed), str(still_open)]


@then("half of them waited {seconds:f} s for a start")
def queue_waits(context, seconds):
    assert float(context.cells[8]) == seconds, context.cells


@then('"{first}" and "{second}" are counted once')
def queue_reasons(context, first, second):
    rows = {" ".join(row.split()) for row in output_lines(context)[2:]}
    assert rows == {f"1 {first}", f"1 {second}"}, rows


@then("the JSON has the same figures by name")
def queue_json(context):
    queue = json.loads(context.done.output)["q"]
    assert queue["jobs"] == 3 and queue["states"] == {"completed": 1}, queue
    assert queue["parts"]["to start"]["half"] == 2.0, queue
