"""Commits whose outcome is read back from the store if the answer is late.

Otherwise only the client's time-out would reveal a lost answer, and it has to be long
because the store may be slow. A read takes a third of the time of a commit::

    attempts = commits.Attempts(rows, transaction, find_committed, clock)
    done = attempts.once()
"""

import collections.abc as cabc

import gevent
import result

from mangosail import clock as clocks
from mangosail.platform import errors as store_errors
from mangosail.platform import table

#: Seconds after which a commit counts as late: several times its usual duration.
ANSWER_TIMEOUT_S = 0.25
#: Longest expected duration of a commit in multiples of a read: twice the ratio
#: observed on a slow store.
COMMIT_TO_READ_RATIO = 6.0

#: Reads of the outcome before an attempt ends as `Uncertain`: one after the usual
#: time of a commit, one after that of a slow store.
MAX_OUTCOME_READS = 2

#: Returns the version of the write if it took effect; None if it has not, or not yet.
FindCommitted = cabc.Callable[[], int | None]


class Attempts:
    """Sequential attempts at one transaction, until its outcome is known."""

    def __init__(
        self,
        rows: table.Table,
        transaction: table.Transaction,
        find_committed: FindCommitted,
        clock: clocks.Clock,
    ) -> None:
        self.rows = rows
        self.transaction = transaction
        self.find_committed = find_committed
        self.clock = clock
        #: Calls made so far; unanswered ones may still reach the store.
        self.calls: list[gevent.Greenlet] = []

    def try_commit(self) -> result.Result[int, store_errors.CommitError]:
        """Commit once; if the answer is late, read whether the write took effect.

        Returns `Uncertain` if the answer is later than the duration of the reads
        explains. The write may still take effect after that, so the next attempt must
        carry the same checks.
        """
        outcome = self._try_commit()
        if isinstance(outcome, result.Ok) or isinstance(
            outcome.err_value, store_errors.Conflict
        ):
            # No other attempt can take effect any more. Left running on a slow link,
            # they use the bandwidth of the next transaction and make it late too.
            gevent.killall(self.calls, block=False)
        return outcome

    def _try_commit(self) -> result.Result[int, store_errors.CommitError]:
        call = gevent.spawn(self.rows.commit, self.transaction)
        self.calls.append(call)
        timeout = ANSWER_TIMEOUT_S
        for _ in range(MAX_OUTCOME_READS):
            call.join(timeout)
            if call.ready():
                return call.get()
            read_at = self.clock.elapsed()
            version = self.find_committed()
            if version is not None:
                return result.Ok(version)
            timeout = max(
                ANSWER_TIMEOUT_S,
                COMMIT_TO_READ_RATIO * (self.clock.elapsed() - read_at),
            )
        return result.Err(store_errors.Uncertain("late"))
