"""Time after which the answer of a worker is overdue, learned from those that came.

This handles a leader that has too much to do: it reads answers late, all workers alike.
With a fixed time-out it took them for lost, polled each worker again and stopped the
runs, which had to be started once more; so it stayed overloaded for good, while most
tasks waited beside unused workers::

    timeout = AnswerTimeout(least=0.25, most=1.0)
    timeout.record(0.2)
    timeout.seconds
"""

#: Weight of an answer that took longer than the learned time, and of one that did not.
#: The learned time is that of slow answers, and rises within a few of them.
RISE_WEIGHT = 0.2
FALL_WEIGHT = 0.02
#: An answer is overdue after this multiple of the learned time.
OVERDUE_FACTOR = 3.0


class AnswerTimeout:
    """Learns how long workers' answers take at present, in seconds."""

    def __init__(self, least: float, most: float) -> None:
        self.least = least
        self.most = most
        #: Seconds that slow answers take.
        self.learned = 0.0

    def record(self, seconds: float) -> None:
        """Record how long an answer took."""
        weight = RISE_WEIGHT if seconds > self.learned else FALL_WEIGHT
        self.learned += weight * (seconds - self.learned)

    @property
    def seconds(self) -> float:
        """Return the seconds after which an answer is overdue."""
        return min(max(OVERDUE_FACTOR * self.learned, self.least), self.most)
