"""How much each kind of batch task adds to the tail of quotes beside it.

Learned from what throttling did: the fall of the tail over the share that was
taken away. Kinds nobody has throttled yet are guessed from their processors.
"""

#: Guessed addition to the tail of one task for each core it declares.
DEFAULT_IMPACT_PER_CPU = 0.02
#: Addition to the tail below which a kind counts as harmless.
HARMLESS_BELOW = 0.03
#: Weight of the newest observation.
SMOOTHING_WEIGHT = 0.5


class TailImpact:
    """Addition to the tail, in multiples of the target, of a task at full share."""

    def __init__(self) -> None:
        self.learned: dict[str, float] = {}

    def harmless_kinds(self) -> set[str]:
        """Return the kinds that throttling has shown to slow no quotes."""
        return {kind for kind, added in self.learned.items() if added < HARMLESS_BELOW}

    def is_known(self, kind: str) -> bool:
        """Tell whether throttling has shown anything of `kind`."""
        return kind in self.learned

    def impact_of(self, kind: str, cpus: float) -> float:
        """Return what one task of `kind` adds."""
        return self.learned.get(kind, DEFAULT_IMPACT_PER_CPU * cpus)

    def learn(self, kind: str, before: float, after: float, shares: float) -> None:
        """Take in that the tail moved when `shares` in all were taken away.

        Shares given back are negative. What moved the wrong way was something
        else's doing and counts as no effect.
        """
        effect = max((before - after) / shares, 0.0)
        known = self.learned.get(kind)
        if known is None:
            self.learned[kind] = effect
            return
        self.learned[kind] = SMOOTHING_WEIGHT * effect + (1 - SMOOTHING_WEIGHT) * known
