"""Tickets for steps whose queue requires advice on which workers may run them.

The advice service names the workers that may run a step, and issues a ticket for each,
which a start has to carry. The set of eligible workers does not change, but tickets
expire. At most one call per step is in flight. The service handles the calls of an
instance one after another, so the workers with the most free cores are asked about
first. A step may move to another service, whose workers need tickets of their own.
"""

import dataclasses
import typing as t

import gevent
import gevent.event
import logbook
import result

from mangosail import clock as clocks
from mangosail.scheduler import fleet, progress, scoring
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("advice")

#: Workers per call; each one adds to the service's processing time.
MAX_WORKERS_PER_CALL = 30
#: Share of a ticket's lifetime after which it is no longer used.
USABLE_LIFETIME_SHARE = 0.8
#: Seconds before a call that failed, or returned no ticket, is retried.
RETRY_INTERVAL_S = 0.3
#: Maximum seconds between calls whose tickets workers reject; the interval doubles.
MAX_RETRY_INTERVAL_S = 2.4


@dataclasses.dataclass(frozen=True, slots=True)
class Tickets:
    """Tickets by worker name, and their lifetime in seconds."""

    by_worker: dict[str, str]
    lifetime: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceUnavailable:
    """The advice service did not answer the call."""

    reason: str


class Advisor(t.Protocol):
    """Service that decides which workers may run a step."""

    def ask(
        self, step: str, workers: list[str]
    ) -> result.Result[Tickets, AdviceUnavailable]:
        """Return tickets for those of the workers that may run the step."""


class TicketCache:
    """Requests and caches the tickets of steps that need them."""

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

    def usable_tickets(
        self, step_run: progress.StepRun, service: str, now: float
    ) -> dict[str, str]:
        """Return the tickets that are valid now, by worker of the service.

        If there are none, requests new ones.
        """
        if now < step_run.tickets_valid_until:
            usable = {
                name: ticket
                for name, ticket in step_run.tickets.items()
                if self._is_in_service(name, service)
            }
            if usable:
                return usable
        if not step_run.advice_pending and now >= step_run.next_advice_at:
            self._request_if_possible(step_run, service, now)
        return {}

    def _is_in_service(self, name: str, service: str) -> bool:
        """Return whether a worker is one of the service and stays for now."""
        worker = self.workers.get(name)
        if worker is None or worker.unlisted or worker.entry.draining:
            return False
        return worker.entry.service == service

    def _request_if_possible(
        self, step_run: progress.StepRun, service: str, now: float
    ) -> None:
        """Request tickets, unless there is no worker to ask about."""
        names = self._candidates(step_run, service, now)
        if names:
            step_run.advice_stalled = False
            step_run.advice_pending = True
            gevent.spawn(self._request_tickets, step_run, names)
            return
        step_run.next_advice_at = now + RETRY_INTERVAL_S
        if not step_run.advice_stalled:
            step_run.advice_stalled = True
            self.counters.count("advice.no_candidates")
            log.info(
                "no worker to ask about", step=step_run.name, service=service,
                refused=len(step_run.refused_workers),
            )  # fmt: skip

    def _request_tickets(self, step_run: progress.StepRun, names: list[str]) -> None:
        asked_at = self.clock.elapsed()
        answer = self.advisor.ask(step_run.name, names)
        answered_at = self.clock.elapsed()
        self.counters.time("advice.asked", answered_at - asked_at)
        step_run.advice_pending = False
        if isinstance(answer, result.Err):
            self.counters.count("advice.failed")
            log.info(
                "advice call failed", step=step_run.name, reason=answer.err_value.reason
            )
            step_run.next_advice_at = answered_at + RETRY_INTERVAL_S
            return
        tickets = answer.ok_value
        step_run.approved_workers |= set(tickets.by_worker)
        step_run.refused_workers |= set(names) - set(tickets.by_worker)
        step_run.tickets = dict(tickets.by_worker)
        step_run.tickets_valid_until = (
            asked_at + tickets.lifetime * USABLE_LIFETIME_SHARE
        )
        step_run.next_advice_at = answered_at + self._retry_interval(step_run)
        log.info(
            "advice received",
            step=step_run.name,
            asked=len(names),
            may=len(tickets.by_worker),
        )
        self.changed.set()

    def _retry_interval(self, step_run: progress.StepRun) -> float:
        """Return the seconds until the next call if the new tickets are of no use."""
        rejected, step_run.ticket_rejected = step_run.ticket_rejected, False
        step_run.rejected_calls = step_run.rejected_calls + 1 if rejected else 0
        if not step_run.rejected_calls:
            return 0.0 if step_run.tickets else RETRY_INTERVAL_S
        doubled = RETRY_INTERVAL_S * 2 ** min(step_run.rejected_calls - 1, 10)
        return min(doubled, MAX_RETRY_INTERVAL_S)

    def _candidates(
        self, step_run: progress.StepRun, service: str, now: float
    ) -> list[str]:
        """Return workers to ask about: known eligible ones, then unknown ones."""
        candidates = [
            worker
            for worker in self.workers
            if scoring.is_eligible(step_run.step, worker, service, now)
            and worker.name not in step_run.refused_workers
        ]
        candidates.sort(
            key=lambda worker: (
                worker.name in step_run.approved_workers,
                worker.free.cpus,
            ),
            reverse=True,
        )
        return [worker.name for worker in candidates[:MAX_WORKERS_PER_CALL]]


class NoAdvisor:
    """Used where no advice service is configured: no advised step may run."""

    def ask(
        self, step: str, workers: list[str]
    ) -> result.Result[Tickets, AdviceUnavailable]:
        """Return an error, since no advice service is configured."""
        return result.Err(AdviceUnavailable("no advice service is configured"))
