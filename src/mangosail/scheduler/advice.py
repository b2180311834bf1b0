"""Asking which workers may run a step, where a queue's policy says so.

The service names the workers that may run a step, each with a ticket that a start
has to carry. Which workers may does not change, the tickets expire. One call for a
step is on its way at a time; the service takes one call of an instance after the
other, so workers with the most room are asked about first.
"""

import dataclasses
import typing as t

import gevent
import gevent.event
import logbook
import result

from mangosail import clock as clocks
from mangosail.scheduler import fleet, placing, progress
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("advice")

#: Workers that one call asks about; each costs the service time.
MAX_WORKERS_PER_CALL = 30
#: Share of a ticket's term after which it is not used any more.
USABLE_LIFETIME_SHARE = 0.8
#: Seconds before a call that failed, or named no worker, is made again.
RETRY_INTERVAL_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Tickets:
    """Tickets by name of the worker, and the seconds for which they hold."""

    by_worker: dict[str, str]
    lifetime: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceUnavailable:
    """The service did not answer the question."""

    reason: str


class Advisor(t.Protocol):
    """The service that says which workers may run a step."""

    def ask(
        self, step: str, workers: list[str]
    ) -> result.Result[Tickets, AdviceUnavailable]:
        """Return tickets for those of the workers that may run the step."""


class TicketCache:
    """Tickets of the steps that need them."""

    def __init__(
        self,
        advisor: Advisor,
        workers: fleet.Fleet,
        changed: gevent.event.Event,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.advisor = advisor
        self.workers = workers
        self.changed = changed
        self.clock = clock
        self.counters = counters

    def usable_tickets(self, step_run: progress.StepRun, now: float) -> dict[str, str]:
        """Return the tickets that can be used now, and ask for more if none can."""
        if step_run.tickets and now < step_run.tickets_valid_until:
            return step_run.tickets
        if not step_run.advice_pending and now >= step_run.next_advice_at:
            step_run.advice_pending = True
            gevent.spawn(self._request_tickets, step_run, now)
        return {}

    def _request_tickets(self, step_run: progress.StepRun, now: float) -> None:
        names = self._candidates(step_run, now)
        asked_at = self.clock.elapsed()
        answer = self.advisor.ask(step_run.name, names)
        self.counters.time("advice.asked", self.clock.elapsed() - asked_at)
        step_run.advice_pending = False
        if isinstance(answer, result.Err):
            self.counters.count("advice.failed")
            log.info("no advice", step=step_run.name, reason=answer.err_value.reason)
            step_run.next_advice_at = self.clock.elapsed() + RETRY_INTERVAL_S
            return
        tickets = answer.ok_value
        step_run.approved_workers |= set(tickets.by_worker)
        step_run.refused_workers |= set(names) - set(tickets.by_worker)
        step_run.tickets = dict(tickets.by_worker)
        step_run.tickets_valid_until = (
            asked_at + tickets.lifetime * USABLE_LIFETIME_SHARE
        )
        if not tickets.by_worker:
            step_run.next_advice_at = self.clock.elapsed() + RETRY_INTERVAL_S
        log.info(
            "advised", step=step_run.name, asked=len(names), may=len(tickets.by_worker)
        )
        self.changed.set()

    def _candidates(self, step_run: progress.StepRun, now: float) -> list[str]:
        """Return workers to ask about: those that may, then those not asked yet."""
        service = step_run.job.job.service
        able = [
            worker
            for worker in self.workers
            if placing.is_eligible(step_run.step, worker, service, now)
            and worker.name not in step_run.refused_workers
        ]
        able.sort(
            key=lambda worker: (
                worker.name in step_run.approved_workers,
                worker.free.cpus,
            ),
            reverse=True,
        )
        return [worker.name for worker in able[:MAX_WORKERS_PER_CALL]]


class NoAdvisor:
    """Stands in where no such service is set: nobody may run an advised step."""

    def ask(
        self, step: str, workers: list[str]
    ) -> result.Result[Tickets, AdviceUnavailable]:
        """Say that there is no advice."""
        return result.Err(AdviceUnavailable("no service is set"))
