"""Generates the fault schedule of a run from its seed, before the run starts."""

import dataclasses
import random

#: Kind of fault -> shortest and longest duration in seconds, by kind of target.
INSTANCE = {
    "kill": (0.5, 2.0),
    "freeze": (1.0, 8.0),
    "cut": (2.0, 12.0),
    "stop": (1, 1),
}
WORKER = {
    "kill_worker": (0.5, 4.0),
    "fail_all": (2.0, 8.0),
    "black_hole": (2.0, 10.0),
    "lose_starts": (2.0, 8.0),
    "slow": (2.0, 8.0),
    "leaving": (1, 1),
}
PLATFORM = {
    "table_down": (2.0, 12.0),
    "table_slow": (2.0, 8.0),
    "lose_answers": (2.0, 8.0),
    "objects_down": (2.0, 10.0),
}
DATA_CENTRE = {"cut_data_centre": (3.0, 12.0)}
KINDS = {**INSTANCE, **WORKER, **PLATFORM, **DATA_CENTRE}
#: Mean interval between the starts of two faults.
MEAN_GAP_S = 3.0
#: Period without faults at the start of a run.
QUIET_START_S = 2.0


@dataclasses.dataclass(frozen=True)
class Fault:
    at: float
    seconds: float
    kind: str
    target: str


def draw(seed, seconds, instances, workers, data_centres, kinds, gap=MEAN_GAP_S):
    """Return the faults of a run of `seconds`, ordered by time.

    Faults of different targets may overlap; each target has one fault at a time.
    """
    targets = {
        **dict.fromkeys(INSTANCE, instances),
        **dict.fromkeys(WORKER, workers),
        **{kind: (f"platform:{kind}",) for kind in PLATFORM},
        **dict.fromkeys(DATA_CENTRE, data_centres),
    }
    table = [(kind, targets[kind], KINDS[kind]) for kind in kinds]
    return draw_from(seed, seconds, table, gap)


def draw_from(seed, seconds, table, gap=MEAN_GAP_S):
    """Return faults drawn from rows of kind, targets and range of durations."""
    chance = random.Random(f"schedule/{seed}")
    faults, busy = [], {}
    at = QUIET_START_S
    while table:
        at += chance.expovariate(1 / gap)
        if at >= seconds:
            break
        kind, targets, durations = chance.choice(table)
        target = chance.choice(targets) if len(targets) > 1 else targets[0]
        duration = chance.uniform(*durations)
        if busy.get(target, 0.0) > at:
            continue
        # Leaves a killed process time to restart before its next fault.
        busy[target] = at + duration + 4.0
        if kind == "leaving":
            busy[target] = float("inf")
        faults.append(Fault(at, min(duration, seconds - at), kind, target))
    return faults
