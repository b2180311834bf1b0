"""Which instance should own which worker, computed alike by all."""

import collections.abc as cabc
import hashlib
import math


def score(worker: str, instance: str) -> int:
    """Return the rendezvous score of the pair."""
    digest = hashlib.blake2b(f"{worker}|{instance}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def assign(
    workers: cabc.Iterable[str], instances: cabc.Iterable[str]
) -> dict[str, str]:
    """Return each worker's instance: the best score that has room left.

    No instance gets more than its even share, rounded up::

        >>> assign(["w1"], ["a"])
        {'w1': 'a'}
    """
    names = sorted(workers)
    holders = sorted(instances)
    if not holders:
        return {}
    room = dict.fromkeys(holders, math.ceil(len(names) / len(holders)))
    assigned: dict[str, str] = {}
    for worker in names:
        open_to = [holder for holder in holders if room[holder] > 0]
        best = max(open_to, key=lambda holder: score(worker, holder))
        room[best] -= 1
        assigned[worker] = best
    return assigned
