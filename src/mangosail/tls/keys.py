"""The keys in use, read from files or given as text, and read again on change.

Each of the three is the path of a PEM file or, from the environment, the PEM text
itself::

    store = keys.KeyStore(sources, counters)
    store.current.certificate
"""

import contextlib
import dataclasses
import os
import pathlib
import ssl
import typing as t

import gevent
import logbook
from cryptography import x509

from mangosail import errors
from mangosail.telemetry import counters as telemetry

log = logbook.Logger("tls")

#: Seconds between two looks at the files.
WATCH_INTERVAL_S = 2.0
#: How PEM text begins; anything else is a path.
PEM_PREFIX = "-----BEGIN"


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Where each of the three comes from: a path, or PEM text."""

    certificate: str
    key: str
    authority: str


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Certificate chain, key and trusted authority that belong together, as PEM."""

    certificate: bytes
    key: bytes
    authority: bytes


def read(sources: Sources) -> Keys:
    """Return the keys, or raise `ConfigurationError` if they are of no use."""
    keys = Keys(
        _pem("--tls-certificate", sources.certificate),
        _pem("--tls-key", sources.key),
        _pem("--tls-authority", sources.authority),
    )
    server_context(keys)
    return keys


def _pem(flag: str, source: str) -> bytes:
    if source.lstrip().startswith(PEM_PREFIX):
        return source.encode()
    try:
        return pathlib.Path(source).read_bytes()
    except OSError as exc:
        raise errors.ConfigurationError(
            f"{flag}: {source!r}: expected PEM text or a readable file: {exc.strerror}"
        ) from exc


def server_context(keys: Keys) -> ssl.SSLContext:
    """Return the context under which callers are served."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    load(context, keys)
    return context


def load(context: ssl.SSLContext, keys: Keys) -> None:
    """Put `keys` in use for the handshakes to come."""
    try:
        with (
            _memory_file(keys.certificate) as certificate,
            _memory_file(keys.key) as key,
        ):
            context.load_cert_chain(certificate, key)
        x509.load_pem_x509_certificates(keys.authority)
    except (ssl.SSLError, ValueError) as exc:
        raise errors.ConfigurationError(
            "--tls-certificate, --tls-key, --tls-authority: expected a certificate, "
            f"its key and an authority as PEM: {exc}"
        ) from exc


@contextlib.contextmanager
def _memory_file(data: bytes) -> t.Iterator[str]:
    """Lend `data` a path: the ssl module reads files only, and there is no disk."""
    descriptor = os.memfd_create("mangosail-pem", os.MFD_CLOEXEC)
    try:
        os.write(descriptor, data)
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)


class KeyStore:
    """The keys in use; `version` moves on with each change."""

    def __init__(self, sources: Sources, counters: telemetry.Counters) -> None:
        self.sources = sources
        self.counters = counters
        self.current = read(sources)
        self.version = 1
        self.context = server_context(self.current)
        self.loaded_stamps = self._file_stamps()

    def refresh(self) -> None:
        """Read the keys again if a file changed; keep the old ones if they fail."""
        stamps = self._file_stamps()
        if stamps == self.loaded_stamps:
            return
        try:
            keys = read(self.sources)
            load(self.context, keys)
        except errors.ConfigurationError as exc:
            # Files are replaced one after the other: for a moment key and
            # certificate don't fit. The old ones serve on, and as `seen` stays
            # behind, the next look reads the files again.
            self.counters.count("tls.reload_failed")
            log.warning("keys not reloaded", why=str(exc))
            return
        self.loaded_stamps = stamps
        self.current = keys
        self.version += 1
        self.counters.count("tls.reloaded")
        log.info("keys reloaded", version=self.version)

    def watch_forever(self) -> None:
        """Look for changed files again and again."""
        while True:
            gevent.sleep(WATCH_INTERVAL_S)
            self.refresh()

    def _file_stamps(self) -> tuple[tuple[int, int], ...]:
        stamps = []
        for source in dataclasses.astuple(self.sources):
            if source.lstrip().startswith(PEM_PREFIX):
                continue
            with contextlib.suppress(OSError):
                found = os.stat(source)
                stamps.append((found.st_mtime_ns, found.st_ino))
        return tuple(stamps)
