"""Writing the ends that are kept for peers."""

import logbook
import result

from mangosail.platform import errors as platform_errors
from mangosail.work import claims, context, ends, messages, outcomes, transitions

log = logbook.Logger("work")


class KeptEnds:
    """Writes kept ends until the table has them, or does not lack them any more."""

    def __init__(
        self,
        ctx: context.Context,
        known: ends.Ends,
        task_transitions: transitions.TaskTransitions,
    ) -> None:
        self.ctx = ctx
        self.ends = known
        self.transitions = task_transitions
        known.on_kept = self.write_soon
        #: True while `write_all` runs; a slow table makes it take more than a second.
        self.writing = False

    def write_soon(self, end: messages.End) -> None:
        """Start to write an end that was just told."""
        self.ctx.spawn(self._write_all, [end])

    def write_all(self) -> None:
        """Write all kept ends; called once a second."""
        if self.writing:
            return
        self.writing = True
        try:
            self._write_all([kept.end for kept in self.ends.kept.values()])
        finally:
            self.writing = False

    def _write_all(self, kept: list[messages.End]) -> None:
        by_key = {
            messages.work_key(end.work.team, end.work.request_id): end for end in kept
        }
        found = self.ctx.claims.read_keys(list(by_key))
        if isinstance(found, result.Err):
            self.ctx.counters.count("work.retry.kept_end_not_written")
            return
        for stored in found.ok_value:
            request = stored.row.request
            end = by_key[messages.work_key(request.team, request.request_id)]
            if outcomes.lacks_end(stored.row, end):
                self.ctx.spawn(self._write, stored, end)
            else:
                self.ends.forget(end.work)

    def _write(self, stored: claims.StoredRow, end: messages.End) -> None:
        """Write the end as the holder of the work, or else in its place."""
        task = self.ctx.registry.get(end.work.task_id)
        if task is not None and messages.generation_of(task.row) == end.work:
            with task.lock:
                self.transitions.record_end(task, end)
            return
        row = claims.with_new_attempt(outcomes.ended_row(stored.row, end))
        written = self.ctx.claims.write(row, stored.version)
        if isinstance(written, result.Ok):
            self.ctx.counters.count("work.ended_for_peer")
            log.info("end written for a peer", **ends.log_fields(end))
            self.ends.forget(end.work)
        elif not isinstance(written.err_value, platform_errors.Conflict):
            self.ctx.counters.count("work.retry.kept_end_not_written")
