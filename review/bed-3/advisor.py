"""The platform's advice service, as its page tells.

``python3 advisor.py --address A --decide-ms D --each-ms E --valid-ms V``. It handles
one call at a time for each calling machine, in turn; with 32 calls waiting it answers
429. A call whose client has gone is dropped without any work. All workers may run all
steps. Each call handled is a line on standard output.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import select  # noqa: E402
import socket  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import gevent.lock  # noqa: E402
from gevent import pywsgi  # noqa: E402

#: Calls that may wait.
MAX_WAITING = 32


class Handler(pywsgi.WSGIHandler):
    def get_environ(self):
        return super().get_environ() | {"case.socket": self.socket}


class Service:
    def __init__(self, args):
        self.args = args
        self.turns = {}
        self.waiting = 0

    def __call__(self, environ, start_response):
        body = json.loads(environ["wsgi.input"].read())
        if self.waiting >= MAX_WAITING:
            return self.reply(start_response, 429, {})
        came_at = time.monotonic()
        machine = environ["REMOTE_ADDR"]
        turn = self.turns.setdefault(machine, gevent.lock.Semaphore(1))
        self.waiting += 1
        turn.acquire()
        self.waiting -= 1
        try:
            if is_closed(environ["case.socket"]):
                self.note(body, came_at, "dropped")
                return self.reply(start_response, 200, {})
            seconds = self.args.decide_ms + self.args.each_ms * len(body["workers"])
            gevent.sleep(seconds / 1000)
        finally:
            turn.release()
        self.note(body, came_at, "answered")
        good = [[name, f"t-{body['step']}-{name}"] for name in body["workers"]]
        answer = {"good": good, "valid_ms": self.args.valid_ms}
        return self.reply(start_response, 200, answer)

    def note(self, body, came_at, what):
        line = {"at": time.time(), "event": what, "step": body["step"],
                "workers": len(body["workers"]),
                "seconds": round(time.monotonic() - came_at, 3)}  # fmt: skip
        print(json.dumps(line), flush=True)

    def reply(self, start_response, status, answer):
        start_response(f"{status} -", [("Content-Type", "application/json")])
        return [json.dumps(answer).encode()]


def is_closed(sock):
    """Return whether the client has closed its end."""
    if not select.select([sock], [], [], 0)[0]:
        return False
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--decide-ms", type=float, required=True)
    parser.add_argument("--each-ms", type=float, required=True)
    parser.add_argument("--valid-ms", type=float, required=True)
    args = parser.parse_args()
    host, _, port = args.address.rpartition(":")
    pywsgi.WSGIServer(
        (host, int(port)), Service(args), log=None, handler_class=Handler
    ).serve_forever()


if __name__ == "__main__":
    main()
