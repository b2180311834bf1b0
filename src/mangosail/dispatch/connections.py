"""Connection pool of one target: a limited number, with one request at a time each.

Established connections can go silent permanently while new ones work, because a
device between the two ends has lost their state. Therefore a connection on which a
request timed out is closed, together with all connections idle at that moment.
"""

import dataclasses

import geventhttpclient
from gevent import lock

from mangosail import clock as clocks
from mangosail.telemetry import counters as telemetry

#: Seconds after which an idle connection is closed instead of reused.
IDLE_TIMEOUT_S = 15.0
#: Timeout, in seconds, of the socket itself. The deadlines of exchanges are shorter; as
#: the socket is shared by many exchanges, it cannot be set to the deadline of one.
MAX_EXCHANGE_S = 3600.0


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One connection, opened by its first request.

    It is an `HTTPClient` with a concurrency of one, so that a late answer can only be
    read by the request to which it belongs.
    """

    client: geventhttpclient.HTTPClient
    #: Monotonic time until which it may be reused.
    idle_deadline: float
    #: True once an answer has been received over it.
    proven: bool = False


class ConnectionPool:
    """Pool of the connections to one target."""

    def __init__(
        self,
        address: str,
        limit: int,
        clock: clocks.Clock,
        counters: telemetry.Counters,
    ) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.permits = lock.BoundedSemaphore(limit)
        self.clock = clock
        self.counters = counters
        self.idle: list[Connection] = []

    def acquire(self, timeout: float, fresh: bool = False) -> Connection | None:
        """Return a connection, or None if all are in use for `timeout` seconds.

        Idle connections are used before a new one is opened, so that idle and busy
        ones together stay within the limit. A `fresh` one replaces an idle one.
        """
        if not self.permits.acquire(timeout=timeout):
            return None
        now = self.clock.monotonic()
        if fresh and self.idle:
            self._close(self.idle.pop(0), "replaced")
            return self._open(timeout, now)
        while self.idle:
            connection = self.idle.pop()
            if now < connection.idle_deadline:
                return connection
            self._close(connection, "idle")
        return self._open(timeout, now)

    def _open(self, timeout: float, now: float) -> Connection:
        client = geventhttpclient.HTTPClient(
            self.host,
            port=self.port,
            concurrency=1,
            connection_timeout=timeout,
            network_timeout=MAX_EXCHANGE_S,
        )
        return Connection(client, now + IDLE_TIMEOUT_S)

    def release(self, connection: Connection) -> None:
        """Return `connection` to the pool after a complete answer."""
        connection.proven = True
        connection.idle_deadline = self.clock.monotonic() + IDLE_TIMEOUT_S
        self.idle.append(connection)
        self.permits.release()

    def retire(self, connection: Connection, reason: str) -> None:
        """Close `connection` permanently.

        A connection on which an answer timed out may still deliver it. If it were
        reused, the next request would read the answer to another request.
        """
        self._close(connection, reason)
        self.permits.release()

    def retire_idle(self) -> None:
        """Close all idle connections, which may have gone silent like another one.

        A new connection costs a fraction of a millisecond, while detecting each
        silent one individually would cost one request its timeout.
        """
        while self.idle:
            self._close(self.idle.pop(), "suspect")

    def _close(self, connection: Connection, reason: str) -> None:
        connection.client.close()
        self.counters.count(f"dispatch.connection_retired.{reason}")
