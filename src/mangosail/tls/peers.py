"""Mutual TLS between instances: gRPC authenticates each by its certificate."""

import typing as t

import grpc

from mangosail.tls import keys

#: gRPC's property for the subject alternative names of a peer's certificate.
SAN_PROPERTY = "x509_subject_alternative_name"


def server_credentials(store: keys.KeyStore) -> grpc.ServerCredentials:
    """Return credentials that use the current keys and require client certificates."""
    return grpc.dynamic_ssl_server_credentials(
        _configuration(store.current),
        lambda: _configuration(store.current),
        require_client_authentication=True,
    )


def _configuration(current: keys.Keys) -> grpc.ServerCertificateConfiguration:
    pair = (current.key, current.certificate)
    return grpc.ssl_server_certificate_configuration([pair], current.authority)


def channel(
    address: str,
    name: str,
    store: keys.KeyStore | None,
    options: t.Sequence[tuple[str, t.Any]],
) -> grpc.Channel:
    """Return a channel to the peer `name`, in plain text if `store` is None."""
    if store is None:
        return grpc.insecure_channel(address, options=options)
    credentials = grpc.ssl_channel_credentials(
        store.current.authority, store.current.key, store.current.certificate
    )
    # Peers are reached by IP address, but certificates carry the instance's name.
    named = (*options, ("grpc.ssl_target_name_override", name))
    return grpc.secure_channel(address, credentials, options=named)


def verified_names(context: grpc.ServicerContext) -> set[str]:
    """Return the names in the caller's verified certificate."""
    found = context.auth_context().get(SAN_PROPERTY, ())
    return {name.decode() for name in found}


def is_sender(message: t.Any, names: set[str], known: t.Container[str]) -> bool:
    """Return whether `message` may come from a peer authenticated as `names`.

    A message that names its sender must come from that instance, any other message
    from a known instance.
    """
    sender = getattr(message, "instance", None)
    if sender is not None:
        return sender in names
    return any(name in known for name in names)
