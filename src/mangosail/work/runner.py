"""Running durable work: claim, start once, wait for the end, record it."""

import dataclasses
import typing as t

import gevent.event
import logbook
import result

from mangosail import clock as clocks
from mangosail.dispatch import errors as dispatch_errors
from mangosail.dispatch import messages as dispatch_messages
from mangosail.ownership import session
from mangosail.placement import errors as placement_errors
from mangosail.placement import messages as placement_messages
from mangosail.placement import placer, workers
from mangosail.platform import errors as platform_errors
from mangosail.platform import table
from mangosail.telemetry import counters as telemetry
from mangosail.work import claims, errors, messages

log = logbook.Logger("work")

#: Seconds that a task's lease on its worker runs; outlives a table outage.
TASK_TERM = 600.0
#: Seconds after which a caller should ask again for an outcome.
ASK_AGAIN = 1.0
#: Seconds that a start may take until it counts as lost.
START_TIMEOUT = 2.0

SubmitError = (
    errors.BodyConflict
    | errors.StoreUnavailable
    | errors.Undecided
    | placement_errors.NotPlaced
)


class Runner:
    """Durable work on this instance's workers."""

    def __init__(
        self,
        claim_rows: claims.Claims,
        owned: workers.Workers,
        place: placer.Placer,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.claims = claim_rows
        self.owned = owned
        self.placer = place
        self.lease = lease
        self.clock = clock
        self.counters = counters
        #: Work in hand by task id, and who waits for its end.
        self.running: dict[str, claims.Held] = {}
        self.ended: dict[str, gevent.event.AsyncResult] = {}

    def submit(
        self, request: messages.Request, deadline: float
    ) -> result.Result[messages.Outcome, SubmitError]:
        """Run `request`, or return what became of it before.

        Waits for the end until the monotonic `deadline`, then returns an
        outcome of `unknown` with the time to ask again; the work goes on.
        """
        found = self.claims.read(request.team, request.request_id)
        if isinstance(found, result.Err):
            return result.Err(errors.StoreUnavailable(ASK_AGAIN))
        held = found.ok_value
        if held is not None:
            return self._repeat(request, held, deadline)
        placed = self._place(request)
        if isinstance(placed, result.Err):
            return placed
        owned = placed.ok_value
        claimed = self._claim(request, owned)
        if isinstance(claimed, result.Err):
            return self._unclaimed(request, owned, claimed.err_value)
        self._start(claimed.ok_value, owned)
        return result.Ok(self.wait(request, deadline))

    def has_room(self, request: messages.Request) -> bool:
        """Tell whether `request` would be placed, or refused for good, now."""
        return not self.placer.must_wait(work_of(request))

    def look_up(
        self, team: str, request_id: str
    ) -> result.Result[messages.Outcome | None, errors.StoreUnavailable]:
        """Return what is known of a piece of work, or None if nothing is."""
        found = self.claims.read(team, request_id)
        if isinstance(found, result.Err):
            return result.Err(errors.StoreUnavailable(ASK_AGAIN))
        if found.ok_value is None:
            return result.Ok(None)
        return result.Ok(outcome_of(found.ok_value.row))

    def wait(self, request: messages.Request, deadline: float) -> messages.Outcome:
        """Return the outcome as soon as there is one, or at `deadline`."""
        task_id = task_id_of(request)
        waiting = self.ended.get(task_id)
        if waiting is not None:
            left = max(deadline - self.clock.monotonic(), 0.0)
            waiting.wait(timeout=left)
            if waiting.ready():
                return t.cast(messages.Outcome, waiting.get())
        held = self.running.get(task_id)
        if held is not None:
            return outcome_of(held.row)
        return messages.Outcome(request.request_id, "unknown", retry_after=ASK_AGAIN)

    def on_snapshot(self, worker: str, snapshot: dispatch_messages.Snapshot) -> None:
        """Record the ends of tasks that the worker tells of."""
        owned = self.owned.get(worker)
        for report in snapshot.tasks:
            held = self.running.get(report.task_id)
            if held is None or owned is None:
                continue
            if report.state is not dispatch_messages.TaskState.RUNNING:
                self._finish(held, report, owned)

    def _repeat(
        self, request: messages.Request, held: claims.Held, deadline: float
    ) -> result.Result[messages.Outcome, SubmitError]:
        if held.row.digest != claims.digest_of(request):
            self.counters.count("work.refused.body_conflict")
            return result.Err(errors.BodyConflict(request.request_id))
        self.counters.count("work.repeated")
        if held.row.state in messages.FINAL:
            return result.Ok(outcome_of(held.row))
        return result.Ok(self.wait(request, deadline))

    def _place(
        self, request: messages.Request
    ) -> result.Result[workers.OwnedWorker, SubmitError]:
        if not self.lease.valid():
            self.counters.count("work.refused.no_lease")
            reason = placement_errors.Reason.NO_WORKERS
            return result.Err(placement_errors.NotPlaced(reason, ASK_AGAIN))
        placed = self.placer.place(work_of(request))
        return placed.map(lambda place: place.owned)

    def _claim(
        self, request: messages.Request, owned: workers.OwnedWorker
    ) -> result.Result[claims.Held, platform_errors.CommitError]:
        row = messages.WorkRow(
            request=request,
            digest=claims.digest_of(request),
            state=messages.State.CLAIMED,
            holder=self.lease.row.instance,
            incarnation=self.lease.row.incarnation,
            attempt="",
            generation=1,
            worker=owned.name,
            lease_deadline=self.clock.wall() + TASK_TERM,
        )
        return self.claims.write(row, table.ABSENT)

    def _unclaimed(
        self,
        request: messages.Request,
        owned: workers.OwnedWorker,
        error: platform_errors.CommitError,
    ) -> result.Result[messages.Outcome, SubmitError]:
        self.placer.withdraw(task_id_of(request))
        self.counters.count("work.claim_failed")
        if isinstance(error, platform_errors.Unavailable):
            return result.Err(errors.StoreUnavailable(ASK_AGAIN))
        return result.Err(errors.Undecided(ASK_AGAIN))

    def _start(self, held: claims.Held, owned: workers.OwnedWorker) -> None:
        row = held.row
        task_id = task_id_of(row.request)
        self.running[task_id] = held
        self.ended[task_id] = gevent.event.AsyncResult()
        start = dispatch_messages.Start(
            task_id=task_id,
            generation=row.generation,
            owner_generation=owned.generation,
            lease_deadline=row.lease_deadline - clocks.CLOCK_SKEW_MARGIN,
            team=row.request.team,
            kind=row.request.kind,
            needs=owned.ledger.reserved.get(task_id, row.request.needs),
            body=row.request.body,
            checkpoint=row.checkpoint,
        )
        self.counters.count("work.started")
        deadline = self.clock.monotonic() + START_TIMEOUT
        answer = owned.target.start(start, deadline)
        if isinstance(answer, result.Err):
            self._start_failed(held, owned, answer.err_value)

    def _start_failed(
        self,
        held: claims.Held,
        owned: workers.OwnedWorker,
        error: dispatch_errors.DispatchError,
    ) -> None:
        """Make sure whether a start whose answer is missing took effect."""
        self.counters.count("work.start_failed")
        task_id = task_id_of(held.row.request)
        deadline = self.clock.monotonic() + START_TIMEOUT
        void = owned.target.void(task_id, held.row.generation, deadline)
        if isinstance(void, result.Ok):
            self._finish(held, void.ok_value, owned)
            return
        log.warning("start unsettled", task=task_id, why=error.reason)

    def _finish(
        self,
        held: claims.Held,
        report: dispatch_messages.Report,
        owned: workers.OwnedWorker,
    ) -> None:
        task_id = task_id_of(held.row.request)
        row = dataclasses.replace(
            held.row,
            state=END_STATES.get(report.state, messages.State.UNKNOWN),
            answer=report.answer,
            reason=report.reason,
        )
        written = self.claims.write(row, held.version)
        if isinstance(written, result.Err):
            self.counters.count("work.finish_failed")
            return
        self.running.pop(task_id, None)
        if row.state in TELLING:
            ok = row.state is messages.State.COMPLETED
            self.placer.ended(task_id, ok, report.seconds)
        else:
            self.placer.withdraw(task_id)
        owned.ledger.release(task_id)
        outcome = outcome_of(row)
        self.counters.count(f"work.ended.{outcome.outcome}")
        waiting = self.ended.pop(task_id, None)
        if waiting is not None:
            waiting.set(outcome)


#: Ends that say whether the worker and the job do well.
TELLING = frozenset(
    {messages.State.COMPLETED, messages.State.FAILED, messages.State.NOT_RUN}
)

#: What the end of a task on its worker makes of the work.
END_STATES = {
    dispatch_messages.TaskState.DONE: messages.State.COMPLETED,
    dispatch_messages.TaskState.FAILED: messages.State.FAILED,
    dispatch_messages.TaskState.VOID: messages.State.NOT_RUN,
}


def task_id_of(request: messages.Request) -> str:
    """Return the task id under which workers know the request."""
    return f"{request.team}/{request.request_id}"


def work_of(request: messages.Request) -> placement_messages.Work:
    """Return the request as placement sees it."""
    batch, task = placement_messages.WorkClass.BATCH, placement_messages.WorkClass.TASK
    return placement_messages.Work(
        task_id_of(request),
        request.team,
        request.kind,
        request.needs,
        batch if request.job else task,
        request.job,
    )


def outcome_of(row: messages.WorkRow) -> messages.Outcome:
    """Return what a caller is told of `row`."""
    request_id = row.request.request_id
    if row.state in (messages.State.CLAIMED, messages.State.EVICTED):
        return messages.Outcome(request_id, "unknown", retry_after=ASK_AGAIN)
    return messages.Outcome(request_id, row.state.value, row.answer, row.reason)
