"""The platform's metadata store: rows, transactions, feeds.

Each instance gets a port of its own, so that a fault may hit one instance alone.
`faults[NAME]` holds the faults of an instance, `faults["*"]` those of all:
``busy`` (503), ``silent`` (no answer), ``lose`` (share of the writes that are done and
not answered), ``late`` (the same, done 1 to 6 s later).
"""

import base64
import collections
import json

import gevent
import gevent.event

from review.bed import httpd

#: Seconds that a transaction and a read take.
COMMIT_S = 0.006
READ_S = 0.002
#: Shortest and longest delay of a write that is done late, in seconds.
LATE_S = (1.0, 6.0)
MAX_ROWS = 500
MAX_PARTS = 1000
MAX_ENTRIES = 100
MAX_VALUE_CHARS = 65_536
NO_ANSWER_S = 60.0


class Store:
    """A linearizable table store that loses nothing."""

    def __init__(self, rand):
        self.rand = rand
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = gevent.event.Event()
        self.faults = collections.defaultdict(dict)
        self.servers = []

    def open_port(self, name):
        """Return an address at which the instance `name` reaches the store."""

        def answer(method, path, query, body, environ):
            return self.answer(name, path, query, body)

        server = httpd.serve(answer)
        self.servers.append(server)
        return f"127.0.0.1:{server.server_port}"

    def faults_of(self, name):
        return {**self.faults["*"], **self.faults[name]}

    def answer(self, name, path, query, body):
        faults = self.faults_of(name)
        if faults.get("silent"):
            gevent.sleep(NO_ANSWER_S)
            raise httpd.NoAnswer
        if faults.get("busy"):
            return 503, {}
        if path == "/-/rows-tx":
            return self.write(body, faults)
        gevent.sleep(READ_S)
        if path == "/-/rows-get":
            return 200, self.page(query)
        if path == "/-/rows-parts":
            return 200, self.parts(query)
        if path == "/-/rows-feed":
            return self.feed(query)
        return 404, {}

    def write(self, body, faults):
        entries = [entry for kind in body.values() for entry in kind]
        too_long = any(
            len(put["value"]) > MAX_VALUE_CHARS for put in body.get("puts", [])
        )
        if len(entries) > MAX_ENTRIES or too_long:
            return 400, {}
        if len({entry.get("part", "") for entry in entries}) > 1:
            return 400, {}
        written = [*body.get("puts", []), *body.get("remove", [])]
        if any(entry["table"] in ("op", "servers") for entry in written):
            return 403, {}
        gevent.sleep(COMMIT_S)
        if self.rand.random() < faults.get("late", 0.0):
            gevent.spawn_later(self.rand.uniform(*LATE_S), self.transact, body)
            gevent.sleep(NO_ANSWER_S)
            raise httpd.NoAnswer
        done = self.transact(body)
        if self.rand.random() < faults.get("lose", 0.0):
            gevent.sleep(NO_ANSWER_S)
            raise httpd.NoAnswer
        return done

    def transact(self, body):
        checks = body.get("expected_revision", [])
        for check in checks:
            row = self.rows.get(place(check))
            if (row["ver"] if row else 0) != check["ver"]:
                found = [self.rows[place(c)] for c in checks if place(c) in self.rows]
                return 412, self.stamped({"rows": found})
        self.version += 1
        for put in body.get("puts", []):
            row = {"part": "", **put, "ver": self.version}
            self.rows[place(put)] = row
            self.history.append(row)
        for entry in body.get("remove", []):
            if self.rows.pop(place(entry), None):
                gone = {"part": "", **entry, "ver": self.version, "tombstone": True}
                self.history.append(gone)
        self.changed.set()
        return 200, self.stamped({})

    def stamped(self, reply):
        return {**reply, "ver": self.version, "now_ms": int(httpd.now() * 1000)}

    def page(self, query):
        table, part = query["table"], query.get("part", "")
        first, past = query.get("from", ""), query.get("target", "")
        keys = sorted(
            key
            for (t, p, key) in self.rows
            if (t, p) == (table, part) and key >= first and (not past or key < past)
        )
        limit = min(int(query.get("limit") or MAX_ROWS), MAX_ROWS)
        rows = [self.rows[table, part, key] for key in keys[:limit]]
        return self.stamped({"rows": rows, "more_pages": len(keys) > limit})

    def parts(self, query):
        after = query.get("after", "")
        parts = {p for (t, p, _) in self.rows if t == query["table"]}
        listed = sorted(part for part in parts if not after or part > after)
        return self.stamped({"parts": listed[:MAX_PARTS]})

    def feed(self, query):
        after, deadline = int(query["after"]), httpd.now()
        deadline += int(query.get("wait_ms", "0")) / 1000
        while True:
            rows = [
                row
                for row in self.history
                if row["ver"] > after and row["table"] == query["table"]
            ]
            left = deadline - httpd.now()
            if rows or left <= 0:
                return 200, self.stamped({"rows": rows})
            self.changed.clear()
            self.changed.wait(left)

    def put(self, table, key, value):
        """Write a row as the operator or a worker does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.transact({"puts": [{"table": table, "key": key, "value": text}]})

    def remove(self, table, key):
        self.transact({"remove": [{"table": table, "key": key}]})

    def read(self, table, part, key):
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row["value"])) if row else None


def place(entry):
    return entry["table"], entry.get("part", ""), entry["key"]
