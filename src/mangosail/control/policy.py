"""How hard the control loop acts, from what a team weighs most."""

import collections.abc as cabc
import dataclasses

from mangosail.settings import schema


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Limits of the control loop; tails are multiples of the target.

    Between `act_above` and `relax_below` nothing is done, so that the loop does
    not swing between throttling and letting go.
    """

    act_above: float
    relax_below: float
    #: Least share of its processors that a throttled task keeps.
    min_share: float
    #: Share that a first step takes from tasks of which nothing is known yet.
    first_step: float
    #: Seconds for which throttled tasks are borne before one is evicted.
    evict_after: float
    #: Seconds of calm before a throttled kind is let go a step.
    relax_after: float


#: Evictions cost little: throttle gently, and soon move a task elsewhere.
THROUGHPUT_BEFORE_EVICTIONS = Policy(1.0, 0.85, 0.2, 0.5, 3.0, 1.0)
#: Evictions cost much: throttle as hard and as long as it helps.
EVICTIONS_BEFORE_THROUGHPUT = Policy(1.0, 0.85, 0.05, 0.6, 12.0, 2.0)


def for_aims(aims: cabc.Sequence[schema.Aim]) -> Policy:
    """Return the policy for aims in the order of their weight::

    of([Aim.TAIL, Aim.EVICTIONS, Aim.THROUGHPUT])  # the Fuel Desk
    """
    rank = {aim: place for place, aim in enumerate(aims)}
    policy = EVICTIONS_BEFORE_THROUGHPUT
    if rank[schema.Aim.THROUGHPUT] < rank[schema.Aim.EVICTIONS]:
        policy = THROUGHPUT_BEFORE_EVICTIONS
    if rank[schema.Aim.TAIL] == 0:
        return policy
    # Something weighs more than the tail, which may then be a little longer.
    return dataclasses.replace(policy, act_above=1.25, relax_below=1.1)
