"""Workers ranked by score, for tasks that are placed one after the other.

Only the worker that was chosen gets another score, so the best one is not searched for
among all workers each time::

    ranked = Ranking({first: 3.0, second: 5.0, third: None})
    ranked.best()          # second
    ranked.rank(second, 1.0)
    ranked.best()          # first
"""

import collections.abc as cabc
import heapq

from mangosail.scheduler import fleet

#: Cores that it costs a task to go where its last run failed.
AVOID_PENALTY = 5000.0


class Ranking:
    """The workers that fit, which have a score, by that; of equals the first given."""

    def __init__(self, scores: cabc.Mapping[fleet.Worker, float | None]) -> None:
        self.scores = dict(scores)
        self.workers = list(scores)
        self.positions = {worker: place for place, worker in enumerate(self.workers)}
        #: Negative score and place of each worker that fits, and of some by scores
        #: that they no longer have.
        self.heap = [
            (-score, place)
            for place, score in enumerate(scores.values())
            if score is not None
        ]
        heapq.heapify(self.heap)

    def rank(self, worker: fleet.Worker, score: float | None) -> None:
        """Give a worker another score; None if it does not fit any more."""
        self.scores[worker] = score
        if score is not None:
            heapq.heappush(self.heap, (-score, self.positions[worker]))

    def best(self, avoid: str = "") -> fleet.Worker | None:
        """Return the worker with the highest score, that to `avoid` only if alone."""
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
        """Return what is lower for the better of two workers."""
        score = self.scores[worker] or 0.0
        if worker.name == avoid:
            score -= AVOID_PENALTY
        return -score, self.positions[worker]

    def _top(self) -> fleet.Worker | None:
        """Return the worker with the highest score; drop scores it no longer has."""
        while self.heap:
            negative, place = self.heap[0]
            worker = self.workers[place]
            if self.scores[worker] == -negative:
                return worker
            heapq.heappop(self.heap)
        return None
