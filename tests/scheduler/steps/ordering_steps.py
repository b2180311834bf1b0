import dataclasses
import math
import random

from behave import given, then, when

from mangosail.scheduler import ordering

CORES = 40
STEP = 0.05
STRETCH = 2.0
TARGET = 1.0
SEEDS = range(5)
MORE_SEEDS = range(12)
#: Mean core-seconds of a job; with `CORES` this gives the rate at which jobs can be
#: done.
MEAN_WORK = 49.0


@dataclasses.dataclass
class Job:
    """A simulated job of equal tasks of one core."""

    name: str
    arrived: float
    seconds: float
    estimated: float
    count: int
    waiting: int
    running: list
    ended: float = math.inf

    @property
    def due(self):
        return self.arrived + STRETCH * self.seconds + TARGET


def arrivals(rand, times, burst):
    """Draw jobs: `times` what can be done during the burst, half of that after."""
    now, jobs = 0.0, []
    while now < burst + 15:
        rate = (times if now < burst else 0.5) * CORES / MEAN_WORK
        now += rand.expovariate(rate)
        seconds = rand.lognormvariate(math.log(1.5), 0.5)
        count = max(1, round(rand.lognormvariate(math.log(22), 0.6)))
        estimated = seconds * rand.lognormvariate(0, 0.7)
        jobs.append(Job(f"j{len(jobs):03d}", now, seconds, estimated, count, count, []))
    return jobs


def replay(jobs, ranks):
    """Start tasks on free cores in the order that `ranks` gives, until all end."""
    now, active, coming = 0.0, [], list(jobs)
    while coming or active:
        while coming and coming[0].arrived <= now:
            active.append(coming.pop(0))
        for job in active:
            job.running = [end for end in job.running if end > now]
            if not job.waiting and not job.running:
                job.ended = now
        active = [job for job in active if job.ended == math.inf]
        free = CORES - sum(len(job.running) for job in active)
        order = ranks(active, now)
        for job in sorted(active, key=lambda job: order.get(job.name, 0)):
            started = min(free, job.waiting)
            free -= started
            job.waiting -= started
            job.running += [now + job.seconds] * started
        now += STEP
    return jobs


def by_arrival(active, now):
    return {job.name: job.arrived for job in active}


def as_planned(active, now):
    works = [
        ordering.RemainingWork(
            job.name,
            job.arrived + STRETCH * job.estimated + TARGET,
            job.count * job.estimated,
            (job.waiting + len(job.running)) * job.estimated,
            job.estimated if job.waiting else job.estimated / 2,
        )
        for job in active
    ]
    return ordering.plan(works, CORES, now).ranks


@given("jobs that come {times:g} times as fast as they can be done for {seconds:g} s")
def given_load(context, times, seconds):
    context.load = lambda seed: arrivals(random.Random(seed), times, seconds)


@when("they are done in order of arrival, and as planned")
def run_both(context):
    context.plain = [replay(context.load(seed), by_arrival) for seed in SEEDS]
    context.planned = [replay(context.load(seed), as_planned) for seed in SEEDS]


def in_time(jobs):
    return sum(job.ended <= job.due + STEP for job in jobs)


def counts(context):
    return [
        (in_time(plain), in_time(planned))
        for plain, planned in zip(context.plain, context.planned, strict=True)
    ]


@then("as planned at least {gain:g} times as many end in time over 5 seeds")
def more_in_time(context, gain):
    plain, planned = (sum(column) for column in zip(*counts(context), strict=True))
    assert planned >= gain * plain, (plain, planned)


@then("as planned no fewer end in time on any seed")
def no_fewer(context):
    assert all(planned >= plain for plain, planned in counts(context)), counts(context)


@then("all jobs end")
def all_end(context):
    assert all(job.ended < math.inf for jobs in context.planned for job in jobs)


@given("jobs due in 4 s with 10, 12 and 30 core-seconds left")
def three_jobs(context):
    context.works = [
        ordering.RemainingWork(str(left), 4.0, float(left), float(left), 1.0)
        for left in (30, 12, 10)
    ]


@when("they are planned for {cores:d} cores")
def planned_for(context, cores):
    context.plan = ordering.plan(context.works, cores, 0.0)


@then("{count:d} can end in time, and the largest goes last")
def planned_count(context, count):
    assert context.plan.in_time == count, context.plan
    assert context.plan.ranks == {"10": 0, "12": 1, "30": 2}, context.plan


def by_least_work(active, now):
    """Select by Moore and Hodgson, dropping the job with the most work left."""
    selected, dropped, total = [], [], 0.0
    for job in sorted(active, key=lambda job: job.arrived + STRETCH * job.estimated):
        due = job.arrived + STRETCH * job.estimated + TARGET
        left = (job.waiting + len(job.running)) * job.estimated
        path = job.estimated if job.waiting else job.estimated / 2
        if now + path > due:
            dropped.append((left, job.name))
            continue
        selected.append((left, job.name))
        total += left
        if now + total / CORES > due:
            largest = max(selected)
            selected.remove(largest)
            total -= largest[0]
            dropped.append(largest)
    names = [name for _, name in sorted(selected) + sorted(dropped)]
    return {name: rank for rank, name in enumerate(names)}


@when("they are done by the least work left, and as planned")
def run_least_work(context):
    context.plain = [replay(context.load(s), by_least_work) for s in MORE_SEEDS]
    context.planned = [replay(context.load(s), as_planned) for s in MORE_SEEDS]


def value_in_time(jobs):
    """Return the value of the jobs in time, in jobs of mean size."""
    mean = sum(job.count * job.seconds for job in jobs) / len(jobs)
    return sum(
        0.3 + 0.7 * job.count * job.seconds / mean
        for job in jobs
        if job.ended <= job.due + STEP
    )


@then("as planned what ends in time is worth {gain:g} times as much over 12 seeds")
def more_value(context, gain):
    plain = sum(value_in_time(jobs) for jobs in context.plain)
    planned = sum(value_in_time(jobs) for jobs in context.planned)
    assert planned >= gain * plain, (plain, planned)


@then("as planned at least {gain:g} times as many end in time over 12 seeds")
def as_many(context, gain):
    more_in_time(context, gain)


@given(
    "a job of {total:d} core-seconds due in 4 s with {left:d} left, and {count:d} jobs "
    "of {small:d} due in 4 s"
)
def nearly_done(context, total, left, count, small):
    context.works = [
        ordering.RemainingWork(f"small-{n}", 4.0, float(small), float(small), 1.0)
        for n in range(count)
    ]
    large = ordering.RemainingWork("large", 4.0, float(total), float(left), 1.0)
    context.works.append(large)


@then("the large one can end in time, and goes first")
def large_first(context):
    assert context.plan.ranks["large"] == 0, context.plan
    assert 0 < context.plan.in_time < len(context.works), context.plan
