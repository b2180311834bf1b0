import json
import signal
import socket
import threading
import time

from behave import given, then, when
from tests.support import deployed, stage

NAME = "instance-0"
JOB = b'{"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":1}]}'


@given("a process on the platform")
def step_process(context):
    context.deployment = deployed.Deployment(seed=1)
    # Longer than what is left of a stop for half a request.
    limits = {"header_timeout_ms": 5000}
    context.deployment.config = {**deployed.CONFIG, "limits": limits}
    context.add_cleanup(context.deployment.close)
    store = context.deployment.store
    context.deployment.start(
        "store", "-m", "tests.standins.store", "--address", store, "--seed", "1"
    )
    stage.wait_until(lambda: stage.call(store, "GET", "/dump"), what="store")
    context.deployment.configure()
    context.deployment.add_instance(NAME, deployed.host_of(0))
    front = context.deployment.fronts[NAME]
    stage.wait_until(lambda: deployed.answers(front), what="instance")


def peer_address(context):
    path = context.deployment.logs / f"{NAME}.json"
    settings = json.loads(path.read_text())
    return f"{settings['ip']}:{settings['internal_ports'][0]}"


def connect(address):
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10)


def head(method, length):
    return (
        f"{method} {deployed.PREFIX}5c0e7a21d94b36f8 HTTP/1.1\r\n"
        f"Host: {deployed.HOST}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def send_slowly(context, address, seconds, begin_at):
    """Send a job in two halves, `seconds` apart, and note the response's first line."""
    time.sleep(max(begin_at - time.monotonic(), 0.0))
    context.response = b""
    with connect(address) as connection:
        connection.sendall(head("POST", len(JOB)) + JOB[:10])
        time.sleep(seconds)
        try:
            connection.sendall(JOB[10:])
            context.response = connection.makefile("rb").readline()
        except OSError as exc:
            context.response = repr(exc).encode()


def stop(context):
    context.deployment.signal(NAME, signal.SIGTERM)
    context.signalled_at = time.monotonic()
    return context.signalled_at


def await_exit(context):
    context.status = context.deployment.processes[NAME].wait(10)
    context.took = time.monotonic() - context.signalled_at


def stop_during(context, address, seconds, begin):
    begin_at = stop(context) + begin
    sender = threading.Thread(
        target=send_slowly, args=(context, address, seconds, begin_at)
    )
    sender.start()
    await_exit(context)
    sender.join()


@when(
    "it is stopped while a caller takes {seconds:g} s to send a job, begun {begin:g} s"
    " after the signal"
)
def step_slow_caller(context, seconds, begin):
    stop_during(context, context.deployment.fronts[NAME], seconds, begin)


@when(
    "it is stopped while a peer takes {seconds:g} s to pass on a job, begun {begin:g} s"
    " after the signal"
)
def step_slow_peer(context, seconds, begin):
    stop_during(context, peer_address(context), seconds, begin)


@when("it is stopped while a connection of a caller is idle")
def step_idle(context):
    with connect(context.deployment.fronts[NAME]):
        stop(context)
        await_exit(context)


@when(
    "it is stopped while a caller sends half of its headers, {begin:g} s after the"
    " signal"
)
def step_half_headers(context, begin):
    stop(context)
    time.sleep(begin)
    with connect(context.deployment.fronts[NAME]) as connection:
        connection.sendall(head("GET", 0)[:60])
        await_exit(context)


@then("the caller is told that the job was accepted")
@then("the peer is told that the job was accepted")
def step_accepted(context):
    assert context.response.startswith(b"HTTP/1.1 200 "), context.response


@then(
    "the process has ended within {seconds:g} s of the signal, with status {status:d}"
)
def step_ended(context, seconds, status):
    assert context.status == status, context.status
    assert context.took < seconds, context.took


@then('it has logged "{event}"')
def step_logged(context, event):
    text = (context.deployment.logs / f"{NAME}.log").read_text()
    events = [json.loads(x)["event"] for x in text.splitlines() if x.startswith("{")]
    assert event in events, events[-5:]
