"""gRPC between instances, with MessagePack messages and no generated code."""

import collections.abc as cabc
import concurrent.futures
import typing as t

import gevent
import grpc
import result

from mangosail import codec
from mangosail.jobs import messages as job_messages
from mangosail.membership import messages
from mangosail.settings import messages as settings_messages
from mangosail.tls import keys
from mangosail.tls import peers as tls_peers

SERVICE = "mangosail.Peer"
#: Requests from peers that are served at a time.
SERVER_TASKS = 64
#: Seconds until a peer that was lost is tried again.
RECONNECT_MAX_MS = 1000

#: Seconds for which a channel with old keys is kept for the calls under way.
OLD_CHANNEL_TERM = 30.0

CHANNEL_OPTIONS = (
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.enable_http_proxy", 0),
)


class Handler(t.Protocol):
    """What an instance does when a peer calls."""

    def heartbeat(self, message: messages.Heartbeat) -> messages.Heartbeat:
        """Take in a peer's state and return our own."""

    def forward(self, message: messages.Forwarded) -> messages.ForwardedAnswer:
        """Serve a request from our own workers only."""

    def submit_work(self, message: messages.ForwardedWork) -> messages.WorkAnswer:
        """Claim a peer's durable work for our own workers."""

    def cancel_work(self, message: messages.CancelWork) -> messages.WorkAnswer:
        """Cancel durable work that we hold."""

    def describe_to(self, message: messages.DescribeRequest) -> messages.Description:
        """Return our status for a peer's operator."""

    def settings_since(
        self, message: settings_messages.Since
    ) -> settings_messages.Delta:
        """Return the settings changed past what the peer has in force."""

    def offer(self, message: job_messages.Offer) -> job_messages.OfferAnswer:
        """Take a peer's batch task on if there is room."""

    def task_ended(self, message: job_messages.TaskEnded) -> job_messages.Noted:
        """Take in what became of a task that the peer took on."""


#: Each method's name, request type and answer type.
METHODS: dict[str, tuple[type, type]] = {
    "heartbeat": (messages.Heartbeat, messages.Heartbeat),
    "forward": (messages.Forwarded, messages.ForwardedAnswer),
    "submit_work": (messages.ForwardedWork, messages.WorkAnswer),
    "cancel_work": (messages.CancelWork, messages.WorkAnswer),
    "describe_to": (messages.DescribeRequest, messages.Description),
    "settings_since": (settings_messages.Since, settings_messages.Delta),
    "offer": (job_messages.Offer, job_messages.OfferAnswer),
    "task_ended": (job_messages.TaskEnded, job_messages.Noted),
}


def serve(
    handler: Handler,
    address: str,
    store: keys.KeyStore | None = None,
    known: cabc.Container[str] = (),
) -> grpc.Server:
    """Start a server for peers on `address` and return it.

    With keys in `store`, callers must prove to be one of the `known` instances.
    """
    pool = concurrent.futures.ThreadPoolExecutor(max_workers=SERVER_TASKS)
    server = grpc.server(pool, options=(("grpc.so_reuseport", 0),))
    methods = {
        name: grpc.unary_unary_rpc_method_handler(
            _unary(getattr(handler, name), None if store is None else known),
            request_deserializer=_decoder(asked),
            response_serializer=codec.to_msgpack,
        )
        for name, (asked, _) in METHODS.items()
    }
    generic = grpc.method_handlers_generic_handler(SERVICE, methods)
    server.add_generic_rpc_handlers((generic,))
    if store is None:
        server.add_insecure_port(address)
    else:
        server.add_secure_port(address, tls_peers.server_credentials(store))
    server.start()
    return server


def _unary(
    method: cabc.Callable[[t.Any], t.Any], known: cabc.Container[str] | None
) -> cabc.Callable[..., t.Any]:
    def serve_call(message: t.Any, context: grpc.ServicerContext) -> t.Any:
        if known is not None:
            names = tls_peers.proved(context)
            if not tls_peers.is_sender(message, names, known):
                context.abort(grpc.StatusCode.PERMISSION_DENIED, "not the sender")
        return method(message)

    return serve_call


def _decoder(kind: type) -> cabc.Callable[[bytes], t.Any]:
    return lambda data: codec.from_msgpack(data, kind)


class Channel:
    """Calls to one peer."""

    def __init__(
        self, address: str, name: str = "", store: keys.KeyStore | None = None
    ) -> None:
        self.address = address
        self.name = name
        self.store = store
        self._open()

    def _open(self) -> None:
        self.version = self.store.version if self.store else 0
        self.channel = tls_peers.channel(
            self.address, self.name, self.store, CHANNEL_OPTIONS
        )
        self.calls = {
            name: self.channel.unary_unary(
                f"/{SERVICE}/{name}",
                request_serializer=codec.to_msgpack,
                response_deserializer=_decoder(answered),
            )
            for name, (_, answered) in METHODS.items()
        }

    def heartbeat(
        self, message: messages.Heartbeat, timeout: float
    ) -> result.Result[messages.Heartbeat, str]:
        """Send our state and return the peer's; an Err names the status."""
        return self._call("heartbeat", message, timeout)

    def forward(
        self, message: messages.Forwarded, timeout: float
    ) -> result.Result[messages.ForwardedAnswer, str]:
        """Pass a request on; an Err names the status."""
        return self._call("forward", message, timeout)

    def submit_work(
        self, message: messages.ForwardedWork, timeout: float
    ) -> result.Result[messages.WorkAnswer, str]:
        """Pass durable work on; an Err names the status."""
        return self._call("submit_work", message, timeout)

    def cancel_work(
        self, message: messages.CancelWork, timeout: float
    ) -> result.Result[messages.WorkAnswer, str]:
        """Pass a cancellation on; an Err names the status."""
        return self._call("cancel_work", message, timeout)

    def describe(
        self, message: messages.DescribeRequest, timeout: float
    ) -> result.Result[messages.Description, str]:
        """Ask the peer for its status; an Err names the status code."""
        return self._call("describe_to", message, timeout)

    def settings_since(
        self, sequence: int, timeout: float
    ) -> result.Result[settings_messages.Delta, str]:
        """Return the peer's settings changed past `sequence`."""
        return self._call("settings_since", settings_messages.Since(sequence), timeout)

    def offer(
        self, message: job_messages.Offer, timeout: float
    ) -> result.Result[job_messages.OfferAnswer, str]:
        """Offer a batch task; an Err names the status."""
        return self._call("offer", message, timeout)

    def task_ended(
        self, message: job_messages.TaskEnded, timeout: float
    ) -> result.Result[job_messages.Noted, str]:
        """Tell a job's holder of a task's end; an Err names the status."""
        return self._call("task_ended", message, timeout)

    def close(self) -> None:
        """Give the channel up."""
        self.channel.close()

    def _call(
        self, name: str, message: t.Any, timeout: float
    ) -> result.Result[t.Any, str]:
        if self.store is not None and self.store.version != self.version:
            # Calls under way end on the old channel, which is closed after them.
            gevent.spawn_later(OLD_CHANNEL_TERM, self.channel.close)
            self._open()
        try:
            return result.Ok(self.calls[name](message, timeout=timeout))
        except grpc.RpcError as exc:
            return result.Err(exc.code().name.lower())
