"""Connections to one target: at most so many, each with one request at a time."""

import geventhttpclient
from gevent import lock


class Connections:
    """The connections of one target.

    A connection is one `HTTPClient` with a concurrency of one, so that a late
    answer can only be read by the request that it belongs to.
    """

    def __init__(self, address: str, limit: int) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.free = lock.BoundedSemaphore(limit)
        self.idle: list[geventhttpclient.HTTPClient] = []

    def acquire(self, timeout: float) -> geventhttpclient.HTTPClient | None:
        """Return a connection, or None when all stay in use for `timeout` seconds."""
        if not self.free.acquire(timeout=timeout):
            return None
        if self.idle:
            return self.idle.pop()
        return geventhttpclient.HTTPClient(
            self.host,
            port=self.port,
            concurrency=1,
            connection_timeout=timeout,
            network_timeout=timeout,
        )

    def release(self, connection: geventhttpclient.HTTPClient) -> None:
        """Keep `connection` for the next request."""
        self.idle.append(connection)
        self.free.release()

    def retire(self, connection: geventhttpclient.HTTPClient) -> None:
        """Close `connection` for good.

        A connection on which an answer did not come in time may still deliver
        it; were it used again, the next request would read a stranger's answer.
        """
        connection.close()
        self.free.release()
