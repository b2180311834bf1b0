"""What a planned stop waits for, so that nothing is lost with the instance."""

import logbook

from mangosail.work import context, ends

log = logbook.Logger("work")

#: Seconds between checks.
POLL_INTERVAL_S = 0.05
#: Seconds between tries to have peers keep what is kept here.
TELL_INTERVAL_S = 1.0
#: Maximum number of ends that are named in the log when they are dropped.
MAX_LOGGED = 20


class Settling:
    """Waits until the ends that only this instance knows are written or kept.

    Orders that still run are handed over with their workers. While the table is away
    nobody can take these, and nobody else would hear how the orders end.
    """

    def __init__(self, ctx: context.Context, known: ends.Ends) -> None:
        self.ctx = ctx
        self.ends = known

    def wait(self, deadline: float) -> None:
        """Wait until all is settled, until the monotonic `deadline` at the latest."""
        clock = self.ctx.clock
        began_at = clock.monotonic()
        if self._is_settled(began_at):
            return
        log.info(
            "stop waits for ends", unwritten=len(self.ends.known_here_only()),
            running=self._running(),
        )  # fmt: skip
        self.ctx.spawn(self._tell_kept, deadline)
        while not self._is_settled(began_at) and clock.monotonic() < deadline:
            clock.sleep(POLL_INTERVAL_S)
        self._log_dropped()

    def _is_settled(self, began_at: float) -> bool:
        if self.ends.known_here_only():
            return False
        return not self._running() or self.ctx.lease.renewed_after(began_at)

    def _running(self) -> int:
        """Return the number of orders whose end would be lost with their worker."""
        return sum(
            task.pending_row is None and not task.row.request.restartable
            for task in self.ctx.registry
        )

    def _tell_kept(self, deadline: float) -> None:
        while self.ends.kept and self.ctx.clock.monotonic() < deadline:
            self.ends.tell_kept()
            self.ctx.clock.sleep(TELL_INTERVAL_S)

    def _log_dropped(self) -> None:
        dropped = self.ends.known_here_only()
        if dropped:
            tasks = [end.work.task_id for end in dropped[:MAX_LOGGED]]
            self.ctx.counters.count("work.ends_dropped", len(dropped))
            log.warning("ends known here only", count=len(dropped), tasks=tasks)
