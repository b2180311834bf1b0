"""Workers ranked by score, for placing tasks one after the other.

Only the chosen worker gets another score, so a heap replaces the search through all
workers for each task::

    ranked = Ranking({first: 3.0, second: 5.0, third: None})
    ranked.best()          # second
    ranked.rank(second, 1.0)
    ranked.best()          # first
"""

import collections.abc as cabc
import heapq

from mangosail.scheduler import fleet

#: Penalty in cores for the worker on which a task's last run failed.
AVOID_PENALTY = 5000.0


class Ranking:
    """Workers that fit, by score; of equal ones the one given first is best."""

    def __init__(self, scores: cabc.Mapping[fleet.Worker, float | None]) -> None:
        self.scores = dict(scores)
        self.workers = list(scores)
        self.positions = {
            worker: position for position, worker in enumerate(self.workers)
        }
        #: Negative score and position of each worker that fits, and outdated entries.
        self.heap = [
            (-score, position)
            for position, score in enumerate(scores.values())
            if score is not None
        ]
        heapq.heapify(self.heap)

    def rank(self, worker: fleet.Worker, score: float | None) -> None:
        """Set the score of a worker; None if it no longer fits."""
        self.scores[worker] = score
        if score is not None:
            heapq.heappush(self.heap, (-score, self.positions[worker]))

    def best(self, avoid: str = "") -> fleet.Worker | None:
        """Return the worker with the highest score, with a penalty for `avoid`."""
        first = self._top()
        if first is None or first.name != avoid:
            return first
        score = self.scores[first] or 0.0
        self.rank(first, None)
        second = self._top()
        self.rank(first, score)
        if second is None:
            return first
        return min((first, second), key=lambda worker: self._sort_key(worker, avoid))

    def _sort_key(self, worker: fleet.Worker, avoid: str) -> tuple[float, int]:
        """Return a sort key that is lower for the better of two workers."""
        score = self.scores[worker] or 0.0
        if worker.name == avoid:
            score -= AVOID_PENALTY
        return -score, self.positions[worker]

    def _top(self) -> fleet.Worker | None:
        """Return the worker with the highest score; drop outdated entries."""
        while self.heap:
            negative, position = self.heap[0]
            worker = self.workers[position]
            if self.scores[worker] == -negative:
                return worker
            heapq.heappop(self.heap)
        return None
