"""Targets over HTTP: the one module that knows how a worker speaks."""

import collections.abc as cabc
import typing as t

import gevent
import result
from geventhttpclient import response as http_response

from mangosail import clock as clocks
from mangosail import codec
from mangosail.dispatch import connections, errors, messages

#: Shortest time in seconds that an exchange is given.
SHORTEST_TIMEOUT = 0.01
#: Connections kept for control beside those for requests.
CONTROL_CONNECTIONS = 4

OK = 200
CREATED = 201


class HttpTarget:
    """One worker's target over HTTP."""

    def __init__(self, address: str, limit: int, clock: clocks.Clock) -> None:
        self.clock = clock
        self.requests = connections.Connections(address, limit - CONTROL_CONNECTIONS)
        self.control = connections.Connections(address, CONTROL_CONNECTIONS)

    def run(
        self, start: messages.Start, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Run an idempotent task and return its answer in the same exchange."""
        answer = self._task(self.requests, "/run", start, deadline)
        return answer.and_then(lambda report: whole(start, report))

    def start(
        self, start: messages.Start, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Start a task that goes on after the exchange."""
        return self._task(self.control, "/tasks", start, deadline)

    def look_up(
        self, task_id: str, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Return what the worker knows of `task_id`."""
        return self._task(self.control, "/look-up", {"task_id": task_id}, deadline)

    def void(
        self, task_id: str, generation: int, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Make sure that this generation does not run from now on."""
        order = {"task_id": task_id, "generation": generation}
        return self._task(self.control, "/void", order, deadline)

    def checkpoint(
        self, task_id: str, name: str, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Have the worker store the task's state as object `name`."""
        order = {"task_id": task_id, "name": name}
        return self._task(self.control, "/checkpoint", order, deadline)

    def throttle(
        self, task_id: str, share: float, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Let the task have `share` of its processors, from 0 to 1."""
        order = {"task_id": task_id, "share": share}
        return self._task(self.control, "/throttle", order, deadline)

    def renew(
        self, lease_deadline: float, owner_generation: int, deadline: float
    ) -> result.Result[None, errors.DispatchError]:
        """Move the lease of all tasks of this worker on to `lease_deadline`."""
        order = {
            "lease_deadline": lease_deadline,
            "owner_generation": owner_generation,
        }
        answer = self._exchange(self.control, "/renew", order, deadline)
        return answer.map(lambda _: None)

    def snapshot(
        self, since: int, wait: float
    ) -> result.Result[messages.Snapshot, errors.DispatchError]:
        """Return all tasks as soon as something is newer than `since`."""
        order = {"since": since, "wait": wait}
        deadline = self.clock.monotonic() + wait + 1.0
        answer = self._exchange(self.control, "/snapshot", order, deadline)
        return answer.and_then(lambda body: decode(body, messages.Snapshot))

    def watch(
        self, subject: str, after: int
    ) -> cabc.Iterator[result.Result[dict[str, t.Any], errors.DispatchError]]:
        """Yield the events of `subject` past sequence number `after`."""
        connection = self.requests.acquire(timeout=30.0)
        if connection is None:
            yield result.Err(errors.NotSent("connections"))
            return
        try:
            response = connection.get(f"/watch?subject={subject}&after={after}")
            while line := response.readline(sep=b"\n"):
                yield result.Ok(codec.from_json(bytes(line), dict))
        except (OSError, http_response.HTTPParseError, codec.DecodeError) as exc:
            yield result.Err(errors.Lost(str(exc)))
        finally:
            self.requests.retire(connection)

    def _task(
        self,
        pool: connections.Connections,
        path: str,
        order: t.Any,
        deadline: float,
    ) -> result.Result[messages.Report, errors.DispatchError]:
        answer = self._exchange(pool, path, order, deadline)
        return answer.and_then(lambda body: decode(body, messages.Report))

    def _exchange(
        self,
        pool: connections.Connections,
        path: str,
        order: t.Any,
        deadline: float,
    ) -> result.Result[bytes, errors.DispatchError]:
        left = max(deadline - self.clock.monotonic(), SHORTEST_TIMEOUT)
        connection = pool.acquire(left)
        if connection is None:
            return result.Err(errors.NotSent("connections"))
        try:
            with gevent.Timeout(left):
                response = connection.post(path, body=codec.to_json(order))
                body = bytes(response.read())
        except (OSError, http_response.HTTPParseError, gevent.Timeout) as exc:
            pool.retire(connection)
            if isinstance(exc, ConnectionRefusedError):
                return result.Err(errors.NotSent("connection_refused"))
            return result.Err(errors.Lost(type(exc).__name__))
        pool.release(connection)
        if response.status_code not in (OK, CREATED):
            return result.Err(errors.Refused(body.decode(errors="replace")))
        return result.Ok(body)


T = t.TypeVar("T")


def decode(body: bytes, kind: type[T]) -> result.Result[T, errors.DispatchError]:
    """Return the message in `body`; half an answer is a lost one."""
    try:
        return result.Ok(codec.from_json(body, kind))
    except codec.DecodeError as exc:
        return result.Err(errors.Lost(f"malformed: {exc}"))


def whole(
    start: messages.Start, report: messages.Report
) -> result.Result[messages.Report, errors.DispatchError]:
    """Return `report` if it is the answer to `start` and to nothing else."""
    if report.task_id != start.task_id:
        return result.Err(errors.Lost("answer of another task"))
    if report.state is messages.TaskState.FAILED:
        return result.Err(errors.Failed(report.reason))
    return result.Ok(report)
