"""A loopback proxy in front of one worker that delays one order.

It passes requests on one by one. The first start that comes while `held` is set is kept
back: it gets no answer, and is carried out `late_s` later by whichever process serves
the worker's address then.
"""

import socket
import threading
import time

SIZE = 65536
START = b"POST /-/run-start "


class Held:
    """The one order that is kept back; shared by the proxies of all workers."""

    def __init__(self, late_s):
        self.late_s = late_s
        self.lock = threading.Lock()
        #: The proxy that has kept it back; None until then.
        self.proxy = None

    def take(self, proxy):
        """Return whether this proxy keeps the order back."""
        with self.lock:
            if self.proxy is None:
                self.proxy = proxy
                return True
        return False


class Proxy:
    """Listens on a port of its own and passes requests on to `target`."""

    def __init__(self, target, record):
        self.target = target
        self.record = record
        self.held = None
        #: Unix times of the orders that came.
        self.orders = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        """Pass the requests of one connection on, until either side ends it."""
        server = None
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                request = read_message(client)
                if request is None:
                    return
                self.orders.append(time.time())
                held = self.held
                if held is not None and request.startswith(START) and held.take(self):
                    self.record("proxy: keeps a start back: " + text_of(request))
                    timer = threading.Timer(held.late_s, self.deliver, (request,))
                    timer.daemon = True
                    timer.start()
                    client.recv(SIZE)
                    return
                if server is None:
                    server = self.connect()
                server.sendall(request)
                answer = read_message(server)
                if answer is None:
                    return
                client.sendall(answer)
        except OSError:
            return
        finally:
            client.close()
            if server is not None:
                server.close()

    def connect(self):
        host, _, port = self.target.rpartition(":")
        server = socket.create_connection((host, int(port)), timeout=10)
        server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return server

    def deliver(self, request):
        """Pass the order on that was kept back."""
        try:
            server = self.connect()
            server.sendall(request)
            answer = read_message(server) or b""
            self.record("proxy: passes the start on, answered: " + text_of(answer))
            server.close()
        except OSError as exc:
            self.record(f"proxy: the start could not be passed on: {exc}")


def read_message(sock):
    """Return one HTTP message with a Content-Length; None at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(SIZE)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        part = sock.recv(SIZE)
        if not part:
            return None
        body += part
    return head + b"\r\n\r\n" + body


def text_of(message):
    """Return the first line and the body of a message."""
    head, _, body = message.partition(b"\r\n\r\n")
    return head.split(b"\r\n")[0].decode() + " " + body.decode()
