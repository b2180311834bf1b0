"""What one request may have: its largest size, and the time in which it must arrive."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on requests of callers, of which operators set some.

    ``Limits(head_bytes=8192)`` refuses a request whose request line or whose header
    lines are longer than 8,192 bytes.
    """

    #: Largest size of a request line, and of all header lines together, in bytes.
    head_bytes: int = 16384
    #: Largest size of a body, in bytes.
    body_bytes: int = 262144
    #: Seconds within which the headers of a request must arrive, from its first byte.
    headers_timeout: float = 3.0
    #: Seconds within which the body must arrive, after the headers.
    body_timeout: float = 3.0
    #: Seconds for which a connection may be idle between requests, and that a caller
    #: may take to read an answer.
    idle_timeout: float = 15.0


#: Limits while operators have set no others.
DEFAULT = Limits()
