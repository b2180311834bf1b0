"""TCP load balancer with round robin over ready instances.

It polls each instance's ``/readyz`` every half second; each new connection goes to
the next ready instance and stays there.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import itertools  # noqa: E402
import socket  # noqa: E402

import gevent  # noqa: E402
import geventhttpclient  # noqa: E402
from gevent import server  # noqa: E402


class Balancer:
    def __init__(self, backends):
        self.backends = backends
        self.ready = set()
        self.next_index = itertools.count()

    def check_forever(self, backend):
        while True:
            if self.is_ready(backend):
                self.ready.add(backend)
            else:
                self.ready.discard(backend)
            gevent.sleep(0.5)

    def is_ready(self, backend):
        host, _, port = backend.rpartition(":")
        client = geventhttpclient.HTTPClient(
            host, port=int(port), connection_timeout=0.5, network_timeout=0.5
        )
        try:
            return client.get("/readyz").status_code == 200
        except Exception:
            return False
        finally:
            client.close()

    def handle(self, caller, address):
        ready = sorted(self.ready)
        for _ in ready:
            host, _, port = ready[next(self.next_index) % len(ready)].rpartition(":")
            try:
                backend = socket.create_connection((host, int(port)), timeout=1)
            except OSError:
                continue
            backend.settimeout(None)
            copy_both_ways(caller, backend)
            return
        caller.close()


def copy_both_ways(left, right):
    """Copy bytes in both directions until both sides have ended."""
    for end in (left, right):
        end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    back = gevent.spawn(copy, right, left)
    copy(left, right)
    back.join()
    left.close()
    right.close()


def copy(source, sink):
    try:
        while data := source.recv(65536):
            sink.sendall(data)
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        pass


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--backends", nargs="+", required=True)
    args = parser.parse_args()
    balancer = Balancer(args.backends)
    for backend in args.backends:
        gevent.spawn(balancer.check_forever, backend)
    host, _, port = args.address.rpartition(":")
    server.StreamServer((host, int(port)), balancer.handle).serve_forever()


if __name__ == "__main__":
    main()
