"""HTTP requests on pooled connections, each with its own time limits.

Unless the sender says otherwise, an answer that has begun is read to its end as long
as data keeps arriving: the limits apply to silence.
"""

import collections
import collections.abc as cabc
import dataclasses
import typing as t

import gevent
import geventhttpclient
import result
from geventhttpclient import response as http_response

from mangosail.platform import errors

#: Default time limit, in seconds, for an answer to begin.
CALL_TIMEOUT_S = 1.0
#: Timeout for connecting, in seconds: several trips between data centres, and one
#: retransmission of a lost SYN packet.
CONNECT_TIMEOUT_S = 1.2
#: Maximum time in seconds between two bytes on a connection; above all other limits.
NETWORK_TIMEOUT_S = 40.0
#: Bytes of an answer to read at a time.
CHUNK_BYTES = 4096
#: Timeout in seconds for the next chunk of an answer: as long as the store may take to
#: begin one.
CHUNK_TIMEOUT_S = 1.3
#: Timeout in seconds for a whole answer even if data keeps arriving: twenty times what
#: the largest answer of the store, 1 MB, takes on the slowest link.
ANSWER_TIMEOUT_S = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of a complete answer."""

    status: int
    body: bytes
    #: Version of the content, from the `ETag` header; empty if there is none.
    etag: str = ""


#: Called for each chunk of a successful answer.
OnData = cabc.Callable[[], None]

OK = 200

#: Why a call got no answer: `Unavailable` if it certainly was not sent.
CallError = errors.Unavailable | errors.Uncertain


class Caller:
    """Sends requests to one address on pooled connections."""

    def __init__(
        self,
        address: str,
        concurrency: int = 8,
        headers: cabc.Mapping[str, str] | None = None,
    ) -> None:
        self.address = address
        self.concurrency = concurrency
        self.headers = dict(headers or {})
        self.client = self._connect()

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: cabc.Mapping[str, str] | None = None,
        timeout: float = CALL_TIMEOUT_S,
        total_timeout: float = ANSWER_TIMEOUT_S,
        on_data: OnData | None = None,
        max_bytes: int | None = None,
    ) -> result.Result[Reply, CallError]:
        """Send one request; an Err means that no complete answer came.

        The answer must begin within `timeout` seconds and be complete within
        `total_timeout`. `on_data` is called for each chunk of a successful answer. An
        answer that declares more than `max_bytes` bytes is not read.
        """
        client = self.client
        content = bytearray()
        try:
            with gevent.Timeout(total_timeout):
                with gevent.Timeout(timeout):
                    response = client.request(method, path, body=body, headers=headers)
                    length = response.content_length or 0
                    if max_bytes is not None and length > max_bytes:
                        self._replace_client(client)
                        return result.Err(errors.TooLong(f"{length} bytes"))
                    etag = str(response.get("ETag") or "")
                    content += response.read(CHUNK_BYTES)
                if response.status_code != OK or on_data is None:
                    on_data = ignore_data
                on_data()
                receive_rest(response, content, min(timeout, CHUNK_TIMEOUT_S), on_data)
            return result.Ok(Reply(response.status_code, bytes(content), etag))
        except ConnectionRefusedError as exc:
            self._replace_client(client)
            return result.Err(errors.Unavailable(str(exc)))
        except gevent.GreenletExit:
            # Cancelled: an answer that still arrives must not reach another call.
            self._replace_client(client)
            raise
        except (OSError, http_response.HTTPParseError, gevent.Timeout) as exc:
            self._replace_client(client)
            return result.Err(errors.Uncertain(error_reason(exc, len(content))))

    def limit_connections(self, concurrency: int) -> None:
        """Limit the pool to `concurrency` connections from now on.

        Open connections are closed when their current calls end.
        """
        if concurrency < self.concurrency:
            self.concurrency = concurrency
            self._replace_client(self.client)

    def _replace_client(self, client: geventhttpclient.HTTPClient) -> None:
        """Replace the pool `client`, whose connections only finish their calls.

        If one answer never came, the pool's other connections may have lost their peer
        as well, and new ones are cheap. The old pool is not closed, as that would fail
        the calls that wait for one of its connections.
        """
        if self.client is client:
            self.client = self._connect()

    def _connect(self) -> geventhttpclient.HTTPClient:
        host, _, port = self.address.rpartition(":")
        client: t.Any = geventhttpclient.HTTPClient(
            host,
            port=int(port),
            concurrency=self.concurrency,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=NETWORK_TIMEOUT_S,
            headers=self.headers,
        )
        return client


def ignore_data() -> None:
    """Ignore a chunk of an answer."""


def receive_rest(
    response: http_response.HTTPSocketResponse,
    content: bytearray,
    timeout: float,
    on_data: OnData,
) -> None:
    """Append the rest of an answer to `content`; each chunk has `timeout` seconds.

    With a time limit on the whole answer, a large one never arrived over a slow link:
    it was given up and requested again from the start, and the discarded data filled
    the link. Silence still ends the call as soon.
    """
    while not response.message_complete:
        with gevent.Timeout(timeout):
            content += response.read(CHUNK_BYTES)
        on_data()
    # Data that was received with the last chunk; this does not block.
    content += response.read()


def error_reason(exc: BaseException, received: int) -> str:
    """Return why a call got no answer, and how many bytes of one had arrived.

    Without that number, a slow link looks like a silent peer.
    """
    return f"{exc or type(exc).__name__}, after {received} bytes of the answer"


class Callers:
    """One caller per name; beyond `max_callers`, drops the least recently used one.

    All callers together hold at most `budget` connections: the more callers there are,
    the fewer each has, but at least one. With a fixed number for each, the leader of
    1,002 workers ran out of file descriptors, and orders failed at random.
    """

    def __init__(
        self, concurrency: int, max_callers: int, budget: int | None = None
    ) -> None:
        self.concurrency = concurrency
        self.max_callers = max_callers
        self.budget = budget
        self.callers: collections.OrderedDict[str, Caller] = collections.OrderedDict()

    def get(self, name: str, address: str) -> Caller:
        """Return the caller of `name`, creating it for `address` if necessary."""
        caller = self.callers.get(name)
        if caller is None:
            caller = self.callers[name] = Caller(address, self.concurrency)
            if len(self.callers) > self.max_callers:
                self.callers.popitem(last=False)
        # Dropping callers by age also dropped those in constant use: with more workers
        # than callers, each call opened a connection.
        self.callers.move_to_end(name)
        caller.limit_connections(self.connections_per_caller())
        return caller

    def max_connections(self) -> int:
        """Return how many connections all callers together may currently have."""
        return len(self.callers) * self.connections_per_caller()

    def connections_per_caller(self) -> int:
        """Return how many connections each caller may currently have."""
        if self.budget is None or not self.callers:
            return self.concurrency
        return max(min(self.concurrency, self.budget // len(self.callers)), 1)
