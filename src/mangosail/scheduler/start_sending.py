"""Start orders of new runs, sent once the runs are recorded.

A start that is sent before its record is durable could run twice: the next leader would
not know of it. `StartSender.send_at_once` is for runs that durable assignments permit::

    begin_runs(step_run, placements)
    sender.record_and_send(step_run.job, placements)
"""

import math

import gevent
import gevent.pool

from mangosail.scheduler import journal, orders, placing, progress

#: Maximum number of concurrent starts.
MAX_CONCURRENT_STARTS = 256


class StartSender:
    """Records runs that have begun, and sends their starts to the workers."""

    def __init__(
        self, job_journal: journal.Journal, worker_orders: orders.Orders
    ) -> None:
        self.journal = job_journal
        self.orders = worker_orders
        self.starts = gevent.pool.Pool(MAX_CONCURRENT_STARTS)

    def record_and_send(
        self, job: progress.JobProgress, placements: list[placing.Placement]
    ) -> None:
        """Record the planned runs of a job, and then send their starts."""
        self.journal.record(job)
        self.journal.when_durable(lambda: self.send(placements))

    def send_at_once(
        self,
        step_run: progress.StepRun,
        placements: list[placing.Placement],
        until: float,
    ) -> None:
        """Start runs that durable assignments permit, and record them."""
        begin_runs(step_run, placements)
        self.journal.record(step_run.job)
        self.send(placements, until)

    def send(
        self, placements: list[placing.Placement], until: float = math.inf
    ) -> None:
        """Send the starts, without waiting for those that are under way.

        The journal calls this. With all places taken by starts that silent workers
        leave unanswered, it would wait here and not renew the lease.
        """
        free = self.starts.free_count()
        self._send_in_turn(placements[:free], until)
        if placements[free:]:
            gevent.spawn(self._send_in_turn, placements[free:], until)

    def _send_in_turn(self, placements: list[placing.Placement], until: float) -> None:
        for placement in placements:
            if self.journal.deposed:
                return
            self.starts.spawn(
                self.orders.start, placement.task, placement.worker, until
            )


def begin_runs(step_run: progress.StepRun, placements: list[placing.Placement]) -> None:
    """Begin new runs of the tasks on their workers, which are not recorded yet."""
    step_run.job.begin()
    gang = step_run.step.gang
    gang_run = max(placement.task.run for placement in placements) + 1
    gang_checkpoint = next(
        (each.task.checkpoint for each in placements if each.task.checkpoint), ""
    )
    for placement in placements:
        task = placement.task
        # The members of a gang share run number and checkpoint.
        task.plan_run(
            gang_run if gang else task.highest_run + 1,
            placement.worker.name,
            gang_checkpoint if gang else task.checkpoint,
        )
        task.assign("")
