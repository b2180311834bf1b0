"""Single requests to one calm instance, inside and outside the operator's limits."""

import json
import random
import socket
import time

from behave import given, then, when
from tests.support import deployed, raw_http, stage

INSTANCE = "instance-0"
JOB_PATH = deployed.PREFIX + "5c0e7a21d94b36f8"
JOB = b'{"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":1}]}'
HOST = f"Host: {deployed.HOST}\r\n".encode()
START = f"GET {deployed.PREFIX} HTTP/1.1\r\n".encode() + HOST
POST = f"POST {JOB_PATH} HTTP/1.1\r\n".encode() + HOST
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
#: Seconds after which a refusal counts as never sent.
GIVE_UP_S = 30.0
METRICS_PORT = 9464
SEND_BUFFER_BYTES = 8192
SEED = 72
#: Pieces of which random requests are made.
PIECES = (
    START, POST, CHUNKED, JOB, b"\r\n", b"\n", b"\r", b" ", b":", b"\0", b"\xff", b"0",
    b"HTTP/1", b"HTTP/9.9", b"GET", b"GET / HTTP/1.1\r\n", b"Content-Length: 5\r\n",
    b"Content-Length: -1\r\n", b"Content-Length: x\r\n", b"Connection: upgrade\r\n",
    b"Transfer-Encoding: chunked\r\n", b"5\r\nhello\r\n", b"0\r\n\r\n", b"g\r\n", b";",
    b"Expect: 100-continue\r\n", b"Upgrade: websocket\r\n", b" folded\r\n", b"%zz",
    b"Content-Type: multipart/form-data\r\n", b"Cookie: a=b\r\n", b"?a=b&a",
    b"\x16\x03",
)  # fmt: skip


def padded(size):
    return JOB + b" " * (size - len(JOB))


def with_length(body):
    return POST + b"Content-Length: %d\r\n\r\n" % len(body) + body


def in_chunks(body, size):
    chunks = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)


def header(size):
    return START + b"X-A: " + b"a" * (size - 5) + b"\r\n\r\n"


def query(size):
    line = f"GET {deployed.PREFIX}?{'a' * size} HTTP/1.1\r\n".encode()
    return line + HOST + b"\r\n"


def lines(count):
    return START + b"".join(b"H-%d: %030d\r\n" % (n, n) for n in range(count)) + b"\r\n"


REQUESTS = {
    "300 short header lines": lines(300),
    "a header of 16000 bytes": header(16_000),
    "a query of 12000 bytes": query(12_000),
    "an empty line before it": b"\r\n" + START + b"\r\n",
    "a pipelined second request": (START + b"\r\n") * 2,
    "a chunked job": CHUNKED + in_chunks(JOB, 20) + b"0\r\n\r\n",
    "a chunked job and a trailer": CHUNKED
    + in_chunks(JOB, 20)
    + b"0\r\nX-A: a\r\n\r\n",
    "a job in chunks of one byte": CHUNKED + in_chunks(padded(9_000), 1) + b"0\r\n\r\n",
    "a job of 262144 bytes": with_length(padded(262_144)),
    "a header of 400000 bytes": header(400_000),
    "5000 header lines": lines(5_000),
    "a query of 400000 bytes": query(400_000),
    "a job of 500000 bytes": with_length(padded(500_000)),
    "a chunked job of 500000 bytes": CHUNKED + in_chunks(padded(500_000), 20_000),
    "headers that never end": START + b"X-A: ",
    "a body that never ends": POST + b"Content-Length: 100\r\n\r\n" + JOB,
    "a request line of one word": b"hello\r\n\r\n",
    "a version of one digit": b"GET / HTTP/1\r\n\r\n",
    "a header line of one word": START + b"hello\r\nContent-Length: 0\r\n\r\n",
    "a chunk of no number": CHUNKED + b"hello\r\n",
    "400000 bytes of empty lines": b"\r\n" * 200_000,
}


@given(
    "an instance whose operator allows {head:d} bytes of headers within {timeout:d} ms"
)
def start(context, head, timeout):
    context.stage = deployed.Deployment(seed=1)
    context.add_cleanup(context.stage.close)
    limits = {"max_header_bytes": head, "max_body_bytes": 262_144,
              "header_timeout_ms": timeout, "idle_timeout_ms": 1500}  # fmt: skip
    context.stage.config = {**deployed.CONFIG, "limits": limits}
    context.stage.start_store()
    host = deployed.host_of(0)
    context.stage.add_instance(INSTANCE, host)
    context.address = context.stage.fronts[INSTANCE]
    context.metrics = f"{host}:{METRICS_PORT}"
    stage.wait_until(lambda: deployed.answers(context.address), what="instance")


def connect(context):
    host, _, port = context.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=GIVE_UP_S)


@when("a request is sent with a job after 100 Continue")
def send_after_continue(context):
    with connect(context) as connection, connection.makefile("rb") as file:
        connection.sendall(
            POST + b"Content-Length: %d\r\nExpect: 100-continue\r\n\r\n" % len(JOB)
        )
        assert file.readline() == b"HTTP/1.1 100 Continue\r\n"
        file.readline()
        connection.sendall(JOB)
        context.answer = raw_http.read_answer(file)


@when("a request is sent with half a head, then its end")
def send_half(context):
    with connect(context) as connection, connection.makefile("rb") as file:
        connection.sendall(START + b"X-A: a")
        connection.shutdown(socket.SHUT_WR)
        context.answer = raw_http.read_answer(file)


@when("a request is sent with a pipelined second request")
def send_two(context):
    with connect(context) as connection, connection.makefile("rb") as file:
        connection.sendall(REQUESTS["a pipelined second request"])
        assert raw_http.read_answer(file)[0] == 200
        context.answer = raw_http.read_answer(file)


@when("a request is sent with {what}")
def send(context, what):
    with connect(context) as connection, connection.makefile("rb") as file:
        # Everything is sent before the answer is read, whatever was refused, and most
        # of it only once the instance has read what came before.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        connection.sendall(REQUESTS[what])
        context.answer = raw_http.read_answer(file)


@then("it is answered 200")
def is_served(context):
    assert context.answer[0] == 200, context.answer


@then('it is answered {status:d} with the title "{title}"')
def is_refused(context, status, title):
    context.title = title
    content = json.loads(context.answer[1])
    assert (context.answer[0], content["title"]) == (status, title), context.answer
    assert content["outcome"] == "not_run", content


@then("the refusal is counted, and in the log")
def counted(context):
    name = f"mangosail_front_refused_{context.title}_total 1.0"
    metrics = stage.call(context.metrics, "GET", "/metrics").body.decode()
    assert name in metrics.splitlines(), metrics
    log = context.stage.logs / f"{INSTANCE}.log"
    stage.wait_until(
        lambda: f'"reason":"{context.title}"' in log.read_text(), what="a log line"
    )


@when("a client connects, and sends nothing")
def connect_silently(context):
    with connect(context) as connection:
        context.received = connection.recv(1000)


@then("its connection is closed without an answer")
def is_closed(context):
    assert context.received == b"", context.received


@when("{count:d} random requests are sent, by a fixed seed")
def send_random(context, count):
    rand = random.Random(SEED)
    context.statuses = []
    for _ in range(count):
        data = b"".join(rand.choices(PIECES, k=rand.randint(1, 12)))
        with connect(context) as connection, connection.makefile("rb") as file:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            line = file.readline()
        context.statuses.append(int(line.split()[1]) if line else None)


@then("each of them is answered, or its connection closed")
def all_answered(context):
    faults = [status for status in context.statuses if status in (500, 502)]
    assert not faults, faults
    assert context.statuses.count(400) > 10, context.statuses


@then("nothing was counted as an internal error, and no error was printed")
def no_internal_error(context):
    # Lines are written five times a second.
    time.sleep(0.5)
    metrics = stage.call(context.metrics, "GET", "/metrics").body.decode()
    assert "internal_error" not in metrics, metrics
    log = (context.stage.logs / f"{INSTANCE}.log").read_text()
    assert "Traceback" not in log, log
