"""Polling of workers: one greenlet per worker, for as long as the worker is known."""

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

#: Seconds by which each poll extends the lease of all runs on the worker. Longer than
#: a leader change takes, so that runs survive one, and short enough that the tasks of
#: a lost worker are soon restarted elsewhere.
LEASE_EXTENSION_S = 4.3
#: Seconds after its last confirmed write for which a leader goes on extending
#: leases. Bounds how long a partitioned leader keeps runs alive. Together with
#: `LEASE_EXTENSION_S` it is the longest store outage that runs survive.
MAX_UNCONFIRMED_S = 3.2
#: Seconds for which a long poll waits for a run to end: on workers with finite tasks,
#: and on all others. Polls are the most frequent calls of a leader. On workers with
#: finite tasks most of them return early because a run has ended.
POLL_WAIT_S = 0.6
IDLE_POLL_WAIT_S = 1.2
#: The same where work beside a tail latency over its target is about to be throttled.
MIN_POLL_WAIT_S = 0.1
#: Seconds between polls of a worker that does not answer.
UNREACHABLE_POLL_INTERVAL_S = 0.25
#: Seconds between polls of a worker while ends that it reported are not yet durable.
UNACKNOWLEDGED_POLL_INTERVAL_S = 0.25
#: Seconds for which ends are batched before the next poll: a poll costs the same for
#: one end as for many.
BATCH_WINDOW_S = 0.015


def poll_wait(worker: fleet.Worker, now: float) -> float:
    """Return the seconds for which a poll may wait for a run to end.

    Beside a tail latency over its target the report is needed when work may be
    throttled next.
    """
    wait = POLL_WAIT_S if worker.runs_finite_tasks else IDLE_POLL_WAIT_S
    due_at = throttling.next_slow_down_at(worker)
    if due_at is None:
        return wait
    return min(max(due_at - now, MIN_POLL_WAIT_S), wait)


class Poller:
    """Polls workers, extends their leases and passes their reports on."""

    def __init__(
        self,
        client: ports.WorkerClient,
        job_journal: journal.Journal,
        worker_reports: reports.ReportProcessor,
        worker_orders: orders.Orders,
        model: interference.Model,
        changed: gevent.event.Event,
        on_removed: cabc.Callable[[fleet.Worker, str], None],
        on_later_incarnation: cabc.Callable[
            [fleet.Worker, messages.WorkerReport], fleet.Worker
        ],
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.client = client
        self.journal = job_journal
        self.reports = worker_reports
        self.orders = worker_orders
        self.model = model
        self.throttler = throttling.Throttler(model)
        self.changed = changed
        self.on_removed = on_removed
        self.on_later_incarnation = on_later_incarnation
        self.clock = clock
        self.counters = counters

    def poll_until_removed(self, worker: fleet.Worker) -> None:
        """Poll a worker until it is removed from the fleet."""
        while not worker.removed:
            self.poll(worker)

    def poll(self, worker: fleet.Worker) -> None:
        """Poll once, then sleep until the next poll is due."""
        now = self.clock.elapsed()
        unacknowledged = worker.last_end_seen > worker.last_end_acknowledged
        wait = 0.0
        ends_known = not unacknowledged and not worker.has_more_ends
        if worker.contacted and worker.reachable and ends_known:
            wait = poll_wait(worker, now)
        deadline = self._next_lease_deadline(worker, now)
        answer = self._poll_or_retry(worker, deadline, wait)
        if answer is None or worker.removed:
            return
        if isinstance(answer, result.Err):
            self._poll_failed(worker, answer.err_value)
            return
        new_ends = self.handle_report(worker, answer.ok_value, now)
        if worker.removed:
            return
        if deadline is not None:
            worker.record_lease(deadline)
        if new_ends:
            self._acknowledge_when_durable(worker)
        elif unacknowledged or worker.has_more_ends:
            self.clock.sleep(UNACKNOWLEDGED_POLL_INTERVAL_S)

    def _poll_or_retry(
        self, worker: fleet.Worker, deadline: int | None, wait: float
    ) -> result.Result[messages.WorkerReport, errors.OrderError] | None:
        """Poll and return the answer, or None if a second poll was answered instead.

        Some polls are never answered. Waiting for the client's time-out of 2 s delays
        the ends of runs on that worker (a job of 15 tasks nearly always had one such
        worker) and its lease extensions: two unanswered polls in a row lost all of its
        tasks. So a poll that is late is followed by a second one beside it.
        """
        call = gevent.spawn(
            self.client.poll,
            worker.entry,
            self.journal.token,
            # After a time without contact another incarnation may answer, whose ends
            # have not been read yet and must not be acknowledged.
            worker.last_end_acknowledged if worker.reachable else 0,
            deadline,
            wait,
        )
        timeout = self.orders.answer_timeout.seconds
        call.join(wait + timeout)
        if not call.ready():
            # Not the time at which it was due: if the leader is behind itself, the
            # answer may have come and not been read.
            worker.mark_silent(self.clock.elapsed() - timeout)
        if call.ready() or not self.poll_now(worker) or call.ready():
            return call.get()
        self.counters.count("workers.look_late")
        call.kill(block=False)
        return None

    def poll_now(self, worker: fleet.Worker) -> bool:
        """Poll once beside the pending long poll; return whether it was answered."""
        return self._poll_beside(worker, None)

    def poll_and_extend(self, worker: fleet.Worker) -> bool:
        """Do the same, and extend the lease of all runs on the worker."""
        deadline = self._next_lease_deadline(worker, self.clock.elapsed())
        return self._poll_beside(worker, deadline)

    def _poll_beside(self, worker: fleet.Worker, deadline: int | None) -> bool:
        sent_at = self.clock.elapsed()
        answer = self.client.poll(
            worker.entry, self.journal.token, 0, deadline, 0.0, out_of_band=True
        )
        if isinstance(answer, result.Err) or worker.removed:
            self.counters.count("workers.look_now_failed")
            return False
        if self.handle_report(worker, answer.ok_value, sent_at):
            gevent.spawn(self._acknowledge_when_durable, worker)
        if deadline is not None and not worker.removed:
            worker.record_lease(deadline)
        return True

    def handle_report(
        self, worker: fleet.Worker, report: messages.WorkerReport, sent_at: float
    ) -> bool:
        """Process a report and return whether it listed new ends.

        A worker may restart under the same name. State of the earlier incarnation does
        not apply to the later one: its end numbers and its clock start over.
        """
        order = (
            worker.classify_report(report, sent_at)
            if worker.contacted
            else fleet.IncarnationOrder.CURRENT
        )
        if order is not fleet.IncarnationOrder.CURRENT:
            self.counters.count(f"workers.other_life.{order.value}")
            log.warning(
                "report from another incarnation", worker=worker.name, life=order.value,
                born=report.incarnation, before=worker.incarnation, clock=report.clock,
                clock_before=round(worker.clock),
            )  # fmt: skip
        if order is fleet.IncarnationOrder.EARLIER:
            return False
        if order is fleet.IncarnationOrder.LATER:
            worker = self.on_later_incarnation(worker, report)
        if not worker.contacted or worker.incarnation is None:
            worker.incarnation = (
                report.incarnation
                if report.incarnation is not None
                else worker.incarnation
            )
        if not worker.reachable:
            self.counters.count("workers.reached")
            log.info("worker reached", worker=worker.name)
            self.changed.set()
        if not worker.contacted:
            # An earlier leader may have extended the lease until just now. So may a
            # poll meant for an earlier incarnation, whose clock was far ahead.
            longest = max(LEASE_EXTENSION_S, worker.max_stray_lease)
            worker.lease_deadline = max(
                worker.lease_deadline, report.clock + longest * 1000
            )
        last_end_before = worker.last_end_seen
        self.reports.process(worker, report, sent_at)
        self._throttle(worker, report.running)
        if worker.last_end_seen == last_end_before:
            return False
        self.changed.set()
        if order is fleet.IncarnationOrder.LATER:
            gevent.spawn(self._acknowledge_when_durable, worker)
        return True

    def check_incarnation(
        self, worker: fleet.Worker, entry: messages.WorkerEntry
    ) -> None:
        """Poll the address of an entry at once to see which incarnation answers."""
        sent_at = self.clock.elapsed()
        answer = self.client.poll(
            entry, self.journal.token, 0, None, 0.0, out_of_band=True
        )
        if worker.removed:
            return
        if isinstance(answer, result.Ok):
            if self.handle_report(worker, answer.ok_value, sent_at):
                gevent.spawn(self._acknowledge_when_durable, worker)
        elif isinstance(answer.err_value, errors.Replaced):
            self.on_removed(worker, "replaced")

    def _next_lease_deadline(self, worker: fleet.Worker, now: float) -> int | None:
        """Return the next deadline of the lease, or None to leave it unextended."""
        if not worker.reachable:
            # An unanswered poll may still extend the lease. If each one were assumed
            # to, the lease of a lost worker would never expire here.
            return None
        if now > self.journal.confirmed_at + MAX_UNCONFIRMED_S:
            self.counters.count("workers.not_extended")
            return None
        deadline = int(worker.clock_at(now) + LEASE_EXTENSION_S * 1000)
        worker.lease_deadline = max(worker.lease_deadline, float(deadline))
        return deadline

    def _acknowledge_when_durable(self, worker: fleet.Worker) -> None:
        """Acknowledge the processed ends to the worker once they are durable."""
        number = worker.last_end_seen
        durable = gevent.event.Event()

        def on_durable() -> None:
            worker.last_end_acknowledged = max(worker.last_end_acknowledged, number)
            durable.set()

        self.journal.when_durable(on_durable)
        durable.wait(UNACKNOWLEDGED_POLL_INTERVAL_S)
        self.clock.sleep(BATCH_WINDOW_S)

    def _throttle(
        self, worker: fleet.Worker, running: tuple[messages.RunningTask, ...]
    ) -> None:
        """Learn from the tail latencies on a worker, and throttle work beside them."""
        now = self.clock.elapsed()
        self.model.learn(worker, running, now)
        for pace in self.throttler.limits(worker, running, now):
            worker.throttled_at = now
            gevent.spawn(self.orders.throttle, pace.task, worker, pace.percent)

    def _poll_failed(self, worker: fleet.Worker, error: errors.OrderError) -> None:
        now = self.clock.elapsed()
        reason = type(error).__name__.lower()
        if isinstance(error, errors.Replaced):
            self.on_removed(worker, "replaced")
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
        worker.mark_unreachable(now)
        if worker.lease_expired(now):
            if worker.tasks:
                self.reports.handle_worker_lost(worker, "lease_over")
                self.changed.set()
            if worker.unlisted:
                self.on_removed(worker, "unlisted")
                return
        self.clock.sleep(UNREACHABLE_POLL_INTERVAL_S)
