"""The interface of durable work that jobs and the control loop use."""

import collections.abc as cabc
import typing as t

import result

from mangosail.work import messages as work_messages
from mangosail.work import submissions


class WorkRunner(t.Protocol):
    """The part of `work.runner.Runner` used here. Deadlines are monotonic times."""

    def submit(
        self, request: work_messages.Request, deadline: float, forward: bool = True
    ) -> result.Result[work_messages.Outcome, submissions.SubmitError]:
        """Run or resume `request`, or return the outcome of an earlier run.

        Unless `forward` is set, it is not forwarded to a peer.
        """

    def cancel(
        self, team: str, request_id: str
    ) -> result.Result[work_messages.Outcome, t.Any]:
        """Stop a piece of work wherever it runs; later starts are refused."""

    def evict(
        self, task_id: str, reason: str
    ) -> result.Result[work_messages.Outcome, t.Any]:
        """Checkpoint and stop a restartable task so that it can be resumed."""

    def requests_on_worker(self, worker: str) -> cabc.Sequence[work_messages.Request]:
        """Return the requests of the work in progress on an own worker."""


def batch_tasks_on(runner: WorkRunner, worker: str) -> list[work_messages.Request]:
    """Return the batch tasks on a worker, which may be throttled and evicted.

    Releases, verifications and production orders belong to no job and are not
    restartable, so they are never throttled or evicted.
    """
    return [
        request
        for request in runner.requests_on_worker(worker)
        if request.restartable and request.job
    ]
