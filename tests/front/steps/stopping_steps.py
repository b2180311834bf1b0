import itertools
import json
import signal
import socket
import threading
import time

from behave import given, then, when
from tests.support import stage, teams

ORDER = "/v1/services/fuel/release"
STOPPED = "duran-0"
PEER = "duran-1"
ORDERS = 3
SEQUENCE_NUMBERS = itertools.count()
#: Seconds that starting and ending the process itself may take.
EXIT_MARGIN_S = 0.5


def two_instances(context, drain_seconds=30):
    """Start two instances, of which `STOPPED` stops within `drain_seconds`."""
    context.stage = stage.Stage()
    context.add_cleanup(context.stage.close)
    context.stage.start_platform(lag=0.2)
    context.stage.write_settings("fuel-desk", teams.example("fuel-desk"))
    context.stage.start_workers("duran", 2)
    context.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(context.statsd.close)
    context.statsd.bind(("127.0.0.1", 0))
    env = {
        "MANGOSAIL_DRAIN_SECONDS": str(drain_seconds),
        "MANGOSAIL_STATSD_ADDRESS": f"127.0.0.1:{context.statsd.getsockname()[1]}",
    }
    for name in (STOPPED, PEER):
        context.stage.start_instance(name, "duran", env)
    context.stage.wait_ready()
    stage.wait_until(lambda: len(set(owners(context))) == 2, 10, "a worker for each")


def owners(context):
    """Return the owner of each worker according to the table."""
    rows = stage.call(context.stage.platform, "GET", "/rows?prefix=owner/").json()
    owned = [json.loads(row["value"]) for row in rows]
    return [row["instance"] for row in owned]


def send_orders(context, seconds):
    context.answers, context.titles = [], []

    def send(number):
        body = {"order": f"o{number}", "work_seconds": seconds}
        headers = teams.bearer(
            "fuel-desk-token", Request_Id=f"o{number}", Request_Timeout=60
        )
        try:
            answer = context.stage.call(STOPPED, "POST", ORDER, body, headers, 70)
            context.answers.append((answer.status, answer.json()["outcome"]))
            context.titles.append(answer.json().get("title"))
        except (OSError, ValueError) as exc:
            context.answers.append((0, repr(exc)))

    context.callers = [
        threading.Thread(target=send, args=(next(SEQUENCE_NUMBERS),), daemon=True)
        for _ in range(ORDERS)
    ]
    for caller in context.callers:
        caller.start()
    starts = context.stage.execution_log
    stage.wait_until(
        lambda: len([e for e in starts() if e["event"] == "start"]) == ORDERS,
        10,
        "orders started",
    )


@given("two instances, and orders of {seconds:d} s in flight at one of them")
def with_orders(context, seconds):
    two_instances(context)
    send_orders(context, seconds)


@given(
    "two instances, and orders of {seconds:d} s in flight at one that stops within"
    " {limit:d} s"
)
def with_long_orders(context, seconds, limit):
    two_instances(context, limit)
    send_orders(context, seconds)


@when("this instance is stopped")
def stop(context):
    stop_with(context, 0)


#: Faults of the platform by the state of its table.
AWAY = {
    "answers nothing": {"cut": [STOPPED]},
    "refuses all": {"table": "down"},
}


@when("this instance is stopped while the table {state}")
def stop_without_table(context, state):
    context.stage.faults(**AWAY[state])
    stop_with(context, 0)


@when("this instance is stopped and gets {count:d} more signals")
def stop_with(context, count):
    began_at = time.monotonic()
    process = context.stage.processes[STOPPED]
    for _ in range(count + 1):
        context.stage.signal(STOPPED, signal.SIGTERM)
        time.sleep(0.3 if count else 0)
    context.exit_status = process.wait(timeout=40)
    context.exited_at = time.monotonic()
    context.took = context.exited_at - began_at


@then("all orders are answered as completed")
def completed(context):
    for caller in context.callers:
        caller.join(10)
    assert context.answers == [(200, "completed")] * ORDERS, context.answers


@then("it has exited with {status:d}")
def has_exited(context, status):
    assert context.exit_status == status, context.exit_status


@then("it took at most {seconds:d} s")
def in_time(context, seconds):
    assert context.took < seconds + EXIT_MARGIN_S, context.took


@then("the peer owns all workers within {seconds:d} s of its exit")
def taken_over(context, seconds):
    left = context.exited_at + seconds - time.monotonic()
    stage.wait_until(lambda: owners(context) == [PEER, PEER], left, "all workers taken")


@then('it has logged "{event}"')
def has_logged(context, event):
    lines = (context.stage.logs / f"{STOPPED}.log").read_text().splitlines()
    events = [json.loads(line)["event"] for line in lines if line.startswith("{")]
    assert event in events, events[-5:]


def statsd_packets(context):
    context.statsd.settimeout(0.2)
    received = []
    try:
        while True:
            received.append(context.statsd.recv(65536).decode())
    except TimeoutError:
        return "\n".join(received)


@then('it has sent the counter "{name}" to statsd')
def has_counted(context, name):
    packets = statsd_packets(context)
    assert f"mangosail.{name}:1|c" in packets, packets[-300:]


@then('it has not sent the counter "{name}" to statsd')
def has_not_counted(context, name):
    packets = statsd_packets(context)
    assert "mangosail." in packets and f"mangosail.{name}:" not in packets


@then('all orders are answered {status:d} "{title}" with outcome "{outcome}"')
def cut_off(context, status, title, outcome):
    for caller in context.callers:
        caller.join(10)
    assert context.answers == [(status, outcome)] * ORDERS, context.answers
    assert context.titles == [title] * ORDERS, context.titles


@given("an instance with workers, and one without that has passed on a quote of 3 s")
def quote_passed_on(context):
    context.stage = stage.Stage()
    context.add_cleanup(context.stage.close)
    context.stage.start_platform(lag=0.2)
    context.stage.write_settings("fuel-desk", teams.example("fuel-desk"))
    context.stage.start_workers("duran", 2)
    context.stage.start_instance(STOPPED, "duran")
    context.stage.start_instance("taraz-0", "taraz")
    context.stage.wait_ready()
    context.answers = []
    context.caller = threading.Thread(target=send_long_quote, args=(context,))
    context.caller.start()
    starts = context.stage.execution_log
    stage.wait_until(lambda: any(e["event"] == "start" for e in starts()), 10, "start")


def send_long_quote(context):
    answer = context.stage.call(
        "taraz-0",
        "POST",
        "/v1/services/fuel/quote",
        {"tail": "UP-1", "work_seconds": 3.0},
        teams.bearer("fuel-desk-token", Request_Id="long", Request_Timeout=10),
        timeout=15,
    )
    context.answers.append((answer.status, answer.body))


@when("the instance with workers is stopped")
def stop_with_workers(context):
    stop_with(context, 0)


@then("the quote is answered {status:d}")
def quote_answered(context, status):
    context.caller.join(15)
    assert [a[0] for a in context.answers] == [status], context.answers
    assert context.took < 6, context.took


@given("two instances, and {count:d} open connections to one of them")
def with_connections(context, count):
    two_instances(context)
    host, _, port = context.stage.instances[STOPPED].rpartition(":")
    context.connections = []
    for _ in range(count):
        connection = socket.create_connection((host, int(port)), timeout=10)
        context.add_cleanup(connection.close)
        context.connections.append(connection)


@when("this instance is stopped beside a slow table")
def stop_with_slow_table(context):
    context.stage.faults(table="slow")
    context.stage.signal(STOPPED, signal.SIGTERM)
    context.signalled_at = time.monotonic()


@when(
    "a quote is sent on each connection, from {first:g} s to {last:g} s after the"
    " signal"
)
def send_quotes(context, first, last):
    context.responses = {}
    interval = (last - first) / len(context.connections)
    senders = []
    for number, connection in enumerate(context.connections):
        at = context.signalled_at + first + number * interval
        senders.append(
            threading.Thread(
                target=send_quote, args=(context, connection, f"open-{number}", at)
            )
        )
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    context.stage.processes[STOPPED].wait(timeout=40)


def send_quote(context, connection, request_id, at):
    """Send a quote and note the whole response, empty if there is none."""
    body = b'{"tail": "UP-1", "work_seconds": 0.05}'
    head = (
        "POST /v1/services/fuel/quote HTTP/1.1\r\nHost: x\r\n"
        "Authorization: Bearer fuel-desk-token\r\n"
        f"Request-Id: {request_id}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    context.responses[request_id] = b""
    time.sleep(max(at - time.monotonic(), 0.0))
    try:
        connection.sendall(head.encode() + body)
        context.responses[request_id] = connection.makefile("rb").read()
    except OSError:
        return


@then(
    "each of them is answered 200 or refused as not run, or its connection was closed"
    " and no worker began it"
)
def answered_or_not_begun(context):
    log = context.stage.execution_log()
    started = " ".join(e["task_id"] for e in log if e["event"] == "start")
    wrong = [
        (request_id, response[:60])
        for request_id, response in context.responses.items()
        if not response.startswith(b"HTTP/1.1 200 ")
        and b'"outcome":"not_run"' not in response
        and (response or f"/{request_id}~" in started)
    ]
    assert len(context.responses) == len(context.connections)
    assert not wrong, (len(wrong), wrong[:3])
