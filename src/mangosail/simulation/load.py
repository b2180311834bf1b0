"""Loads as data: queues, jobs that come, bursts, and faults of workers."""

import dataclasses
import math
import random

from mangosail import resources
from mangosail.scheduler import messages

#: Pool of all simulated workers.
POOL = "pool"
#: Seconds from the loss of a leader until the next one has taken over.
LEADERLESS_S = 1.2
#: How many times as long the heavy jobs of a class take.
HEAVY_TIMES = 7.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """The jobs of one queue; sizes are log-normal with these means and spreads."""

    queue: messages.Queue
    #: Jobs a second, on average.
    rate: float
    steps: float
    tasks_per_step: float
    tasks_spread: float
    max_tasks: int
    cpus: float
    memory_gb: float
    #: Seconds that a task takes, and the spread between steps and within one.
    seconds: float
    seconds_spread: float
    unevenness: float
    #: Spread of the declared durations around the actual ones.
    estimate_error: float
    best_effort: bool = False
    checkpointing: float = 0.0
    continuous: bool = False
    #: Number of images, and target of their tail latency in milliseconds.
    images: int = 1
    latency_target: float = 0.0
    #: Share of jobs of which a worker takes one task of a step only.
    spread_out: float = 0.0
    #: Share of jobs that take `HEAVY_TIMES` as long as their like, and as declared.
    heavy_share: float = 0.0
    #: True if the tasks may run twice at the same time.
    copies_allowed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """More jobs of a queue than usual, or of all queues if it names none."""

    starts_at: float
    ends_at: float
    times: float
    queue: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFault:
    """A share of the workers that is `speed` times as fast; at 0 they are lost.

    If it names a data centre, the share is one of the workers there.
    """

    starts_at: float
    ends_at: float
    share: float
    speed: float
    data_centre: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutage:
    """Seconds between which the store is away; no job is handed in meanwhile."""

    starts_at: float
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Everything that happens to a deployment, but for chance."""

    classes: tuple[JobClass, ...]
    capacities: tuple[resources.Resources, ...]
    ends_at: float
    bursts: tuple[Burst, ...] = ()
    worker_faults: tuple[WorkerFault, ...] = ()
    #: Seconds at which the leader is lost; the next one leads `LEADERLESS_S` later.
    leader_losses: tuple[float, ...] = ()
    #: Seconds between a worker's updates of the progress that it lists; 0 for always.
    progress_interval: float = 0.0
    store_outages: tuple[StoreOutage, ...] = ()
    #: Share of all cores that continuous jobs reserve from the beginning.
    standing_share: float = 1.0
    #: Data centres, among which the workers are divided in turn.
    data_centres: tuple[str, ...] = ("dc",)

    def rate(self, job_class: JobClass, now: float) -> float:
        """Return the jobs of a class that come a second."""
        rate = job_class.rate
        for burst in self.bursts:
            if burst.starts_at <= now < burst.ends_at and burst.queue in (
                "",
                job_class.queue.name,
            ):
                rate *= burst.times
        return rate


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job, when it comes, and how long the tasks of each of its steps take."""

    at: float
    job: messages.Job
    seconds: tuple[tuple[float, ...], ...]

    @property
    def longest_chain(self) -> float:
        """Return the seconds that the job takes with all the room it can use."""
        return sum(max(step) for step in self.seconds)

    @property
    def core_seconds(self) -> float:
        """Return the work of the job."""
        return sum(
            step.need.cpus * sum(seconds)
            for step, seconds in zip(self.job.steps, self.seconds, strict=True)
        )


class Draw:
    """Draws the jobs of a load; the same seed gives the same jobs."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.rand = random.Random(seed)
        self.count = 0

    def arrivals(self) -> list[Arrival]:
        """Return the jobs that come, in order of time."""
        coming = []
        for job_class in self.load.classes:
            if job_class.continuous:
                continue
            now = 0.0
            while True:
                now += self.rand.expovariate(self.load.rate(job_class, now))
                if now >= self.load.ends_at:
                    break
                coming.append(self.arrival(job_class, now))
        return sorted(coming, key=lambda arrival: arrival.at)

    def standing(self) -> list[Arrival]:
        """Return the continuous jobs that are there from the beginning."""
        limit = self.load.standing_share * sum(c.cpus for c in self.load.capacities)
        standing = []
        for job_class in self.load.classes:
            while job_class.continuous and limit > 0:
                arrival = self.arrival(job_class, 0.0)
                limit -= sum(s.count * s.need.cpus for s in arrival.job.steps)
                if limit > 0:
                    standing.append(arrival)
        return standing

    def arrival(self, job_class: JobClass, at: float) -> Arrival:
        """Draw one job of a class."""
        self.count += 1
        cpus = self.lognormal(job_class.cpus, 0.3)
        steps, seconds = [], []
        image = f"{job_class.queue.name}-{self.rand.randrange(job_class.images)}"
        checkpointing = self.rand.random() < job_class.checkpointing
        spread_out = self.rand.random() < job_class.spread_out
        heavy = job_class.heavy_share and self.rand.random() < job_class.heavy_share
        times = HEAVY_TIMES if heavy else 1.0
        for number in range(max(1, round(self.lognormal(job_class.steps, 0.4)))):
            count = self.lognormal(job_class.tasks_per_step, job_class.tasks_spread)
            count = min(max(1, round(count)), job_class.max_tasks)
            mean = self.lognormal(job_class.seconds, job_class.seconds_spread)
            seconds.append(
                tuple(
                    times * mean * self.lognormal(1.0, job_class.unevenness)
                    for _ in range(count)
                )
            )
            steps.append(
                messages.Step(
                    count=count,
                    need=resources.Resources(cpus, job_class.memory_gb),
                    estimate=mean * self.lognormal(1.0, job_class.estimate_error),
                    after=(number - 1,) if number else (),
                    checkpointing=checkpointing,
                    most_per_worker=int(spread_out),
                    copies_allowed=job_class.copies_allowed,
                    continuous=job_class.continuous,
                    image=image,
                    latency_target=job_class.latency_target,
                    best_effort=job_class.best_effort,
                )
            )
        queue = job_class.queue
        job = messages.Job(
            job_id=f"{self.count:016x}",
            queue=queue.name,
            service=queue.service,
            spec="",
            steps=tuple(steps),
            accepted_at=at,
            priority=queue.priority,
            attempts=queue.attempts,
        )
        return Arrival(at, job, tuple(seconds))

    def lognormal(self, mean: float, spread: float) -> float:
        """Return a log-normal number with this mean."""
        return self.rand.lognormvariate(math.log(mean) - spread * spread / 2, spread)
