"""What kinds of work really need, learned from what workers measure.

Declared sizes are often wrong. Too small a one overloads a worker whose ledger
says that there is room, so the larger of declared and learned is reserved.
"""

import collections.abc as cabc

from mangosail import resources
from mangosail.telemetry import counters as telemetry

#: Share of the way to a larger measurement that one report moves a size.
RISE_RATE = 0.5
#: Share of the way to a smaller one; low, since a peak comes back.
FALL_RATE = 0.01


class Sizes:
    """Learned needs by kind.

    `capacities` returns what each listed worker can carry::

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
        """Take in what a worker measured of one running task of `kind`."""
        update_size(self.cpus, kind, measured.cpus)
        update_size(self.memory_gb, kind, measured.memory_gb)

    def fits_any(self, declared: resources.Resources) -> bool:
        """Tell whether a listed worker could ever carry `declared`.

        While no worker is listed nothing is known, and nothing is ruled out.
        """
        capacities = self.capacities()
        return not capacities or any(declared.fits_in(c) for c in capacities)

    def needs(self, kind: str, declared: resources.Resources) -> resources.Resources:
        """Return the larger of declared and learned, at most a whole worker."""
        learned = resources.Resources(
            cpus=self.cpus.get(kind, 0.0), memory_gb=self.memory_gb.get(kind, 0.0)
        )
        wanted = declared.largest(learned)
        roomy = [c for c in self.capacities() if declared.fits_in(c)]
        if not roomy or any(wanted.fits_in(c) for c in roomy):
            return wanted
        # A measurement above every worker must not make work that a worker is
        # seen to carry impossible to place; it gets a whole worker instead.
        self.counters.count("placement.size_capped")
        largest = max(roomy, key=lambda c: (c.memory_gb, c.cpus))
        return resources.Resources(
            min(wanted.cpus, largest.cpus),
            min(wanted.memory_gb, largest.memory_gb),
            declared.accelerators,
            declared.slots,
            declared.connections,
        )


def update_size(sizes: dict[str, float], kind: str, measured: float) -> None:
    """Move the size of `kind` towards `measured`: up fast, down slowly."""
    present = sizes.get(kind)
    if present is None:
        sizes[kind] = measured
        return
    step = RISE_RATE if measured > present else FALL_RATE
    sizes[kind] = present + step * (measured - present)
