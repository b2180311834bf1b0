import base64
import itertools
import json
import time

import gevent
from behave import given, then, when
from tests.standins import uplink

from mangosail import clock as clocks
from mangosail.platform import store
from mangosail.scheduler import journal, keys, messages, progress, recording, records
from mangosail.telemetry import counters

BYTES = {"B": 1, "KB": 1000}
#: Interval in seconds for checking what is stored.
POLL_INTERVAL_S = 0.01
STEP = messages.Step(1, None)


def store_of(context, rate):
    context.platform = uplink.Platform(rate * 1000)
    context.add_cleanup(context.platform.close)
    return store.Store(context.platform.address)


@given("a leader that sends {rate:d} KB a second to the store")
def step_leader(context, rate):
    rows = store_of(context, rate)
    lease = journal.Lease("one", "1", 1)
    version = journal.claim_lease(rows, lease, '"1.0"', 0)
    held = journal.HeldLease(lease, version, version)
    context.journal = journal.Journal(
        rows, held, clocks.SystemClock(), counters.StatsdCounters(None, 0)
    )
    context.renewals = [time.monotonic()]
    context.seen = 0
    context.called = []


def changed_job(number, size):
    """Return a job with a record of about `size` bytes, most of it its checkpoint."""
    job = progress.JobProgress(
        messages.Job(f"{number:016x}", "q", "pool", "spec", (STEP,), 0.0)
    )
    task = next(job.tasks())
    task.run = 1
    task.checkpoint = "x" * (size - len(records.encode(recording.to_record(job))))
    return job


def is_stored(context, job):
    row = context.platform.rows.get(("state", keys.SHARD, job.job.job_id))
    return row is not None


@when("{count:d} jobs with records of {size:d} {unit} have changed")
def step_changed(context, count, size, unit):
    context.size = size * BYTES[unit]
    context.jobs = [changed_job(number, context.size) for number in range(count)]
    context.platform.carried = 0
    writer = gevent.spawn(context.journal.run)
    context.add_cleanup(writer.kill)
    for job in context.jobs:
        context.journal.record(job)
        context.journal.when_durable(lambda job=job: on_stored(context, job))


def on_stored(context, job):
    assert is_stored(context, job), job.job.job_id
    context.called.append(job.job.job_id)


def record_renewal(context):
    """Record the time of a renewal of the lease."""
    row = context.platform.rows["leader", keys.SHARD, "lease"]
    lease = json.loads(base64.b64decode(row["value"]))
    if lease["renewals"] != context.seen:
        context.seen = lease["renewals"]
        context.renewals.append(time.monotonic())


@then("all of them are stored within {seconds:d} s")
def step_stored(context, seconds):
    deadline = time.monotonic() + seconds
    while len(context.called) < len(context.jobs) and time.monotonic() < deadline:
        gevent.sleep(POLL_INTERVAL_S)
        record_renewal(context)
    missing = sum(not is_stored(context, job) for job in context.jobs)
    assert not missing, f"{missing} not stored, {context.platform.carried} bytes sent"
    context.renewals.append(time.monotonic())


@then("the lease never went {seconds:g} s without a renewal")
def step_renewed(context, seconds):
    gaps = [after - before for before, after in itertools.pairwise(context.renewals)]
    assert max(gaps) < seconds, gaps


@then("little more than the records went over the link")
def step_carried(context):
    # Base64 takes 4 bytes for 3, and the rest of a row's entry some hundred bytes.
    least = len(context.jobs) * (context.size * 4 / 3 + 150)
    assert context.platform.carried < 1.2 * least + 10_000, context.platform.carried


@then("the callback of each job ran once, after it was stored")
def step_called(context):
    assert context.called == [job.job.job_id for job in context.jobs]
