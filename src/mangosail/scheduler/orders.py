"""Start and stop orders to workers, and the handling of their answers.

A start is sent once. Without an answer it is unknown whether the run exists, and it may
still begin later. This is settled when a poll lists the run, or when the worker has
acknowledged a stop of it (which bars the run) and a later poll does not list it.

This handles lost answers: some orders get no answer and are carried out seconds late.
The worker is polled as soon as an answer is overdue, and once more when it has
acknowledged the stop. With only the regular polls, which wait for ended runs, it took 2
to 4 s to settle such a start, and most jobs of a dozen tasks had one.
"""

import collections.abc as cabc
import math

import gevent
import gevent.event
import logbook
import result

from mangosail import clock as clocks
from mangosail.scheduler import (
    answer_timeout,
    copies,
    errors,
    fleet,
    messages,
    ports,
    progress,
)
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("orders")

#: Seconds after which a start expires if the worker has not begun it. Short, so that a
#: delayed one does no harm for longer than this.
START_TIMEOUT_S = 2.0
#: Minimum and maximum seconds after which the answer to a start is overdue. The minimum
#: is about twenty times the usual latency; polling the worker costs one call, so it may
#: be too early at times.
ANSWER_TIMEOUT_S = 0.25
MAX_ANSWER_TIMEOUT_S = 1.0
#: Longest wait, in seconds, until nothing else has just started on the worker of a
#: suspect, and seconds between looks.
MAX_ISOLATION_WAIT_S = 1.0
ISOLATION_CHECK_INTERVAL_S = 0.05
#: Seconds after an isolated start until its worker is polled: an order that is sent
#: first should arrive first.
OBSERVATION_DELAY_S = 0.002
#: Seconds between further polls of a worker on which a suspect has just started.
OBSERVATION_INTERVAL_S = 0.1
#: Seconds by which a check may itself be late without the leader being behind.
LATE_CHECK_S = 0.1
#: Seconds within which an order without an answer may still be carried out.
MAX_ORDER_DELAY_S = 12.0
#: Seconds between attempts to stop a run on a worker that does not answer.
STOP_RETRY_INTERVAL_S = 0.3
#: Seconds for which a worker that rejected a start for lack of room gets no tasks.
NO_ROOM_BACKOFF_S = 0.15
#: Seconds for which an unhealthy worker gets no tasks.
UNHEALTHY_BACKOFF_S = 1.0
#: Seconds before a task whose start was rejected is placed again.
REJECTED_BACKOFF_S = 0.05
#: Seconds before a task whose start was rejected as invalid is placed again.
INVALID_BACKOFF_S = 5.0


class Orders:
    """Sends start and stop orders, and processes their answers."""

    def __init__(
        self,
        client: ports.WorkerClient,
        token: int,
        workers: fleet.Fleet,
        changed: gevent.event.Event,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.client = client
        self.token = token
        self.workers = workers
        self.changed = changed
        self.clock = clock
        self.counters = counters
        #: Polls a worker immediately, processes its report, and returns whether it
        #: answered.
        self.poll_now: cabc.Callable[[fleet.Worker], bool] = lambda worker: False
        #: The same, and extends the lease of what runs there.
        self.poll_and_extend: cabc.Callable[[fleet.Worker], bool] = self.poll_now
        #: Records the job of a task whose isolated start is known to have begun.
        self.record_job: cabc.Callable[[progress.JobProgress], None] = lambda job: None
        #: When an answer is overdue, which polls go by too.
        self.answer_timeout = answer_timeout.AnswerTimeout(
            ANSWER_TIMEOUT_S, MAX_ANSWER_TIMEOUT_S
        )
        #: Set once a worker has seen a higher fencing token.
        self.fenced = gevent.event.Event()

    def start(
        self, task: progress.Task, worker: fleet.Worker, until: float = math.inf
    ) -> None:
        """Start the task's current run, whose record or assignment is durable.

        Later than the elapsed time `until` the start is not sent any more.
        """
        if task.phase is not progress.Phase.STARTING or task.worker != worker.name:
            return
        run = task.run
        if worker.isolated_suspect is task:
            self._prepare_isolated_start(task, worker)
        if not self._unanswered(task, run):
            return
        if worker.removed or not is_wanted(task):
            self._mark_not_started(
                task, self._current_incarnation(worker), "not_wanted"
            )
            return
        if worker.overcommitted:
            # Its capacity shrank while the record was written.
            self._mark_not_started(task, worker, "no_room")
            return
        now = self.clock.elapsed()
        if now > until:
            self._mark_not_started(task, worker, "unconfirmed")
            return
        last_contact_at = worker.last_contact_at
        deadline = int(worker.clock_at(now) + START_TIMEOUT_S * 1000)
        worker.lease_deadline = max(worker.lease_deadline, deadline)
        order = messages.StartOrder(
            task.name,
            run,
            task.job.job.spec,
            task.checkpoint,
            deadline,
            self.token,
            task.step_run.tickets.get(worker.name, ""),
        )
        task.start_sent_at = now
        task.isolated = worker.starts_in_isolation(task, now)
        if task.isolated:
            gevent.spawn(self._observe_isolated_start, task, worker, run)
        self._check_start_later(task, worker, run)
        answer = self.client.start(worker.entry, order)
        took = self.clock.elapsed() - now
        self.counters.time("orders.start", took)
        if isinstance(answer, result.Ok):
            self.answer_timeout.record(took)
        worker = self._current_incarnation(worker)
        if task.run != run or task.phase is not progress.Phase.STARTING:
            # A poll has listed the run or its end, or it was stopped as overdue.
            return
        if isinstance(answer, result.Ok):
            if now >= worker.discovered_at and answer.ok_value >= worker.clock:
                worker.record_contact(answer.ok_value, self.clock.elapsed())
                worker.record_lease(deadline)
            task.phase = progress.Phase.RUNNING
            task.start_confirmed = True
            task.job.started = True
            task.started_at = task.progressed_at = self.clock.elapsed()
            task.progress_percent = 0
            log.info(
                "started", task=task.name, run=run, worker=worker.name,
                free=round(worker.free.cpus, 1), unused=round(worker.idle_cpus, 1),
                latency_critical=worker.latency_critical_count,
                best_effort=worker.best_effort_count,
                heard=round(now - last_contact_at, 3),
            )  # fmt: skip
            return
        self._handle_start_error(task, worker, answer.err_value)

    def _prepare_isolated_start(
        self, task: progress.Task, worker: fleet.Worker
    ) -> None:
        """Wait until a suspect starts in isolation, and see that its worker is there.

        Nothing else is placed there meanwhile. A start that a dead worker never got
        would look like one that crashed it; and the lease is extended, within which the
        crash must be proved.
        """
        run = task.run
        due_at = self.clock.elapsed() + MAX_ISOLATION_WAIT_S
        while (
            self._unanswered(task, run)
            and not worker.starts_in_isolation(task, self.clock.elapsed())
            and self.clock.elapsed() < due_at
        ):
            self.clock.sleep(ISOLATION_CHECK_INTERVAL_S)
        if self.poll_and_extend(worker) or not self._unanswered(task, run):
            return
        worker.avoid_until = self.clock.elapsed() + UNHEALTHY_BACKOFF_S
        holder = self._current_incarnation(worker)
        self._mark_not_started(task, holder, "unreachable")

    def _observe_isolated_start(
        self, task: progress.Task, worker: fleet.Worker, run: int
    ) -> None:
        """Poll a worker while a suspect starts there, and record what was learned.

        If the task crashes the worker, this is the last that is heard of the run. The
        first report may list it where the answer to the start is lost, and the record
        tells the next leader that it began. Further polls tell when the worker fell
        silent.
        """
        self.clock.sleep(OBSERVATION_DELAY_S)
        answered = self.poll_and_extend(worker)
        if task.run == run and task.start_confirmed and not worker.removed:
            left = worker.lease_held_until - self.clock.elapsed()
            task.lease_until_wall = self.clock.wall() + left
            self.record_job(task.job)
        until = self.clock.elapsed() + fleet.ISOLATED_START_S
        while answered and task.run == run and self.clock.elapsed() < until:
            self.clock.sleep(OBSERVATION_INTERVAL_S)
            answered = not worker.removed and self.poll_now(worker)

    def _current_incarnation(self, worker: fleet.Worker) -> fleet.Worker:
        """Return the current incarnation of a worker, which holds its tasks."""
        return self.workers.get(worker.name) or worker

    def _check_start_later(
        self, task: progress.Task, worker: fleet.Worker, run: int
    ) -> None:
        """Have a start settled if its answer has not come in time."""
        seconds = self.answer_timeout.seconds
        due_at = self.clock.elapsed() + seconds
        gevent.spawn_later(seconds, self.resolve_late_start, task, worker, run, due_at)

    def resolve_late_start(
        self, task: progress.Task, worker: fleet.Worker, run: int, due_at: float
    ) -> None:
        """Settle a start whose answer should have come by `due_at`.

        If the worker does not list the run it is stopped, which bars it, so that the
        next run need not wait until the deadline of this start has passed.
        """
        if not self._unanswered(task, run):
            return
        if self._is_behind(task, due_at):
            self.counters.count("orders.checked_late")
            self._check_start_later(task, worker, run)
            return
        if not self.poll_now(worker):
            return
        if self._unanswered(task, run):
            self.counters.count("orders.late")
            self._mark_doubtful(task, worker, "late")
            self.stop(task, worker, "doubt")

    def _is_behind(self, task: progress.Task, due_at: float) -> bool:
        """Return whether the leader is late itself, and may not have read the answer.

        Past the start's own deadline that no longer matters.
        """
        now = self.clock.elapsed()
        sent_at = task.start_sent_at
        if sent_at is None or now >= sent_at + START_TIMEOUT_S:
            return False
        return now >= due_at + LATE_CHECK_S

    def _unanswered(self, task: progress.Task, run: int) -> bool:
        return task.run == run and task.phase is progress.Phase.STARTING

    def _mark_doubtful(
        self, task: progress.Task, worker: fleet.Worker, reason: str
    ) -> None:
        task.phase = progress.Phase.DOUBTFUL
        self.counters.count("orders.doubtful")
        log.info(
            "start in doubt", task=task.name, run=task.run, worker=worker.name,
            reason=reason,
        )  # fmt: skip

    def _handle_start_error(
        self, task: progress.Task, worker: fleet.Worker, error: errors.OrderError
    ) -> None:
        now = self.clock.elapsed()
        if isinstance(error, errors.Silent):
            worker.mark_unreachable(now)
            self._mark_doubtful(task, worker, error.reason)
            return
        reason = type(error).__name__.lower()
        if isinstance(error, errors.Rejected):
            reason = error.reason.value
            self._handle_rejection(task, worker, error.reason, now)
        elif isinstance(error, errors.Unwell):
            worker.avoid_until = now + UNHEALTHY_BACKOFF_S
        else:
            worker.mark_unreachable(now)
        self._mark_not_started(task, worker, reason)

    def _handle_rejection(
        self,
        task: progress.Task,
        worker: fleet.Worker,
        reason: errors.Reason,
        now: float,
    ) -> None:
        if reason is errors.Reason.NO_ROOM:
            worker.avoid_until = max(worker.avoid_until, now + NO_ROOM_BACKOFF_S)
        elif reason is errors.Reason.FENCED:
            self.fenced.set()
        elif reason is errors.Reason.TICKET:
            self._handle_ticket_rejection(task, worker)
        elif reason is errors.Reason.INVALID:
            task.not_before = now + INVALID_BACKOFF_S
            return
        task.not_before = now + REJECTED_BACKOFF_S

    def _handle_ticket_rejection(
        self, task: progress.Task, worker: fleet.Worker
    ) -> None:
        """Drop a rejected ticket, or record that the job's tasks need one."""
        if task.step_run.tickets.pop(worker.name, None):
            task.step_run.ticket_rejected = True
        elif not task.job.ticket_demanded:
            task.job.ticket_demanded = True
            log.info("ticket demanded", task=task.name, worker=worker.name)

    def _mark_not_started(
        self, task: progress.Task, worker: fleet.Worker, reason: str
    ) -> None:
        """Record that the run does not exist and never will."""
        worker.release(task)
        if task.step.gang:
            self.stop_gang(task, reason)
        copies.end_run(task, reason, self.counters)
        self.counters.count(f"orders.not_started.{reason}")
        log.info(
            "not started",
            task=task.name,
            run=task.run,
            worker=worker.name,
            reason=reason,
        )
        self.changed.set()

    def transfer(
        self, task: progress.Task, worker: fleet.Worker, successor: fleet.Worker
    ) -> None:
        """Move a run to a later incarnation, where its start may still arrive."""
        worker.release(task)
        successor.reserve(task)
        unsent = task.phase is progress.Phase.STARTING and task.start_sent_at is None
        if not task.start_confirmed and not unsent:
            successor.stray_orders_until = self.clock.elapsed() + MAX_ORDER_DELAY_S
        if task.phase is progress.Phase.STOPPING:
            task.stop_confirmed_at = None
            gevent.spawn(self._stop, task, successor, task.run, False)

    def stop(self, task: progress.Task, worker: fleet.Worker, reason: str) -> None:
        """Stop the task's current run, in the background and until answered."""
        if task.phase in (progress.Phase.STOPPING, progress.Phase.DONE):
            return
        if task.phase is progress.Phase.WAITING:
            return
        known_running = task.phase is progress.Phase.RUNNING
        task.phase = progress.Phase.STOPPING
        task.stop_confirmed_at = None
        self.counters.count(f"orders.stop.{reason}")
        log.info(
            "stopping", task=task.name, run=task.run, worker=worker.name, reason=reason
        )
        gevent.spawn(self._stop, task, worker, task.run, known_running)

    def stop_gang(self, task: progress.Task, reason: str) -> None:
        """Stop the other members of a gang, of which one has not started."""
        for other in task.step_run.tasks:
            holder = self.workers.get(other.worker)
            if other is not task and holder is not None and other.run == task.run:
                self.stop(other, holder, "gang")

    def stop_unknown(self, worker: fleet.Worker, row: messages.RunningTask) -> None:
        """Stop a run that is not wanted, in the background."""
        self.counters.count("orders.stop.unknown")
        log.info(
            "stopping", task=row.task, run=row.run, worker=worker.name, reason="unknown"
        )
        gevent.spawn(self.client.stop, worker.entry, row.task, row.run, self.token)

    def _stop(
        self, task: progress.Task, worker: fleet.Worker, run: int, known_running: bool
    ) -> None:
        while task.phase is progress.Phase.STOPPING and task.run == run:
            if worker.removed:
                return
            if not worker.entry.address:
                self.clock.sleep(STOP_RETRY_INTERVAL_S)
                continue
            answer = self.client.stop(worker.entry, task.name, run, self.token)
            if worker.removed:
                # It is unknown which incarnation has answered; the later one is told
                # too.
                return
            if isinstance(answer, result.Ok):
                if task.run == run:
                    self._mark_barred(task, worker, known_running)
                return
            if isinstance(answer.err_value, errors.Rejected):
                if answer.err_value.reason is errors.Reason.FENCED:
                    self.fenced.set()
                    return
                if answer.err_value.reason is not errors.Reason.NO_ROOM:
                    # Nothing is left there to be stopped.
                    self._mark_barred(task, worker, known_running)
                    return
            self.clock.sleep(STOP_RETRY_INTERVAL_S)

    def _mark_barred(
        self, task: progress.Task, worker: fleet.Worker, known_running: bool
    ) -> None:
        """Record that the run can't begin any more, and check whether it had.

        One that is known to be running ends later, and its end is listed.
        """
        task.stop_confirmed_at = self.clock.elapsed()
        if not known_running:
            self.poll_now(worker)

    def throttle(self, task: progress.Task, worker: fleet.Worker, percent: int) -> None:
        """Limit a run to `percent` of its full speed.

        An order without an answer may have been carried out, or may be seconds later,
        after newer ones. Until reports tell, the run may work at the higher speed.
        """
        if task.worker != worker.name or not task.live:
            # The run has ended since it was decided.
            return
        sent_at = self.clock.elapsed()
        run = task.run
        task.speed_limit = max(task.speed_limit, percent)
        task.throttled_at = sent_at
        answer = self.client.throttle(worker.entry, task.name, run, percent, self.token)
        now = self.clock.elapsed()
        error = ""
        if isinstance(answer, result.Ok):
            self.counters.count("orders.throttle")
        else:
            error = type(answer.err_value).__name__.lower()
            self.counters.count("orders.throttle_failed")
        log.info(
            "throttled", task=task.name, run=run, worker=worker.name,
            percent=percent, done=not error, error=error, took=round(now - sent_at, 3),
        )  # fmt: skip
        if task.run != run or not task.live:
            return
        overtaken = task.throttled_at > sent_at
        if error or overtaken:
            task.stray_throttles_until = now + MAX_ORDER_DELAY_S
            return
        task.speed_limit = percent
        task.speed_unknown = False
        task.throttled_at = now


def is_wanted(task: progress.Task) -> bool:
    """Return whether a run of the task, or a copy of it, should run at all."""
    if task.job.ended or task.job.cancelled:
        return False
    return task.original.phase is not progress.Phase.DONE
