"""Targets over HTTP: the one module that knows how a worker speaks."""

import collections.abc as cabc
import typing as t
import urllib.parse

import gevent
import result
from geventhttpclient import response as http_response

from mangosail import clock as clocks
from mangosail import codec
from mangosail.dispatch import connections, errors, messages, target
from mangosail.telemetry import counters as telemetry

T = t.TypeVar("T")

#: Shortest time in seconds that an exchange is given.
MIN_TIMEOUT_S = 0.01
#: Connections kept for control beside those for requests.
CONTROL_CONNECTIONS = 4

OK = 200
CREATED = 201


class HttpTarget:
    """One worker's target over HTTP."""

    def __init__(
        self,
        address: str,
        limit: int,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.request_pool = connections.ConnectionPool(
            address, limit - CONTROL_CONNECTIONS, clock, counters
        )
        self.control_pool = connections.ConnectionPool(
            address, CONTROL_CONNECTIONS, clock, counters
        )

    def run(
        self,
        start: messages.Start,
        deadline: float,
        on_sent: target.OnSent = target.ignore_sent,
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Run an idempotent task and return its answer in the same exchange."""
        answer = self._exchange(
            self.request_pool,
            "/run",
            start,
            deadline,
            report_decoder(start.task_id),
            on_sent,
        )
        return answer.and_then(require_success)

    def start(
        self, start: messages.Start, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Start a task that goes on after the exchange."""
        return self._task_exchange("/tasks", start, start.task_id, deadline)

    def look_up(
        self, task_id: str, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Return what the worker knows of `task_id`."""
        return self._task_exchange("/look-up", {"task_id": task_id}, task_id, deadline)

    def void(
        self, task_id: str, generation: int, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Make sure that this generation does not run from now on."""
        order = {"task_id": task_id, "generation": generation}
        return self._task_exchange("/void", order, task_id, deadline)

    def checkpoint(
        self, task_id: str, name: str, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Have the worker store the task's state as object `name`."""
        order = {"task_id": task_id, "name": name}
        return self._task_exchange("/checkpoint", order, task_id, deadline)

    def throttle(
        self, task_id: str, share: float, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Let the task have `share` of its processors, from 0 to 1."""
        order = {"task_id": task_id, "share": share}
        return self._task_exchange("/throttle", order, task_id, deadline)

    def renew(
        self, lease_deadline: float, owner_generation: int, deadline: float
    ) -> result.Result[None, errors.DispatchError]:
        """Move the lease of all tasks of this worker on to `lease_deadline`."""
        order = {
            "lease_deadline": lease_deadline,
            "owner_generation": owner_generation,
        }
        answer = self._exchange(
            self.control_pool, "/renew", order, deadline, decoder(dict)
        )
        return answer.map(lambda _: None)

    def snapshot(
        self, since: int, wait: float
    ) -> result.Result[messages.Snapshot, errors.DispatchError]:
        """Return all tasks as soon as something is newer than `since`."""
        order = {"since": since, "wait": wait}
        deadline = self.clock.monotonic() + wait + 1.0
        return self._exchange(
            self.control_pool, "/snapshot", order, deadline, decoder(messages.Snapshot)
        )

    def retire_idle(self) -> None:
        """Close the idle connections: one like them was found silent."""
        self.request_pool.retire_idle()
        self.control_pool.retire_idle()

    def watch(
        self, subject: str, after: int, idle_timeout: float
    ) -> cabc.Iterator[result.Result[dict[str, t.Any], errors.DispatchError]]:
        """Yield the events of `subject` past sequence number `after`.

        An empty event says that the worker has opened the stream. Ends without
        an error only when the worker ended the stream as a whole;
        `Lost` after `silence` seconds without an event, or on half an event.
        """
        # One that had gone silent would take all the time that the caller gives to the
        # opening. A watch keeps its connection, so nothing is saved by an earlier one.
        connection = self.request_pool.acquire(timeout=idle_timeout, fresh=True)
        if connection is None:
            yield result.Err(errors.NotSent("connections"))
            return
        query = urllib.parse.urlencode({"subject": subject, "after": after})
        try:
            with gevent.Timeout(idle_timeout):
                response = connection.client.get(f"/watch?{query}")
            if response.status_code != OK:
                yield result.Err(errors.Refused(str(response.status_code)))
                return
            yield result.Ok({})
            while True:
                with gevent.Timeout(idle_timeout):
                    line = response.readline(sep=b"\n")
                if not line:
                    return
                yield result.Ok(codec.from_json(bytes(line), dict))
        except gevent.Timeout:
            yield result.Err(errors.Lost("silent"))
        except (OSError, http_response.HTTPParseError, codec.DecodeError) as exc:
            yield result.Err(errors.Lost(type(exc).__name__))
        finally:
            self.request_pool.retire(connection, "watch_ended")

    def _task_exchange(
        self, path: str, order: t.Any, task_id: str, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        return self._exchange(
            self.control_pool, path, order, deadline, report_decoder(task_id)
        )

    def _exchange(
        self,
        pool: connections.ConnectionPool,
        path: str,
        order: t.Any,
        deadline: float,
        read: cabc.Callable[[bytes], result.Result[T, errors.DispatchError]],
        on_sent: target.OnSent = target.ignore_sent,
    ) -> result.Result[T, errors.DispatchError]:
        """Send `order` and return what `read` makes of the whole answer.

        Only a connection whose answer was whole and right is used again.
        """
        left = max(deadline - self.clock.monotonic(), MIN_TIMEOUT_S)
        connection = pool.acquire(left)
        if connection is None:
            self.counters.count("dispatch.not_sent.connections")
            return result.Err(errors.NotSent("connections"))
        on_sent(connection.proven)
        try:
            with gevent.Timeout(left):
                response = connection.client.post(path, body=codec.to_json(order))
                body = bytes(response.read())
        except ConnectionRefusedError:
            pool.retire(connection, "refused")
            self.counters.count("dispatch.not_sent.refused")
            return result.Err(errors.NotSent("connection_refused"))
        except (gevent.Timeout, TimeoutError):
            pool.retire(connection, "timeout")
            if connection.proven:
                # It worked before, so something may have silenced it; what idled
                # beside it is suspect. A new one that stays silent is the worker.
                self.retire_idle()
            self.counters.count("dispatch.lost.timeout")
            return result.Err(errors.Lost("timeout"))
        except (OSError, http_response.HTTPParseError) as exc:
            pool.retire(connection, "broken")
            self.counters.count("dispatch.lost.broken")
            return result.Err(errors.Lost(type(exc).__name__))
        except BaseException:
            # The request was given up on; its answer may still come.
            pool.retire(connection, "cancelled")
            raise
        if response.status_code not in (OK, CREATED):
            pool.release(connection)
            return result.Err(errors.Refused(body.decode(errors="replace")))
        answer = read(body)
        if isinstance(answer, result.Err):
            pool.retire(connection, "wrong_answer")
            self.counters.count("dispatch.lost.wrong_answer")
            return answer
        pool.release(connection)
        return answer


def decoder(
    kind: type[T],
) -> cabc.Callable[[bytes], result.Result[T, errors.DispatchError]]:
    """Return a function that reads a `kind`; half an answer is a lost one."""

    def read(body: bytes) -> result.Result[T, errors.DispatchError]:
        try:
            return result.Ok(codec.from_json(body, kind))
        except codec.DecodeError as exc:
            return result.Err(errors.Lost(f"malformed: {exc}"))

    return read


def report_decoder(
    task_id: str,
) -> cabc.Callable[[bytes], result.Result[messages.Report, errors.DispatchError]]:
    """Return a function that reads a report on `task_id` and on nothing else."""
    decode = decoder(messages.Report)

    def read(body: bytes) -> result.Result[messages.Report, errors.DispatchError]:
        report = decode(body)
        if isinstance(report, result.Ok) and report.ok_value.task_id != task_id:
            return result.Err(errors.Lost("answer of another task"))
        return report

    return read


def require_success(
    report: messages.Report,
) -> result.Result[messages.Report, errors.DispatchError]:
    """Return `report` if its task came to its end."""
    if report.state is messages.TaskState.DONE:
        return result.Ok(report)
    if report.state is messages.TaskState.FAILED:
        return result.Err(errors.Failed(report.reason))
    return result.Err(errors.Lost(f"{report.state.value}: {report.reason}"))
