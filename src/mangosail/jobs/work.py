"""What jobs and the control loop need of durable work."""

import collections.abc as cabc
import typing as t

import result

from mangosail.work import messages as work_messages
from mangosail.work import runner


class WorkRunner(t.Protocol):
    """Durable work as `work.runner.Runner` does it. Deadlines are monotonic."""

    def submit(
        self, request: work_messages.Request, deadline: float, forward: bool = True
    ) -> result.Result[work_messages.Outcome, runner.SubmitError]:
        """Run `request`, resume it, or return what became of it before.

        Without `forward`, no peer is asked to run it.
        """

    def cancel(
        self, team: str, request_id: str
    ) -> result.Result[work_messages.Outcome, t.Any]:
        """Stop a piece of work wherever it is; later starts are refused."""

    def evict(
        self, task_id: str, reason: str
    ) -> result.Result[work_messages.Outcome, t.Any]:
        """Checkpoint a restartable task, stop it, and let it be resumed."""

    def requests_on_worker(self, worker: str) -> cabc.Sequence[work_messages.Request]:
        """Return the work in hand on an own worker."""


def batch_tasks_on(runner: WorkRunner, worker: str) -> list[work_messages.Request]:
    """Return the batch tasks on a worker, which may be throttled and evicted.

    Releases, verifications and production orders belong to no job and can't
    be started again, so neither is ever done to them.
    """
    return [
        request
        for request in runner.requests_on_worker(worker)
        if request.restartable and request.job
    ]
