"""Decodes the entries in which workers describe themselves.

Such a row may hold anything, as a writer of another version or kind may have stored it.
A row that is not an entry as the platform defines it stands for no worker. An invalid
one must neither stop its reader nor direct orders to an address that nobody serves.
"""

import ipaddress
import math

import result

from mangosail import codec, resources
from mangosail.platform import wire
from mangosail.scheduler import errors, messages

#: Valid states of an entry.
READY = "ready"
DRAINING = "draining"
#: Maximum capacity of one worker, far above any machine. Without a limit, a mistake in
#: the unit would attract all work to one worker, which refuses it.
MAX_CORES = 4096.0
MAX_MEMORY_GB = 65536.0
MAX_ACCELERATORS = 1024
#: Maximum length of a worker's id, which is the platform's limit for keys.
MAX_NAME_LENGTH = 200
MAX_PORT = 65535


def decode_entry(
    name: str, text: str
) -> result.Result[messages.WorkerEntry, errors.BadEntry]:
    """Return the worker that an entry describes, or what is wrong with it.

    >>> entry_of("i-7f3a91c2", "{}")
    Err(BadEntry(fault=<Fault.UNREADABLE: 'unreadable'>))
    """
    try:
        found = codec.from_json(text, wire.Entry)
    except codec.DecodeError:
        return result.Err(errors.BadEntry(errors.Fault.UNREADABLE))
    fault = find_fault(name, found)
    if fault is not None:
        return result.Err(errors.BadEntry(fault))
    remaining = found.remaining_ms
    return result.Ok(
        messages.WorkerEntry(
            name=name,
            service=found.service,
            address=found.address,
            data_centre=found.zone,
            capacity=resources.Resources(
                cpus=found.capacity.cpu / wire.MILLICORES_PER_CORE,
                memory_gb=found.capacity.mem_mb / wire.MB_PER_GB,
                accelerators=found.capacity.gpu,
            ),
            labels=frozenset(found.labels),
            draining=found.state == DRAINING,
            remaining=None if remaining is None else remaining / 1000,
            incarnation=found.born,
        )
    )


def find_fault(name: str, entry: wire.Entry) -> errors.Fault | None:
    """Return the first fault of an entry, or None if it has none."""
    if (
        not name.isascii()
        or not name.isprintable()
        or not 0 < len(name) <= MAX_NAME_LENGTH
    ):
        return errors.Fault.NAME
    if entry.state not in (READY, DRAINING):
        return errors.Fault.STATE
    if not is_valid_address(entry.address):
        return errors.Fault.ADDRESS
    if not is_valid_capacity(entry.capacity):
        return errors.Fault.CAPACITY
    if entry.remaining_ms is not None and not math.isfinite(entry.remaining_ms):
        return errors.Fault.UNREADABLE
    return None


def is_valid_address(text: str) -> bool:
    """Tell whether a text is an IPv4 address with a port, as `10.128.0.9:8080`."""
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit():
        return False
    try:
        ipaddress.IPv4Address(host)
        # `int` raises the same error for thousands of digits.
        return 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def is_valid_capacity(capacity: wire.Capacity) -> bool:
    """Tell whether a machine can have this capacity."""
    return (
        0 < capacity.cpu <= MAX_CORES * wire.MILLICORES_PER_CORE
        and 0 < capacity.mem_mb <= MAX_MEMORY_GB * wire.MB_PER_GB
        and 0 <= capacity.gpu <= MAX_ACCELERATORS
    )
