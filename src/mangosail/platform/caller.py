"""HTTP requests on pooled connections, each with time limits of its own.

Unless the sender says otherwise, an answer that has begun is read to its end for as
long as it goes on arriving: the limits are on silence.
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

#: Seconds after which a call is given up unless it says otherwise.
CALL_TIMEOUT_S = 1.0
#: Seconds in which a connection must be made: several times the way between data
#: centres, and one retransmission of a lost opening packet.
CONNECT_TIMEOUT_S = 1.2
#: Seconds that a connection may live at most between two bytes; beyond all limits.
NETWORK_TIMEOUT_S = 40.0
#: Bytes of an answer that are read at a time.
CHUNK_BYTES = 4096
#: Seconds within which the next piece of an answer must come: as long as the store may
#: take to begin one.
CHUNK_TIMEOUT_S = 1.3
#: Seconds after which an answer is given up although it goes on arriving: twenty times
#: what the largest answer of the store, 1 MB, takes on the narrowest link.
ANSWER_TIMEOUT_S = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of an answer that came whole."""

    status: int
    body: bytes
    #: The version that the answer says its content has; empty if it says none.
    etag: str = ""


#: Called for each piece of a successful answer.
OnData = cabc.Callable[[], None]

OK = 200

#: Why a call has no answer: `Unavailable` if it certainly was not sent.
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
        """Send one request; an Err means that no whole answer came.

        Within `timeout` seconds the answer must have begun, and within `longest` it
        must be whole. `heard` is called for each piece of a successful answer. One that
        says that it has more than `most` bytes is not read.
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
            # Given up by its sender: what comes on the connection is not for others.
            self._replace_client(client)
            raise
        except (OSError, http_response.HTTPParseError, gevent.Timeout) as exc:
            self._replace_client(client)
            return result.Err(errors.Uncertain(error_reason(exc, len(content))))

    def limit_connections(self, concurrency: int) -> None:
        """Hold no more than `concurrency` connections from now on.

        Those that are open end with the calls that are on them.
        """
        if concurrency < self.concurrency:
            self.concurrency = concurrency
            self._replace_client(self.client)

    def _replace_client(self, client: geventhttpclient.HTTPClient) -> None:
        """Leave the connections of `client` to the calls that are on them.

        One answer that never came says that its other connections may have
        lost their peer too; new ones are cheap. The old pool is not closed: a
        closed one fails the calls that wait for a connection of it.
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
    """Take no notice of a piece."""


def receive_rest(
    response: http_response.HTTPSocketResponse,
    content: bytearray,
    timeout: float,
    on_data: OnData,
) -> None:
    """Add the rest of an answer to `content`, each piece within `timeout` seconds.

    With a limit on the whole answer a large one never arrived on a narrow link: it was
    given up, asked for again from its beginning, and what was thrown away filled the
    link. Silence still ends it as soon.
    """
    while not response.message_complete:
        with gevent.Timeout(timeout):
            content += response.read(CHUNK_BYTES)
        on_data()
    # What was received with the last piece; nothing is waited for.
    content += response.read()


def error_reason(exc: BaseException, received: int) -> str:
    """Return why a call has no answer, and how many bytes of one had come.

    A slow link and a silent peer look alike without that number.
    """
    return f"{exc or type(exc).__name__}, after {received} bytes of the answer"


class Callers:
    """One caller for each name; with too many, the one unused for longest is dropped.

    All of them together hold `budget` connections at most: the more callers there are,
    the fewer each has, though never none. With a fixed number for each, the leader of
    1,002 workers ran out of descriptors, and orders failed at random.
    """

    def __init__(
        self, concurrency: int, max_callers: int, budget: int | None = None
    ) -> None:
        self.concurrency = concurrency
        self.max_callers = max_callers
        self.budget = budget
        self.callers: collections.OrderedDict[str, Caller] = collections.OrderedDict()

    def get(self, name: str, address: str) -> Caller:
        """Return the caller called `name`, made for `address` when first asked for."""
        kept = self.callers.get(name)
        if kept is None:
            kept = self.callers[name] = Caller(address, self.concurrency)
            if len(self.callers) > self.max_callers:
                self.callers.popitem(last=False)
        # In the order of making, a worker that is called all the time went first: with
        # more workers than are kept each call opened a connection.
        self.callers.move_to_end(name)
        kept.limit_connections(self.connections_per_caller())
        return kept

    def connections_per_caller(self) -> int:
        """Return how many connections each caller may have now."""
        if self.budget is None or not self.callers:
            return self.concurrency
        return max(min(self.concurrency, self.budget // len(self.callers)), 1)
