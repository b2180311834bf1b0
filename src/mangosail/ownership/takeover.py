"""Steps of taking over a worker: retained budget of the previous owner, and fencing."""

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
#: Timeout in seconds of one attempt.
FENCE_TIMEOUT_S = 1.0


def running_reports(
    snapshot: dispatch_messages.Snapshot,
) -> list[dispatch_messages.Report]:
    """Return the reports of running tasks."""
    state = dispatch_messages.TaskState.RUNNING
    return [report for report in snapshot.tasks if report.state is state]


def retention_of(
    previous: messages.OwnerRow,
    capacity: resources.Resources,
    reports: cabc.Iterable[dispatch_messages.Report] | None,
) -> messages.Retention:
    """Return an upper bound of what the owner of `previous` retained at lease expiry.

    `reports` lists the worker's running tasks, read after the expiry. If it is None
    because the worker did not answer, the bound assumes that there is no durable work.
    """
    durable = [r.needs for r in reports or () if not r.idempotent]
    promised = sum(previous.promised().values(), resources.Resources())
    budget = ledger.kept_after_expiry(
        capacity - promised, sum(durable, resources.Resources())
    )
    return messages.Retention(
        previous.instance, previous.incarnation, previous.generation, budget
    )


def fence(
    owned: workers.OwnedWorker, clock: clocks.Clock, counters: telemetry.Counters
) -> bool:
    """Make the worker refuse durable starts from earlier owners from now on.

    Otherwise a start that an earlier owner sent before its lease expired could arrive
    after the ledger was rebuilt. Returns False if our ownership ended first.
    """
    while not owned.ledger.closed:
        deadline = clock.monotonic() + FENCE_TIMEOUT_S
        # A lease deadline of 0 extends no task's lease.
        answer = owned.target.renew(0.0, owned.generation, deadline)
        if isinstance(answer, result.Ok):
            return True
        counters.count("ownership.fence_failed")
        if isinstance(answer.err_value, dispatch_errors.Refused):
            counters.count("ownership.fence_refused")
        clock.sleep(RETRY_INTERVAL_S)
    return False
