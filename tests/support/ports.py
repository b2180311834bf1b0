"""Allocates ports for processes that tests start.

An ephemeral port that is free when the kernel returns it may be taken before the
process binds it, by an outgoing connection or by another test run in parallel. The
instance then never becomes ready or, worse, the test talks to another test's instance.
Ports are therefore taken from below the kernel's ephemeral range, out of a block that
this process reserves for as long as it runs.
"""

import itertools
import os
import pathlib
import socket

FIRST_PORT = 10000
BLOCK_SIZE = 250
#: First ephemeral port if `RANGE_FILE` can't be read (the default of Linux).
DEFAULT_EPHEMERAL_START = 32768
RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def lowest_ephemeral():
    """Return the first port of the kernel's ephemeral range."""
    try:
        return int(RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError):
        return DEFAULT_EPHEMERAL_START


class Block:
    """A block of ports reserved by keeping its first port bound."""

    def __init__(self):
        starts = list(range(FIRST_PORT, lowest_ephemeral() - BLOCK_SIZE, BLOCK_SIZE))
        # Processes start the search at different blocks to reduce collisions.
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
        """Return a free port, preferring ones that were not returned before."""
        for _ in range(BLOCK_SIZE):
            port = next(self.ports)
            with socket.socket() as probe:
                # Servers set this too; it ignores connections in TIME_WAIT.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
                return port
        raise AssertionError("all ports of the block are in use")


_blocks = {}


def free_port():
    """Return a free port that no other process is given."""
    # A forked process must not return ports of its parent's block.
    block = _blocks.get(os.getpid())
    if block is None:
        block = _blocks[os.getpid()] = Block()
    return block.next()
