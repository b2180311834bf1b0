"""What clients may hold of the machine, all together.

The store, peers and workers get what they need first: the lease is lost without the
store, and jobs stand still without the workers. Clients share what is left::

    capacity = of_machine(memory_mb=300, max_fds=4100)
    callers = places.Places(lambda: capacity.callers, counters)
"""

import dataclasses

#: File descriptors kept for files, pipes and listening sockets.
FILE_DESCRIPTORS = 200
#: Share of the memory for clients. The rest holds the program and, on a leader, all
#: jobs and workers: up to 150 MB.
CLIENT_MEMORY_SHARE = 0.25
#: Share of the clients' memory for connections; the rest holds long requests.
CONNECTION_MEMORY_SHARE = 0.5
#: Memory of one connection in bytes: what the kernel and the reader have buffered, the
#: state of its greenlet, and a short request.
CONNECTION_BYTES = 64 * 1024
#: Share of the connections, by memory, and of the descriptors for peers' requests.
PEER_SHARE = 0.15
#: Maximum number of connections, and share of the descriptors, for the load balancer's
#: checks and for readers of metrics.
MAX_CHECK_CONNECTIONS = 16
CHECK_SHARE = 0.06
#: Maximum number of descriptors, and share of all, for calls to the store and to peers.
MAX_OUTGOING = 256
OUTGOING_SHARE = 0.4
#: Maximum number of descriptors, and share of all, for connections that are being
#: refused or closed.
MAX_CLOSING = 32
CLOSING_SHARE = 0.16
#: Connections that are accepted in any case, for callers and for peers.
MIN_CONNECTIONS = 8
BYTES_PER_MB = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Numbers of connections at each port, and bytes for long requests at all."""

    callers: int
    peers: int
    #: At each port that serves checks or metrics.
    checks: int
    #: Descriptors for calls to the store and to peers.
    outgoing: int
    #: Memory for what requests hold beyond a short one, in bytes.
    request_bytes: int
    #: Descriptors that callers and workers share.
    shared: int

    def callers_beside(self, worker_connections: int) -> int:
        """Return how many callers may connect beside the connections to workers."""
        left = self.shared - worker_connections
        return max(min(self.callers, left), MIN_CONNECTIONS)


def of_machine(memory_mb: float, max_fds: int) -> Capacity:
    """Return what clients may hold on a machine with these limits."""
    client_bytes = memory_mb * BYTES_PER_MB * CLIENT_MEMORY_SHARE
    connection_bytes = client_bytes * CONNECTION_MEMORY_SHARE
    connections = int(connection_bytes / CONNECTION_BYTES)
    sockets = max(max_fds - FILE_DESCRIPTORS, 0)
    checks = max(min(MAX_CHECK_CONNECTIONS, int(sockets * CHECK_SHARE)), 1)
    peers = max(int(min(connections, sockets) * PEER_SHARE), MIN_CONNECTIONS)
    outgoing = min(MAX_OUTGOING, int(sockets * OUTGOING_SHARE))
    closing = min(MAX_CLOSING, int(sockets * CLOSING_SHARE))
    shared = sockets - outgoing - peers - 2 * checks - closing
    return Capacity(
        callers=max(min(connections - peers - 2 * checks, shared), MIN_CONNECTIONS),
        peers=peers,
        checks=checks,
        outgoing=outgoing,
        request_bytes=int(client_bytes - connection_bytes),
        shared=shared,
    )
