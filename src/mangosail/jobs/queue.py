"""The jobs that this instance sees to, and the tasks that wait for a worker."""

import collections
import itertools

import gevent
import logbook
import result

from mangosail import clock as clocks
from mangosail import codec
from mangosail.jobs import messages
from mangosail.ownership import session
from mangosail.placement import errors
from mangosail.platform import errors as platform_errors
from mangosail.platform import table
from mangosail.telemetry import counters as telemetry
from mangosail.work import messages as work_messages
from mangosail.work import runner

log = logbook.Logger("jobs")

#: Seconds between attempts to place waiting tasks.
PLACE_INTERVAL = 0.1
#: Waiting tasks that are looked at, so that one kind does not hold up the rest.
LOOK_AHEAD = 256
#: Seconds that one task of a job may take until it is looked at again.
TASK_PATIENCE = 3600.0


class JobQueue:
    """Jobs held by this instance; tasks start as soon as they fit."""

    def __init__(
        self,
        rows: table.Table,
        run: runner.Runner,
        lease: session.Session,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.rows = rows
        self.run = run
        self.lease = lease
        self.clock = clock
        self.counters = counters
        self.waiting: collections.deque[work_messages.Request] = collections.deque()
        self.progress: dict[str, collections.Counter[str]] = {}
        self.jobs: dict[str, messages.Job] = {}

    def submit(
        self, job: messages.Job
    ) -> result.Result[messages.Progress, platform_errors.CommitError]:
        """Record `job` durably, then queue its tasks."""
        key = messages.job_key(job.team, job.job_id)
        row = messages.JobRow(job, self.lease.row.instance, self.lease.row.incarnation)
        transaction = table.Transaction(
            checks=(table.Check(key, table.ABSENT),),
            writes=(table.Write(key, codec.to_json(row)),),
        )
        committed = self.rows.commit(transaction)
        if isinstance(committed, result.Err):
            return committed
        self.jobs[key] = job
        self.progress[key] = collections.Counter()
        self.waiting.extend(task_of(job, index) for index in range(job.tasks))
        self.counters.count("jobs.submitted")
        return result.Ok(self.look_up(job.team, job.job_id) or empty(job))

    def look_up(self, team: str, job_id: str) -> messages.Progress | None:
        """Return how far a job of this instance has come."""
        key = messages.job_key(team, job_id)
        job = self.jobs.get(key)
        if job is None:
            return None
        count = self.progress[key]
        ended = count["completed"] + count["failed"]
        return messages.Progress(
            job_id,
            job.tasks,
            waiting=job.tasks - count["running"] - ended,
            running=count["running"],
            completed=count["completed"],
            failed=count["failed"],
        )

    def place(self) -> None:
        """Start waiting tasks while they fit; the rest keeps its order."""
        while self.lease.valid():
            request = self._next()
            if request is None:
                return
            gevent.spawn(self._run, request)
            # The task's reservation is made when its greenlet runs.
            self.clock.sleep(0)

    def _next(self) -> work_messages.Request | None:
        """Take the first waiting task that finds room, trying each kind once."""
        tried = set()
        for index, request in enumerate(itertools.islice(self.waiting, LOOK_AHEAD)):
            if (request.team, request.kind, request.needs) in tried:
                continue
            tried.add((request.team, request.kind, request.needs))
            if self.run.has_room(request):
                del self.waiting[index]
                return request
        return None

    def place_forever(self) -> None:
        """Place waiting tasks again and again."""
        while True:
            self.place()
            self.clock.sleep(PLACE_INTERVAL)

    def _run(self, request: work_messages.Request) -> None:
        count = self.progress[messages.job_key(request.team, request.job)]
        count["running"] += 1
        deadline = self.clock.monotonic() + TASK_PATIENCE
        answer = self.run.submit(request, deadline)
        count["running"] -= 1
        if isinstance(answer, result.Err):
            error = answer.err_value
            if isinstance(error, errors.NotPlaced) and error.retry_after is None:
                count["failed"] += 1
                return
            self.waiting.append(request)
            return
        done = answer.ok_value.outcome == work_messages.State.COMPLETED.value
        count["completed" if done else "failed"] += 1


def task_of(job: messages.Job, index: int) -> work_messages.Request:
    """Return the piece of durable work that is task `index` of `job`."""
    return work_messages.Request(
        team=job.team,
        request_id=f"{job.job_id}.{index}",
        kind=job.kind,
        needs=job.needs,
        body={"index": index, "body": job.body},
        restartable=True,
        job=job.job_id,
    )


def empty(job: messages.Job) -> messages.Progress:
    """Return the progress of a job of which nothing has started."""
    return messages.Progress(job.job_id, job.tasks, job.tasks, 0, 0, 0)
