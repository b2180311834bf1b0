"""Resource needs by kind of work, learned from the measurements of workers.

Declared sizes are often wrong. If a declared size is too small, a worker becomes
overloaded although its ledger shows free capacity. Therefore the larger of the
declared and the learned size is reserved.
"""

import collections.abc as cabc

from mangosail import resources
from mangosail.telemetry import counters as telemetry

#: Smoothing factor for a measurement above the learned size.
RISE_RATE = 0.5
#: Smoothing factor for a measurement below it; low, because peaks recur.
FALL_RATE = 0.01


class Sizes:
    """Learned needs by kind.

    `capacities` returns the capacity of each listed worker::

        sizes.learn("team/batch.scan", measured)
        sizes.needs("team/batch.scan", declared)
    """

    def __init__(
        self,
        capacities: cabc.Callable[[], list[resources.Resources]],
        counters: telemetry.Counters,
    ) -> None:
        self.capacities = capacities
        self.counters = counters
        self.cpus: dict[str, float] = {}
        self.memory_gb: dict[str, float] = {}

    def learn(self, kind: str, measured: resources.Resources) -> None:
        """Update the learned size from a measurement of one task of `kind`."""
        update_size(self.cpus, kind, measured.cpus)
        update_size(self.memory_gb, kind, measured.memory_gb)

    def fits_any(self, declared: resources.Resources) -> bool:
        """Return whether `declared` fits in the capacity of any listed worker.

        While no worker is listed, the capacities are unknown and the result is True.
        """
        capacities = self.capacities()
        return not capacities or any(declared.fits_in(c) for c in capacities)

    def count_fitting(self, declared: resources.Resources) -> int:
        """Return the number of listed workers whose capacity `declared` fits in."""
        return sum(declared.fits_in(capacity) for capacity in self.capacities())

    def needs(self, kind: str, declared: resources.Resources) -> resources.Resources:
        """Return the larger of declared and learned, up to a whole worker."""
        learned = resources.Resources(
            cpus=self.cpus.get(kind, 0.0), memory_gb=self.memory_gb.get(kind, 0.0)
        )
        wanted = declared.largest(learned)
        large_enough = [c for c in self.capacities() if declared.fits_in(c)]
        if not large_enough or any(wanted.fits_in(c) for c in large_enough):
            return wanted
        # A measurement larger than every worker must not make work unplaceable that
        # a worker demonstrably runs; it is capped at a whole worker instead.
        self.counters.count("placement.size_capped")
        largest = max(large_enough, key=lambda c: (c.memory_gb, c.cpus))
        return resources.Resources(
            min(wanted.cpus, largest.cpus),
            min(wanted.memory_gb, largest.memory_gb),
            declared.accelerators,
            declared.slots,
            declared.connections,
        )


def update_size(sizes: dict[str, float], kind: str, measured: float) -> None:
    """Move the size of `kind` towards `measured`, fast upwards and slowly downwards."""
    current = sizes.get(kind)
    if current is None:
        sizes[kind] = measured
        return
    step = RISE_RATE if measured > current else FALL_RATE
    sizes[kind] = current + step * (measured - current)
