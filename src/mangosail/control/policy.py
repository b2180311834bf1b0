"""Limits of the control loop, derived from the weights of a team."""

import collections.abc as cabc
import dataclasses

from mangosail.settings import schema


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Limits of the control loop; tails are multiples of the target.

    Between `relax_below` and `act_above` nothing is done. This hysteresis keeps the
    loop from oscillating between throttling and relaxing.
    """

    act_above: float
    relax_below: float
    #: Smallest share of its processors that a throttled task keeps.
    min_share: float
    #: Share taken by the first step from a kind with unknown impact.
    first_step: float
    #: Seconds over the target after which a task is evicted.
    evict_after: float
    #: Seconds below the target before a throttled kind is relaxed by one step.
    relax_after: float


#: Evictions are cheap: throttle moderately and evict early.
THROUGHPUT_BEFORE_EVICTIONS = Policy(1.0, 0.85, 0.2, 0.5, 3.0, 1.0)
#: Evictions are expensive: throttle hard and for a long time before evicting.
EVICTIONS_BEFORE_THROUGHPUT = Policy(1.0, 0.85, 0.05, 0.6, 12.0, 2.0)


def for_aims(aims: cabc.Sequence[schema.Aim]) -> Policy:
    """Return the policy for aims in descending order of weight::

    for_aims([Aim.TAIL, Aim.EVICTIONS, Aim.THROUGHPUT])  # the Fuel Desk
    """
    rank = {aim: index for index, aim in enumerate(aims)}
    policy = EVICTIONS_BEFORE_THROUGHPUT
    if rank[schema.Aim.THROUGHPUT] < rank[schema.Aim.EVICTIONS]:
        policy = THROUGHPUT_BEFORE_EVICTIONS
    if rank[schema.Aim.TAIL] == 0:
        return policy
    # Another aim has a higher weight than the tail, so a longer tail is accepted.
    return dataclasses.replace(policy, act_above=1.25, relax_below=1.1)
