"""What a taker asks of a worker itself, before and after it claims it."""

import collections.abc as cabc

import result

from mangosail import clock as clocks
from mangosail import resources
from mangosail.dispatch import errors as dispatch_errors
from mangosail.dispatch import messages as dispatch_messages
from mangosail.ownership import messages
from mangosail.placement import ledger, workers
from mangosail.telemetry import counters as telemetry

#: Seconds between attempts to fence a worker that does not answer.
RETRY_INTERVAL_S = 0.2
#: Seconds that one attempt may take.
FENCE_TIMEOUT_S = 1.0


def running_reports(
    snapshot: dispatch_messages.Snapshot,
) -> list[dispatch_messages.Report]:
    """Return the reports of tasks that run."""
    state = dispatch_messages.TaskState.RUNNING
    return [report for report in snapshot.tasks if report.state is state]


def retention_of(
    previous: messages.OwnerRow,
    capacity: resources.Resources,
    reports: cabc.Iterable[dispatch_messages.Report] | None,
) -> messages.Retention:
    """Return the most that the owner of `previous` may have kept at its lapse.

    `reports` is the worker's list of running tasks, read after the lapse, or
    None if it did not answer; then the bound is that of a worker without
    durable work.
    """
    durable = [r.needs for r in reports or () if not r.idempotent]
    promised = sum(previous.retained_budgets().values(), resources.Resources())
    budget = ledger.kept_after_expiry(
        capacity - promised, sum(durable, resources.Resources())
    )
    return messages.Retention(
        previous.instance, previous.incarnation, previous.generation, budget
    )


def fence(
    owned: workers.OwnedWorker, clock: clocks.Clock, counters: telemetry.Counters
) -> bool:
    """Make the worker refuse durable starts of earlier owners from now on.

    Without this, a start that an earlier owner sent before its lapse could
    arrive after the ledger was rebuilt. Returns False if ownership ended first.
    """
    while not owned.ledger.closed:
        deadline = clock.monotonic() + FENCE_TIMEOUT_S
        # A lease deadline of 0 moves no task's lease.
        answer = owned.target.renew(0.0, owned.generation, deadline)
        if isinstance(answer, result.Ok):
            return True
        counters.count("ownership.fence_failed")
        if isinstance(answer.err_value, dispatch_errors.Refused):
            counters.count("ownership.fence_refused")
        clock.sleep(RETRY_INTERVAL_S)
    return False
