"""Duration of a run, measured from the progress that its worker lists.

Workers update progress every half second, in whole percent. A new figure has appeared
between the poll that lists it and the one before, and is taken to have appeared midway.
A run that an earlier leader or a checkpoint started, or whose speed has changed, is
measured from its next figure on: the present one may be from before the change.
"""

import dataclasses
import enum

#: Progress in percent, and seconds, from which a duration is computed: less is mostly
#: rounding and the delay of the figures.
MIN_PROGRESS_PERCENT = 10
MIN_INTERVAL_S = 0.4
#: Seconds between a worker's updates of its figures.
UPDATE_INTERVAL_S = 0.5
#: Seconds after which a run without a new figure counts as slower: an update and a
#: long poll.
STALE_S = 1.2
MAX_PERCENT = 100
#: Seconds for which the outlook of a step is used, for each of its tasks, and bounds:
#: going through thousands of tasks at each use would more than double the time that
#: ordering takes.
OUTLOOK_TTL_PER_TASK_S = 0.0125
MIN_OUTLOOK_TTL_S = 0.1
MAX_OUTLOOK_TTL_S = UPDATE_INTERVAL_S


class Fault(enum.StrEnum):
    """Why listed progress can't be right."""

    OUT_OF_RANGE = "out_of_range"
    #: It is lower than progress that was listed before for the same run.
    DECREASING = "decreasing"


class Pace:
    """Progress of one run, and the duration that follows from it."""

    __slots__ = (
        "base_at",
        "base_percent",
        "changed_at",
        "checkpoint",
        "duration",
        "invalid_logged",
        "left",
        "percent",
        "run",
        "saved_at",
        "saved_percent",
        "seen_at",
        "throttled_at",
    )

    def __init__(
        self,
        run: int,
        began_at: float | None,
        percent: int,
        throttled_at: float,
        now: float,
    ) -> None:
        """Begin with a run that its worker lists for the first time.

        `began_at` is the elapsed time at which it began without any progress; None if
        that is not known. Then its first figure may be half a second old.
        """
        self.run = run
        #: Elapsed time and progress from which the speed is measured. While the time is
        #: None, the next figure sets both.
        self.base_at = began_at
        self.base_percent = 0
        #: Highest progress, and elapsed time at which it is taken to have appeared.
        self.percent = 0
        if began_at is None and self.fault(percent) is None:
            self.percent = percent
        self.changed_at = now if began_at is None else began_at
        #: Elapsed time of the last observation.
        self.seen_at = self.changed_at
        #: Seconds that the whole task takes at full speed; None if not known yet.
        self.duration: float | None = None
        #: Seconds of it that were left as of the last figure.
        self.left = 0.0
        #: Last change of the run's speed, as `Task.throttled_at`.
        self.throttled_at = throttled_at
        #: Last checkpoint, and progress and elapsed time at which it was first listed.
        self.checkpoint = ""
        self.saved_percent = 0
        self.saved_at = self.changed_at
        #: True once invalid progress of the run was logged.
        self.invalid_logged = False

    def fault(self, percent: int) -> Fault | None:
        """Return why a figure can't be right; None if it can."""
        if not 0 <= percent <= MAX_PERCENT:
            return Fault.OUT_OF_RANGE
        return Fault.DECREASING if percent < self.percent else None

    def observe(
        self, percent: int, speed_limit: int, throttled_at: float, now: float
    ) -> None:
        """Record a valid figure that a poll lists."""
        if throttled_at != self.throttled_at:
            self.throttled_at = throttled_at
            self.base_at = None
        since, self.seen_at = self.seen_at, now
        if percent == self.percent:
            return
        self.percent = percent
        self.changed_at = now - min(now - since, UPDATE_INTERVAL_S) / 2
        if self.base_at is None:
            self.base_at, self.base_percent = self.changed_at, percent
        gained = percent - self.base_percent
        seconds = self.changed_at - self.base_at
        if gained >= MIN_PROGRESS_PERCENT and seconds >= MIN_INTERVAL_S and speed_limit:
            self.duration = seconds * speed_limit / gained
        if self.duration is not None:
            self.left = self.duration * (MAX_PERCENT - percent) / MAX_PERCENT

    def record_checkpoint(self, checkpoint: str, now: float) -> None:
        """Record the checkpoint that a poll lists."""
        if checkpoint and checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self.saved_percent, self.saved_at = self.percent, now

    def expected_duration(self, speed_limit: int, now: float) -> float:
        """Return the seconds that the whole task takes at full speed; 0 if not known.

        The time for which an expected figure is overdue counts too, unless the run is
        paused.
        """
        if self.duration is None:
            return 0.0
        overdue = now - self.changed_at - STALE_S
        if overdue <= 0 or not self.percent:
            return self.duration
        return self.duration + overdue * speed_limit / self.percent

    def seconds_left(self, duration: float, speed_limit: int, now: float) -> float:
        """Return the seconds at full speed that a run of this duration has left."""
        left = duration * (MAX_PERCENT - self.percent) / MAX_PERCENT
        since = min(now - self.changed_at, STALE_S)
        return max(left - since * speed_limit / 100, 0.0)

    def unsaved_seconds(self, now: float) -> float:
        """Return the seconds of work since the last checkpoint."""
        if self.duration is None:
            return now - self.saved_at
        return self.duration * (self.percent - self.saved_percent) / MAX_PERCENT


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What the tasks of a step still take, as of `at`."""

    at: float
    #: Elapsed time until which it may be used.
    valid_until: float
    #: Number of runs whose time left decreases.
    running: int
    #: Expected seconds of a task that starts now.
    duration: float
    #: Seconds that the unfinished tasks have left: their sum, and the maximum.
    seconds_left: float
    longest_left: float

    def left_at(self, now: float) -> tuple[float, float]:
        """Return the sum and the maximum of the seconds left as of `now`."""
        if not self.running:
            return self.seconds_left, self.longest_left
        passed = now - self.at
        return (
            max(self.seconds_left - self.running * passed, 0.0),
            max(self.longest_left - passed, 0.0),
        )


def outlook_ttl(tasks: int) -> float:
    """Return the seconds for which the outlook of a step of so many tasks is used."""
    wanted = tasks * OUTLOOK_TTL_PER_TASK_S
    return min(max(wanted, MIN_OUTLOOK_TTL_S), MAX_OUTLOOK_TTL_S)
