"""HTTP client for targets; the only module that knows the worker protocol."""

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

#: Lower bound of the timeout of an exchange, in seconds.
MIN_TIMEOUT_S = 0.01
#: Connections reserved for control requests.
CONTROL_CONNECTIONS = 4

OK = 200
CREATED = 201


class HttpTarget:
    """The target on one worker, over HTTP."""

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
        """Start a task that continues after the exchange."""
        return self._task_exchange("/tasks", start, start.task_id, deadline)

    def look_up(
        self, task_id: str, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Return the report of the worker on `task_id`."""
        return self._task_exchange("/look-up", {"task_id": task_id}, task_id, deadline)

    def void(
        self, task_id: str, generation: int, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Ensure that this generation of the task does not run from now on."""
        message = {"task_id": task_id, "generation": generation}
        return self._task_exchange("/void", message, task_id, deadline)

    def checkpoint(
        self, task_id: str, name: str, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Store the state of the task as the object `name`."""
        message = {"task_id": task_id, "name": name}
        return self._task_exchange("/checkpoint", message, task_id, deadline)

    def throttle(
        self, task_id: str, share: float, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        """Limit the task to a `share` of its processors, from 0 to 1."""
        message = {"task_id": task_id, "share": share}
        return self._task_exchange("/throttle", message, task_id, deadline)

    def renew(
        self, lease_deadline: float, owner_generation: int, deadline: float
    ) -> result.Result[None, errors.DispatchError]:
        """Extend the lease of all tasks on this worker to `lease_deadline`."""
        message = {
            "lease_deadline": lease_deadline,
            "owner_generation": owner_generation,
        }
        answer = self._exchange(
            self.control_pool, "/renew", message, deadline, decoder(dict)
        )
        return answer.map(lambda _: None)

    def snapshot(
        self, since: int, wait: float
    ) -> result.Result[messages.Snapshot, errors.DispatchError]:
        """Return all tasks as soon as the version is newer than `since`."""
        message = {"since": since, "wait": wait}
        deadline = self.clock.monotonic() + wait + 1.0
        return self._exchange(
            self.control_pool,
            "/snapshot",
            message,
            deadline,
            decoder(messages.Snapshot),
        )

    def retire_idle(self) -> None:
        """Close idle connections after another one was found to be silent."""
        self.request_pool.retire_idle()
        self.control_pool.retire_idle()

    def watch(
        self, subject: str, after: int, idle_timeout: float
    ) -> cabc.Iterator[result.Result[dict[str, t.Any], errors.DispatchError]]:
        """Yield the events of `subject` after the sequence number `after`.

        An empty event signals that the worker has opened the stream. It ends without
        an error only if the worker ended the stream. `Lost` is yielded after
        `idle_timeout` seconds without an event, or on an incomplete event.
        """
        # Opening the stream on a connection that has gone silent would use up the time
        # that the caller allows for it. A watch occupies its connection until it ends,
        # so reusing an idle one saves nothing.
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
        self, path: str, message: t.Any, task_id: str, deadline: float
    ) -> result.Result[messages.Report, errors.DispatchError]:
        return self._exchange(
            self.control_pool, path, message, deadline, report_decoder(task_id)
        )

    def _exchange(
        self,
        pool: connections.ConnectionPool,
        path: str,
        message: t.Any,
        deadline: float,
        read: cabc.Callable[[bytes], result.Result[T, errors.DispatchError]],
        on_sent: target.OnSent = target.ignore_sent,
    ) -> result.Result[T, errors.DispatchError]:
        """Send `message` and return the complete answer as decoded by `read`.

        A connection is reused only after a complete and correct answer.
        """
        timeout = max(deadline - self.clock.monotonic(), MIN_TIMEOUT_S)
        connection = pool.acquire(timeout)
        if connection is None:
            self.counters.count("dispatch.not_sent.connections")
            return result.Err(errors.NotSent("connections"))
        on_sent(connection.proven)
        try:
            with gevent.Timeout(timeout):
                response = connection.client.post(path, body=codec.to_json(message))
                body = bytes(response.read())
        except ConnectionRefusedError:
            pool.retire(connection, "refused")
            self.counters.count("dispatch.not_sent.refused")
            return result.Err(errors.NotSent("connection_refused"))
        except (gevent.Timeout, TimeoutError):
            pool.retire(connection, "timeout")
            if connection.proven:
                # The connection worked before and may have gone silent, so idle ones
                # are suspect too. On a new connection, the worker is at fault.
                self.retire_idle()
            self.counters.count("dispatch.lost.timeout")
            return result.Err(errors.Lost("timeout"))
        except (OSError, http_response.HTTPParseError) as exc:
            pool.retire(connection, "broken")
            self.counters.count("dispatch.lost.broken")
            return result.Err(errors.Lost(type(exc).__name__))
        except BaseException:
            # The request was cancelled; its answer may still arrive.
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
    """Return a decoder of `kind`; an incomplete answer counts as lost."""

    def read(body: bytes) -> result.Result[T, errors.DispatchError]:
        try:
            return result.Ok(codec.from_json(body, kind))
        except codec.DecodeError as exc:
            return result.Err(errors.Lost(f"malformed: {exc}"))

    return read


def report_decoder(
    task_id: str,
) -> cabc.Callable[[bytes], result.Result[messages.Report, errors.DispatchError]]:
    """Return a decoder of reports that accepts only reports on `task_id`."""
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
    """Return `report` if its task completed, otherwise an error."""
    if report.state is messages.TaskState.DONE:
        return result.Ok(report)
    if report.state is messages.TaskState.FAILED:
        return result.Err(errors.Failed(report.reason))
    return result.Err(errors.Lost(f"{report.state.value}: {report.reason}"))
