"""Assignment of workers to instances, which all instances compute identically."""

import collections.abc as cabc
import hashlib
import math


def score(worker: str, instance: str) -> int:
    """Return the rendezvous hashing score of the pair."""
    digest = hashlib.blake2b(f"{worker}|{instance}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def assign(
    workers: cabc.Iterable[str], instances: cabc.Iterable[str]
) -> dict[str, str]:
    """Return each worker's instance: the one with the best score that has space left.

    No instance gets more than an equal share, rounded up::

        >>> assign(["w1"], ["a"])
        {'w1': 'a'}
    """
    names = sorted(workers)
    holders = sorted(instances)
    if not holders:
        return {}
    free_slots = dict.fromkeys(holders, math.ceil(len(names) / len(holders)))
    assigned: dict[str, str] = {}
    for worker in names:
        candidates = [holder for holder in holders if free_slots[holder] > 0]
        best = max(candidates, key=lambda holder: score(worker, holder))
        free_slots[best] -= 1
        assigned[worker] = best
    return assigned
