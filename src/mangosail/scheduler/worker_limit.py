"""Which of the listed workers a leader attends to, where it can't attend to all.

A look at each worker in each second, with its connections, is the largest duty of a
leader and grows with the fleet. One that took on 3,000 workers renewed its lease too
late and lost it to another, which took on as many: leaders changed each two seconds,
leases of workers ran out, and what was accepted ran nowhere. So a leader takes on
what it can carry, and the others get nothing until there is room for them::

    most = reach.bound(cores=2.0, connections=2400)
    chosen = reach.choose(entries, most)
"""

import collections
import collections.abc as cabc

from mangosail.scheduler import messages

#: Workers that a leader attends to for each core that it has.
WORKERS_PER_CORE = 400
#: Workers that any leader attends to: one with a small part of a core is soon replaced
#: by a faster one, and is the last one left where there is none.
MIN_WORKERS = 300

#: What workers have in common that a task may ask for.
Group = tuple[str, str, frozenset[str]]


def max_workers(cores: float, connections: int) -> int:
    """Return how many workers a leader can attend to.

    `connections` is how many workers its connections are enough for::

        >>> bound(2.0, 2400), bound(2.0, 1000), bound(0.3, 1000)
        (800, 800, 300)
    """
    return min(max(int(cores * WORKERS_PER_CORE), MIN_WORKERS), connections)


def group_of(entry: messages.WorkerEntry) -> Group:
    """Return the pool, data centre and labels of a worker."""
    return entry.service, entry.data_centre, entry.labels


def select(
    entries: cabc.Iterable[messages.WorkerEntry],
    count: int,
    already_polled: cabc.Iterable[messages.WorkerEntry] = (),
) -> list[messages.WorkerEntry]:
    """Return `count` entries, or all, of the groups with the fewest in turn.

    A task may ask for a label, and a whole group may be lost at once: with some of each
    there is always a place. `attended` are those that the leader has already.
    """
    counts = collections.Counter(group_of(entry) for entry in already_polled)
    ranked = []
    for entry in sorted(entries, key=lambda entry: (entry.draining, entry.name)):
        group = group_of(entry)
        ranked.append((entry.draining, counts[group], entry.name, entry))
        counts[group] += 1
    return [entry for *_, entry in sorted(ranked)[: max(count, 0)]]
