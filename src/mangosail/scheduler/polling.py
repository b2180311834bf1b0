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
HOLD_TERM = 4.3
#: Seconds after its last confirmed write for which a leader goes on extending
#: leases. It bounds what a leader that was cut off keeps alive, and bridges an
#: outage of the store together with `HOLD_TERM`.
UNCONFIRMED_TERM = 3.2
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
GATHER_TERM = 0.015


class Attendance:
    """Looks at one worker after another look, and passes on what it lists."""

    def __init__(
        self,
        calls: ports.Workers,
        writer: journal.Journal,
        taking_in: reports.ReportProcessor,
        sender: orders.Orders,
        model: interference.Model,
        changed: gevent.event.Event,
        on_gone: cabc.Callable[[fleet.Worker, str], None],
        on_later_life: cabc.Callable[[fleet.Worker, messages.Look], fleet.Worker],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.calls = calls
        self.journal = writer
        self.reports = taking_in
        self.orders = sender
        self.model = model
        self.throttler = throttling.Throttler(model)
        self.changed = changed
        self.on_gone = on_gone
        self.on_later_life = on_later_life
        self.clock = clock
        self.counters = counters

    def attend(self, worker: fleet.Worker) -> None:
        """Look at a worker until it is gone."""
        while not worker.gone:
            self.look(worker)

    def look(self, worker: fleet.Worker) -> None:
        """Look once, and wait as long as the next look should."""
        now = self.clock.elapsed()
        unseen = worker.taken_in > worker.acknowledged
        wait = 0.0
        if worker.known and worker.reachable and not unseen:
            wait = LOOK_WAIT if worker.runs_short else QUIET_WAIT
        answer = self._answer_to_look(worker, self._deadline(worker, now), wait)
        if answer is None or worker.gone:
            return
        if isinstance(answer, result.Err):
            self._failed(worker, answer.err_value)
            return
        ends = self.take_in(worker, answer.ok_value, now)
        if worker.gone:
            return
        self._throttle(worker, answer.ok_value.running)
        if ends:
            self._acknowledge(worker)
        elif unseen:
            self.clock.sleep(UNSEEN_INTERVAL)

    def _answer_to_look(
        self, worker: fleet.Worker, deadline: int | None, wait: float
    ) -> result.Result[messages.Look, errors.OrderError] | None:
        """Look, and return the answer; None if another look was answered instead.

        The load this answers: a part of the looks gets no answer. Until the call was
        given up, 2 s later, no end on the worker was seen, nor its leases extended: a
        job of 15 tasks waited for one such worker or another, and after two looks in a
        row without an answer all tasks there were lost.
        """
        call = gevent.spawn(
            self.calls.look,
            worker.entry,
            self.journal.token,
            # After a silence another life may answer, whose ends nobody has read yet.
            worker.acknowledged if worker.reachable else 0,
            deadline,
            wait,
        )
        call.join(wait + orders.ANSWER_TIMEOUT_S)
        if call.ready() or not self.look_now(worker) or call.ready():
            return call.get()
        self.counters.count("workers.look_late")
        call.kill(block=False)
        return None

    def look_now(self, worker: fleet.Worker) -> bool:
        """Look once, beside the look that may be waiting; tell whether it answered."""
        sent_at = self.clock.elapsed()
        answer = self.calls.look(
            worker.entry, self.journal.token, 0, None, 0.0, aside=True
        )
        if isinstance(answer, result.Err) or worker.gone:
            self.counters.count("workers.look_now_failed")
            return False
        if self.take_in(worker, answer.ok_value, sent_at):
            gevent.spawn(self._acknowledge, worker)
        return True

    def take_in(
        self, worker: fleet.Worker, look: messages.Look, sent_at: float
    ) -> bool:
        """Take in a look, and tell whether it listed new ends.

        A worker may start again under its name. What is known of its earlier life does
        not hold for the later one: the numbers of its ends and its clock begin anew.
        """
        life = worker.life_in(look, sent_at) if worker.known else fleet.Life.PRESENT
        if life is not fleet.Life.PRESENT:
            self.counters.count(f"workers.other_life.{life.value}")
            log.warning(
                "another life answers", worker=worker.name, life=life.value,
                born=look.born, before=worker.born, clock=look.clock,
                clock_before=round(worker.clock),
            )  # fmt: skip
        if life is fleet.Life.EARLIER:
            return False
        if life is fleet.Life.LATER:
            worker = self.on_later_life(worker, look)
        if not worker.known or worker.born is None:
            worker.born = look.born if look.born is not None else worker.born
        if not worker.reachable:
            self.counters.count("workers.reached")
            log.info("worker reached", worker=worker.name)
            self.changed.set()
        if not worker.known:
            # An earlier leader may have extended the lease until just now, or a look at
            # an earlier life, by a clock that showed far more.
            longest = max(HOLD_TERM, worker.longest_lease)
            worker.deadline = max(worker.deadline, look.clock + longest * 1000)
        taken_in = worker.taken_in
        self.reports.process(worker, look, sent_at)
        if worker.taken_in == taken_in:
            return False
        self.changed.set()
        if life is fleet.Life.LATER:
            gevent.spawn(self._acknowledge, worker)
        return True

    def ask(self, worker: fleet.Worker, entry: messages.WorkerEntry) -> None:
        """Find out at once which life answers where an entry says."""
        sent_at = self.clock.elapsed()
        answer = self.calls.look(entry, self.journal.token, 0, None, 0.0, aside=True)
        if worker.gone:
            return
        if isinstance(answer, result.Ok):
            if self.take_in(worker, answer.ok_value, sent_at):
                gevent.spawn(self._acknowledge, worker)
        elif isinstance(answer.err_value, errors.Replaced):
            self.on_gone(worker, "replaced")

    def _deadline(self, worker: fleet.Worker, now: float) -> int | None:
        """Return the lease's next end, or None if it must not be extended."""
        if not worker.reachable:
            # A look that is not answered may still extend the lease. If each did,
            # the lease of a lost worker would never be over for us.
            return None
        if now > self.journal.confirmed_at + UNCONFIRMED_TERM:
            self.counters.count("workers.not_extended")
            return None
        deadline = int(worker.clock_at(now) + HOLD_TERM * 1000)
        worker.deadline = max(worker.deadline, float(deadline))
        return deadline

    def _acknowledge(self, worker: fleet.Worker) -> None:
        """Let the worker forget the ends that were taken in, once they are durable."""
        number = worker.taken_in
        durable = gevent.event.Event()

        def seen() -> None:
            worker.acknowledged = max(worker.acknowledged, number)
            durable.set()

        self.journal.then(seen)
        durable.wait(UNSEEN_INTERVAL)
        self.clock.sleep(GATHER_TERM)

    def _throttle(self, worker: fleet.Worker, running: tuple) -> None:
        now = self.clock.elapsed()
        self.model.learn(worker, running)
        for pace in self.throttler.limits(worker, running, now):
            worker.throttled_at = now
            gevent.spawn(self.orders.throttle, pace.task, worker, pace.percent)

    def _failed(self, worker: fleet.Worker, error: errors.OrderError) -> None:
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
        if worker.expired(now):
            if worker.tasks:
                self.reports.handle_worker_lost(worker, "lease_over")
                self.changed.set()
            if worker.unlisted:
                self.on_gone(worker, "unlisted")
                return
        self.clock.sleep(SILENT_INTERVAL)
