"""The service that tells which workers may run a step, as a process of its own.

``python3 -m review.standins.advisor --address A`` answers `POST /-/advise` as
PROTOCOL.md says: after `decide_ms` plus `each_ms` for each worker named, with rows of
id and ticket. It approves every worker that it is asked about. A ticket names the
step, the worker and the Unix time up to which it is valid.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from gevent import pywsgi  # noqa: E402

DECIDE_MS, EACH_MS, VALID_MS = 20, 1, 3000
MAX_WORKERS = 100


def ticket_for(step, worker):
    """Return a ticket that is valid from now on."""
    return f"{step}/{worker}/{time.time() + VALID_MS / 1000:.3f}"


def is_valid(ticket, task, worker):
    """Return whether a start of a task on a worker may carry this ticket."""
    step, _, rest = (ticket or "").partition("/")
    named, _, until = rest.partition("/")
    if step != task.rpartition(".")[0] or named != worker:
        return False
    return time.time() <= float(until)


def application(environ, start_response):
    """Answer one call."""
    text = environ["wsgi.input"].read()
    call = json.loads(text) if text else {}
    workers = call.get("workers", [])
    status, body = "404 -", {}
    if environ["PATH_INFO"] == "/-/advise":
        status, body = "400 -", {}
        if len(workers) <= MAX_WORKERS:
            gevent.sleep((DECIDE_MS + EACH_MS * len(workers)) / 1000)
            good = [[name, ticket_for(call["step"], name)] for name in workers]
            status, body = "200 -", {"good": good, "valid_ms": VALID_MS}
            print(f"{time.time():.3f} {call['step']} {workers}", flush=True)
    data = json.dumps(body).encode()
    start_response(status, [("Content-Type", "application/json"),
                            ("Content-Length", str(len(data)))])  # fmt: skip
    return [data]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    host, _, port = parser.parse_args().address.rpartition(":")
    pywsgi.WSGIServer((host, int(port)), application, log=None,
                      error_log=None).serve_forever()  # fmt: skip


if __name__ == "__main__":
    main()
