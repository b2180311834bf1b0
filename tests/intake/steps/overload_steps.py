import dataclasses
import random
import unittest.mock

import logbook
import result
from behave import given, then, when
from tests.scheduler import fakes
from tests.support import memory

from mangosail import codec
from mangosail.intake import errors, job_service, overload
from mangosail.platform import errors as store_errors
from mangosail.platform import table
from mangosail.scheduler import backlog, journal, keys, messages, ordering, sweeping
from mangosail.telemetry import counters

QUEUE = messages.Queue("q", "", "/", "pool", 0, 2, 3.0, stretch=1.5, target=0.25)
ID = "00000000000000aa"


@given("an instance that refuses late jobs, and a leader that renews its lease")
def instance(context):
    context.clock, context.rows = memory.Clock(), fakes.Rows()
    context.counters = counters.StatsdCounters(None, 0)
    context.lease = journal.Lease("a", "1", 1)
    start(context)


def start(context, refuses=True):
    context.late = overload.LateJobs(
        context.rows, {"q": QUEUE}.get, context.clock, context.counters,
        random.Random(1),
    )  # fmt: skip
    context.service = job_service.JobService(
        context.rows, lambda: False, context.clock, context.counters,
        context.late if refuses else None,
    )  # fmt: skip
    # The tests let the reader read at each half second.
    context.late.reader.reading = True


@given("the leader publishes {work:d} core-seconds of {size} jobs for {cores:d} cores")
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


def pass_time(context, seconds, renews=True, reads=True):
    """Let time pass, with a renewal every 0.25 s and a read every half second."""
    for number in range(round(seconds / 0.25)):
        context.clock.now += 0.25
        if renews:
            renewals = context.lease.renewals + 1
            context.lease = dataclasses.replace(context.lease, renewals=renewals)
            write(context, journal.encode_lease(context.lease))
        if reads and number % 2:
            context.late.reader.read()


def write(context, text):
    context.rows._apply(table.Transaction((), (table.Write(keys.LEASE, text),)))


@when("jobs come in for {seconds:g} s")
def jobs_come(context, seconds):
    pass_time(context, seconds)


@when("in doubt: {doubt}")
def in_doubt(context, doubt):
    DOUBTS[doubt](context)


def other_row(context, text):
    write(context, text)
    pass_time(context, 0.5, renews=False)


def replace_lease(context, lease):
    context.lease = lease
    pass_time(context, 1.0)


def earlier_build(context):
    fields = dataclasses.asdict(context.lease)
    del fields["backlog"]
    other_row(context, codec.to_json({**fields, "unknown": 1}))


def restart(context):
    start(context)
    pass_time(context, 2.0)


def lost_read(context):
    context.rows.fault = "down"
    pass_time(context, 0.5, renews=False)
    context.rows.fault = ""


def pause(context):
    pass_time(context, 60.0, reads=False)
    context.late.reader.read()


def unreadable(context):
    error = result.Err(store_errors.Unavailable("down"))
    context.rows.read = lambda wanted: error


def attempted(context, fault):
    """Hand the job in before there is a backlog, with a fault of the store."""
    context.rows.fault = fault
    with unittest.mock.patch.object(context.late.reader, "current", lambda: None):
        done = context.service.submit(job(2, ""))
    assert isinstance(done, result.Ok if not fault else result.Err), done
    context.rows.fault = ""
    context.counted = "repeated" if not fault else "undecided"


DOUBTS = {
    "the leader is gone for 3 s": lambda c: pass_time(c, 3.0, renews=False),
    "a new leader has taken the lease": lambda c: replace_lease(
        c, journal.Lease("b", "2", 2)
    ),
    "a leader of another build writes the row": earlier_build,
    "the row can't be decoded": lambda c: other_row(c, "{"),
    "the row is of another version": lambda c: replace_lease(
        c, dataclasses.replace(c.lease, backlog='{"version":2}')
    ),
    "the instance has been restarted": restart,
    "the store did not answer the last read": lost_read,
    "no job has come for a minute": pause,
    "the job's row can't be read": unreadable,
    "the outcome of an earlier attempt is not known": lambda c: attempted(c, "late"),
    "the job is stored already": lambda c: attempted(c, ""),
    "the instance is without the option": lambda c: start(c, refuses=False),
}


def job(count, kind, job_id=ID):
    step = fakes.step(count, continuous="continuous" in kind)
    step = dataclasses.replace(step, estimate=0.0 if "undeclared" in kind else 1.0)
    made = fakes.job(job_id, step, first_due=9999.0 if "scheduled" in kind else 0.0)
    return dataclasses.replace(made, queue="gone" if "no queue" in kind else "q")


@when("a job of {count:d} {kind} is handed in")
def hand_in(context, count, kind):
    context.answer = context.service.submit(job(count, kind))


@then("it is accepted")
def accepted(context):
    assert isinstance(context.answer, result.Ok), context.answer
    if counted := getattr(context, "counted", ""):
        assert context.counters.snapshot()[f"overload.not_refused.{counted}"] == 1


@then("it is refused")
def refused(context):
    assert context.answer.err_value.reason == "overloaded", context.answer
    assert keys.job(ID) not in context.rows.kept


@when("{count:d} jobs of 2 tasks are handed in")
def hand_in_many(context, count):
    with logbook.TestHandler() as context.logged:
        context.answers = [
            context.service.submit(job(2, "", f"{number:016x}"))
            for number in range(count)
        ]


@then(
    "all are told to retry after {least:g} to {most:g} s, at different times, in one "
    "line each"
)
def told(context, least, most):
    times = [answer.err_value.retry_after for answer in context.answers]
    assert least <= min(times) <= max(times) <= most, (min(times), max(times))
    assert len(set(times)) > len(times) / 2, times
    wanted = "job refused as too late"
    lines = [each for each in context.logged.records if each.message == wanted]
    assert len(lines) == len(times)
    assert context.counters.snapshot()["overload.refused"] == len(times)


@when("a job comes in while the lease was last seen without a backlog")
def one_job_without_backlog(context):
    context.late.reader.may_be_published = lambda: False
    one_job(context)


@when("a job comes in, and no other one for a minute")
def one_job(context):
    context.late.reader.reading = False
    context.reads = unittest.mock.Mock(return_value=result.Ok({}))
    context.rows.read = context.reads
    with unittest.mock.patch.object(overload.gevent, "spawn", lambda read: read()):
        context.late.reader.job_arrived()


@then("the row was read {count:d} times")
def read_often(context, count):
    assert context.reads.call_count == count, context.reads.call_count


def other_instance(context):
    return job_service.JobService(
        context.rows, lambda: False, context.clock, context.counters
    )


def hand_in_elsewhere(context, *faults):
    context.rows.once += faults
    done = other_instance(context).submit(job(2, ""))
    assert isinstance(done.err_value, errors.Undecided), done
    context.rows.once, context.rows.fault = [], ""
    # The instance waited for a second, in which the leader did not renew its lease.
    pass_time(context, 8)


def late_write(context):
    context.rows.fault = "late"
    hand_in_elsewhere(context)


def late_write_after_refusal(context):
    late_write(context)
    hand_in(context, 2, "")
    refused(context)
    hand_in_elsewhere(context, "", *["late"] * 99)
    (late,) = {each.checks for each in context.rows.late[-5:]}
    assert late[1].version, late


def refused_meanwhile(context):
    """Refuse a job while another instance waits for the answer to its write of it."""
    commit = context.rows.commit

    def slow_commit(transaction):
        context.rows.commit = commit
        hand_in(context, 2, "")
        context.clock.now += 0.6
        return commit(transaction)

    context.rows.commit = slow_commit
    hand_in_elsewhere(context)


def frozen_meanwhile(context):
    """Refuse a job, and drop the refusal, while another instance is frozen."""
    sleep = context.clock.sleep

    def freeze(seconds):
        context.clock.sleep = sleep
        context.rows.late.clear()
        hand_in(context, 2, "")
        refused(context)
        drop = table.Write(keys.refusal(ID), None)
        context.rows._apply(table.Transaction((), (drop,)))
        context.clock.now += 100

    context.clock.sleep = freeze
    hand_in_elsewhere(context, "late")


SEQUENCES = {
    "the write of another instance is late": late_write,
    "the write of another instance, after a refusal, is late": late_write_after_refusal,
    'another instance meets a later refusal and answers "undecided"': refused_meanwhile,
    "another instance is frozen for 100 s before it tries again": frozen_meanwhile,
}


@when("before a refusal: {sequence}")
def before_refusal(context, sequence):
    SEQUENCES[sequence](context)


@then("nobody knows the job")
def unknown(context):
    for done in (context.service.state(ID), context.service.cancel(ID)):
        assert isinstance(done.err_value, errors.UnknownJob), done


@when("the write of the refusal fails: {doubt}")
def refusal_fails(context, doubt):
    if doubt in ("down", "lost", "late"):
        context.rows.once.append(doubt)
        return
    commit = context.rows.commit

    def stored_before(transaction):
        context.rows.commit = commit
        assert other_instance(context).submit(job(2, "")).is_ok()
        return commit(transaction)

    context.rows.commit = stored_before


@then("the job is stored once")
def stored_once(context):
    versions = [v for v, key in context.rows.history if key == keys.job(ID)]
    assert len(versions) == 1, versions
    assert keys.refusal(ID) not in context.rows.kept


@when("it is handed in again at an instance that accepts it")
def again_elsewhere(context):
    refused(context)
    context.answer = other_instance(context).submit(job(2, ""))


@when("jobs are refused each 40 s, one of them again and again")
def refuse_many(context):
    sweeper = sweeping.Sweeper(
        context.rows, lambda job_id: None, context.clock, context.counters
    )
    for number in range(4):
        for job_id in (ID, f"{number:016x}") if number < 2 else (ID,):
            assert context.late._record_refusal(job_id).is_ok()
        sweeper.sweep_refusals()
        context.clock.now += 40
    sweeper.sweep_refusals()


@then("only the refusal that was renewed is stored")
def only_renewed(context):
    found = context.rows.kept.page(keys.REFUSALS, "", 10)
    assert [row.key for row in found] == [keys.refusal(ID)], found
