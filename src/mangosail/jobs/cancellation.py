"""Cancelling the tasks of a job that run."""

import gevent
import gevent.pool
import result

from mangosail import clock as clocks
from mangosail.jobs import attempts, held, messages, tracker, work
from mangosail.telemetry import counters as telemetry

#: Most cancellations in hand at a time.
CANCEL_TASKS = 16
#: Longest time in seconds until a cancellation that ended nothing is tried again.
LONGEST_PAUSE = 2.0


class Cancelling:
    """Cancels a few tasks at a time, without holding up others."""

    def __init__(
        self,
        run: work.Work,
        attempts: attempts.Ends,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.run = run
        self.ends = attempts
        self.clock = clock
        self.counters = counters
        self.pool = gevent.pool.Pool(CANCEL_TASKS)

    def stop(self, job: held.HeldJob) -> None:
        """Let no waiting task of `job` start, and cancel what runs."""
        if job.state is not messages.State.RUNNING:
            return
        job.stop(messages.State.CANCELLING, "")
        self.cancel_running(job)

    def cancel_running(self, job: held.HeldJob) -> None:
        """Begin to cancel what runs of `job`."""
        gevent.spawn(self._cancel_each, job)

    def _cancel_each(self, job: held.HeldJob) -> None:
        for index in list(job.tally.indices(tracker.Standing.RUNNING)):
            self.pool.spawn(self._cancel_task, job, index, 0)

    def _cancel_task(self, job: held.HeldJob, index: int, tries: int) -> None:
        """Cancel a task once, and come back to it if that has not ended it.

        An answer need not be an end: the order to stop may be lost on its way to the
        worker or to the task's holder, or the lease be in doubt for a moment. When any
        answer was taken for one, the job was shown as cancelling for as long as such a
        task ran. A task that can't be reached must not keep others waiting, so between
        the tries it has no place in the pool.
        """
        if job.tally.standings[index] != tracker.Standing.RUNNING:
            return
        request = job.request(index)
        answer = self.run.cancel(request.team, request.request_id)
        if isinstance(answer, result.Ok):
            self.ends.settle(job, index, request.request_id, answer.ok_value.state)
        if job.tally.standings[index] != tracker.Standing.RUNNING:
            return
        # Where it runs elsewhere, its row tells of the end.
        job.follow(index, self.clock.monotonic())
        self.counters.count("jobs.retry.cancel")
        pause = min(attempts.backoff(tries), LONGEST_PAUSE)
        gevent.spawn_later(
            pause, self.pool.spawn, self._cancel_task, job, index, tries + 1
        )
