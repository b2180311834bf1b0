"""Selection of the workers that a leader polls if it can't poll all of them.

Polling each worker every second, with the connections that this takes, is the largest
duty of a leader and grows with the fleet. A leader that polled 3,000 workers renewed
its lease too late and lost it to another instance, which polled as many: the leader
changed every two seconds, leases of workers expired, and accepted jobs did not run. So
a leader polls as many workers as it can handle, and the others get no tasks until there
is capacity for them::

    limit = worker_limit.max_workers(cores=2.0, connections=2400)
    selected = worker_limit.select(entries, limit)
"""

import collections
import collections.abc as cabc

from mangosail.scheduler import messages

#: Workers that a leader polls for each of its cores.
WORKERS_PER_CORE = 400
#: Workers that any leader polls: one with a small part of a core is soon replaced by a
#: faster one, and is the last one left if there is none.
MIN_WORKERS = 300

#: Common properties of workers that a task may ask for.
Group = tuple[str, str, frozenset[str]]


def max_workers(cores: float, connections: int) -> int:
    """Return how many workers a leader can poll.

    `connections` is the number of workers for which its connections suffice::

        >>> max_workers(2.0, 2400), max_workers(2.0, 1000), max_workers(0.3, 1000)
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
    """Return `count` entries, or all, from the groups with the fewest in turn.

    A task may ask for a label, and a whole group may fail at once: with some workers of
    each group there is always one for it. `already_polled` are those that the leader
    polls already.
    """
    counts = collections.Counter(group_of(entry) for entry in already_polled)
    ranked = []
    for entry in sorted(entries, key=lambda entry: (entry.draining, entry.name)):
        group = group_of(entry)
        ranked.append((entry.draining, counts[group], entry.name, entry))
        counts[group] += 1
    return [entry for *_, entry in sorted(ranked)[: max(count, 0)]]
