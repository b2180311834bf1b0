"""What a process uses of its machine, as the kernel tells it."""

import os
import pathlib
import socket
import struct

MB = 1024 * 1024
#: Columns of a line of /proc/net/tcp: local address, state, and the two queues.
LOCAL_ADDRESS, STATE, QUEUES = 1, 3, 4
#: State in which the second queue counts connections.
LISTENING = "0A"


def peak_memory(pid):
    """Return the highest resident memory of a process so far, in bytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("no VmHWM")


def descriptors(pid):
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def unread_bytes(addresses):
    """Return the bytes that wait unread at connections to any of the addresses."""
    wanted = {hexadecimal(address) for address in addresses}
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    rows = (line.split() for line in lines)
    return sum(
        int(row[QUEUES].partition(":")[2], 16)
        for row in rows
        if row[LOCAL_ADDRESS] in wanted and row[STATE] != LISTENING
    )


def hexadecimal(address):
    """Return an address, given as ``IP:port``, as in /proc/net/tcp."""
    host, _, port = address.rpartition(":")
    number = struct.unpack("=I", socket.inet_aton(host))[0]
    return f"{number:08X}:{int(port):04X}"
