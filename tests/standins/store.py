"""Simulator of the users' platform's store as a process, with fault injection.

``python -m tests.standins.store --address A``. ``POST /faults`` sets the faults: `down`
(answers 503), `silent` (does not answer), `slow` (delay of each call in seconds),
`lose` and `late` (shares of the writes that are applied immediately, or seconds later,
but not answered), `forget` (drops the change history). ``POST /beat`` registers a
worker until it has sent no heartbeat for `ENTRY_TIMEOUT_S`. ``GET /dump`` returns all
rows.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import base64  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from tests.standins import metadata  # noqa: E402

#: Seconds without a heartbeat after which a worker's entry is removed.
ENTRY_TIMEOUT_S = 2.1
#: Shortest and longest delay of a write that is applied late.
LATE_WRITE_DELAY_S = (1.0, 4.0)
#: Interval at which a feed request checks for changes.
FEED_POLL_INTERVAL_S = 0.01
#: Duration of a transaction without faults.
COMMIT_DURATION_S = 0.008
NO_ANSWER_S = 60.0
#: Changes kept in the history; readers that are further behind get 410 and must
#: read the whole table again.
MAX_HISTORY = 3000


class Store(metadata.Platform):
    """A store with fault injection."""

    def __init__(self, address, seed):
        self.set_faults({})
        self.rand = random.Random(f"store/{seed}")
        self.heartbeat_times = {}
        #: Each worker's last registered entry.
        self.entries = {}
        self.history_start = 0
        super().__init__(address)

    def set_faults(self, faults):
        self.down = faults.get("down", False)
        self.unresponsive = faults.get("silent", False)
        self.slow = faults.get("slow", 0.0)
        self.lose = faults.get("lose", 0.0)
        self.late = faults.get("late", 0.0)
        if faults.get("forget"):
            self.history_start = self.ver
            self.history.clear()

    def serve(self, req, body):
        if req.path == "/faults":
            self.set_faults(json.loads(body))
            return 200, {}
        if req.path == "/beat":
            self.handle_heartbeat(json.loads(body))
            return 200, {}
        if req.path == "/dump":
            return 200, self.dump()
        if self.unresponsive:
            gevent.sleep(NO_ANSWER_S)
        if self.down:
            return 503, {}
        gevent.sleep(self.slow)
        if req.path == "/-/rows-feed":
            return self.wait_for_changes(req)
        if req.path == "/-/rows-tx":
            message = json.loads(body)
            fault = metadata.too_large(message, body)
            return (400, {"reason": fault}) if fault else self.write(message)
        return super().serve(req, body)

    def write(self, message):
        gevent.sleep(COMMIT_DURATION_S)
        if self.rand.random() < self.late:
            gevent.spawn_later(
                self.rand.uniform(*LATE_WRITE_DELAY_S), self.transact, message
            )
            gevent.sleep(NO_ANSWER_S)
        done = self.transact(message)
        if len(self.history) > MAX_HISTORY:
            self.history_start = self.history[MAX_HISTORY // 2]["ver"]
            del self.history[: MAX_HISTORY // 2]
        if self.rand.random() < self.lose:
            gevent.sleep(NO_ANSWER_S)
        return done

    def wait_for_changes(self, req):
        deadline = time.monotonic() + int(req.get_param("wait_ms") or 0) / 1000
        after = int(req.get_param("after"))
        while True:
            if after < self.history_start:
                return 410, {}
            status, page = self.feed(req)
            if page["rows"] or time.monotonic() > deadline or self.down:
                return status, page
            gevent.sleep(FEED_POLL_INTERVAL_S)

    def handle_heartbeat(self, entry):
        name = entry.pop("id")
        if self.down or self.unresponsive:
            return
        if name not in self.heartbeat_times or self.entries.get(name) != entry:
            self.entries[name] = entry
            self.put("servers", "", name, json.dumps(entry))
        self.heartbeat_times[name] = time.monotonic()

    def expire_forever(self):
        while True:
            gevent.sleep(0.2)
            now = time.monotonic()
            for name, heard_at in list(self.heartbeat_times.items()):
                if now - heard_at > ENTRY_TIMEOUT_S:
                    del self.heartbeat_times[name]
                    gone = {"table": "servers", "part": "", "key": name}
                    self.transact(
                        {"expected_revision": [], "puts": [], "remove": [gone]}
                    )

    def dump(self):
        return [
            [*place, base64.b64decode(row["value"]).decode()]
            for place, row in self.rows.items()
        ]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--seed", default="0")
    args = parser.parse_args()
    Store(args.address, args.seed).expire_forever()


if __name__ == "__main__":
    main()
