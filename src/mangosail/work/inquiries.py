"""What is asked before work is given up as lost with its worker.

The worker has lost its state, or is gone. It may have ended the work before, and an
earlier holder may know how: one that was cut off from the table and could not write it.
What callers are told then, that the outcome will never be known, is final, so all peers
are asked first.
"""

import logbook
import result

from mangosail.work import context, ends, errors, keepers, messages

log = logbook.Logger("work")

#: Time for which a peer that does not answer holds the decision up: a frozen or
#: isolated one may know the end.
SILENCE_TIMEOUT_S = 10.0


class Inquiries:
    """The questions in progress, by generation."""

    def __init__(
        self, ctx: context.Context, known: ends.Ends, peers: keepers.EndPeers
    ) -> None:
        self.ctx = ctx
        self.ends = known
        self.peers = peers
        #: Monotonic time at which silent peers are no longer waited for.
        self.deadlines: dict[messages.Generation, float] = {}

    def find_end(
        self, row: messages.WorkRow
    ) -> result.Result[messages.End | None, errors.PeersSilent]:
        """Return how the claimed work of `row` ended, or None if nobody knows.

        `PeersSilent` means that the answer may come yet: ask again in a second. Work
        that may be restarted is not held up.
        """
        work = messages.generation_of(row)
        known = self.ends.find(work)
        found = keepers.Findings(known) if known else self.peers.ask(work)
        if found.silent and not found.end and self._may_wait(row, work):
            self.ctx.counters.count("work.retry.peers_silent")
            return result.Err(errors.PeersSilent(found.silent))
        self.deadlines.pop(work, None)
        log.warning(
            "work lost with its worker", task=messages.task_id_of(row.request),
            generation=row.generation, worker=row.worker, silent=list(found.silent),
            known=found.end.state.value if found.end else "",
        )  # fmt: skip
        return result.Ok(found.end)

    def _may_wait(self, row: messages.WorkRow, work: messages.Generation) -> bool:
        if row.request.restartable:
            return False
        now = self.ctx.clock.monotonic()
        self._forget_old(now)
        return now < self.deadlines.setdefault(work, now + SILENCE_TIMEOUT_S)

    def _forget_old(self, now: float) -> None:
        """Forget what nobody asks about any more: another instance has decided it."""
        oldest = now - SILENCE_TIMEOUT_S
        self.deadlines = {w: at for w, at in self.deadlines.items() if at > oldest}
