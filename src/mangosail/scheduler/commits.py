"""Committing where answers get lost: the store itself says what became of a write.

A lost answer would otherwise be noticed by the client's own time limit alone, which
has to be long, as the store may be slow. A reading takes a third of a commit's time::

    attempts = commits.Attempts(rows, transaction, landed, clock)
    done = attempts.once()
"""

import collections.abc as cabc

import gevent
import result

from mangosail import clock as clocks
from mangosail.platform import errors as store_errors
from mangosail.platform import table

#: Seconds after which an answer is late: several times what a commit takes.
ANSWER_TIMEOUT_S = 0.25
#: How many times the time of a reading a commit may take: twice what a slow store
#: was seen to need.
READINGS = 6.0

#: Readings until a write is given up: after the usual time, and after a slow store's.
LOOKS = 2

#: Says which version a write that took effect got; None if it has not, or not yet.
Landed = cabc.Callable[[], int | None]


class Attempts:
    """Attempts at one transaction, made one after the other until it is decided."""

    def __init__(
        self,
        rows: table.Table,
        transaction: table.Transaction,
        landed: Landed,
        clock: clocks.Clock,
    ) -> None:
        self.rows = rows
        self.transaction = transaction
        self.landed = landed
        self.clock = clock
        #: Calls that were made; those without an answer may be on their way.
        self.calls: list[gevent.Greenlet] = []

    def try_commit(self) -> result.Result[int, store_errors.CommitError]:
        """Commit once; if the answer is late, find out whether it took effect.

        Returns `Uncertain` once the answer is later than a store as slow as its
        readings would be. What was sent may take effect later, so the next attempt has
        to carry the same checks.
        """
        done = self._once()
        if isinstance(done, result.Ok) or isinstance(
            done.err_value, store_errors.Conflict
        ):
            # None of the others can take effect any more. On a narrow link they took
            # what the next transaction needed, which was late for it in its turn.
            gevent.killall(self.calls, block=False)
        return done

    def _once(self) -> result.Result[int, store_errors.CommitError]:
        call = gevent.spawn(self.rows.commit, self.transaction)
        self.calls.append(call)
        term = ANSWER_TIMEOUT_S
        for _ in range(LOOKS):
            call.join(term)
            if call.ready():
                return call.get()
            asked_at = self.clock.elapsed()
            version = self.landed()
            if version is not None:
                return result.Ok(version)
            term = max(ANSWER_TIMEOUT_S, READINGS * (self.clock.elapsed() - asked_at))
        return result.Err(store_errors.Uncertain("late"))
