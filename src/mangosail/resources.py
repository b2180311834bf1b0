"""Resource amounts: what a worker has, and what a task needs."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """CPU cores, memory in GB, and numbers of accelerators, slots and connections.

    Amounts can be added and subtracted::

        >>> Resources(cpus=2) + Resources(cpus=1, slots=1)
        Resources(cpus=3.0, memory_gb=0.0, accelerators=0, slots=1, connections=0)
    """

    cpus: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpus + other.cpus,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
            self.connections + other.connections,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpus - other.cpus,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.connections - other.connections,
        )

    def fits_in(self, other: "Resources") -> bool:
        """Return whether `other` has at least this much of every resource."""
        return (
            self.cpus <= other.cpus + 1e-9
            and self.memory_gb <= other.memory_gb + 1e-9
            and self.accelerators <= other.accelerators
            and self.slots <= other.slots
            and self.connections <= other.connections
        )

    def halved(self) -> "Resources":
        """Return half of every resource, with counts rounded down."""
        return Resources(
            self.cpus / 2,
            self.memory_gb / 2,
            self.accelerators // 2,
            self.slots // 2,
            self.connections // 2,
        )

    def largest(self, other: "Resources") -> "Resources":
        """Return the element-wise maximum of the two."""
        return Resources(
            max(self.cpus, other.cpus),
            max(self.memory_gb, other.memory_gb),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
            max(self.connections, other.connections),
        )
