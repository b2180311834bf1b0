"""A table in memory, for tests of what is written in which order."""

import result

from mangosail.platform import errors, table


class MemoryTable:
    """Keeps rows; `lose_next` loses the answer to the next commit."""

    def __init__(self):
        self.rows = {}
        self.sequence = 0
        self.lose_next = False
        self.down = False

    def read(self, keys):
        if self.down:
            return result.Err(errors.Unavailable("down"))
        return result.Ok({k: self.rows[k] for k in keys if k in self.rows})

    def scan(self, prefix, after="", limit=1000):
        if self.down:
            return result.Err(errors.Unavailable("down"))
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return result.Ok([self.rows[k] for k in keys[:limit]])

    def commit(self, transaction):
        if self.down:
            return result.Err(errors.Unavailable("down"))
        for check in transaction.checks:
            row = self.rows.get(check.key)
            if (row.version if row else table.ABSENT) != check.version:
                return result.Err(errors.Conflict(check.key))
        self.sequence += 1
        for write in transaction.writes:
            self.rows[write.key] = table.Row(write.key, write.value, self.sequence)
        if self.lose_next:
            self.lose_next = False
            return result.Err(errors.Uncertain("answer lost"))
        return result.Ok(self.sequence)
