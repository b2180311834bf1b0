"""A controllable clock and an in-memory table."""

import result

from mangosail.platform import errors, table


class Clock:
    """A clock that tests set; each read also advances it by `tick`."""

    def __init__(self, now=1000.0, tick=0.0):
        self.now = now
        self.tick = tick

    def monotonic(self):
        self.now += self.tick
        return self.now

    wall = monotonic
    elapsed = monotonic

    def sleep(self, seconds):
        self.now += seconds


class Rows(dict):
    """Rows by key; a transaction is applied atomically if its checks hold."""

    version = 0

    def find(self, keys):
        return {key: self[key] for key in keys if key in self}

    def page(self, prefix, after, limit):
        keys = sorted(k for k in self if k.startswith(prefix) and k > after)
        return [self[key] for key in keys[:limit]]

    def apply(self, transaction):
        for check in transaction.checks:
            present = self.get(check.key)
            if (present.version if present else 0) != check.version:
                return result.Err(errors.Conflict(check.key))
        self.version += 1
        for write in transaction.writes:
            self.pop(write.key, None)
            if write.value is not None:
                self[write.key] = table.Row(write.key, write.value, self.version)
        return result.Ok(self.version)
