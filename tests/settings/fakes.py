"""An in-memory table whose calls fail according to a script."""

import result
from tests.support import memory

from mangosail.platform import errors

OK, DOWN, LOST, LATE = "ok", "down", "lost", "late"


class Table:
    """`script` lists the results of the next calls; later calls succeed."""

    def __init__(self):
        self.rows = memory.Rows()
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
        return result.Ok(self.rows.find(keys))

    def scan(self, prefix, after="", limit=1000):
        if self.meets() == DOWN:
            return result.Err(errors.Unavailable("down"))
        found = self.rows.page(prefix, after, limit)
        self.rows_read += len(found)
        return result.Ok(found)

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
        done = self.rows.apply(transaction)
        if isinstance(done, result.Ok):
            self.written += [(write.key, write.value) for write in transaction.writes]
        return done

    def put_back(self, rows):
        """Replace all rows, as a restored backup does; versions keep increasing."""
        self.rows.clear()
        self.rows.update(rows)
