import dataclasses
import random
import unittest.mock

import logbook
import result
from behave import given, then, when
from tests.scheduler import fakes
from tests.support import memory

from mangosail import codec, resources
from mangosail.intake import errors, job_service, overload
from mangosail.platform import errors as store_errors
from mangosail.platform import table
from mangosail.scheduler import backlog, journal, keys, messages, ordering
from mangosail.telemetry import counters

QUEUE = messages.Queue("q", "", "/", "pool", 0, 2, 3.0, stretch=1.5, target=0.25)
RENEWAL_S = 0.3
ID = "00000000000000aa"
NEED = resources.Resources(cpus=2.0, memory_gb=1)


@given("an instance that refuses late jobs, and a leader that renews its lease")
def instance(context):
    context.clock = memory.Clock()
    context.rows = fakes.Rows()
    context.counters = counters.StatsdCounters(None, 0)
    context.lease = journal.Lease("a", "1", 1)
    start(context)


def start(context):
    context.late_jobs = overload.LateJobs(
        context.rows, {"q": QUEUE}.get, context.clock, context.counters,
        random.Random(1),
    )  # fmt: skip
    context.service = job_service.JobService(
        context.rows, lambda: False, context.clock, context.counters, context.late_jobs
    )
    # The tests let the reader read at each half second.
    context.late_jobs.reader.reading = True
    context.read_at = context.renewed_at = context.clock.now


@given("an instance without the option")
def without_option(context):
    context.service = job_service.JobService(
        context.rows, lambda: False, context.clock, context.counters
    )
    context.late_jobs = None


@given("the leader publishes {work:d} core-seconds of {size} jobs for {cores:d} cores")
@when("the leader publishes {work:d} core-seconds of {size} jobs for {cores:d} cores")
def published(context, work, size, cores):
    each = 2.0 if size == "short" else 3000.0
    jobs = {
        str(number): ordering.RemainingWork(str(number), 0.0, each, each, 1.0)
        for number in range(round(work / each))
    }
    ranks = {name: rank for rank, name in enumerate(jobs)}
    plans = {0: ordering.Plan(ranks, 0 if size == "large" else len(jobs))}
    found = backlog.measure({0: jobs}, plans, cores) if jobs else backlog.Backlog()
    context.lease = dataclasses.replace(context.lease, backlog=backlog.encode(found))


def renew(context):
    context.lease = dataclasses.replace(
        context.lease, renewals=context.lease.renewals + 1
    )
    write = table.Write(keys.LEASE, journal.encode_lease(context.lease))
    context.rows._apply(table.Transaction((), (write,)))


def pass_time(context, seconds, renews=True, reads=True):
    until = context.clock.now + seconds
    while context.clock.now < until:
        context.clock.now += 0.05
        if renews and context.clock.now >= context.renewed_at + RENEWAL_S:
            context.renewed_at = context.clock.now
            renew(context)
        due = context.clock.now >= context.read_at + overload.READ_INTERVAL_S
        if reads and due and context.late_jobs:
            context.read_at = context.clock.now
            context.late_jobs.reader.read()


@when("jobs come in for {seconds:g} s")
def jobs_come(context, seconds):
    pass_time(context, seconds)


@when("the leader is gone for 3 s")
def leader_gone(context):
    pass_time(context, 3.0, renews=False)


@when("a new leader has taken the lease")
def new_leader(context):
    context.lease = journal.Lease("b", "2", 2)
    pass_time(context, 1.0)


@when("a leader of another build writes the row")
def other_build(context):
    known = dataclasses.asdict(context.lease)
    del known["backlog"]
    put_raw(context, codec.to_json({**known, "unknown": 1}))


@when("the row can't be decoded")
def undecodable(context):
    put_raw(context, "{")


@when("the row is of another version")
def other_version(context):
    context.lease = dataclasses.replace(context.lease, backlog='{"version":2}')
    pass_time(context, 1.0)


@when("the row has no figures")
def no_figures(context):
    context.lease = dataclasses.replace(context.lease, backlog="")
    pass_time(context, 1.0)


def put_raw(context, text):
    write = table.Write(keys.LEASE, text)
    context.rows._apply(table.Transaction((), (write,)))
    pass_time(context, 0.6, renews=False)


@when("the instance has been restarted")
def restarted(context):
    start(context)
    pass_time(context, 2.0)


@when("the store did not answer the last read")
def unanswered(context):
    context.rows.fault = "down"
    pass_time(context, 0.6, renews=False)
    context.rows.fault = ""


@when("no job has come for a minute")
def pause(context):
    pass_time(context, 60.0, reads=False)
    context.late_jobs.reader.read()


@when("its row can't be read")
def no_read(context):
    context.rows.read = lambda wanted: result.Err(store_errors.Unavailable("down"))


@when("an earlier attempt has an unknown outcome")
def undecided(context):
    context.rows.fault = "late"
    with unittest.mock.patch.object(context.late_jobs.reader, "current", lambda: None):
        done = context.service.submit(job(ID, fakes.step(2, NEED)))
    assert isinstance(done.err_value, errors.Undecided), done
    context.rows.fault = ""
    pass_time(context, 8.0)


def job(job_id, *steps, **facts):
    return fakes.job(job_id, *steps, **facts)


@when("a job of {count:d} tasks of {seconds:g} s is handed in")
def hand_in(context, count, seconds):
    submit(
        context, job(ID, dataclasses.replace(fakes.step(count, NEED), estimate=seconds))
    )


@when("a job of 2 {kind} tasks is handed in")
def hand_in_special(context, kind):
    step = dataclasses.replace(
        fakes.step(2, NEED, continuous=kind == "continuous"),
        estimate=0.0 if kind == "undeclared" else 1.0,
    )
    due = context.clock.now + 60 if kind == "scheduled" else 0.0
    submit(context, job(ID, step, first_due=due))


@when("a job of 2 tasks of no queue is handed in")
def hand_in_elsewhere(context):
    elsewhere = dataclasses.replace(job(ID, fakes.step(2, NEED)), queue="gone")
    submit(context, elsewhere)


@when("that job is handed in again")
def hand_in_again(context):
    submit(context, job(ID, fakes.step(2, NEED)))


@when("{count:d} jobs of 2 tasks of 1 s are handed in")
def hand_in_many(context, count):
    with logbook.TestHandler() as context.logged:
        context.answers = [
            context.service.submit(job(f"{number:016x}", fakes.step(2, NEED)))
            for number in range(count)
        ]


def submit(context, submitted):
    context.answers = [context.service.submit(submitted)]


@then("it is accepted")
def accepted(context):
    assert isinstance(context.answers[0], result.Ok), context.answers


@then("it is refused")
def refused(context):
    (answer,) = context.answers
    assert answer.err_value.reason == "overloaded", answer
    assert keys.job(ID) not in context.rows.kept


@then("it is not refused, and {counter} is counted")
def not_refused(context, counter):
    (answer,) = context.answers
    assert not isinstance(getattr(answer, "err_value", None), errors.Refused), answer
    assert context.counters.snapshot()[counter] == 1


@then("the store holds it once")
def held_once(context):
    assert keys.job(ID) in context.rows.kept
    assert context.counters.snapshot()["overload.spared.repeated"] == 1


@then(
    "all are told to retry after {least:g} to {most:g} s, at {count:d} different times "
    "or more"
)
def told(context, least, most, count):
    times = [answer.err_value.retry_after for answer in context.answers]
    assert least <= min(times) <= max(times) <= most, (min(times), max(times))
    assert len(set(times)) >= count, times


@then("one line tells the figures of each, and one is counted")
def logged(context):
    wanted = "job refused as too late"
    lines = [each for each in context.logged.records if each.message == wanted]
    assert len(lines) == len(context.answers)
    assert context.counters.snapshot()["overload.refused"] == len(lines)
