"""Impact of each kind of batch task on the tail latency of co-located quotes.

The impact is learned from the effect of throttling: the decrease of the tail divided
by the share that was taken away. For kinds that have not been throttled yet, it is
estimated from the processors that they declare.
"""

#: Estimated impact of a task of an unknown kind, per declared core.
DEFAULT_IMPACT_PER_CPU = 0.02
#: Impact below which a kind counts as harmless.
HARMLESS_BELOW = 0.03
#: Weight of a new observation in the moving average.
SMOOTHING_WEIGHT = 0.5


class TailImpact:
    """Impact of one unthrottled task on the tail, in multiples of the target."""

    def __init__(self) -> None:
        self.learned: dict[str, float] = {}

    def harmless_kinds(self) -> set[str]:
        """Return the kinds found by throttling not to slow down quotes."""
        return {
            kind for kind, impact in self.learned.items() if impact < HARMLESS_BELOW
        }

    def is_known(self, kind: str) -> bool:
        """Return whether the impact of `kind` has been learned from throttling."""
        return kind in self.learned

    def impact_of(self, kind: str, cpus: float) -> float:
        """Return the impact of one task of `kind`."""
        return self.learned.get(kind, DEFAULT_IMPACT_PER_CPU * cpus)

    def learn(self, kind: str, before: float, after: float, shares: float) -> None:
        """Update the impact of `kind` after `shares` in total were taken away.

        Shares that were given back are negative. If the tail moved in the opposite
        direction, something else caused it, and the effect counts as zero.
        """
        effect = max((before - after) / shares, 0.0)
        known = self.learned.get(kind)
        if known is None:
            self.learned[kind] = effect
            return
        self.learned[kind] = SMOOTHING_WEIGHT * effect + (1 - SMOOTHING_WEIGHT) * known
