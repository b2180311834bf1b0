"""Claiming: reserving a place for work and writing the row that lets it start once."""

import result

from mangosail.placement import errors as placement_errors
from mangosail.placement import placer, workers
from mangosail.platform import errors as platform_errors
from mangosail.platform import table
from mangosail.work import (
    adoption,
    claims,
    context,
    leases,
    messages,
    outcomes,
    placing,
    registry,
)

#: Refusal of work for which this instance has no capacity.
NO_ROOM = placement_errors.NotPlaced(
    placement_errors.Reason.NO_CAPACITY, outcomes.RETRY_AFTER_S
)

#: Why work was not claimed: it has no place, or its row was not written for sure.
ClaimError = placement_errors.NotPlaced | platform_errors.CommitError


class Claimer:
    """Claims work for workers of this instance; the caller starts the task."""

    def __init__(
        self,
        ctx: context.Context,
        task_placer: placer.Placer,
        adopter: adoption.Adoption,
    ) -> None:
        self.ctx = ctx
        self.placer = task_placer
        self.adoption = adopter

    def claim(
        self,
        request: messages.Request,
        stored: claims.StoredRow | None,
        deadline: float,
    ) -> result.Result[registry.Task, ClaimError]:
        """Claim `request`, resuming from `stored` if there is a row.

        Its caller waits here until the monotonic `deadline`, and has made sure, without
        yielding since, that nobody else claims it and that it is not registered.
        """
        with self.ctx.registry.claim(messages.task_id_of(request)):
            placed = self._place(request)
            if isinstance(placed, result.Err):
                return placed
            owned = placed.ok_value.owned
            return self._register(request, stored, owned, deadline)

    def _place(
        self, request: messages.Request
    ) -> result.Result[placer.Placement, placement_errors.NotPlaced]:
        if not self.ctx.lease.valid():
            return result.Err(NO_ROOM)
        return self.placer.place(placing.placement_work(request))

    def _register(
        self,
        request: messages.Request,
        stored: claims.StoredRow | None,
        owned: workers.OwnedWorker,
        deadline: float,
    ) -> result.Result[registry.Task, platform_errors.CommitError]:
        """Write the claim and register its task, or release its reservation."""
        task_id = messages.task_id_of(request)
        refused = False
        try:
            written = self._write(request, stored, owned)
            if isinstance(written, result.Err):
                refused = not isinstance(written.err_value, platform_errors.Uncertain)
                return written
            task = registry.Task(written.ok_value, owned, deadline)
            self.ctx.registry.add(task)
            return result.Ok(task)
        finally:
            # Also if the write raised or its greenlet was killed.
            if self.ctx.registry.get(task_id) is None:
                self.placer.release(task_id)
                if not refused:
                    self.adoption.scan_soon(owned.name)

    def _write(
        self,
        request: messages.Request,
        stored: claims.StoredRow | None,
        owned: workers.OwnedWorker,
    ) -> result.Result[claims.StoredRow, platform_errors.CommitError]:
        row = self._claimed_row(request, stored, owned)
        version = stored.version if stored else table.ABSENT
        written = self.ctx.claims.write(row, version)
        if isinstance(written, result.Err) and isinstance(
            written.err_value, platform_errors.Uncertain
        ):
            # Repeats the identical write, which can take effect only once.
            self.ctx.counters.count("work.retry.claim_uncertain")
            written = self.ctx.claims.write(row, version)
        return written

    def _claimed_row(
        self,
        request: messages.Request,
        stored: claims.StoredRow | None,
        owned: workers.OwnedWorker,
    ) -> messages.WorkRow:
        own = self.ctx.lease.row
        return claims.with_new_attempt(
            messages.WorkRow(
                request=request,
                digest=claims.request_digest(request),
                state=messages.State.CLAIMED,
                holder=own.instance,
                incarnation=own.incarnation,
                attempt="",
                generation=stored.row.generation + 1 if stored else 1,
                worker=owned.name,
                lease_deadline=self.ctx.clock.wall() + leases.TASK_LEASE_TERM_S,
                checkpoint=stored.row.checkpoint if stored else "",
                started=stored.row.started if stored else False,
                boot=owned.boot,
            )
        )
