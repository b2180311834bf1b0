"""gRPC between instances, with MessagePack messages and no generated code."""

import collections.abc as cabc
import concurrent.futures
import dataclasses
import typing as t

import gevent
import grpc
import result

from mangosail import codec
from mangosail.tls import keys
from mangosail.tls import peers as tls_peers

SERVICE = "mangosail.Peer"
#: Maximum number of peers' requests served concurrently.
SERVER_THREADS = 64
#: Maximum number of connections of peers, unless the caller sets another.
MAX_CONNECTIONS = 256
#: Milliseconds within which a connection's handshake must be done.
HANDSHAKE_TIMEOUT_MS = 5000
#: Backoff in milliseconds before reconnecting to a lost peer: initial and maximum.
RECONNECT_INITIAL_MS = 100
RECONNECT_MAX_MS = 1000
#: Seconds for which a channel with old keys is kept open for pending calls.
OLD_CHANNEL_GRACE_S = 30.0

CHANNEL_OPTIONS = (
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_INITIAL_MS),
    ("grpc.enable_http_proxy", 0),
)

#: Status of a call on a channel that is closed.
CANCELLED = grpc.StatusCode.CANCELLED.name.lower()

RequestT = t.TypeVar("RequestT")
ResponseT = t.TypeVar("ResponseT")


@dataclasses.dataclass(frozen=True, slots=True)
class Method(t.Generic[RequestT, ResponseT]):
    """An RPC method, declared by the package that owns its messages.

    ``FORWARD = Method("forward", Forwarded, ForwardedAnswer)``; the name is sent on the
    wire, so it must not change while instances of two releases run together.
    """

    name: str
    request_type: type[RequestT]
    response_type: type[ResponseT]

    def with_handler(
        self, handler: cabc.Callable[[RequestT], ResponseT]
    ) -> "MethodHandler":
        """Return the method with the handler that implements it on this instance."""
        return MethodHandler(self.name, self.request_type, handler)


@dataclasses.dataclass(frozen=True, slots=True)
class MethodHandler:
    """A method with its handler, type-checked through `Method.with_handler`."""

    name: str
    request_type: type
    handler: cabc.Callable[[t.Any], t.Any]


def serve(
    handlers: cabc.Iterable[MethodHandler],
    address: str,
    store: keys.KeyStore | None = None,
    known: cabc.Container[str] = (),
    max_connections: int = MAX_CONNECTIONS,
) -> grpc.Server:
    """Start a server on `address` that answers peers' calls with `handlers`.

    With keys in `store`, callers must authenticate as one of the `known` instances.
    """
    pool = concurrent.futures.ThreadPoolExecutor(max_workers=SERVER_THREADS)
    options = (
        ("grpc.so_reuseport", 0),
        ("grpc.max_allowed_incoming_connections", max_connections),
        ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
    )
    server = grpc.server(pool, options=options)
    methods = {
        method.name: grpc.unary_unary_rpc_method_handler(
            _unary_handler(method.handler, None if store is None else known),
            request_deserializer=_decoder(method.request_type),
            response_serializer=codec.to_msgpack,
        )
        for method in handlers
    }
    generic = grpc.method_handlers_generic_handler(SERVICE, methods)
    server.add_generic_rpc_handlers((generic,))
    if store is None:
        server.add_insecure_port(address)
    else:
        server.add_secure_port(address, tls_peers.server_credentials(store))
    server.start()
    return server


def _unary_handler(
    method: cabc.Callable[[t.Any], t.Any], known: cabc.Container[str] | None
) -> cabc.Callable[..., t.Any]:
    def serve_call(message: t.Any, context: grpc.ServicerContext) -> t.Any:
        if known is not None:
            names = tls_peers.verified_names(context)
            if not tls_peers.is_sender(message, names, known):
                context.abort(grpc.StatusCode.PERMISSION_DENIED, "not the sender")
        return method(message)

    return serve_call


def _decoder(kind: type) -> cabc.Callable[[bytes], t.Any]:
    return lambda data: codec.from_msgpack(data, kind)


class Channel:
    """A gRPC channel to one peer."""

    def __init__(
        self, address: str, name: str = "", store: keys.KeyStore | None = None
    ) -> None:
        self.address = address
        self.name = name
        self.store = store
        #: True once the peer was dropped: no call is made any more.
        self.closed = False
        self._open()

    def _open(self) -> None:
        self.version = self.store.version if self.store else 0
        self.channel = tls_peers.channel(
            self.address, self.name, self.store, CHANNEL_OPTIONS
        )
        #: Stubs of the methods called so far, by method name.
        self.stubs: dict[str, cabc.Callable[..., t.Any]] = {}

    def call(
        self, method: Method[RequestT, ResponseT], message: RequestT, timeout: float
    ) -> result.Result[ResponseT, str]:
        """Return the peer's answer, or the gRPC status as an Err.

        ``channel.call(methods.HEARTBEAT, own, HEARTBEAT_TIMEOUT_S)``

        A caller that tries peers in turn may come to one that was dropped while it
        waited for another. gRPC raises an error there, which callers got as a 500.
        """
        if self.closed:
            return result.Err(CANCELLED)
        if self.store is not None and self.store.version != self.version:
            # Pending calls complete on the old channel, which is closed later.
            gevent.spawn_later(OLD_CHANNEL_GRACE_S, self.channel.close)
            self._open()
        try:
            return result.Ok(self._stub(method)(message, timeout=timeout))
        except grpc.RpcError as exc:
            return result.Err(exc.code().name.lower())

    def _stub(self, method: Method[t.Any, t.Any]) -> cabc.Callable[..., t.Any]:
        call = self.stubs.get(method.name)
        if call is None:
            call = self.stubs[method.name] = self.channel.unary_unary(
                f"/{SERVICE}/{method.name}",
                request_serializer=codec.to_msgpack,
                response_deserializer=_decoder(method.response_type),
            )
        return call

    def close(self) -> None:
        """Close the channel; calls in progress and later ones are `CANCELLED`."""
        self.closed = True
        self.channel.close()
