"""In-process simulator of the users' platform: store, worker and advice service.

It follows the platform's documented protocol; tests can preset other answers.
"""

import base64
import json

import falcon
import gevent
from gevent import pywsgi

from tests.standins import server

#: Limits on a transaction's entries and bytes, and on the length of a row's value.
MAX_ENTRIES = 100
MAX_BYTES = 1_000_000
MAX_VALUE_CHARS = 65_536
#: Seconds after which a call that is never answered ends.
SILENCE_S = 30
#: Key of an outage of all tables.
ALL_TABLES = "*"
#: Statuses by which a table that is unavailable refuses calls.
REFUSALS = {"busy": 503, "many": 429}
#: Limits on one answer: rows, of `MAX_BYTES` together, and names of parts.
MAX_ROWS = 500
MAX_PARTS = 1000


class Platform:
    """Store, worker and advice service on one address."""

    handler = server.Handler

    def __init__(self, address="127.0.0.1:0"):
        host, _, port = address.rpartition(":")
        self.rows = {}
        self.ver = 0
        self.history = []
        #: Path -> (status, body) pairs with which its next calls are answered.
        self.armed = {}
        #: Paths whose next call is carried out but not answered for 30 s.
        self.silent = set()
        #: Tables that are unavailable, or `ALL_TABLES`, and how: "silent", "reset",
        #: "busy" or "many". The platform's store may be down in part.
        self.outages = {}
        #: Path -> seconds after which its calls are answered.
        self.delays = {}
        self.calls = []
        app = falcon.App()
        app.add_sink(self.answer, prefix="/")
        app.add_error_handler(server.DeliberateReset, server.reraise)
        self.httpd = pywsgi.WSGIServer(
            (host, int(port)), app, log=None, error_log=None,
            handler_class=self.handler,
        )  # fmt: skip
        self.httpd.start()
        self.address = f"127.0.0.1:{self.httpd.server_port}"

    def close(self):
        self.httpd.stop(timeout=0)

    def answer(self, req, resp, **_):
        body = self.body_of(req)
        self.calls.append((req.method, req.path, body, dict(req.headers)))
        outage = self.outages.get(table_of(req, body)) or self.outages.get(ALL_TABLES)
        if outage == "silent":
            gevent.sleep(SILENCE_S)
        if outage == "reset":
            server.reset(req)
        if outage in REFUSALS:
            resp.status, resp.text = REFUSALS[outage], "{}"
            return
        gevent.sleep(self.delays.get(req.path, 0))
        statuses = self.armed.get(req.path)
        if statuses:
            status, reply = statuses.pop(0)
        else:
            status, reply = self.serve(req, body)
        if req.path in self.silent:
            self.silent.discard(req.path)
            gevent.sleep(SILENCE_S)
        resp.status = status
        resp.text = json.dumps(reply)

    def body_of(self, req):
        return req.bounded_stream.read()

    def serve(self, req, body):
        if req.path == "/-/rows-tx":
            message = json.loads(body)
            fault = too_large(message, body)
            return (400, {"reason": fault}) if fault else self.transact(message)
        if req.path == "/-/rows-get":
            return 200, self.page(req)
        if req.path == "/-/rows-parts":
            return 200, self.parts(req)
        if req.path == "/-/rows-feed":
            return self.feed(req)
        return 404, {}

    def transact(self, message):
        places = {
            (e["table"], e["part"], e["key"]) for kind in message for e in message[kind]
        }
        if len({part for _, part, _ in places}) > 1:
            return 400, {"reason": "parts"}
        for entry in message["expected_revision"]:
            row = self.rows.get((entry["table"], entry["part"], entry["key"]))
            if (row["ver"] if row else 0) != entry["ver"]:
                wanted = message["expected_revision"]
                return 412, {"rows": self.present(wanted), "ver": self.ver}
        self.ver += 1
        for entry in message["puts"]:
            place = (entry["table"], entry["part"], entry["key"])
            self.rows[place] = dict(entry, ver=self.ver)
            self.history.append(self.rows[place])
        for entry in message["remove"]:
            self.rows.pop((entry["table"], entry["part"], entry["key"]), None)
            self.history.append(dict(entry, ver=self.ver, tombstone=True))
        return 200, {"ver": self.ver, "now_ms": 1}

    def present(self, wanted):
        places = [(e["table"], e["part"], e["key"]) for e in wanted]
        return [self.rows[place] for place in places if place in self.rows]

    def page(self, req):
        first, past = req.get_param("from") or "", req.get_param("target")
        limit = min(int(req.get_param("limit") or MAX_ROWS), MAX_ROWS)
        table, part = req.get_param("table"), req.get_param("part") or ""
        names = sorted(
            key
            for t, p, key in self.rows
            if (t, p) == (table, part) and key >= first and (not past or key < past)
        )
        rows, size = [], 0
        for name in names[:limit]:
            row = self.rows[table, part, name]
            size += len(row["value"])
            if rows and size > MAX_BYTES:
                break
            rows.append(row)
        return {"rows": rows, "more_pages": len(names) > len(rows), "ver": self.ver}

    def parts(self, req):
        table, after = req.get_param("table"), req.get_param("after") or ""
        parts = sorted({part for t, part, _ in self.rows if t == table})
        listed = [part for part in parts if not after or part > after][:MAX_PARTS]
        return {"parts": listed, "ver": self.ver}

    def feed(self, req):
        after, table = int(req.get_param("after")), req.get_param("table")
        rows = [r for r in self.history if r["ver"] > after and r["table"] == table]
        return 200, {"rows": rows, "ver": self.ver}

    def put(self, table, part, key, text):
        value = base64.b64encode(text.encode()).decode()
        put = {"table": table, "part": part, "key": key, "value": value}
        self.transact({"expected_revision": [], "puts": [put], "remove": []})


def table_of(req, body):
    """Return the table of a call, or None if it names none."""
    if req.path != "/-/rows-tx":
        return req.get_param("table")
    entries = [entry for kind in json.loads(body).values() for entry in kind]
    return entries[0]["table"] if entries else None


def too_large(message, body):
    """Return the name of the limit that a transaction exceeds; empty if none."""
    if sum(len(entries) for entries in message.values()) > MAX_ENTRIES:
        return "entries"
    if len(body) > MAX_BYTES:
        return "bytes"
    if any(len(put["value"]) > MAX_VALUE_CHARS for put in message["puts"]):
        return "value"
    return ""
