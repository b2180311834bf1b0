"""Cancellation of the running tasks of a job."""

import gevent
import gevent.pool
import logbook
import result

from mangosail import clock as clocks
from mangosail.jobs import attempts, held, messages, tracker, work
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("jobs")

#: Cancellations that run concurrently.
MAX_CONCURRENT_CANCELLATIONS = 16
#: Upper bound of the delay before a cancellation that had no effect is retried.
MAX_RETRY_INTERVAL_S = 2.0


class JobCanceller:
    """Cancels running tasks with bounded concurrency and retries."""

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
        """Cancel the waiting tasks of `job` and start cancelling the running ones."""
        if job.state is not messages.State.RUNNING:
            return
        job.stop(messages.State.CANCELLING, "")
        self.cancel_running(job)

    def cancel_running(self, job: held.HeldJob) -> None:
        """Cancel the running tasks of `job` in the background."""
        gevent.spawn(self._cancel_running_tasks, job)

    def cancel_if_late(self, job: held.HeldJob, index: int) -> None:
        """Cancel a task that began to run after the running ones were cancelled.

        A peer may accept a task whose job was cancelled while the peer was asked. It
        would then run to its end, as nobody knew of it when the others were cancelled.
        """
        if job.state is messages.State.CANCELLING:
            self.counters.count("jobs.cancelled_late")
            log.info("late task cancelled", job=job.spec.job_id, index=index)
            gevent.spawn(self.pool.spawn, self._cancel_task, job, index, 0)

    def _cancel_running_tasks(self, job: held.HeldJob) -> None:
        for index in list(job.tracker.with_status(tracker.TaskStatus.RUNNING)):
            self.pool.spawn(self._cancel_task, job, index, 0)

    def _cancel_task(self, job: held.HeldJob, index: int, retries: int) -> None:
        """Cancel a task and schedule a retry if it is still running afterwards.

        An answer doesn't prove that the task has ended: the stop order may be lost on
        its way to the worker or to the task's holder, or the lease may be in doubt for
        a moment. Taking any answer for an end left the job in the state "cancelling"
        for as long as such a task ran. Between retries the task occupies no place in
        the pool, so an unreachable task doesn't delay the others.
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
        # The end of a task that runs on another instance is read from its row.
        job.schedule_poll(index, self.clock.monotonic())
        self.counters.count("jobs.retry.cancel")
        delay = min(attempts.backoff(retries), MAX_RETRY_INTERVAL_S)
        gevent.spawn_later(
            delay, self.pool.spawn, self._cancel_task, job, index, retries + 1
        )
