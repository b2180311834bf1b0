"""A table in memory whose calls fail as a script says, and a clock."""

import result

from mangosail.platform import errors, table

OK, DOWN, LOST, LATE = "ok", "down", "lost", "late"


class Clock:
    def __init__(self):
        self.now = 1000.0

    def monotonic(self):
        self.now += 0.01
        return self.now

    wall = monotonic

    def sleep(self, seconds):
        self.now += seconds


class Table:
    """`script` holds what the next calls meet; after it all is well."""

    def __init__(self):
        self.rows = {}
        self.sequence = 0
        self.script = []
        self.late = []
        self.rows_read = 0
        self.written = []  # every (key, value) that took effect

    def meets(self):
        return self.script.pop(0) if self.script else OK

    def read(self, keys):
        if self.meets() == DOWN:
            return result.Err(errors.Unavailable("down"))
        self.rows_read += len(keys)
        return result.Ok({k: self.rows[k] for k in keys if k in self.rows})

    def scan(self, prefix, after="", limit=1000):
        if self.meets() == DOWN:
            return result.Err(errors.Unavailable("down"))
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        self.rows_read += len(keys[:limit])
        return result.Ok([self.rows[k] for k in keys[:limit]])

    def commit(self, transaction):
        met = self.meets()
        if met == DOWN:
            return result.Err(errors.Unavailable("down"))
        if met == LATE:
            self.late.append(transaction)
            return result.Err(errors.Uncertain("late"))
        done = self.take_effect(transaction)
        return result.Err(errors.Uncertain("lost")) if met == LOST else done

    def take_effect(self, transaction):
        for check in transaction.checks:
            row = self.rows.get(check.key)
            if (row.version if row else 0) != check.version:
                return result.Err(errors.Conflict(check.key))
        self.sequence += 1
        for write in transaction.writes:
            self.rows.pop(write.key, None)
            if write.value is not None:
                self.rows[write.key] = table.Row(write.key, write.value, self.sequence)
            self.written.append((write.key, write.value))
        return result.Ok(self.sequence)
