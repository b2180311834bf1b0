"""Load generator: callers that request quotes and releases until stopped."""

import json
import threading
import time

from tests.support import stage, teams


class Load:
    """Runs `callers` threads per instance and records every answer."""

    def __init__(self, addresses, callers=3, body=None, releases=True, pause=0.02):
        self.addresses = dict(addresses)
        self.body = body or {"work_seconds": 0.1}
        self.pause = pause
        self.answers = []  # (ended at, instance, kind, status, seconds, reason)
        self.stopping = threading.Event()
        self.threads = []
        for name in self.addresses:
            kinds = ["quote"] * callers + (["release"] if releases else [])
            for number, kind in enumerate(kinds):
                self.threads.append(
                    threading.Thread(
                        target=self.ask_forever, args=(name, number, kind), daemon=True
                    )
                )
        for thread in self.threads:
            thread.start()

    def ask_forever(self, name, number, kind):
        count = 0
        while not self.stopping.is_set():
            count += 1
            self.ask(name, kind, f"{name}-{number}-{count}")
            self.stopping.wait(self.pause if kind == "quote" else 0.2)

    def ask(self, name, kind, request_id):
        headers = teams.bearer("fuel-desk-token", Request_Id=request_id)
        started = time.monotonic()
        try:
            answer = stage.call(
                self.addresses[name], "POST", f"/v1/services/fuel/{kind}",
                self.body, headers, timeout=5.0,
            )  # fmt: skip
            status = answer.status
            reason = "" if status == 200 else json.loads(answer.body).get("title", "")
        except (OSError, ValueError) as exc:
            status, reason = 0, type(exc).__name__
        ended = time.monotonic()
        self.answers.append((ended, name, kind, status, ended - started, reason))

    def since(self, moment, kind="quote"):
        return [a for a in list(self.answers) if a[0] >= moment and a[2] == kind]

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(timeout=6)
