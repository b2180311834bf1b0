"""Cancelling the tasks of a job that run."""

import gevent
import gevent.pool
import result

from mangosail import clock as clocks
from mangosail.jobs import attempts, held, messages, tracker, work
from mangosail.telemetry import counters as telemetry

#: Most cancellations in hand at a time.
MAX_CONCURRENT_CANCELLATIONS = 16
#: Longest time in seconds until a cancellation that ended nothing is tried again.
MAX_RETRY_INTERVAL_S = 2.0


class JobCanceller:
    """Cancels a few tasks at a time, without holding up others."""

    def __init__(
        self,
        runner: work.WorkRunner,
        attempt_handler: attempts.AttemptHandler,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.runner = runner
        self.attempt_handler = attempt_handler
        self.clock = clock
        self.counters = counters
        self.pool = gevent.pool.Pool(MAX_CONCURRENT_CANCELLATIONS)

    def cancel(self, job: held.HeldJob) -> None:
        """Let no waiting task of `job` start, and cancel what runs."""
        if job.state is not messages.State.RUNNING:
            return
        job.stop(messages.State.CANCELLING, "")
        self.cancel_running(job)

    def cancel_running(self, job: held.HeldJob) -> None:
        """Begin to cancel what runs of `job`."""
        gevent.spawn(self._cancel_running_tasks, job)

    def _cancel_running_tasks(self, job: held.HeldJob) -> None:
        for index in list(job.tracker.with_status(tracker.TaskStatus.RUNNING)):
            self.pool.spawn(self._cancel_task, job, index, 0)

    def _cancel_task(self, job: held.HeldJob, index: int, retries: int) -> None:
        """Cancel a task once, and come back to it if that has not ended it.

        An answer need not be an end: the order to stop may be lost on its way to the
        worker or to the task's holder, or the lease be in doubt for a moment. When any
        answer was taken for one, the job was shown as cancelling for as long as such a
        task ran. A task that can't be reached must not keep others waiting, so between
        the tries it has no place in the pool.
        """
        if job.tracker.statuses[index] != tracker.TaskStatus.RUNNING:
            return
        request = job.request(index)
        answer = self.runner.cancel(request.team, request.request_id)
        if isinstance(answer, result.Ok):
            self.attempt_handler.settle(
                job, index, request.request_id, answer.ok_value.state
            )
        if job.tracker.statuses[index] != tracker.TaskStatus.RUNNING:
            return
        # Where it runs elsewhere, its row tells of the end.
        job.schedule_poll(index, self.clock.monotonic())
        self.counters.count("jobs.retry.cancel")
        pause = min(attempts.backoff(retries), MAX_RETRY_INTERVAL_S)
        gevent.spawn_later(
            pause, self.pool.spawn, self._cancel_task, job, index, retries + 1
        )
