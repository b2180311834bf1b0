"""Clients that don't behave: a process with many connections to one address.

``python -m tests.standins.crowd KIND COUNT ADDRESS`` opens `COUNT` connections, prints
"in place" once each has sent its first part, and goes on until it is terminated. Each
client behaves as `KIND` says; one whose connection is closed connects again.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import itertools  # noqa: E402
import random  # noqa: E402
import socket  # noqa: E402
import ssl  # noqa: E402

import gevent  # noqa: E402
import gevent.event  # noqa: E402

HOST = "jobs.example"
PATH = "/q/"
#: Paths of jobs are the queue's with an id of 16 hexadecimal digits.
JOB_PATH = "/q/00000000000000aa"
START = f"GET {PATH} HTTP/1.1\r\nHost: {HOST}\r\n".encode()
POST = f"POST {JOB_PATH} HTTP/1.1\r\nHost: {HOST}\r\n".encode()
REQUEST = START + b"\r\n"
#: One header line that is a little shorter than what http.client reads as one.
LONG_LINE = b"X-A: " + b"a" * 64993 + b"\r\n"
LONG_LINES = 95
#: A head of short lines that is just inside 16,384 bytes.
SHORT_LINES = b"".join(b"%x:\r\n" % number for number in range(0x200, 0xB00))
BODY_BYTES = 262_000
#: Seconds between two pieces of a client that is slow.
DRIP_S = 0.3
#: Seconds after which a client whose connection was closed connects again.
RECONNECT_S = 0.2
#: Seconds for which a client waits for what it does to be possible.
TIMEOUT_S = 600.0
#: Seconds after which the crowd is in place, even if a client could send nothing.
PLACED_S = 15.0


class Client:
    """One connection; `placed` is set once its first part was sent."""

    def __init__(self, address):
        self.address = address
        self.placed = gevent.event.Event()
        self.sock = None

    def connect(self):
        host, _, port = self.address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)

    def send(self, data):
        self.sock.sendall(data)

    def hold(self):
        """Keep the connection until the other end closes it."""
        self.placed.set()
        while self.sock.recv(65536):
            pass

    def repeat(self, piece, pause=0.0):
        """Send a piece without end."""
        while True:
            self.send(piece)
            self.placed.set()
            gevent.sleep(pause)


def silent(client):
    client.hold()


def dripped_request_line(client):
    client.send(b"GET /")
    client.repeat(b"a", DRIP_S)


def long_heads_left_open(client):
    client.send(START + LONG_LINE * LONG_LINES)
    client.hold()


def long_heads_completed(client):
    client.send(START + LONG_LINE * LONG_LINES + b"\r\n")
    client.hold()


def endless_header_lines(client):
    client.send(START)
    client.repeat(b"X-A: " + b"a" * 1000 + b"\r\n")


def endless_header_line(client):
    client.send(START + b"X-A: ")
    client.repeat(b"a" * 10_000)


def endless_request_line(client):
    client.send(b"GET /")
    client.repeat(b"a" * 10_000)


def endless_empty_lines(client):
    client.repeat(b"\r\n" * 5_000)


def slow_empty_lines(client):
    client.repeat(b"\r\n" * 50, DRIP_S)


def long_line_left_open(client):
    client.send(START + b"X-A: " + b"a" * 1_000_000)
    client.hold()


def short_lines_without_a_body(client):
    client.send(POST + b"Content-Length: 100\r\n" + SHORT_LINES + b"\r\n")
    client.hold()


def bodies_left_open(client):
    length = b"Content-Length: %d\r\n\r\n" % (BODY_BYTES + 100)
    client.send(POST + length + b" " * BODY_BYTES)
    client.hold()


def chunked_bodies_left_open(client):
    chunk = b"%x\r\n" % BODY_BYTES + b" " * BODY_BYTES + b"\r\n"
    client.send(POST + b"Transfer-Encoding: chunked\r\n\r\n" + chunk)
    client.hold()


def endless_trailers(client):
    client.send(POST + b"Transfer-Encoding: chunked\r\n\r\n0\r\n")
    client.repeat(b"X-A: a\r\n" * 1_000)


def endless_small_chunks(client):
    client.send(POST + b"Transfer-Encoding: chunked\r\n\r\n")
    client.repeat(b"1\r\n \r\n" * 1_000)


def pipelined_requests(client):
    """Send requests without end, and read the answers."""
    gevent.spawn(read_all, client.sock)
    client.repeat(REQUEST * 100)


def pipelined_large_heads(client):
    """The same, with as many header lines as the limit allows."""
    gevent.spawn(read_all, client.sock)
    client.repeat(START + SHORT_LINES + b"\r\n")


def pipelined_unknown_jobs(client):
    """The same, each for another job that the store has to be asked for."""
    gevent.spawn(read_all, client.sock)
    for number in itertools.count():
        path = f"{PATH}{random.getrandbits(32):08x}{number:08x}"
        client.send(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        client.placed.set()
        gevent.sleep(0)


def hasty(client):
    """Send a request, close without reading the answer, and connect again at once."""
    while True:
        client.send(REQUEST)
        client.placed.set()
        client.sock.close()
        client.connect()


def unread_answers(client):
    client.repeat(REQUEST * 1_000)


def half_a_handshake(client):
    """Begin a TLS handshake, and never go on."""
    context = ssl.create_default_context()
    sent = ssl.MemoryBIO()
    tls = context.wrap_bio(ssl.MemoryBIO(), sent, server_hostname=HOST)
    try:
        tls.do_handshake()
    except ssl.SSLWantReadError:
        pass
    client.send(sent.read())
    client.hold()


def read_all(sock):
    try:
        while sock.recv(65536):
            pass
    except (OSError, ValueError):
        # Closed, the latter by this client over TLS.
        pass


KINDS = {
    kind.__name__.replace("_", "-"): kind
    for kind in (
        silent, dripped_request_line, long_heads_left_open, long_heads_completed,
        endless_header_lines, endless_header_line, endless_request_line,
        endless_empty_lines, slow_empty_lines, long_line_left_open,
        short_lines_without_a_body, bodies_left_open, chunked_bodies_left_open,
        endless_trailers,
        endless_small_chunks, pipelined_requests, pipelined_large_heads,
        pipelined_unknown_jobs, hasty, unread_answers, half_a_handshake,
    )
}  # fmt: skip


def run(client, behave, wrap):
    while True:
        try:
            client.connect()
            client.sock = wrap(client.sock)
            behave(client)
        except OSError:
            pass
        # Refused or closed: this client has shown what it does.
        client.placed.set()
        if client.sock is not None:
            client.sock.close()
        gevent.sleep(RECONNECT_S)


def encrypt(sock):
    """Let a client that does not check certificates finish its handshake."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context.wrap_socket(sock)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("count", type=int)
    parser.add_argument("address")
    parser.add_argument("--tls", action="store_true")
    args = parser.parse_args()
    wrap = encrypt if args.tls else lambda sock: sock
    clients = [Client(args.address) for _ in range(args.count)]
    for client in clients:
        gevent.spawn(run, client, KINDS[args.kind], wrap)
    gevent.wait([client.placed for client in clients], timeout=PLACED_S)
    print("in place", flush=True)
    gevent.sleep(TIMEOUT_S)


if __name__ == "__main__":
    main()
