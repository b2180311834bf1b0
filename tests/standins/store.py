"""The users' platform's store in a process of its own, with faults from outside.

``python -m tests.standins.store --address A``. ``POST /faults`` sets what goes wrong:
`down` (answers 503), `silent` (answers nothing), `slow` (seconds for each call),
`lose` and `late` (shares of the writes that are done at once, or seconds later, and not
answered), `forget` (drops the history). ``POST /beat`` lists a worker until it has not
been heard of for `LAPSE_TERM`. ``GET /dump`` returns all rows.
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

#: Seconds of silence after which a worker's entry is removed.
LAPSE_TERM = 2.1
#: Seconds within which a write is done that is carried out late.
LATE_TERM = (1.0, 4.0)
#: Seconds between looks at whether a followed table has changed.
FEED_INTERVAL = 0.01
#: Seconds that a transaction takes at rest.
COMMIT_TERM = 0.008
NEVER = 60.0
#: Changes that are remembered; followers that are further behind read all anew.
MOST_HISTORY = 3000


class Store(metadata.Platform):
    """Rows, with everything that may go wrong with them."""

    def __init__(self, address, seed):
        self.set_faults({})
        self.rand = random.Random(f"store/{seed}")
        self.heard = {}
        #: What each worker last wrote about itself.
        self.entries = {}
        self.kept_from = 0
        super().__init__(address)

    def set_faults(self, faults):
        self.down = faults.get("down", False)
        self.hushed = faults.get("silent", False)
        self.slow = faults.get("slow", 0.0)
        self.lose = faults.get("lose", 0.0)
        self.late = faults.get("late", 0.0)
        if faults.get("forget"):
            self.kept_from = self.ver
            self.history.clear()

    def serve(self, req, body):
        if req.path == "/faults":
            self.set_faults(json.loads(body))
            return 200, {}
        if req.path == "/beat":
            self.beat(json.loads(body))
            return 200, {}
        if req.path == "/dump":
            return 200, self.dump()
        if self.hushed:
            gevent.sleep(NEVER)
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
        gevent.sleep(COMMIT_TERM)
        if self.rand.random() < self.late:
            gevent.spawn_later(self.rand.uniform(*LATE_TERM), self.transact, message)
            gevent.sleep(NEVER)
        done = self.transact(message)
        if len(self.history) > MOST_HISTORY:
            self.kept_from = self.history[MOST_HISTORY // 2]["ver"]
            del self.history[: MOST_HISTORY // 2]
        if self.rand.random() < self.lose:
            gevent.sleep(NEVER)
        return done

    def wait_for_changes(self, req):
        deadline = time.monotonic() + int(req.get_param("wait_ms") or 0) / 1000
        after = int(req.get_param("after"))
        while True:
            if after < self.kept_from:
                return 410, {}
            status, page = self.feed(req)
            if page["rows"] or time.monotonic() > deadline or self.down:
                return status, page
            gevent.sleep(FEED_INTERVAL)

    def beat(self, entry):
        name = entry.pop("id")
        if self.down or self.hushed:
            return
        if name not in self.heard or self.entries.get(name) != entry:
            self.entries[name] = entry
            self.put("servers", "", name, json.dumps(entry))
        self.heard[name] = time.monotonic()

    def lapse_forever(self):
        while True:
            gevent.sleep(0.2)
            now = time.monotonic()
            for name, heard_at in list(self.heard.items()):
                if now - heard_at > LAPSE_TERM:
                    del self.heard[name]
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
    Store(args.address, args.seed).lapse_forever()


if __name__ == "__main__":
    main()
