"""Ports for processes that tests start.

A port that was free when the kernel named it may be taken before the process binds it:
by an outgoing connection of any process, or by a stage of another slice that runs at
the same time. Then an instance never becomes ready or, worse, the test talks to an
instance of another stage. So ports come from below those that the kernel gives to
outgoing connections, out of a block that this process holds alone while it lives.
"""

import itertools
import os
import pathlib
import socket

FIRST_PORT = 10000
BLOCK_SIZE = 250
#: Where the kernel's range for outgoing connections begins, unless it says otherwise.
DEFAULT_EPHEMERAL_START = 32768
RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def lowest_ephemeral():
    """Return the first port that outgoing connections may get."""
    try:
        return int(RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError):
        return DEFAULT_EPHEMERAL_START


class Block:
    """Ports of this process; its first one is bound for as long as it lives."""

    def __init__(self):
        starts = list(range(FIRST_PORT, lowest_ephemeral() - BLOCK_SIZE, BLOCK_SIZE))
        # Processes begin at different blocks, so that few meet.
        first = os.getpid() % len(starts)
        for start in [*starts[first:], *starts[:first]]:
            holder = socket.socket()
            try:
                holder.bind(("127.0.0.1", start))
                holder.listen()
            except OSError:
                holder.close()
                continue
            self.holder = holder
            self.ports = itertools.cycle(range(start + 1, start + BLOCK_SIZE))
            return
        raise AssertionError("no block of ports is free")

    def next(self):
        """Return a port that nothing listens on, not used before if there is any."""
        for _ in range(BLOCK_SIZE):
            port = next(self.ports)
            with socket.socket() as probe:
                # As a server does it, so that connections that ended don't count.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
                return port
        raise AssertionError("all ports of the block are in use")


_blocks = {}


def free_port():
    """Return a port that no other process is given."""
    # A forked process must not hand out its parent's ports.
    block = _blocks.get(os.getpid())
    if block is None:
        block = _blocks[os.getpid()] = Block()
    return block.next()
