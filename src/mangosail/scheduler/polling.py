"""Attending to a worker: one greenlet that looks at it for as long as it lives."""

import collections.abc as cabc

import gevent
import gevent.event
import logbook
import result

from mangosail import clock as clocks
from mangosail.scheduler import (
    errors,
    fleet,
    interference,
    journal,
    messages,
    orders,
    ports,
    reports,
    throttling,
)
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("attendance")

#: Seconds by which each look extends the lease of all that runs on the worker.
#: Longer than a new leader needs to take over, and short enough that tasks of a
#: lost worker soon run elsewhere.
LEASE_EXTENSION_S = 4.3
#: Seconds after its last confirmed write for which a leader goes on extending
#: leases. It bounds what a leader that was cut off keeps alive, and bridges an
#: outage of the store together with `LEASE_EXTENSION_S`.
MAX_UNCONFIRMED_S = 3.2
#: Seconds for which a look waits for an end, where short tasks run and elsewhere. Looks
#: are the most frequent calls of a leader; where short tasks run, most are answered
#: sooner for an end.
LOOK_WAIT = 0.6
QUIET_WAIT = 1.2
#: Seconds between looks at a worker that does not answer.
SILENT_INTERVAL = 0.25
#: Seconds between looks at a worker whose ends are not durable yet.
UNSEEN_INTERVAL = 0.25
#: Seconds for which ends are gathered before the next look: a look costs the same
#: for one end and for many.
BATCH_WINDOW_S = 0.015


class Poller:
    """Looks at one worker after another look, and passes on what it lists."""

    def __init__(
        self,
        client: ports.WorkerClient,
        job_journal: journal.Journal,
        taking_in: reports.ReportProcessor,
        worker_orders: orders.Orders,
        model: interference.Model,
        changed: gevent.event.Event,
        on_gone: cabc.Callable[[fleet.Worker, str], None],
        on_later_life: cabc.Callable[
            [fleet.Worker, messages.WorkerReport], fleet.Worker
        ],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.client = client
        self.journal = job_journal
        self.reports = taking_in
        self.orders = worker_orders
        self.model = model
        self.throttler = throttling.Throttler(model)
        self.changed = changed
        self.on_gone = on_gone
        self.on_later_life = on_later_life
        self.clock = clock
        self.counters = counters

    def poll_until_removed(self, worker: fleet.Worker) -> None:
        """Look at a worker until it is gone."""
        while not worker.removed:
            self.poll(worker)

    def poll(self, worker: fleet.Worker) -> None:
        """Look once, and wait as long as the next look should."""
        now = self.clock.elapsed()
        unseen = worker.last_end_seen > worker.last_end_acknowledged
        wait = 0.0
        if worker.contacted and worker.reachable and not unseen:
            wait = LOOK_WAIT if worker.runs_finite_tasks else QUIET_WAIT
        answer = self._answer_to_look(worker, self._deadline(worker, now), wait)
        if answer is None or worker.removed:
            return
        if isinstance(answer, result.Err):
            self._poll_failed(worker, answer.err_value)
            return
        ends = self.handle_report(worker, answer.ok_value, now)
        if worker.removed:
            return
        self._throttle(worker, answer.ok_value.running)
        if ends:
            self._acknowledge(worker)
        elif unseen:
            self.clock.sleep(UNSEEN_INTERVAL)

    def _answer_to_look(
        self, worker: fleet.Worker, deadline: int | None, wait: float
    ) -> result.Result[messages.WorkerReport, errors.OrderError] | None:
        """Look, and return the answer; None if another look was answered instead.

        The load this answers: a part of the looks gets no answer. Until the call was
        given up, 2 s later, no end on the worker was seen, nor its leases extended: a
        job of 15 tasks waited for one such worker or another, and after two looks in a
        row without an answer all tasks there were lost.
        """
        call = gevent.spawn(
            self.client.poll,
            worker.entry,
            self.journal.token,
            # After a silence another life may answer, whose ends nobody has read yet.
            worker.last_end_acknowledged if worker.reachable else 0,
            deadline,
            wait,
        )
        call.join(wait + orders.ANSWER_TIMEOUT_S)
        if call.ready() or not self.poll_now(worker) or call.ready():
            return call.get()
        self.counters.count("workers.look_late")
        call.kill(block=False)
        return None

    def poll_now(self, worker: fleet.Worker) -> bool:
        """Look once, beside the look that may be waiting; tell whether it answered."""
        sent_at = self.clock.elapsed()
        answer = self.client.poll(
            worker.entry, self.journal.token, 0, None, 0.0, out_of_band=True
        )
        if isinstance(answer, result.Err) or worker.removed:
            self.counters.count("workers.look_now_failed")
            return False
        if self.handle_report(worker, answer.ok_value, sent_at):
            gevent.spawn(self._acknowledge, worker)
        return True

    def handle_report(
        self, worker: fleet.Worker, look: messages.WorkerReport, sent_at: float
    ) -> bool:
        """Take in a look, and tell whether it listed new ends.

        A worker may start again under its name. What is known of its earlier life does
        not hold for the later one: the numbers of its ends and its clock begin anew.
        """
        life = (
            worker.classify_report(look, sent_at)
            if worker.contacted
            else fleet.IncarnationOrder.CURRENT
        )
        if life is not fleet.IncarnationOrder.CURRENT:
            self.counters.count(f"workers.other_life.{life.value}")
            log.warning(
                "another life answers", worker=worker.name, life=life.value,
                born=look.incarnation, before=worker.incarnation, clock=look.clock,
                clock_before=round(worker.clock),
            )  # fmt: skip
        if life is fleet.IncarnationOrder.EARLIER:
            return False
        if life is fleet.IncarnationOrder.LATER:
            worker = self.on_later_life(worker, look)
        if not worker.contacted or worker.incarnation is None:
            worker.incarnation = (
                look.incarnation if look.incarnation is not None else worker.incarnation
            )
        if not worker.reachable:
            self.counters.count("workers.reached")
            log.info("worker reached", worker=worker.name)
            self.changed.set()
        if not worker.contacted:
            # An earlier leader may have extended the lease until just now, or a look at
            # an earlier life, by a clock that showed far more.
            longest = max(LEASE_EXTENSION_S, worker.max_stray_lease)
            worker.lease_deadline = max(
                worker.lease_deadline, look.clock + longest * 1000
            )
        taken_in = worker.last_end_seen
        self.reports.process(worker, look, sent_at)
        if worker.last_end_seen == taken_in:
            return False
        self.changed.set()
        if life is fleet.IncarnationOrder.LATER:
            gevent.spawn(self._acknowledge, worker)
        return True

    def check_incarnation(
        self, worker: fleet.Worker, entry: messages.WorkerEntry
    ) -> None:
        """Find out at once which life answers where an entry says."""
        sent_at = self.clock.elapsed()
        answer = self.client.poll(
            entry, self.journal.token, 0, None, 0.0, out_of_band=True
        )
        if worker.removed:
            return
        if isinstance(answer, result.Ok):
            if self.handle_report(worker, answer.ok_value, sent_at):
                gevent.spawn(self._acknowledge, worker)
        elif isinstance(answer.err_value, errors.Replaced):
            self.on_gone(worker, "replaced")

    def _deadline(self, worker: fleet.Worker, now: float) -> int | None:
        """Return the lease's next end, or None if it must not be extended."""
        if not worker.reachable:
            # A look that is not answered may still extend the lease. If each did,
            # the lease of a lost worker would never be over for us.
            return None
        if now > self.journal.confirmed_at + MAX_UNCONFIRMED_S:
            self.counters.count("workers.not_extended")
            return None
        deadline = int(worker.clock_at(now) + LEASE_EXTENSION_S * 1000)
        worker.lease_deadline = max(worker.lease_deadline, float(deadline))
        return deadline

    def _acknowledge(self, worker: fleet.Worker) -> None:
        """Let the worker forget the ends that were taken in, once they are durable."""
        number = worker.last_end_seen
        durable = gevent.event.Event()

        def seen() -> None:
            worker.last_end_acknowledged = max(worker.last_end_acknowledged, number)
            durable.set()

        self.journal.when_durable(seen)
        durable.wait(UNSEEN_INTERVAL)
        self.clock.sleep(BATCH_WINDOW_S)

    def _throttle(self, worker: fleet.Worker, running: tuple) -> None:
        now = self.clock.elapsed()
        self.model.learn(worker, running)
        for pace in self.throttler.limits(worker, running, now):
            worker.throttled_at = now
            gevent.spawn(self.orders.throttle, pace.task, worker, pace.percent)

    def _poll_failed(self, worker: fleet.Worker, error: errors.OrderError) -> None:
        now = self.clock.elapsed()
        reason = type(error).__name__.lower()
        if isinstance(error, errors.Replaced):
            self.on_gone(worker, "replaced")
            return
        if isinstance(error, errors.Rejected) and error.reason is errors.Reason.FENCED:
            self.orders.fenced.set()
        if worker.reachable:
            self.counters.count(f"workers.unreachable.{reason}")
            log.warning(
                "worker unreachable",
                worker=worker.name,
                reason=reason,
                error=str(error),
            )
        worker.reachable = False
        if worker.lease_expired(now):
            if worker.tasks:
                self.reports.handle_worker_lost(worker, "lease_over")
                self.changed.set()
            if worker.unlisted:
                self.on_gone(worker, "unlisted")
                return
        self.clock.sleep(SILENT_INTERVAL)
