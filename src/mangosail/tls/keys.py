"""Loads the certificate, key and authority, and reloads them when a file changes.

Each of the three is the path of a PEM file or the PEM text itself, as given in an
environment variable::

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

#: Seconds between checks for changed files.
WATCH_INTERVAL_S = 2.0
#: Prefix of PEM text; anything else is a path.
PEM_PREFIX = "-----BEGIN"


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """The configured sources, each a path or PEM text."""

    certificate: str
    key: str
    authority: str


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """A matching certificate chain and key, and the trusted authority, as PEM."""

    certificate: bytes
    key: bytes
    authority: bytes


def read(sources: Sources) -> Keys:
    """Read and validate the keys; raise `ConfigurationError` if they are invalid."""
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
    """Return the TLS context of the server for callers."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    # A connection that ends between requests is no error. Without this, callers got an
    # alert on each idle connection that a planned stop closed.
    context.options |= ssl.OP_IGNORE_UNEXPECTED_EOF
    load(context, keys)
    return context


def load(context: ssl.SSLContext, keys: Keys) -> None:
    """Load `keys` into `context`, for new handshakes only."""
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
    """Provide `data` as an in-memory file, since the ssl module reads only files."""
    descriptor = os.memfd_create("mangosail-pem", os.MFD_CLOEXEC)
    try:
        os.write(descriptor, data)
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)


class KeyStore:
    """The keys in use; `version` increases with each reload."""

    def __init__(self, sources: Sources, counters: telemetry.Counters) -> None:
        self.sources = sources
        self.counters = counters
        self.current = read(sources)
        self.version = 1
        self.context = server_context(self.current)
        self.loaded_stamps = self._file_stamps()

    def refresh(self) -> None:
        """Reload the keys if a file changed; keep the old ones if that fails."""
        stamps = self._file_stamps()
        if stamps == self.loaded_stamps:
            return
        try:
            keys = read(self.sources)
            load(self.context, keys)
        except errors.ConfigurationError as exc:
            # Files are replaced one by one, so key and certificate may not match
            # for a moment. The old keys stay in use, and since `loaded_stamps` is
            # not updated, the next check reads the files again.
            self.counters.count("tls.reload_failed")
            log.warning("keys not reloaded", why=str(exc))
            return
        self.loaded_stamps = stamps
        self.current = keys
        self.version += 1
        self.counters.count("tls.reloaded")
        log.info("keys reloaded", version=self.version)

    def watch_forever(self) -> None:
        """Check for changed files periodically."""
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
